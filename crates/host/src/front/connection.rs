//! Detects when a caller closes its connection.
//!
//! The HTTP framework does not read a connection while a request on it is in flight. Each accepted
//! socket is therefore watched through a duplicate handle, so that a request ends, and its
//! statement is cancelled, as soon as its caller disconnects. The duplicate keeps the socket open
//! after the framework has dropped its own handle; use [`Callers::abort`] to close a connection on
//! purpose.

use crate::exec::state::lock;
use std::collections::BTreeMap;
use std::io;
use std::net::{Shutdown, SocketAddr};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tokio::io::Interest;
use tokio::net::{TcpListener, TcpStream};
use tokio::runtime::Handle;
use tokio::sync::watch;
use xitca_io::net::Stream;
use xitca_server::net::{IntoListener, Listen};

/// Connections of the callers, by the caller's address.
#[derive(Clone)]
pub struct Callers {
    connections: Arc<Mutex<BTreeMap<SocketAddr, Connection>>>,
    runtime: Handle,
}

struct Connection {
    socket: std::net::TcpStream,
    is_disconnected: watch::Sender<bool>,
    /// Number of requests in flight.
    requests: u32,
    /// Time at which a request last started or ended.
    last_used: Instant,
    /// Whether this host accepts no further request on the connection.
    is_closing: bool,
}

/// Counts a request as in flight on a connection until it is dropped.
pub struct Request {
    callers: Callers,
    address: SocketAddr,
}

impl Drop for Request {
    fn drop(&mut self) {
        self.callers.update_requests(self.address, |requests| requests.saturating_sub(1));
    }
}

/// A listener that watches the connections it accepts, in the form that the server is built from.
pub struct WatchedListener {
    listener: std::net::TcpListener,
    callers: Callers,
}

/// A [`WatchedListener`] inside the server's threads.
pub struct Acceptor {
    listener: TcpListener,
    callers: Callers,
}

impl Callers {
    /// No connections; `runtime` runs the tasks that watch them.
    pub fn new(runtime: Handle) -> Callers {
        Callers { connections: Arc::default(), runtime }
    }

    /// Counts a request of the caller at `address` as in flight until the result is dropped.
    pub fn start_request(&self, address: SocketAddr) -> Request {
        self.update_requests(address, |requests| requests + 1);
        Request { callers: self.clone(), address }
    }

    /// Number of requests in flight on all connections.
    pub fn requests_in_flight(&self) -> u32 {
        lock(&self.connections).values().map(|connection| connection.requests).sum()
    }

    fn update_requests(&self, address: SocketAddr, change: impl FnOnce(u32) -> u32) {
        if let Some(connection) = lock(&self.connections).get_mut(&address) {
            connection.requests = change(connection.requests);
            connection.last_used = Instant::now();
        }
    }

    /// Shuts down the reading side of connections that have been idle for `idle`.
    ///
    /// A request that has already arrived is still read and answered.
    pub fn close_idle(&self, idle: Duration) {
        for connection in lock(&self.connections).values_mut() {
            let is_idle = connection.requests == 0 && connection.last_used.elapsed() >= idle;
            if is_idle && !connection.is_closing {
                connection.is_closing = true;
                // Fails only if the connection is already closed.
                drop(connection.socket.shutdown(Shutdown::Read));
            }
        }
    }

    /// Waits until the caller at `address` has closed its connection.
    pub async fn wait_disconnected(&self, address: SocketAddr) {
        let receiver = lock(&self.connections).get(&address).map(|c| c.is_disconnected.subscribe());
        if let Some(mut is_disconnected) = receiver {
            // An error means that the connection has been removed, which ends the wait as well.
            drop(is_disconnected.wait_for(|is_disconnected| *is_disconnected).await);
        }
    }

    /// Closes the connection of the caller at `address` at once, so that the caller can tell that a
    /// response is incomplete.
    pub fn abort(&self, address: SocketAddr) {
        if let Some(connection) = lock(&self.connections).remove(&address) {
            // Fails only if the connection is already closed.
            drop(connection.socket.shutdown(Shutdown::Both));
        }
    }

    /// Closes all remaining connections at once.
    pub fn abort_all(&self) {
        for (_, connection) in std::mem::take(&mut *lock(&self.connections)) {
            drop(connection.socket.shutdown(Shutdown::Both));
        }
    }

    fn watch(&self, stream: &std::net::TcpStream, address: SocketAddr) -> io::Result<()> {
        let socket = stream.try_clone()?;
        let watched = stream.try_clone()?;
        let connection = Connection {
            socket,
            is_disconnected: watch::Sender::new(false),
            requests: 0,
            last_used: Instant::now(),
            is_closing: false,
        };
        lock(&self.connections).insert(address, connection);
        let callers = self.clone();
        self.runtime.spawn(async move {
            if let Err(error) = wait_read_closed(watched).await {
                log::debug!("cannot watch the connection of caller {address}: {error}");
            }
            callers.record_read_closed(address);
        });
        Ok(())
    }
}

impl Callers {
    /// Handles that a connection's reading side was closed, by the caller or by this host.
    fn record_read_closed(&self, address: SocketAddr) {
        let mut connections = lock(&self.connections);
        let Some(connection) = connections.get(&address) else { return };
        if connection.is_closing && connection.requests > 0 {
            // A request arrived just before this host closed the reading side. It continues, but a
            // disconnect of its caller is no longer detected.
            return;
        }
        connection.is_disconnected.send_replace(true);
        connections.remove(&address);
    }
}

/// Waits until the reading side of `stream` is closed.
async fn wait_read_closed(stream: std::net::TcpStream) -> io::Result<()> {
    let stream = TcpStream::from_std(stream)?;
    loop {
        if stream.ready(Interest::READABLE).await?.is_read_closed() {
            return Ok(());
        }
        // The server reads the data. Clear the readiness to wait for the next event.
        let would_block = || Err::<(), _>(io::ErrorKind::WouldBlock.into());
        drop(stream.try_io(Interest::READABLE, would_block));
    }
}

impl WatchedListener {
    /// Watches the connections that `listener` accepts, as entries of `callers`.
    pub fn new(listener: std::net::TcpListener, callers: Callers) -> WatchedListener {
        WatchedListener { listener, callers }
    }
}

impl IntoListener for WatchedListener {
    type Listener = Acceptor;

    fn into_listener(self) -> io::Result<Acceptor> {
        self.listener.set_nonblocking(true)?;
        let listener = TcpListener::from_std(self.listener)?;
        Ok(Acceptor { listener, callers: self.callers })
    }
}

impl Listen for Acceptor {
    async fn accept(&self) -> io::Result<Stream> {
        let (stream, address) = self.listener.accept().await?;
        stream.set_nodelay(true)?;
        let stream = stream.into_std()?;
        self.callers.watch(&stream, address)?;
        Ok(Stream::Tcp(stream, address))
    }
}
