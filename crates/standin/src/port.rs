//! A listening TCP port that can be closed and opened again.
//!
//! A second socket stays bound to the same port without listening. It reserves the port while it is
//! closed, so that connections are refused and no other process gets the port.

use std::io;
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};

use socket2::{Domain, Protocol, Socket, Type};

use crate::sync::lock;

/// Maximum number of connections that wait to be accepted.
const BACKLOG: i32 = 1024;

/// A reserved port, open or closed.
#[derive(Debug)]
pub(crate) struct Port {
    /// Address of the port; it stays the same when the port is closed and opened again.
    pub(crate) address: SocketAddr,
    _reserved: Socket,
    socket: Mutex<Option<Arc<Socket>>>,
}

impl Port {
    /// Listens on an address; port 0 selects a free port.
    pub(crate) fn new(address: SocketAddr) -> io::Result<Self> {
        let reserved = bind(address)?;
        let address = reserved.local_addr()?.as_socket().expect("the socket is an IP socket");
        let port = Port { address, _reserved: reserved, socket: Mutex::new(None) };
        port.open()?;
        Ok(port)
    }

    /// Starts accepting connections.
    pub(crate) fn open(&self) -> io::Result<()> {
        let socket = bind(self.address)?;
        socket.listen(BACKLOG)?;
        *lock(&self.socket) = Some(Arc::new(socket));
        Ok(())
    }

    /// Stops listening: new connections are refused, accepted ones stay open.
    pub(crate) fn close(&self) {
        if let Some(socket) = lock(&self.socket).take() {
            // Interrupts a blocked `accept`. The socket may be shut down already.
            let _ = socket.shutdown(std::net::Shutdown::Both);
        }
    }

    /// Waits for a connection; `None` if the port is closed or is closed while waiting.
    pub(crate) fn accept(&self) -> Option<TcpStream> {
        let socket = lock(&self.socket).clone()?;
        let (stream, _) = socket.accept().ok()?;
        Some(stream.into())
    }
}

fn bind(address: SocketAddr) -> io::Result<Socket> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, Some(Protocol::TCP))?;
    socket.set_reuse_address(true)?;
    socket.bind(&address.into())?;
    Ok(socket)
}
