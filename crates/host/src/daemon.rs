//! Runs one host: binds its listeners, starts its tasks, stops them in order.

use crate::error::Result;
use crate::fleet::{follow, heartbeat, leave, loan, maintenance};
use crate::settings::{Defect, Settings};
use crate::shared::Host;
use crate::{admin, exec, failover, front, peer, target};
use std::collections::BTreeMap;
use std::net::TcpListener;
use std::sync::Arc;
use tokio::task::JoinSet;

/// A running host.
pub struct Daemon {
    /// What its tasks share.
    pub host: Arc<Host>,
    front: front::Listener,
    admin: admin::Listener,
    tasks: JoinSet<()>,
}

impl Daemon {
    /// Binds the listeners and starts the tasks. Port 0 in the settings takes any free port.
    pub async fn start(mut settings: Settings) -> Result<Daemon> {
        crate::settings::verify(&settings)?;
        let callers = bind(&mut settings.listen.callers)?;
        let peers = bind(&mut settings.listen.peers)?;
        let operators = bind(&mut settings.listen.operators)?;
        let host = Arc::new(Host::new(settings)?);
        // Shares are for recorded members only; this host is none yet.
        host.failover.set_members(BTreeMap::new());
        let front = front::start(host.clone(), callers)?;
        let admin = admin::start(host.clone(), operators)?;
        let mut tasks = JoinSet::new();
        tasks.spawn(failover::driver::run(host.clone()));
        tasks.spawn(target::share::run(host.clone()));
        tasks.spawn(exec::transaction::run(host.clone()));
        peers.set_nonblocking(true)?;
        tasks.spawn(peer::server::run(host.clone(), tokio::net::TcpListener::from_std(peers)?));
        tasks.spawn(follow::poll_row(host.clone()));
        tasks.spawn(follow::register(host.clone()));
        tasks.spawn(follow::poll_host_list(host.clone()));
        tasks.spawn(heartbeat::run(host.clone()));
        tasks.spawn(maintenance::run(host.clone()));
        tasks.spawn(admin::runner::watch(host.clone()));
        tasks.spawn(loan::request_tokens(host.clone()));
        tasks.spawn(loan::balance_slots(host.clone()));
        let limited = host.clone();
        tasks.spawn(async move { limited.limiter.run().await });
        log::info!("host {} serves callers on {}", host.settings.host, front.address);
        Ok(Daemon { host, front, admin, tasks })
    }

    /// Callers' requests under way.
    pub fn requests_in_flight(&self) -> u32 {
        self.front.requests_in_flight()
    }

    /// Waits until the host is told to leave the fleet.
    pub async fn leave_requested(&self) {
        let mut leaving = self.host.leaving.subscribe();
        // The sender lives as long as the host.
        drop(leaving.wait_for(|leaving| *leaving).await);
    }

    /// Leaves the platform's list, serves on until others have seen that, then takes no new work,
    /// finishes what runs, hands its shares over and ends.
    pub async fn stop(mut self) {
        let host = self.host.clone();
        leave::announce(&host).await;
        if host.settings.policy.defects.contains(&Defect::AbruptStop) {
            return;
        }
        tokio::time::sleep(host.settings.timeouts.leave).await;
        host.stopping.send_replace(true);
        let timeout = host.settings.timeouts.stop;
        leave::finish_transactions(&host, timeout).await;
        self.front.stop(timeout).await;
        leave::remove_member(&host).await;
        self.admin.stop().await;
        self.tasks.shutdown().await;
    }
}

/// Binds `address` and notes the port that was taken.
fn bind(address: &mut std::net::SocketAddr) -> Result<TcpListener> {
    let listener = TcpListener::bind(*address)?;
    *address = listener.local_addr()?;
    Ok(listener)
}
