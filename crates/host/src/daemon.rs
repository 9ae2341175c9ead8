//! Runs one host: binds its listeners, starts its tasks and stops them in order.

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
    /// State that the host's tasks share.
    pub host: Arc<Host>,
    front: front::Listener,
    admin: admin::Listener,
    tasks: JoinSet<()>,
}

impl Daemon {
    /// Binds the listeners and starts the tasks. Port 0 in the settings binds any free port.
    ///
    /// Fails if the settings are invalid or an address cannot be bound.
    pub async fn start(mut settings: Settings) -> Result<Daemon> {
        crate::settings::verify(&settings)?;
        let callers = bind(&mut settings.listen.callers)?;
        let peers = bind(&mut settings.listen.peers)?;
        let operators = bind(&mut settings.listen.operators)?;
        let host = Arc::new(Host::new(settings)?);
        // Only recorded members take part in failover; this host is not recorded yet.
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
        tasks.spawn(admin::runner::poll_abandoned(host.clone()));
        tasks.spawn(loan::request_tokens(host.clone()));
        tasks.spawn(loan::balance_slots(host.clone()));
        let limiter_host = host.clone();
        tasks.spawn(async move { limiter_host.limiter.run().await });
        log::info!("host {} serves callers on {}", host.settings.host, front.address);
        Ok(Daemon { host, front, admin, tasks })
    }

    /// Callers' requests in flight on this host.
    pub fn requests_in_flight(&self) -> u32 {
        self.front.requests_in_flight()
    }

    /// Waits until the host is notified that it must leave the fleet, as when a plan drains it.
    pub async fn leave_requested(&self) {
        let mut leaving = self.host.leaving.subscribe();
        // The wait cannot fail: the host owns the sender.
        drop(leaving.wait_for(|leaving| *leaving).await);
    }

    /// Stops the host gracefully.
    ///
    /// Withdraws it from the platform's list and keeps serving for `timeouts.leave`, until others
    /// have seen the change. Then refuses new work, finishes the requests in flight within
    /// `timeouts.stop`, hands its shares over and stops the tasks.
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

/// Binds `address` and stores the port that was bound in it.
fn bind(address: &mut std::net::SocketAddr) -> Result<TcpListener> {
    let listener = TcpListener::bind(*address)?;
    *address = listener.local_addr()?;
    Ok(listener)
}
