//! RPC service that this host offers to its peers.

use crate::exec::forward;
use crate::shared::Host;
use bergamotvale_core::id::{Epoch, Incarnation, Version};
use bergamotvale_core::peer::{
    Announcement, Forward, Heartbeat, Outcome, SlotRequest, TokenRequest, Update,
};
use bergamotvale_wire::peer::{self, Peer};
use futures::StreamExt;
use std::sync::Arc;
use tarpc::context::Context;
use tarpc::server::Channel;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinSet;

/// Service of one connection.
#[derive(Clone)]
struct Server {
    host: Arc<Host>,
}

/// Serves peers on `listener` until the task is dropped.
pub async fn run(host: Arc<Host>, listener: TcpListener) {
    let mut connections = JoinSet::new();
    loop {
        match listener.accept().await {
            Ok((stream, _)) => drop(connections.spawn(serve(host.clone(), stream))),
            Err(error) => log::warn!("cannot accept a peer's connection: {error}"),
        }
        while connections.try_join_next().is_some() {}
    }
}

async fn serve(host: Arc<Host>, stream: TcpStream) {
    let channel = match peer::accept(stream) {
        Ok(channel) => channel,
        Err(error) => return log::debug!("cannot set up a peer's connection: {error}"),
    };
    let mut responses = std::pin::pin!(channel.execute(Server { host }.serve()));
    let mut running = JoinSet::new();
    while let Some(response) = responses.next().await {
        running.spawn(response);
        while running.try_join_next().is_some() {}
    }
}

impl Peer for Server {
    async fn heartbeat(self, _: Context, heartbeat: Heartbeat) -> Heartbeat {
        self.host.record_heartbeat(&heartbeat);
        self.host.heartbeat()
    }

    async fn announce(self, _: Context, announcement: Announcement) -> bool {
        self.host.fleet.record_announcement(self.host.clock.now(), announcement.epoch)
    }

    async fn push(self, _: Context, update: Update) -> (Incarnation, Epoch) {
        self.host.adopt(update);
        (self.host.incarnation, self.host.fleet.epoch())
    }

    async fn fetch(self, _: Context, epoch: Epoch, version: Version) -> Option<Update> {
        self.host.fleet.update(epoch, version)
    }

    async fn lend_tokens(self, _: Context, request: TokenRequest) -> u32 {
        if !self.host.has_authority() || self.host.is_stopping() {
            return 0;
        }
        self.host.limiter.lend(&request)
    }

    async fn lend_slots(self, _: Context, request: SlotRequest) -> u32 {
        if !self.host.has_authority() {
            return 0;
        }
        self.host.pools.lend(&self.host, &request)
    }

    async fn return_slots(self, _: Context, request: SlotRequest) {
        self.host.pools.record_return(&self.host, &request);
    }

    async fn forward(self, _: Context, forward: Forward) -> Outcome {
        forward::serve(&self.host, forward).await
    }
}
