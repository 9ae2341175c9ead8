//! Stand-in of the platform over HTTP: a transactional table, an object store and a lagging list of
//! hosts.
//!
//! The server runs on its own threads behind a relay, which can refuse connections and close a
//! connection after its request has taken effect.

mod fault;
mod service;
mod store;

use std::io;
use std::net::{SocketAddr, TcpListener};
use std::sync::mpsc::{Sender, channel};
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
use crate::sync::lock;

/// Time after which an idle connection is closed.
const KEEP_ALIVE: Duration = Duration::from_secs(300);
/// Number of threads that serve requests.
const WORKERS: usize = 2;

/// Settings of a platform stand-in.
#[derive(Clone, Debug, Default)]
pub struct Options {
    /// Address to listen on; `None` selects a free loopback port.
    pub address: Option<SocketAddr>,
    /// Initial faults.
    pub fault: Fault,
}

/// Stops the threads of a server.
type Stop = Box<dyn FnOnce() + Send>;

/// A running platform; dropping it stops it.
pub struct Server {
    faults: Faults,
    store: Arc<Mutex<Store>>,
    stop: Option<Stop>,
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
        let service = Service { faults: faults.clone(), store: store.clone() };
        let (ready, started) = channel();
        let run = move || serve(listener, service, &ready);
        let thread = std::thread::Builder::new().name("platform".to_owned()).spawn(run)?;
        let exited = io::Error::other("platform thread exited during its start");
        let stop = started.recv().map_err(|_| exited)??;
        Ok(Server { faults, store, stop: Some(stop), thread: Some(thread) })
    }

    /// Address of the relay, which clients connect to.
    pub fn address(&self) -> SocketAddr {
        self.faults.front().address()
    }

    /// Base URL, without a trailing slash.
    pub fn url(&self) -> String {
        format!("http://{}", self.address())
    }

    /// Handle to the faults and counters.
    pub fn faults(&self) -> Faults {
        self.faults.clone()
    }

    /// Rows whose key starts with a prefix, regardless of faults.
    pub fn rows(&self, prefix: &str) -> Vec<Row> {
        lock(&self.store).rows(prefix).into_iter().cloned().collect()
    }

    /// Stops the platform and waits for its threads.
    pub fn stop(self) {
        drop(self);
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        // Closes the port explicitly, because clones of the fault handle keep the relay alive.
        if let Err(error) = self.faults.set(|fault| fault.refuse = true) {
            log::error!("cannot close the platform's port: {error}");
        }
        if let Some(stop) = self.stop.take() {
            stop();
        }
        if let Some(thread) = self.thread.take()
            && thread.join().is_err()
        {
            log::error!("platform thread panicked");
        }
    }
}

/// Serves until the server is stopped. First sends `ready` the function that stops it, or the error
/// if it did not start.
fn serve(listener: TcpListener, service: Service, ready: &Sender<io::Result<Stop>>) {
    let server = App::new()
        .at("/{*path}", handler_service(service::handle))
        .with_state(service)
        .serve()
        .disable_signal()
        .worker_threads(WORKERS)
        .keep_alive_timeout(KEEP_ALIVE)
        .request_head_timeout(KEEP_ALIVE)
        .listen(listener);
    let mut running = match server {
        Ok(server) => server.run(),
        Err(error) => return drop(ready.send(Err(error))),
    };
    let stop = running.handle().map(|handle| -> Stop { Box::new(move || handle.stop(false)) });
    // `Server::start` waits for this message.
    let _ = ready.send(stop);
    if let Err(error) = running.wait() {
        log::error!("platform server failed: {error}");
    }
}
