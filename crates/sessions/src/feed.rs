//! One feed of a table of the platform.
//!
//! It reads its whole table once and then waits for changes. What fails is asked again, after pauses
//! that grow; what hangs is asked again once something shows that it does.

use crate::boot_clock;
use crate::event::{Event, millis};
use crate::follow::is_lowest;
use crate::peer::{FEW, Source};
use crate::state::Host;
use bergamotvale_core::id::Time;
use bergamotvale_core::proxy::lease::Revision;
use bergamotvale_platform::store::{Row, Rows, Store};
use bergamotvale_platform::{Error, Result};
use std::time::Duration;

/// Time that a feed has to bring a change which a peer has seen.
const BEHIND_LIMIT: Duration = Duration::from_millis(500);
/// Time between looks at whether a feed is behind.
const BEHIND_LOOK: Duration = Duration::from_millis(250);
/// Pause after news in a larger fleet, so that changes which come together are fetched in one call.
const GATHER: Duration = Duration::from_millis(300);
/// Time that a question waits for changes while the store is lost.
const LOST_WAIT: Duration = Duration::from_millis(150);
/// Time beyond its wait in which a call has to be answered.
pub const CALL_TIMEOUT: Duration = Duration::from_millis(700);
/// Pause after a call that failed.
pub const PAUSE: Duration = Duration::from_millis(100);
/// Longest pause: it doubles with each call that fails, but for the host whose proofs others use.
const MAX_PAUSE: Duration = Duration::from_millis(800);

/// One feed.
pub struct Feed {
    store: Store,
    table: &'static str,
    /// Where peers' changes are looked up; none for the table that peers copy to each other.
    source: Option<Source>,
    /// Time that a question waits for changes.
    pub wait: Duration,
    revision: Option<u64>,
    lost_since: Option<Time>,
    /// When the store last answered.
    pub answered: Time,
    /// Whether the last answer brought changes.
    has_news: bool,
    /// Pause after the next call that fails.
    pause: Duration,
}

/// What one step of a feed brought.
pub struct News {
    /// Rows that changed, or all.
    pub rows: Vec<Row>,
    /// Whether `rows` is the whole table.
    pub is_whole: bool,
    /// When the question was sent.
    pub sent: Time,
    /// The platform's clock when it answered.
    pub platform_now: Duration,
}

impl Feed {
    /// A feed that has read nothing yet.
    pub fn new(host: &Host, table: &'static str, source: Option<Source>, wait: Duration) -> Feed {
        let store = Store::new(host.settings.store);
        let answered = boot_clock::now();
        let (revision, lost_since) = (None, None);
        let (has_news, pause) = (false, PAUSE);
        Feed { store, table, source, wait, revision, lost_since, answered, has_news, pause }
    }

    /// Waits for the next news; retries until the store answers.
    pub async fn next(&mut self, host: &Host) -> News {
        if self.has_news && host.lease.borrow().members().len() > FEW {
            tokio::time::sleep(GATHER).await;
        }
        self.has_news = false;
        loop {
            let sent = boot_clock::now();
            let (source, revision) = (self.source, self.revision);
            let answer = tokio::select! {
                answer = self.ask(host) => answer,
                () = falls_behind(host, source, revision) => {
                    host.metrics.count("feed_behind_peers");
                    continue;
                }
            };
            match answer {
                Ok((rows, is_whole)) => {
                    self.note_answer(host);
                    self.revision = Some(rows.revision);
                    if let Some(source) = self.source {
                        let newest = rows.rows.iter().map(|row| row.revision).max();
                        host.peers.note_change(source, newest.unwrap_or_default());
                    }
                    self.has_news = !is_whole && !rows.rows.is_empty();
                    let Rows { rows, now: platform_now, .. } = rows;
                    return News { rows, is_whole, sent, platform_now };
                }
                Err(Error::HistoryGone) => {
                    host.metrics.count("feed_history_gone");
                    self.revision = None;
                }
                Err(error) => {
                    self.note_failure(host, &error);
                    tokio::time::sleep(self.pause).await;
                    self.pause = self.next_pause(host);
                }
            }
        }
    }

    fn next_pause(&self, host: &Host) -> Duration {
        let proves = self.source.is_none() && is_lowest(host);
        if proves { PAUSE } else { (self.pause * 2).min(MAX_PAUSE) }
    }

    async fn ask(&mut self, host: &Host) -> Result<(Rows, bool)> {
        match self.revision {
            None => {
                let began = boot_clock::now();
                let rows = self.store.read(self.table, CALL_TIMEOUT).await;
                host.metrics.time("store_read", boot_clock::now().saturating_sub(began));
                Ok((rows?, true))
            }
            Some(revision) => {
                // After a failure an early answer tells that the store is back.
                let is_lost = self.lost_since.is_some();
                let wait = if is_lost { self.wait.min(LOST_WAIT) } else { self.wait };
                let follow = self.store.poll_changes(self.table, revision, wait, CALL_TIMEOUT);
                Ok((follow.await?, false))
            }
        }
    }

    fn note_answer(&mut self, host: &Host) {
        let now = boot_clock::now();
        if let Some(since) = self.lost_since.take() {
            let after_ms = millis(now.saturating_sub(since));
            host.journal.write(&Event::DependencyRegained { dependency: self.table, after_ms });
        }
        self.answered = now;
        self.pause = PAUSE;
    }

    fn note_failure(&mut self, host: &Host, error: &Error) {
        host.metrics.count("feed_failures");
        if self.lost_since.is_none() {
            self.lost_since = Some(boot_clock::now());
            let error = error.to_string();
            host.journal.write(&Event::DependencyLost { dependency: self.table, error: &error });
        }
    }
}

/// Waits until a peer has seen a change above `revision` for longer than this host's feed may take
/// to bring it.
async fn falls_behind(host: &Host, source: Option<Source>, revision: Option<Revision>) {
    let (Some(source), Some(revision)) = (source, revision) else {
        return std::future::pending().await;
    };
    let mut since = None;
    loop {
        tokio::time::sleep(BEHIND_LOOK).await;
        if host.peers.newest_change(source) <= revision {
            since = None;
        } else if boot_clock::now() >= *since.get_or_insert_with(boot_clock::now) + BEHIND_LIMIT {
            return;
        }
    }
}
