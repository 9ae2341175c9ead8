//! Runs one host: binds its listeners, starts its tasks, stops them in order.

use crate::error::Result;
use crate::failover;
use crate::front;
use crate::settings::Settings;
use crate::shared::Host;
use crate::target;
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
        let host = Arc::new(Host::new(settings)?);
        load_document(&host).await;
        let front = front::start(host.clone(), callers)?;
        let mut tasks = JoinSet::new();
        tasks.spawn(failover::driver::run(host.clone()));
        tasks.spawn(target::share::run(host.clone()));
        tasks.spawn(follow_document(host.clone()));
        log::info!("host {} serves callers on {}", host.settings.host, front.address);
        Ok(Daemon { host, front, tasks })
    }

    /// Takes no new work, finishes what runs, then ends.
    pub async fn stop(mut self) {
        self.host.stopping.send_replace(true);
        self.front.stop().await;
        self.tasks.shutdown().await;
    }
}

/// Binds `address` and notes the port that was taken.
fn bind(address: &mut std::net::SocketAddr) -> Result<TcpListener> {
    let listener = TcpListener::bind(*address)?;
    *address = listener.local_addr()?;
    Ok(listener)
}

async fn follow_document(host: Arc<Host>) {
    let mut ticks = tokio::time::interval(host.settings.platform.period);
    loop {
        ticks.tick().await;
        load_document(&host).await;
    }
}

async fn load_document(host: &Host) {
    match host.platform.document(host.document().version).await {
        Ok(Some(document)) => drop(host.document.send_replace(Arc::new(document))),
        Ok(None) => {}
        Err(error) => log::warn!("cannot read the configuration: {error}"),
    }
}
