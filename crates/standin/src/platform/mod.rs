//! The platform over HTTP: a transactional table, an object store and a lagging list of hosts.
//!
//! The server runs on threads of its own behind a relay, which can refuse connections and close
//! one after its request has taken effect.

mod fault;
mod service;
mod store;

use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::Duration;

use xitca_web::App;
use xitca_web::handler::handler_service;

pub use self::fault::{Count, Fault, Faults};
pub use self::store::{Host, HostId, Key, Liveness, Row, Version};

use self::service::Service;
use self::store::Store;
use crate::link::Relay;

/// How long an idle connection stays open.
const KEEP_ALIVE: Duration = Duration::from_secs(300);
/// Threads that serve requests.
const WORKERS: usize = 2;

/// Settings of a platform.
#[derive(Clone, Debug, Default)]
pub struct Options {
    /// Address to listen on; a free port of loopback where none is given.
    pub address: Option<SocketAddr>,
    /// Faults from the start.
    pub fault: Fault,
}

/// A running platform; dropping it ends it.
pub struct Server {
    faults: Faults,
    stop: Option<Box<dyn FnOnce() + Send>>,
    thread: Option<JoinHandle<()>>,
}

impl Server {
    /// Starts an empty platform.
    pub fn start(options: Options) -> crate::Result<Self> {
        let listener = TcpListener::bind(("127.0.0.1", 0))?;
        let loopback = SocketAddr::from(([127, 0, 0, 1], 0));
        let front = Relay::start_at(options.address.unwrap_or(loopback), listener.local_addr()?)?;
        let refuse = options.fault.refuse;
        let faults = Faults::new(options.fault, front);
        faults.set(|fault| fault.refuse = refuse)?;
        let store = Arc::new(Mutex::new(Store::default()));
        let service = Service { faults: faults.clone(), store };
        let (ready, started) = std::sync::mpsc::channel();
        let run = move || {
            let server = App::new()
                .at("/{*path}", handler_service(service::handle))
                .with_state(service)
                .serve()
                .disable_signal()
                .worker_threads(WORKERS)
                .keep_alive_timeout(KEEP_ALIVE)
                .request_head_timeout(KEEP_ALIVE)
                .listen(listener);
            let mut server = match server {
                Ok(server) => server.run(),
                Err(error) => return drop(ready.send(Err(error))),
            };
            let handle = server.handle();
            // The starter waits for this message.
            let _ = ready.send(handle);
            if let Err(error) = server.wait() {
                log::error!("platform: {error}");
            }
        };
        let thread = std::thread::Builder::new().name("platform".to_owned()).spawn(run)?;
        let gone = std::io::Error::other("the platform's thread has ended");
        let handle = started.recv().map_err(|_| gone)??;
        let stop = Box::new(move || handle.stop(false));
        Ok(Server { faults, stop: Some(stop), thread: Some(thread) })
    }

    /// Address to connect to.
    pub fn address(&self) -> SocketAddr {
        self.faults.front().address()
    }

    /// Base of the URLs.
    pub fn url(&self) -> String {
        format!("http://{}", self.address())
    }

    /// Handle on the faults.
    pub fn faults(&self) -> Faults {
        self.faults.clone()
    }

    /// Ends the platform.
    pub fn stop(self) {
        drop(self);
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        // The port stays closed, whoever still holds a handle on the faults.
        if let Err(error) = self.faults.set(|fault| fault.refuse = true) {
            log::error!("platform: {error}");
        }
        if let Some(stop) = self.stop.take() {
            stop();
        }
        if let Some(thread) = self.thread.take()
            && thread.join().is_err()
        {
            log::error!("the platform's thread has panicked");
        }
    }
}
