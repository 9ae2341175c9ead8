//! Writes the fleet row: drives the core's [`Writer`] over peers and platform.

use super::follow;
use crate::error::Result as HostResult;
use crate::platform::{self, CONFIG_ROW, Check, Put, Response, Transaction};
use crate::shared::Host;
use bergamotvale_core::change::{Action, Outcome, Reply, Writer};
use bergamotvale_core::config::{self, Document, Edit};
use bergamotvale_core::distribute::{Author, Row};
use bergamotvale_core::id::{Epoch, HostId, Version};
use bergamotvale_core::peer::{Announcement, Body, Update};
use bergamotvale_core::{member, store};
use derive_more::{Display, Error, From};
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;
use tokio::task::JoinSet;

/// Times that a change is made anew after another was accepted first.
const ATTEMPTS: usize = 16;
/// Time between two rounds of announcements, reads or writes of one attempt.
const ROUND: Duration = Duration::from_millis(100);

/// A row to write, and what leads to its document.
pub struct Proposal {
    /// The successor of the base row.
    pub row: Row,
    /// What changes the document.
    pub body: Body,
}

/// An accepted change.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Accepted {
    /// Its epoch.
    pub epoch: Epoch,
    /// Configuration version after it.
    pub version: Version,
}

/// Why a change was not accepted.
#[derive(Debug, Display, Error, From)]
pub enum Fault {
    /// It cannot hold.
    #[from]
    Config(config::Fault),
    /// Others were accepted first, again and again.
    #[display("other changes were accepted first")]
    Overtaken,
    /// The platform or the peers could not be reached; nothing was written.
    #[display("not written: platform or peers cannot be reached")]
    NotWritten,
    /// The platform did not say whether it was accepted.
    #[display("outcome unknown: the platform did not say whether the change was accepted")]
    Unknown,
}

/// Makes the change that `compose` makes of the base row; none when there is nothing to change.
///
/// `compose` is asked again when another change was accepted first.
pub async fn apply(
    host: &Arc<Host>,
    mut compose: impl FnMut(Row) -> Result<Option<Proposal>, config::Fault>,
) -> Result<Accepted, Fault> {
    let mut turn = host.fleet.turn.lock().await;
    let deadline = host.clock.now() + store::CHANGE_TIMEOUT;
    for _ in 0..ATTEMPTS {
        let Ok((table_version, base)) = read_base(host, deadline).await else {
            return Err(Fault::NotWritten);
        };
        *turn += 1;
        let own = host.fleet.own_member();
        let author = Author { host: own.host, incarnation: own.incarnation, attempt: *turn };
        let next = base.successor(author);
        let Some(proposal) = compose(next)? else {
            return Ok(Accepted { epoch: base.epoch, version: base.version });
        };
        let voters = member::voters(&base.members).into_keys().collect();
        let writer = Writer::new(proposal.row.clone(), author, voters, deadline);
        match attempt(host, writer, table_version).await {
            Outcome::Accepted => return Ok(accept(host, proposal)),
            Outcome::Overtaken => {}
            Outcome::NotWritten => return Err(Fault::NotWritten),
            Outcome::Unknown => return Err(Fault::Unknown),
        }
    }
    Err(Fault::Overtaken)
}

/// Publishes the change that `edits` makes of the document; none when there is nothing to change.
pub async fn publish(
    host: &Arc<Host>,
    mut edits: impl FnMut(&Document) -> Result<Vec<Edit>, config::Fault>,
) -> Result<Accepted, Fault> {
    loop {
        let document = host.document();
        let wanted = edits(&document)?;
        if wanted.is_empty() && document.version == host.fleet.row().version {
            let row = host.fleet.row();
            return Ok(Accepted { epoch: row.epoch, version: row.version });
        }
        let change = config::Change { version: document.version + 1, edits: wanted };
        let next = document.with_change(&change)?;
        let digest = store_document(host, &next).await?;
        let body = Body::Change(change);
        let accepted = apply(host, |row| {
            let same = row.version == document.version;
            let row = row.with_config(next.version, digest.clone());
            Ok(same.then(|| Proposal { row, body: body.clone() }))
        })
        .await?;
        // A lower or other version means that the document moved on before the write.
        if accepted.version == next.version && host.fleet.row().digest == digest {
            return Ok(accepted);
        }
    }
}

/// Publishes a whole document, while there is none.
pub async fn bootstrap(host: &Arc<Host>, document: Document) -> Result<Accepted, Fault> {
    config::verify(&document)?;
    let digest = store_document(host, &document).await?;
    let version = document.version;
    let accepted = apply(host, |row| {
        let none = row.version == 0;
        let row = row.with_config(version, digest.clone());
        Ok(none.then(|| Proposal { row, body: Body::Whole(document.clone()) }))
    })
    .await?;
    match host.fleet.row().digest == digest {
        true => Ok(accepted),
        false => Err(Fault::Overtaken),
    }
}

