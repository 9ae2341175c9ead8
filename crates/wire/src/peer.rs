//! The RPC service that each host offers to its peers.

use crate::error::Result;
use bergamotvale_core::id::{Epoch, Incarnation, Version};
use bergamotvale_core::peer::{
    Announcement, Forward, Heartbeat, Outcome, SlotRequest, TokenRequest, Update,
};
use std::net::SocketAddr;
use std::time::Duration;
use tarpc::ClientMessage;
use tarpc::server::BaseChannel;
use tarpc::tokio_serde::formats::Bincode;
use tarpc::tokio_util::codec::length_delimited::LengthDelimitedCodec;
use tokio::net::TcpStream;

/// Size limit of one message.
pub const MAX_FRAME_BYTES: usize = 16 * 1024 * 1024;

/// Calls that a host serves for its peers.
#[tarpc::service]
pub trait Peer {
    /// Exchanges heartbeats.
    async fn heartbeat(heartbeat: Heartbeat) -> Heartbeat;
    /// Announces an epoch before it is written; returns whether this host did not know it yet.
    async fn announce(announcement: Announcement) -> bool;
    /// Receives an update; returns this host's incarnation and the epoch in force here afterwards.
    async fn push(update: Update) -> (Incarnation, Epoch);
    /// Returns the update from `epoch` and `version` to those in force here, `None` unless the
    /// latter are higher.
    async fn fetch(epoch: Epoch, version: Version) -> Option<Update>;
    /// Lends rate tokens; returns the number lent, possibly 0.
    async fn lend_tokens(request: TokenRequest) -> u32;
    /// Lends connection slots for a lease; returns the number lent, possibly 0.
    async fn lend_slots(request: SlotRequest) -> u32;
    /// Returns borrowed connection slots to this host before their lease ends.
    async fn return_slots(request: SlotRequest) -> ();
    /// Runs a step of a transaction that is open on this host.
    async fn forward(forward: Forward) -> Outcome;
}

/// Transport of length-delimited, bincode-encoded messages over a TCP connection.
pub type Transport<Item, SinkItem> =
    tarpc::serde_transport::Transport<TcpStream, Item, SinkItem, Bincode<Item, SinkItem>>;

/// Connects to the peer at `address` within `timeout`, and spawns the client's task.
pub async fn connect(address: SocketAddr, timeout: Duration) -> Result<PeerClient> {
    let stream = match tokio::time::timeout(timeout, TcpStream::connect(address)).await {
        Ok(stream) => stream?,
        Err(_) => return Err(std::io::Error::from(std::io::ErrorKind::TimedOut).into()),
    };
    let transport = transport(stream)?;
    Ok(PeerClient::new(tarpc::client::Config::default(), transport).spawn())
}

/// Server side of a connection from a peer.
pub type PeerChannel = BaseChannel<
    PeerRequest,
    PeerResponse,
    Transport<ClientMessage<PeerRequest>, tarpc::Response<PeerResponse>>,
>;

/// Accepts an established connection from a peer.
pub fn accept(stream: TcpStream) -> Result<PeerChannel> {
    Ok(BaseChannel::with_defaults(transport(stream)?))
}

fn transport<Item, SinkItem>(stream: TcpStream) -> Result<Transport<Item, SinkItem>>
where
    Item: for<'de> serde::Deserialize<'de>,
    SinkItem: serde::Serialize,
{
    stream.set_nodelay(true)?;
    let mut codec = LengthDelimitedCodec::builder();
    codec.max_frame_length(MAX_FRAME_BYTES);
    Ok(tarpc::serde_transport::new(codec.new_framed(stream), Bincode::default()))
}

/// Creates the context of a call, with a deadline `timeout` from now.
pub fn context(timeout: Duration) -> tarpc::context::Context {
    let mut context = tarpc::context::current();
    context.deadline = std::time::Instant::now() + timeout;
    context
}
