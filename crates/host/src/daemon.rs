//! Runs one host: binds its listeners, starts its tasks, stops them in order.

use crate::error::Result;
use crate::exec;
use crate::failover;
use crate::fleet::{beat, follow, loan, upkeep};
use crate::front;
use crate::peer;
use crate::settings::{Defect, Settings};
use crate::shared::Host;
use crate::target;
use bergamotvale_core::id::Time;
use std::collections::BTreeMap;
use std::net::TcpListener;
use std::sync::Arc;
use tokio::task::JoinSet;

/// A running host.
pub struct Daemon {
    /// What its tasks share.
    pub host: Arc<Host>,
    front: front::Listener,
    tasks: JoinSet<()>,
}

impl Daemon {
    /// Binds the listeners and starts the tasks. Port 0 in the settings takes any free port.
    pub async fn start(mut settings: Settings) -> Result<Daemon> {
        crate::settings::verify(&settings)?;
        let callers = bind(&mut settings.listen.callers)?;
        let peers = bind(&mut settings.listen.peers)?;
        let host = Arc::new(Host::new(settings)?);
        // Shares are for recorded members only; this host is none yet.
        host.pools.vouch(Time::ZERO);
        host.failover.set_members(BTreeMap::new());
        let front = front::start(host.clone(), callers)?;
        let mut tasks = JoinSet::new();
        tasks.spawn(failover::driver::run(host.clone()));
        tasks.spawn(target::share::run(host.clone()));
        tasks.spawn(exec::transaction::run(host.clone()));
        peers.set_nonblocking(true)?;
        tasks.spawn(peer::server::run(host.clone(), tokio::net::TcpListener::from_std(peers)?));
        tasks.spawn(follow::run(host.clone()));
        tasks.spawn(follow::list(host.clone()));
        tasks.spawn(beat::run(host.clone()));
        tasks.spawn(upkeep::run(host.clone()));
        tasks.spawn(loan::tokens(host.clone()));
        tasks.spawn(loan::slots(host.clone()));
        let limited = host.clone();
        tasks.spawn(async move { limited.limiter.run().await });
        log::info!("host {} serves callers on {}", host.settings.host, front.address);
        Ok(Daemon { host, front, tasks })
    }

    /// Callers' requests under way.
    pub fn requests(&self) -> u32 {
        self.front.requests()
    }

    /// Takes no new work, finishes what runs, then ends.
    ///
    /// For a while it still takes requests, closing each connection after its answer, since the
    /// balancer learns late that the host leaves.
    pub async fn stop(mut self) {
        let timeouts = &self.host.settings.timeouts;
        self.host.stopping.send_replace(true);
        self.host.fleet.leave();
        if self.host.settings.policy.defects.contains(&Defect::AbruptStop) {
            return;
        }
        tokio::time::sleep(timeouts.leave).await;
        self.front.stop(timeouts.stop).await;
        self.tasks.shutdown().await;
    }
}

/// Binds `address` and notes the port that was taken.
fn bind(address: &mut std::net::SocketAddr) -> Result<TcpListener> {
    let listener = TcpListener::bind(*address)?;
    *address = listener.local_addr()?;
    Ok(listener)
}
