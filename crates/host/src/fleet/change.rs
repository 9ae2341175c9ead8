//! Changes of the fleet row: drives the core's [`Writer`] with calls to peers and the platform.

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

/// Largest number of attempts at a change while other changes are accepted first.
const MAX_ATTEMPTS: usize = 16;
/// Delay between rounds of announcements, and after failed reads or writes.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// A row to write, with the changes to its document.
pub struct Proposal {
    /// Changed successor of the base row.
    pub row: Row,
    /// Changes from the document of the base row to that of `row`.
    pub body: Body,
}

/// An accepted change.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Accepted {
    /// Epoch of the accepted row.
    pub epoch: Epoch,
    /// Configuration version of the accepted row.
    pub version: Version,
}

/// Why a change was not accepted.
#[derive(Debug, Display, Error, From)]
pub enum Fault {
    /// The resulting configuration is invalid.
    #[from]
    Config(config::Fault),
    /// Other changes were accepted first in each attempt.
    #[display("other changes were accepted first")]
    Overtaken,
    /// The platform or the peers could not be reached; nothing was written.
    #[display("not written: platform or peers cannot be reached")]
    NotWritten,
    /// The platform did not report whether the change was accepted.
    #[display("outcome unknown: the platform did not say whether the change was accepted")]
    Unknown,
}

/// Writes the change that `compose` makes to the successor of the base row.
///
/// `compose` is called again if another change was accepted first. If it returns `None`, nothing is
/// written, and the result names the base row. Changes of one host are made one at a time.
pub async fn apply(
    host: &Arc<Host>,
    mut compose: impl FnMut(Row) -> Result<Option<Proposal>, config::Fault>,
) -> Result<Accepted, Fault> {
    let mut attempts = host.fleet.attempts.lock().await;
    let deadline = host.clock.now() + store::CHANGE_TIMEOUT;
    for _ in 0..MAX_ATTEMPTS {
        let Ok((table_version, base)) = read_base(host, deadline).await else {
            return Err(Fault::NotWritten);
        };
        *attempts += 1;
        let own = host.fleet.own_member();
        let author = Author { host: own.host, incarnation: own.incarnation, attempt: *attempts };
        let next = base.successor(author);
        let Some(proposal) = compose(next)? else {
            return Ok(Accepted { epoch: base.epoch, version: base.version });
        };
        let voters = member::voters(&base.members).into_keys().collect();
        let writer = Writer::new(proposal.row.clone(), author, voters, deadline);
        match execute(host, writer, table_version).await {
            Outcome::Accepted => return Ok(accept(host, proposal)),
            Outcome::Overtaken => {}
            Outcome::NotWritten => return Err(Fault::NotWritten),
            Outcome::Unknown => return Err(Fault::Unknown),
        }
    }
    Err(Fault::Overtaken)
}

/// Publishes the edits that `edits` returns for the present document; none means no change.
///
/// `edits` is called again if the configuration changed before the write.
pub async fn publish(
    host: &Arc<Host>,
    mut edits: impl FnMut(&Document) -> Result<Vec<Edit>, config::Fault>,
) -> Result<Accepted, Fault> {
    loop {
        let document = host.document();
        let new_edits = edits(&document)?;
        if new_edits.is_empty() && document.version == host.fleet.row().version {
            let row = host.fleet.row();
            return Ok(Accepted { epoch: row.epoch, version: row.version });
        }
        let change = config::Change { version: document.version + 1, edits: new_edits };
        let next = document.with_change(&change)?;
        let digest = store_document(host, &next).await?;
        let body = Body::Change(change);
        let accepted = apply(host, |row| {
            let is_unchanged = row.version == document.version;
            let row = row.with_config(next.version, digest.clone());
            Ok(is_unchanged.then(|| Proposal { row, body: body.clone() }))
        })
        .await?;
        // Any other version or digest means that the document changed before the write: try again.
        if accepted.version == next.version && host.fleet.row().digest == digest {
            return Ok(accepted);
        }
    }
}

