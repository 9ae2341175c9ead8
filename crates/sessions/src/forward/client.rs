//! Connections to other hosts, on which this host sends attempts to the owners of connections.

use super::ownership;
use super::protocol::{self, Reply, Request};
use crate::pool::connection::Failure;
use crate::state::Host;
use bergamotvale_core::id::HostId;
use bergamotvale_core::proxy::record::Fence;
use bytes::Bytes;
use futures::{SinkExt, StreamExt};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::{TcpSocket, TcpStream};
use tokio::time::Instant;
use tokio_util::codec::{Framed, LengthDelimitedCodec};

/// Time that connecting to another host may take. The kernel of a live host accepts at once, also
/// while its process is busy.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(150);
/// Time for which sent bytes may stay unacknowledged before the kernel closes the connection.
pub const TCP_USER_TIMEOUT: Duration = Duration::from_millis(800);
/// Time after which an unused connection is not used again. Shorter than the time after which an
/// owner closes it, see [`super::server::IDLE_TIMEOUT`].
const MAX_IDLE_AGE: Duration = Duration::from_secs(20);
/// Unused connections that are kept for each host.
const MAX_IDLE_LINKS: usize = 16;
/// Interval at which an exchange without a reply checks whether the owner is silent or the fence has
/// changed.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Conditions that end an exchange with an owner without a reply.
#[derive(Debug, Clone, Copy)]
pub struct Bounds<'a> {
    /// Time by which the reply has to arrive.
    pub deadline: Instant,
    /// Service and fence under which the target is used as the primary, as in
    /// [`crate::pool::connection::Bounds`].
    pub fence: Option<(&'a str, Fence)>,
    /// Whether to give up once the owner sends no heartbeats any more. Set where the statement may
    /// be tried elsewhere.
    pub ends_with_owner: bool,
}

/// A connection to another host.
#[derive(Debug)]
pub struct Link {
    /// The host at its other end.
    pub owner: HostId,
    frames: Framed<TcpStream, LengthDelimitedCodec>,
    last_used: Instant,
}

impl Link {
    /// Takes an unused connection to a host, or opens one. `None` if it cannot be reached.
    pub async fn obtain(host: &Host, owner: HostId) -> Option<Link> {
        while let Some(link) = host.forward.take_idle(owner) {
            if !link.is_stale() {
                return Some(link);
            }
        }
        let address = host.lease.borrow().members().get(&owner).map(|member| member.address)?;
        host.metrics.count("hop_connections_opened");
        let opened = tokio::time::timeout(CONNECT_TIMEOUT, connect(host, address)).await;
        match opened {
            Ok(Ok(stream)) => Some(Link {
                owner,
                frames: Framed::new(stream, protocol::frames()),
                last_used: Instant::now(),
            }),
            Ok(Err(error)) => {
                log::debug!("cannot connect to host {address}: {error}");
                None
            }
            Err(_) => {
                log::debug!("cannot connect to host {address} in time");
                None
            }
        }
    }

    /// Whether an unused connection is too old, closed, or has bytes that answer no request.
    fn is_stale(&self) -> bool {
        let mut byte = [0; 1];
        let is_closed = match self.frames.get_ref().try_read(&mut byte) {
            Err(error) => error.kind() != std::io::ErrorKind::WouldBlock,
            Ok(_) => true,
        };
        is_closed || self.last_used.elapsed() >= MAX_IDLE_AGE
    }

    /// Keeps the connection for other attempts. It has to carry no transaction and no request
    /// without a reply.
    pub fn release(mut self, host: &Host) {
        self.last_used = Instant::now();
        host.forward.keep_idle(self, MAX_IDLE_LINKS);
    }

    /// Sends a request and waits for its reply. After an error the connection must not be used
    /// again, and the owner may have got the request.
    pub async fn call(
        &mut self,
        host: &Host,
        request: &Request,
        bounds: Bounds<'_>,
    ) -> Result<(Reply, Bytes), Failure> {
        let result = self.send_and_receive(host, request, bounds).await;
        if result.is_err() {
            // Fails only if the socket is already closed. A reset keeps bytes that are still
            // buffered from reaching the owner later.
            drop(socket2::SockRef::from(self.frames.get_ref()).set_linger(Some(Duration::ZERO)));
        }
        result
    }

    async fn send_and_receive(
        &mut self,
        host: &Host,
        request: &Request,
        bounds: Bounds<'_>,
    ) -> Result<(Reply, Bytes), Failure> {
        let frame = protocol::encode_request(request).map_err(|error| {
            log::error!("cannot encode a request to another host: {error}");
            Failure::Lost
        })?;
        match tokio::time::timeout_at(bounds.deadline, self.frames.send(frame)).await {
            Ok(Ok(())) => {}
            Ok(Err(error)) => {
                log::debug!("cannot send to host {}: {error}", self.owner);
                return Err(Failure::Lost);
            }
            Err(_) => return Err(Failure::Late),
        }
        loop {
            let poll_deadline = bounds.deadline.min(Instant::now() + POLL_INTERVAL);
            match tokio::time::timeout_at(poll_deadline, self.frames.next()).await {
                Ok(Some(Ok(frame))) => {
                    return protocol::decode_reply(&frame.freeze()).ok_or_else(|| {
                        log::warn!("host {} sent a malformed reply", self.owner);
                        Failure::Lost
                    });
                }
                Ok(Some(Err(error))) => {
                    log::debug!("connection to host {} failed: {error}", self.owner);
                    return Err(Failure::Lost);
                }
                Ok(None) => return Err(Failure::Lost),
                Err(_) => check(host, self.owner, bounds)?,
            }
        }
    }
}

/// Checks whether an exchange with `owner` that has no reply yet may go on.
fn check(host: &Host, owner: HostId, bounds: Bounds<'_>) -> Result<(), Failure> {
    if Instant::now() >= bounds.deadline {
        return Err(Failure::Late);
    }
    if bounds.ends_with_owner && !ownership::is_alive(host, owner) {
        return Err(Failure::Lost);
    }
    if let Some((service, fence)) = bounds.fence
        && host.fence(service) != fence
        && !host.has_planned_promotion(service)
    {
        return Err(Failure::Superseded);
    }
    Ok(())
}

/// Connects from the address by which the other host knows this one as a member.
async fn connect(host: &Host, address: SocketAddr) -> std::io::Result<TcpStream> {
    let own = host.settings.listen.peers.ip();
    let socket = if own.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    socket.bind(SocketAddr::new(own, 0))?;
    let stream = socket.connect(address).await?;
    stream.set_nodelay(true)?;
    socket2::SockRef::from(&stream).set_tcp_user_timeout(Some(TCP_USER_TIMEOUT))?;
    Ok(stream)
}
