//! RPC to other hosts: one connection per peer, opened on demand, and a deadline per call.
//!
//! A connection that fails is dropped, and the next call opens another. So is a connection on which
//! several calls in a row timed out, since it may be dead while new connections work.

pub mod server;

use bergamotvale_core::id::{HostId, Incarnation};
use bergamotvale_core::member::Failure;
use bergamotvale_core::peer::Member;
use bergamotvale_wire::peer::{self, PeerClient};
use derive_more::{Display, Error};
use std::collections::{BTreeMap, BTreeSet};
use std::future::Future;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard};
use std::time::Duration;
use tarpc::client::RpcError;
use tarpc::context::Context;

/// Number of calls in a row that time out before their connection is dropped.
const MAX_TIMED_OUT_CALLS: u32 = 2;

/// Reason why a call to a peer failed.
#[derive(Debug, Display, Error)]
pub enum Fault {
    /// The peer's address is not known.
    #[display("no such peer")]
    Unknown,
    /// No connection could be opened; the call was not sent.
    #[display("{_0}")]
    Connect(bergamotvale_wire::Error),
    /// The call timed out or the connection failed; the peer may have executed the call.
    #[display("{_0}")]
    Call(RpcError),
}

impl Fault {
    /// Classifies the fault as the outcome of a failed probe of the peer.
    pub fn failure(&self) -> Failure {
        match self {
            Fault::Connect(bergamotvale_wire::Error::Io(error))
                if error.kind() == ErrorKind::ConnectionRefused =>
            {
                Failure::Refused
            }
            _ => Failure::Timeout,
        }
    }
}

/// Connections to the peers.
#[derive(Default)]
pub struct Peers {
    links: Mutex<BTreeMap<HostId, Link>>,
    blocked: Mutex<BTreeSet<HostId>>,
}

struct Link {
    address: SocketAddr,
    incarnation: Incarnation,
    client: Option<PeerClient>,
    timed_out_calls: u32,
}

impl Peers {
    /// Creates a set without known peers.
    pub fn new() -> Peers {
        Peers::default()
    }

    /// Records the address of a peer; a later incarnation replaces an earlier one.
    pub fn update_address(&self, member: &Member) {
        let mut links = self.lock();
        let known = links.get(&member.host);
        if known.is_some_and(|link| link.incarnation >= member.incarnation) {
            return;
        }
        let (address, incarnation) = (member.peer_address, member.incarnation);
        links.insert(member.host, Link { address, incarnation, client: None, timed_out_calls: 0 });
    }

    /// Removes the peers for which `known` is false, with their connections.
    pub fn retain(&self, known: impl Fn(HostId) -> bool) {
        self.lock().retain(|host, _| known(*host));
    }

    /// Lets every call to these peers time out, as in a partition; for tests.
    pub fn set_blocked(&self, blocked: BTreeSet<HostId>) {
        *self.blocked.lock().expect("no holder of the lock panics") = blocked;
    }

    /// Calls `host`; opening the connection and the call itself may each take `timeout`.
    pub async fn call<T, F, Fut>(
        &self,
        host: HostId,
        timeout: Duration,
        call: F,
    ) -> Result<T, Fault>
    where
        F: FnOnce(PeerClient, Context) -> Fut,
        Fut: Future<Output = std::result::Result<T, RpcError>>,
    {
        if self.blocked.lock().expect("no holder of the lock panics").contains(&host) {
            tokio::time::sleep(timeout).await;
            return Err(Fault::Call(RpcError::DeadlineExceeded));
        }
        let (client, incarnation) = self.client(host, timeout).await?;
        let answer = call(client, peer::context(timeout)).await;
        self.record_result(host, incarnation, answer.as_ref().err());
        answer.map_err(Fault::Call)
    }

    async fn client(
        &self,
        host: HostId,
        timeout: Duration,
    ) -> Result<(PeerClient, Incarnation), Fault> {
        let (address, incarnation) = {
            let links = self.lock();
            let link = links.get(&host).ok_or(Fault::Unknown)?;
            if let Some(client) = &link.client {
                return Ok((client.clone(), link.incarnation));
            }
            (link.address, link.incarnation)
        };
        let client = peer::connect(address, timeout).await.map_err(Fault::Connect)?;
        let mut links = self.lock();
        if let Some(link) = links.get_mut(&host).filter(|link| link.incarnation == incarnation) {
            link.client.get_or_insert(client.clone());
            link.timed_out_calls = 0;
        }
        Ok((client, incarnation))
    }

    fn record_result(&self, host: HostId, incarnation: Incarnation, error: Option<&RpcError>) {
        let mut links = self.lock();
        let Some(link) = links.get_mut(&host).filter(|link| link.incarnation == incarnation) else {
            return;
        };
        match error {
            None => link.timed_out_calls = 0,
            Some(RpcError::DeadlineExceeded) => link.timed_out_calls += 1,
            Some(_) => link.timed_out_calls = MAX_TIMED_OUT_CALLS,
        }
        if link.timed_out_calls >= MAX_TIMED_OUT_CALLS {
            link.client = None;
            link.timed_out_calls = 0;
        }
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<HostId, Link>> {
        self.links.lock().expect("no holder of the lock panics")
    }
}