/// Stores a document under its digest; idempotent.
async fn store_document(host: &Host, document: &Document) -> Result<String, Fault> {
    let body = serde_json::to_vec(document).expect("a document is JSON");
    let deadline = host.clock.now() + store::CHANGE_TIMEOUT;
    loop {
        match host.platform.put_object(body.clone()).await {
            Ok(digest) => return Ok(digest),
            Err(error) if host.clock.now() >= deadline => {
                log::warn!("cannot store the configuration: {error}");
                return Err(Fault::NotWritten);
            }
            Err(_) => tokio::time::sleep(ROUND).await,
        }
    }
}

async fn read_base(
    host: &Arc<Host>,
    deadline: bergamotvale_core::id::Time,
) -> HostResult<(u64, Row)> {
    loop {
        match follow::read_row(host).await {
            Ok((version, row)) if row.epoch >= host.fleet.epoch() => return Ok((version, row)),
            Err(error) if host.clock.now() >= deadline => return Err(error),
            _ => tokio::time::sleep(ROUND).await,
        }
    }
}

/// Takes an accepted proposal into force here and spreads it.
fn accept(host: &Arc<Host>, proposal: Proposal) -> Accepted {
    let Proposal { row, body } = proposal;
    let accepted = Accepted { epoch: row.epoch, version: row.version };
    host.adopt(Update { origin: host.settings.host, row, body });
    accepted
}

async fn attempt(host: &Arc<Host>, mut writer: Writer, table_version: u64) -> Outcome {
    let mut action = writer.start();
    loop {
        action = match action {
            Action::Finish(outcome) => return outcome,
            Action::Announce(voters) => announce(host, &mut writer, voters).await,
            Action::Write => {
                let reply = write(host, writer.row(), table_version).await;
                if reply == Reply::Refused {
                    tokio::time::sleep(ROUND).await;
                }
                writer.record_write(host.clock.now(), reply)
            }
            Action::ReadBack => {
                let row = read_back(host).await;
                if row.is_none() {
                    tokio::time::sleep(ROUND).await;
                }
                writer.record_read(host.clock.now(), row.as_ref())
            }
        };
    }
}

/// One round: ends when enough voters noted the epoch, or all have answered or timed out.
async fn announce(host: &Arc<Host>, writer: &mut Writer, voters: BTreeSet<HostId>) -> Action {
    let own = host.settings.host;
    let epoch = writer.row().epoch;
    let announcement = Announcement { host: own, epoch };
    let mut calls = JoinSet::new();
    for voter in voters {
        if voter != own {
            calls.spawn(announce_to(host.clone(), voter, announcement));
        } else if host.fleet.announce(host.clock.now(), epoch) {
            writer.record_acknowledgement(own);
        } else {
            return Action::Finish(Outcome::Overtaken);
        }
    }
    while !writer.has_quorum() {
        match calls.join_next().await {
            Some(Ok((voter, Some(true)))) => writer.record_acknowledgement(voter),
            Some(Ok((_, Some(false)))) => {
                if let Some(action) = writer.observe_epoch(epoch) {
                    return action;
                }
            }
            Some(_) => {}
            None => {
                tokio::time::sleep(ROUND).await;
                break;
            }
        }
    }
    calls.detach_all();
    writer.finish_announcements(host.clock.now())
}

async fn announce_to(
    host: Arc<Host>,
    voter: HostId,
    announcement: Announcement,
) -> (HostId, Option<bool>) {
    let timeout = host.settings.timeouts.peer;
    let call = |client: bergamotvale_wire::peer::PeerClient, context| async move {
        client.announce(context, announcement).await
    };
    (voter, host.peers.call(voter, timeout, call).await.ok())
}

async fn write(host: &Host, row: &Row, table_version: u64) -> Reply {
    let value = serde_json::to_value(row).expect("plain data is JSON");
    let transaction = Transaction {
        checks: vec![Check { key: CONFIG_ROW.into(), version: table_version }],
        puts: vec![Put { key: CONFIG_ROW.into(), value }],
        deletes: Vec::new(),
    };
    match host.platform.transact(&transaction).await {
        Ok(Response::Committed(_)) => Reply::Accepted,
        Ok(Response::Conflict(rows)) => {
            let row = rows.into_iter().next().map(|row| row.value);
            let row = row.and_then(|value| serde_json::from_value(value).ok());
            Reply::Conflict(row.map(Box::new))
        }
        Err(error) if platform::has_unknown_outcome(&error) => {
            host.metric.count("platform.lost_writes");
            log::info!("the platform did not answer a write: {error}");
            Reply::Lost
        }
        Err(_) => Reply::Refused,
    }
}

async fn read_back(host: &Host) -> Option<Row> {
    let row = host.platform.row(CONFIG_ROW).await.ok()??;
    serde_json::from_value(row.value).ok()
}
