//! The RPC service that each host offers to its peers.

use crate::error::Result;
use bergamotvale_core::id::Epoch;
use bergamotvale_core::peer::{
    Announcement, Forward, Heartbeat, Outcome, SlotRequest, TokenRequest, Update,
};
use std::net::SocketAddr;
use std::time::Duration;
use tarpc::tokio_serde::formats::Bincode;

/// Bytes of one message.
pub const MAX_FRAME_BYTES: usize = 16 * 1024 * 1024;

/// What a host does for its peers.
#[tarpc::service]
pub trait Peer {
    /// Exchanges heartbeats.
    async fn beat(heartbeat: Heartbeat) -> Heartbeat;
    /// Notes that an epoch is about to be written; says whether it was still unknown here.
    async fn announce(announcement: Announcement) -> bool;
    /// Takes an update; answers with the epoch in force here afterwards.
    async fn push(update: Update) -> Epoch;
    /// Gives what leads from `epoch` to the one in force here; none when there is nothing newer.
    async fn fetch(epoch: Epoch) -> Option<Update>;
    /// Lends rate tokens; answers with the number lent.
    async fn lend_tokens(request: TokenRequest) -> u32;
    /// Lends connection slots for a lease; answers with the number lent.
    async fn lend_slots(request: SlotRequest) -> u32;
    /// Takes lent connection slots back before their lease ends.
    async fn return_slots(request: SlotRequest) -> ();
    /// Runs a step of a transaction that this host owns.
    async fn forward(forward: Forward) -> Outcome;
}

/// Connects to the peer at `address`.
pub async fn connect(address: SocketAddr, timeout: Duration) -> Result<PeerClient> {
    let mut connecting = tarpc::serde_transport::tcp::connect(address, Bincode::default);
    connecting.config_mut().max_frame_length(MAX_FRAME_BYTES);
    let transport = match tokio::time::timeout(timeout, connecting).await {
        Ok(transport) => transport?,
        Err(_) => return Err(std::io::Error::from(std::io::ErrorKind::TimedOut).into()),
    };
    Ok(PeerClient::new(tarpc::client::Config::default(), transport).spawn())
}

/// A call's context that ends after `timeout`.
pub fn context(timeout: Duration) -> tarpc::context::Context {
    let mut context = tarpc::context::current();
    context.deadline = std::time::Instant::now() + timeout;
    context
}
