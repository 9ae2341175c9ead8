//! Calls to other hosts: one connection a peer, made when needed, with a deadline a call.
//!
//! A connection that fails is dropped and made anew by the next call. So is one on which several
//! calls in a row found no answer in time, since it may have gone silent while new ones work.

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

/// Calls without an answer after which a connection is taken for silent.
const SILENT_CALLS: u32 = 2;

/// Why a call to a peer brought nothing.
#[derive(Debug, Display, Error)]
pub enum Fault {
    /// No such peer is known.
    #[display("no such peer")]
    Unknown,
    /// No connection could be made.
    #[display("{_0}")]
    Connect(bergamotvale_wire::Error),
    /// No answer in time, or the connection broke: the call may have been carried out.
    #[display("{_0}")]
    Call(RpcError),
}

impl Fault {
    /// What the fault says about the peer.
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
    silent: u32,
}

impl Peers {
    /// No peer yet.
    pub fn new() -> Peers {
        Peers::default()
    }

    /// Notes where a peer is; a later run of it replaces an earlier one.
    pub fn update_address(&self, member: &Member) {
        let mut links = self.lock();
        let known = links.get(&member.host);
        if known.is_some_and(|link| link.incarnation >= member.incarnation) {
            return;
        }
        let (address, incarnation) = (member.peer_address, member.incarnation);
        links.insert(member.host, Link { address, incarnation, client: None, silent: 0 });
    }

    /// Forgets the peers that are not among `known`.
    pub fn retain(&self, known: impl Fn(HostId) -> bool) {
        self.lock().retain(|host, _| known(*host));
    }

    /// Loses every call to these peers, as a partition would; for tests.
    pub fn set_blocked(&self, blocked: BTreeSet<HostId>) {
        *self.blocked.lock().expect("no holder of the lock panics") = blocked;
    }

    /// Calls `host`, at most for `timeout`.
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
        self.ended(host, incarnation, answer.as_ref().err());
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
            link.silent = 0;
        }
        Ok((client, incarnation))
    }

    fn ended(&self, host: HostId, incarnation: Incarnation, error: Option<&RpcError>) {
        let mut links = self.lock();
        let Some(link) = links.get_mut(&host).filter(|link| link.incarnation == incarnation) else {
            return;
        };
        match error {
            None => link.silent = 0,
            Some(RpcError::DeadlineExceeded) => link.silent += 1,
            Some(_) => link.silent = SILENT_CALLS,
        }
        if link.silent >= SILENT_CALLS {
            link.client = None;
            link.silent = 0;
        }
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<HostId, Link>> {
        self.links.lock().expect("no holder of the lock panics")
    }
}