/// Publishes the first configuration document; [`Fault::Overtaken`] if there is another already.
pub async fn bootstrap(host: &Arc<Host>, document: Document) -> Result<Accepted, Fault> {
    config::verify(&document)?;
    let digest = store_document(host, &document).await?;
    let version = document.version;
    let accepted = apply(host, |row| {
        let is_first = row.version == 0;
        let row = row.with_config(version, digest.clone());
        Ok(is_first.then(|| Proposal { row, body: Body::Whole(document.clone()) }))
    })
    .await?;
    match host.fleet.row().digest == digest {
        true => Ok(accepted),
        false => Err(Fault::Overtaken),
    }
}

/// Stores a document under its digest, with retries; idempotent.
async fn store_document(host: &Host, document: &Document) -> Result<String, Fault> {
    let body = serde_json::to_vec(document).expect("a document is JSON");
    let deadline = host.clock.now() + store::CHANGE_TIMEOUT;
    loop {
        match host.platform.put_object(body.clone()).await {
            Ok(digest) => return Ok(digest),
            Err(error) if host.clock.now() >= deadline => {
                log::warn!("cannot store the configuration document; giving up: {error}");
                return Err(Fault::NotWritten);
            }
            Err(_) => tokio::time::sleep(RETRY_DELAY).await,
        }
    }
}

/// Reads the row to base a change on, which must not be older than the one that this host acts on.
async fn read_base(
    host: &Arc<Host>,
    deadline: bergamotvale_core::id::Time,
) -> HostResult<(u64, Row)> {
    loop {
        match follow::read_row(host).await {
            Ok((version, row)) if row.epoch >= host.fleet.epoch() => return Ok((version, row)),
            Err(error) if host.clock.now() >= deadline => return Err(error),
            _ => tokio::time::sleep(RETRY_DELAY).await,
        }
    }
}

/// Adopts an accepted proposal on this host, which also pushes it to peers.
fn accept(host: &Arc<Host>, proposal: Proposal) -> Accepted {
    let Proposal { row, body } = proposal;
    let accepted = Accepted { epoch: row.epoch, version: row.version };
    host.adopt(Update { origin: host.settings.host, row, body });
    accepted
}

/// Executes the writer's actions until the attempt ends.
async fn execute(host: &Arc<Host>, mut writer: Writer, table_version: u64) -> Outcome {
    let mut action = writer.start();
    loop {
        action = match action {
            Action::Finish(outcome) => return outcome,
            Action::Announce(voters) => announce(host, &mut writer, voters).await,
            Action::Write => {
                let reply = write(host, writer.row(), table_version).await;
                if reply == Reply::Refused {
                    tokio::time::sleep(RETRY_DELAY).await;
                }
                writer.record_write(host.clock.now(), reply)
            }
            Action::ReadBack => {
                let row = read_back(host).await;
                if row.is_none() {
                    tokio::time::sleep(RETRY_DELAY).await;
                }
                writer.record_read(host.clock.now(), row.as_ref())
            }
        };
    }
}

/// One round of announcements: ends once a quorum of voters has recorded the epoch, or all have
/// answered or timed out.
async fn announce(host: &Arc<Host>, writer: &mut Writer, voters: BTreeSet<HostId>) -> Action {
    let own = host.settings.host;
    let epoch = writer.row().epoch;
    let announcement = Announcement { host: own, epoch };
    let mut calls = JoinSet::new();
    for voter in voters {
        if voter != own {
            calls.spawn(announce_to(host.clone(), voter, announcement));
        } else if host.fleet.record_announcement(host.clock.now(), epoch) {
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
                tokio::time::sleep(RETRY_DELAY).await;
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
            log::info!("no answer to a write of the fleet row; its outcome is unknown: {error}");
            Reply::Lost
        }
        Err(_) => Reply::Refused,
    }
}

async fn read_back(host: &Host) -> Option<Row> {
    let row = host.platform.row(CONFIG_ROW).await.ok()??;
    serde_json::from_value(row.value).ok()
}
