//! The platform's list of hosts, which lags behind changes.

use super::Client;
use crate::error::Result;
use bergamotvale_core::id::{HostId, Incarnation};
use bergamotvale_core::peer::Member;
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;
use std::net::SocketAddr;

/// An entry of the platform's list of hosts.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostEntry {
    /// Id of the host, as text.
    pub host: String,
    /// Incarnation of the host's process.
    pub incarnation: Incarnation,
    /// Address of its callers' listener.
    pub address: String,
    /// Address of its peers' listener.
    pub peer_address: String,
    /// Failure domain of the host, as text.
    pub failure_domain: String,
    /// Whether the host stays or leaves.
    pub state: State,
}

/// State of a listed host.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// The host serves.
    Live,
    /// The host is about to leave the fleet.
    Leaving,
}

#[derive(Deserialize)]
struct List {
    /// Entries, each decoded by itself: another writer may leave one of any form.
    hosts: Vec<Box<RawValue>>,
}

/// Decodes a list of hosts without the entries that cannot be read.
///
/// # Errors
///
/// If `body` is not a list of hosts.
pub fn decode_list(body: &[u8]) -> Result<Vec<HostEntry>> {
    let list: List = serde_json::from_slice(body)?;
    let decoded = list.hosts.iter().filter_map(|entry| match serde_json::from_str(entry.get()) {
        Ok(entry) => Some(entry),
        Err(error) => {
            log::debug!("skipping an unreadable entry in the list of hosts: {error}");
            None
        }
    });
    Ok(decoded.collect())
}

impl HostEntry {
    /// The entry of `member`, whose callers' listener is at `callers`.
    pub fn new(member: &Member, callers: SocketAddr) -> HostEntry {
        HostEntry {
            host: member.host.to_string(),
            incarnation: member.incarnation,
            address: callers.to_string(),
            peer_address: member.peer_address.to_string(),
            failure_domain: member.failure_domain.to_string(),
            state: if member.leaving { State::Leaving } else { State::Live },
        }
    }

    /// The entry as a member of the fleet; `None` if a field does not parse, as in an entry of
    /// another system.
    pub fn member(&self) -> Option<Member> {
        Some(Member {
            host: self.host.parse().ok()?,
            incarnation: self.incarnation,
            peer_address: self.peer_address.parse().ok()?,
            failure_domain: self.failure_domain.parse().ok()?,
            leaving: self.state == State::Leaving,
        })
    }
}

impl Client {
    /// Reads the list of hosts; it lags by a second or more.
    pub async fn hosts(&self) -> Result<Vec<HostEntry>> {
        let request = self.http.get(format!("{}/hosts", self.base));
        decode_list(&self.read(request).await?.bytes().await?)
    }

    /// Adds or replaces the entry of a host.
    pub async fn put_host(&self, entry: &HostEntry) -> Result<()> {
        let request = self.http.put(format!("{}/hosts/{}", self.base, entry.host));
        self.write(request.json(entry)).await?;
        Ok(())
    }

    /// Removes the entry of a host, if it is of this incarnation.
    pub async fn delete_host(&self, host: HostId, incarnation: Incarnation) -> Result<()> {
        let url = format!("{}/hosts/{host}?incarnation={incarnation}", self.base);
        self.write(self.http.delete(url)).await?;
        Ok(())
    }
}
