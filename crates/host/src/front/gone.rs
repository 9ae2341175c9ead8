//! Tells when a caller has closed its connection.
//!
//! The HTTP framework looks at a connection again only after the answer. So each accepted socket
//! is watched through a second handle on it: a request whose caller is gone ends at once, which
//! cancels its statement. The second handle keeps the socket open after the framework has dropped
//! its own; whoever cuts a connection on purpose has to say so by [`Callers::cut`].

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

/// Connected callers by their address.
#[derive(Clone)]
pub struct Callers {
    connections: Arc<Mutex<BTreeMap<SocketAddr, Connection>>>,
    runtime: Handle,
}

struct Connection {
    socket: std::net::TcpStream,
    is_gone: watch::Sender<bool>,
    /// Requests under way.
    requests: u32,
    /// When the last one began or ended.
    used: Instant,
    /// Whether this host takes no further request on it.
    is_closing: bool,
}

/// A request under way on a connection.
pub struct Request {
    callers: Callers,
    address: SocketAddr,
}

impl Drop for Request {
    fn drop(&mut self) {
        self.callers.count(self.address, |requests| requests.saturating_sub(1));
    }
}

/// A listening socket whose connections are watched.
pub struct Watched {
    listener: std::net::TcpListener,
    callers: Callers,
}

/// The same inside the server's threads.
pub struct Accepting {
    listener: TcpListener,
    callers: Callers,
}

impl Callers {
    /// Nobody is connected; the watching runs on `runtime`.
    pub fn new(runtime: Handle) -> Callers {
        Callers { connections: Arc::default(), runtime }
    }

    /// Notes a request of the caller at `address`, until the result is dropped.
    pub fn request(&self, address: SocketAddr) -> Request {
        self.count(address, |requests| requests + 1);
        Request { callers: self.clone(), address }
    }

    /// Requests under way on all connections.
    pub fn requests_in_flight(&self) -> u32 {
        lock(&self.connections).values().map(|connection| connection.requests).sum()
    }

    fn count(&self, address: SocketAddr, change: impl FnOnce(u32) -> u32) {
        if let Some(connection) = lock(&self.connections).get_mut(&address) {
            connection.requests = change(connection.requests);
            connection.used = Instant::now();
        }
    }

    /// Takes no further request on connections that have been idle for `idle`.
    ///
    /// A request that has arrived already is still read and answered.
    pub fn close_idle(&self, idle: Duration) {
        for connection in lock(&self.connections).values_mut() {
            let is_idle = connection.requests == 0 && connection.used.elapsed() >= idle;
            if is_idle && !connection.is_closing {
                connection.is_closing = true;
                // It may be closed already.
                drop(connection.socket.shutdown(Shutdown::Read));
            }
        }
    }

    /// Waits until the caller at `address` has closed its connection.
    pub async fn gone(&self, address: SocketAddr) {
        let watched = lock(&self.connections).get(&address).map(|c| c.is_gone.subscribe());
        if let Some(mut is_gone) = watched {
            // The sender goes away with the connection.
            drop(is_gone.wait_for(|is_gone| *is_gone).await);
        }
    }

    /// Cuts the connection of the caller at `address`, so that an unfinished answer is seen to be.
    pub fn cut(&self, address: SocketAddr) {
        if let Some(connection) = lock(&self.connections).remove(&address) {
            // It may be closed already.
            drop(connection.socket.shutdown(Shutdown::Both));
        }
    }

    /// Cuts all connections that are left.
    pub fn cut_all(&self) {
        for (_, connection) in std::mem::take(&mut *lock(&self.connections)) {
            drop(connection.socket.shutdown(Shutdown::Both));
        }
    }

    fn watch(&self, stream: &std::net::TcpStream, address: SocketAddr) -> io::Result<()> {
        let socket = stream.try_clone()?;
        let watched = stream.try_clone()?;
        let connection = Connection {
            socket,
            is_gone: watch::Sender::new(false),
            requests: 0,
            used: Instant::now(),
            is_closing: false,
        };
        lock(&self.connections).insert(address, connection);
        let callers = self.clone();
        self.runtime.spawn(async move {
            if let Err(error) = closed(watched).await {
                log::debug!("caller {address}: {error}");
            }
            callers.closed(address);
        });
        Ok(())
    }
}

impl Callers {
    /// The connection's reading side is closed, by the caller or by this host.
    fn closed(&self, address: SocketAddr) {
        let mut connections = lock(&self.connections);
        let Some(connection) = connections.get(&address) else { return };
        if connection.is_closing && connection.requests > 0 {
            // A request came just before this host closed: it goes on unwatched.
            return;
        }
        connection.is_gone.send_replace(true);
        connections.remove(&address);
    }
}

/// Waits until the other end has closed the connection.
async fn closed(stream: std::net::TcpStream) -> io::Result<()> {
    let stream = TcpStream::from_std(stream)?;
    loop {
        if stream.ready(Interest::READABLE).await?.is_read_closed() {
            return Ok(());
        }
        // The data is the server's to read: forget it and wait for the next event.
        let nothing = || Err::<(), _>(io::ErrorKind::WouldBlock.into());
        drop(stream.try_io(Interest::READABLE, nothing));
    }
}

impl Watched {
    /// Watches the connections of `listener`.
    pub fn new(listener: std::net::TcpListener, callers: Callers) -> Watched {
        Watched { listener, callers }
    }
}

impl IntoListener for Watched {
    type Listener = Accepting;

    fn into_listener(self) -> io::Result<Accepting> {
        self.listener.set_nonblocking(true)?;
        let listener = TcpListener::from_std(self.listener)?;
        Ok(Accepting { listener, callers: self.callers })
    }
}

impl Listen for Accepting {
    async fn accept(&self) -> io::Result<Stream> {
        let (stream, address) = self.listener.accept().await?;
        stream.set_nodelay(true)?;
        let stream = stream.into_std()?;
        self.callers.watch(&stream, address)?;
        Ok(Stream::Tcp(stream, address))
    }
}
