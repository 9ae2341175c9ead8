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

/// Bytes of one message.
pub const MAX_FRAME_BYTES: usize = 16 * 1024 * 1024;

/// What a host does for its peers.
#[tarpc::service]
pub trait Peer {
    /// Exchanges heartbeats.
    async fn heartbeat(heartbeat: Heartbeat) -> Heartbeat;
    /// Notes that an epoch is about to be written; says whether it was still unknown here.
    async fn announce(announcement: Announcement) -> bool;
    /// Takes an update; answers with this run of the host and the epoch in force here afterwards.
    async fn push(update: Update) -> (Incarnation, Epoch);
    /// Gives what leads from `epoch` and `version` to those in force here, if they are higher.
    async fn fetch(epoch: Epoch, version: Version) -> Option<Update>;
    /// Lends rate tokens; answers with the number lent.
    async fn lend_tokens(request: TokenRequest) -> u32;
    /// Lends connection slots for a lease; answers with the number lent.
    async fn lend_slots(request: SlotRequest) -> u32;
    /// Takes lent connection slots back before their lease ends.
    async fn return_slots(request: SlotRequest) -> ();
    /// Runs a step of a transaction that this host owns.
    async fn forward(forward: Forward) -> Outcome;
}

/// Transport of messages over a connection.
pub type Transport<Item, SinkItem> =
    tarpc::serde_transport::Transport<TcpStream, Item, SinkItem, Bincode<Item, SinkItem>>;

/// Connects to the peer at `address`.
pub async fn connect(address: SocketAddr, timeout: Duration) -> Result<PeerClient> {
    let stream = match tokio::time::timeout(timeout, TcpStream::connect(address)).await {
        Ok(stream) => stream?,
        Err(_) => return Err(std::io::Error::from(std::io::ErrorKind::TimedOut).into()),
    };
    let transport = transport(stream)?;
    Ok(PeerClient::new(tarpc::client::Config::default(), transport).spawn())
}

/// The server's end of a connection.
pub type PeerChannel = BaseChannel<
    PeerRequest,
    PeerResponse,
    Transport<ClientMessage<PeerRequest>, tarpc::Response<PeerResponse>>,
>;

/// Takes a connection that a peer has made.
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

/// A call's context that ends after `timeout`.
pub fn context(timeout: Duration) -> tarpc::context::Context {
    let mut context = tarpc::context::current();
    context.deadline = std::time::Instant::now() + timeout;
    context
}
