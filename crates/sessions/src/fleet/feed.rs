//! Feed of one table of the platform.
//!
//! A feed reads the whole table once and then polls for changes. Failed calls are retried with
//! backoff, and a poll is abandoned once a peer has seen a change that it should have returned. Both
//! lead to a read of the whole table, and so does a restore of the store, which any call or a peer
//! may notice first.

use crate::boot_clock;
use crate::event::{Event, millis};
use crate::fleet::follow::has_lowest_live_id;
use crate::fleet::peer::{Source, is_small_fleet};
use crate::state::Host;
use bergamotvale_core::id::Time;
use bergamotvale_core::proxy::cursor::{Cursor, Step};
use bergamotvale_core::proxy::revision::Revision;
use bergamotvale_core::proxy::table::Row;
use bergamotvale_platform::store::{Rows, Store};
use bergamotvale_platform::{Error, Result};
use bytes::Bytes;
use std::time::Duration;

/// Time in which a feed has to return a change that a peer has seen.
const BEHIND_PEERS_TIMEOUT: Duration = Duration::from_millis(500);
/// Time between checks whether a feed is behind its peers.
const BEHIND_PEERS_POLL_INTERVAL: Duration = Duration::from_millis(250);
/// Default delay before the poll that follows a change, in a fleet that is not small: it batches
/// changes that come close together into one call.
const BATCH_DELAY: Duration = Duration::from_millis(300);
/// Time beyond its wait for changes in which a call has to be answered.
pub const CALL_TIMEOUT: Duration = Duration::from_millis(700);
/// Delay before the first retry of a failed call.
pub const RETRY_DELAY: Duration = Duration::from_millis(100);
/// Upper bound of the retry delay, which doubles with each failed call. The host that renews the
/// lease for others keeps [`RETRY_DELAY`].
const MAX_RETRY_DELAY: Duration = Duration::from_millis(800);

/// Feed of one table.
pub struct Feed {
    store: Store,
    table: &'static str,
    /// Table whose changes peers announce; `None` for the table of records and members, which hosts
    /// copy to each other.
    source: Option<Source>,
    /// Longest time that a poll waits for changes.
    pub max_wait: Duration,
    /// Delay before the poll that follows a change, in a fleet that is not small.
    pub batch_delay: Duration,
    cursor: Cursor,
    unreachable_since: Option<Time>,
    /// When the store last answered; the creation of the feed before the first answer.
    pub last_answer: Time,
    /// Whether the last answer had changes.
    had_changes: bool,
    /// Delay after the next failed call.
    retry_delay: Duration,
}

/// Result of one call of [`Feed::next`].
pub struct Update {
    /// Changed rows, or all rows of the table; may be empty.
    pub rows: Vec<Row<Bytes>>,
    /// Revision of the store at the time of the answer.
    pub revision: Revision,
    /// Whether `rows` is the whole table.
    pub is_full_table: bool,
    /// When the request was sent: a lower bound of the time of the answer's content.
    pub sent: Time,
    /// The platform's clock at the time of the answer.
    pub platform_now: Duration,
}

impl Feed {
    /// Returns a feed that has read nothing yet.
    pub fn new(
        host: &Host,
        table: &'static str,
        source: Option<Source>,
        max_wait: Duration,
    ) -> Feed {
        let store = Store::new(host.settings.store);
        let last_answer = boot_clock::now();
        let (cursor, unreachable_since) = (Cursor::default(), None);
        let (had_changes, retry_delay) = (false, RETRY_DELAY);
        Feed {
            store,
            table,
            source,
            max_wait,
            batch_delay: BATCH_DELAY,
            cursor,
            unreachable_since,
            last_answer,
            had_changes,
            retry_delay,
        }
    }

