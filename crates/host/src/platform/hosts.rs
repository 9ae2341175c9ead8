//! The platform's lagging list of hosts.

use super::Client;
use crate::error::Result;
use bergamotvale_core::id::{HostId, Incarnation};
use bergamotvale_core::peer::Member;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// An entry of the list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostEntry {
    /// Name of the host.
    pub host: String,
    /// Its run.
    pub incarnation: Incarnation,
    /// Where it serves callers.
    pub address: String,
    /// Where peers reach it.
    pub peer_address: String,
    /// Its failure domain.
    pub failure_domain: String,
    /// `live` or `leaving`.
    pub state: State,
}

/// Whether a listed host goes on.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// It does.
    Live,
    /// It is about to leave.
    Leaving,
}

#[derive(Deserialize)]
struct List {
    hosts: Vec<HostEntry>,
}

impl HostEntry {
    /// The entry of `member`, which serves callers at `callers`.
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

    /// The host, if the entry is one of this system's.
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
    /// Hosts as the platform lists them, a second or more late.
    pub async fn hosts(&self) -> Result<Vec<HostEntry>> {
        let request = self.http.get(format!("{}/hosts", self.base));
        Ok(self.read(request).await?.json::<List>().await?.hosts)
    }

    /// Says that a host is there.
    pub async fn put_host(&self, listed: &HostEntry) -> Result<()> {
        let request = self.http.put(format!("{}/hosts/{}", self.base, listed.host));
        self.write(request.json(listed)).await?;
        Ok(())
    }

    /// Takes a run of a host off the list.
    pub async fn delete_host(&self, host: HostId, incarnation: Incarnation) -> Result<()> {
        let url = format!("{}/hosts/{host}?incarnation={incarnation}", self.base);
        self.write(self.http.delete(url)).await?;
        Ok(())
    }
}
