//! A listening port that can be closed and opened again.
//!
//! A second socket stays bound to the same port without listening, so that the port is kept while
//! it is closed and connections to it are refused.

use std::io;
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};

use socket2::{Domain, Protocol, Socket, Type};

use crate::sync::lock;

/// Connections that wait to be accepted.
const BACKLOG: i32 = 1024;

/// A port of this process.
#[derive(Debug)]
pub(crate) struct Port {
    /// Address that stays the same over restarts.
    pub(crate) address: SocketAddr,
    _reserved: Socket,
    socket: Mutex<Option<Arc<Socket>>>,
}

impl Port {
    /// Listens on an address; port 0 takes a free one.
    pub(crate) fn new(address: SocketAddr) -> io::Result<Self> {
        let reserved = bound(address)?;
        let address = reserved.local_addr()?.as_socket().expect("the socket is an IP socket");
        let port = Port { address, _reserved: reserved, socket: Mutex::new(None) };
        port.open()?;
        Ok(port)
    }

    /// Takes connections.
    pub(crate) fn open(&self) -> io::Result<()> {
        let socket = bound(self.address)?;
        socket.listen(BACKLOG)?;
        *lock(&self.socket) = Some(Arc::new(socket));
        Ok(())
    }

    /// Refuses connections.
    pub(crate) fn close(&self) {
        if let Some(socket) = lock(&self.socket).take() {
            // Ends a running accept; the socket may be closed already.
            let _ = socket.shutdown(std::net::Shutdown::Both);
        }
    }

    /// Waits for a connection; none when the port is or gets closed.
    pub(crate) fn accept(&self) -> Option<TcpStream> {
        let socket = lock(&self.socket).clone()?;
        let (stream, _) = socket.accept().ok()?;
        Some(stream.into())
    }
}

fn bound(address: SocketAddr) -> io::Result<Socket> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, Some(Protocol::TCP))?;
    socket.set_reuse_address(true)?;
    socket.bind(&address.into())?;
    Ok(socket)
}