    /// Waits for the next changes. Retries until the store answers.
    pub async fn next(&mut self, host: &Host) -> Update {
        if self.had_changes && !is_small_fleet(host) {
            tokio::time::sleep(self.batch_delay).await;
        }
        self.had_changes = false;
        loop {
            let sent = boot_clock::now();
            let step = self.cursor.next_step();
            let answer = tokio::select! {
                answer = fetch(&mut self.store, self.table, step, self.max_wait, host) => answer,
                () = wait_until_behind(host, self.source, &self.cursor) => {
                    self.record_abandoned(host, step, sent);
                    self.cursor.record_unanswered();
                    continue;
                }
            };
            match answer {
                Ok(rows) => {
                    self.record_answer(host);
                    if !self.accept_era(host, step, rows.revision) {
                        continue;
                    }
                    self.cursor.record_answer(rows.revision);
                    let is_full_table = step == Step::ReadTable;
                    if let Some(source) = self.source {
                        let newest = rows.rows.iter().map(|row| row.revision).max();
                        host.peers.record_change(source, newest.unwrap_or_default());
                    }
                    self.had_changes = !is_full_table && !rows.rows.is_empty();
                    let Rows { rows, revision, now: platform_now } = rows;
                    return Update { rows, revision, is_full_table, sent, platform_now };
                }
                Err(Error::HistoryGone) => {
                    host.metrics.count("feed_history_gone");
                    self.cursor.record_unanswered();
                }
                Err(error) => {
                    self.record_failure(host, &error);
                    self.cursor.record_unanswered();
                    tokio::time::sleep(self.retry_delay).await;
                    self.retry_delay = self.next_retry_delay(host);
                }
            }
        }
    }

    /// Whether an answer can be used: it is of the newest known era of the store and continues the
    /// history that was asked for. Otherwise the table has to be read.
    fn accept_era(&mut self, host: &Host, step: Step, answer: Revision) -> bool {
        host.record_era(answer.era);
        let is_stale = host.store_era.get().is_some_and(|newest| answer.era < newest);
        let is_other_history = matches!(step, Step::Poll(after) if after.era != answer.era);
        if is_stale || is_other_history {
            host.metrics.count("feed_other_era");
            self.cursor.record_unanswered();
        }
        !is_stale && !is_other_history
    }

    fn next_retry_delay(&self, host: &Host) -> Duration {
        let renews_for_others = self.source.is_none() && has_lowest_live_id(host);
        if renews_for_others { RETRY_DELAY } else { (self.retry_delay * 2).min(MAX_RETRY_DELAY) }
    }

    fn record_answer(&mut self, host: &Host) {
        let now = boot_clock::now();
        if let Some(since) = self.unreachable_since.take() {
            let after_ms = millis(now.saturating_sub(since));
            host.journal.write(&Event::DependencyRegained { dependency: self.table, after_ms });
        }
        self.last_answer = now;
        self.retry_delay = RETRY_DELAY;
    }

    fn record_abandoned(&self, host: &Host, step: Step, sent: Time) {
        host.metrics.count("feed_behind_peers");
        let (Some(source), Step::Poll(revision)) = (self.source, step) else { return };
        host.journal.write(&Event::FeedAbandoned {
            table: self.table,
            revision,
            peer_revision: host.peers.newest_change(source),
            received_bytes: self.store.received_bytes(),
            elapsed_ms: millis(boot_clock::now().saturating_sub(sent)),
        });
    }

    fn record_failure(&mut self, host: &Host, error: &Error) {
        host.metrics.count("feed_failures");
        if self.unreachable_since.is_none() {
            self.unreachable_since = Some(boot_clock::now());
            let error = error.to_string();
            host.journal.write(&Event::DependencyLost { dependency: self.table, error: &error });
        }
    }
}

/// Makes the call of `step`. A poll waits for changes up to `max_wait`.
async fn fetch(
    store: &mut Store,
    table: &str,
    step: Step,
    max_wait: Duration,
    host: &Host,
) -> Result<Rows> {
    match step {
        Step::ReadTable => {
            let began = boot_clock::now();
            let rows = store.read(table, CALL_TIMEOUT).await;
            host.metrics.time("store_read", boot_clock::now().saturating_sub(began));
            rows
        }
        Step::Poll(revision) => store.poll_changes(table, revision, max_wait, CALL_TIMEOUT).await,
    }
}

/// Waits until a peer has seen a newer change for so long that this host's poll should have
/// returned it, or that the store was restored after the revision that the poll continues. Never
/// returns for a feed that reads its whole table.
async fn wait_until_behind(host: &Host, source: Option<Source>, cursor: &Cursor) {
    let mut since = None;
    loop {
        tokio::time::sleep(BEHIND_PEERS_POLL_INTERVAL).await;
        if host.store_era.get().is_some_and(|era| cursor.is_before(era)) {
            return;
        }
        let newest = source.map(|source| host.peers.newest_change(source));
        if !newest.is_some_and(|newest| cursor.is_behind(newest)) {
            since = None;
        } else if boot_clock::now()
            >= *since.get_or_insert_with(boot_clock::now) + BEHIND_PEERS_TIMEOUT
        {
            return;
        }
    }
}
