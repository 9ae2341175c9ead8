//! When a write may be acknowledged, and when it is hopeless to begin one.
//!
//! A position is acknowledged once a majority of the group holds it in the term it was written in.
//! A later term may or may not have kept the entry; only its idempotency row can tell.

use crate::id::Time;
use crate::log::Position;
use std::collections::VecDeque;
use std::time::Duration;

/// Unconfirmed positions remembered for a group.
const MAX_PENDING: usize = 256;
/// Time for which a past confirmation says something about the next one.
const MAX_SAMPLE_AGE: Duration = Duration::from_secs(1);
/// Weight of the past in the smoothed delay, in eighths.
const SMOOTHING_WEIGHT: u32 = 7;

/// What a confirmed position says about a written one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// It is on a majority in its own term.
    Acknowledged,
    /// It is not there yet.
    Pending,
    /// Its term has been passed: it may be in the log or not.
    Superseded,
}

/// Compares a written position with what the group has confirmed.
pub fn verify(written: Position, confirmed: Position) -> Verdict {
    if confirmed.term > written.term {
        return Verdict::Superseded;
    }
    if confirmed.covers(written) { Verdict::Acknowledged } else { Verdict::Pending }
}

/// A position seen on the primary and not yet confirmed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Pending {
    position: Position,
    seen: Time,
}

/// Delay between a write on a group's primary and its confirmation, as one host observes it.
#[derive(Debug, Clone, Default)]
pub struct Lag {
    pending: VecDeque<Pending>,
    confirmed: Position,
    smoothed: Duration,
    sampled: Option<Time>,
}

impl Lag {
    /// A group of which nothing is known.
    pub fn new() -> Lag {
        Lag::default()
    }

    /// Notes that the primary's log reached `position`.
    pub fn record_written(&mut self, position: Position, now: Time) {
        if self.confirmed.covers(position) {
            return;
        }
        let newest = self.pending.back().map(|pending| pending.position);
        let is_new = newest.is_none_or(|newest| position > newest);
        if is_new && self.pending.len() < MAX_PENDING {
            self.pending.push_back(Pending { position, seen: now });
        }
    }

    /// Notes that `position` is on a majority.
    pub fn record_confirmed(&mut self, position: Position, now: Time) {
        if position <= self.confirmed {
            return;
        }
        self.confirmed = position;
        let mut oldest = None;
        while let Some(pending) = self.pending.front() {
            if pending.position.term >= position.term && pending.position > position {
                break;
            }
            // Entries of a passed term are settled too, though not by a confirmation of theirs.
            if pending.position.term == position.term {
                oldest = oldest.or(Some(pending.seen));
            }
            self.pending.pop_front();
        }
        if let Some(seen) = oldest {
            self.sample(now.saturating_sub(seen), now);
        }
    }

    /// Least time that a write begun at `now` has to expect until its confirmation.
    pub fn expected_delay(&self, now: Time) -> Duration {
        let waiting = self.pending.front().map_or(Duration::ZERO, |p| now.saturating_sub(p.seen));
        let recent = self.sampled.is_some_and(|at| now.saturating_sub(at) <= MAX_SAMPLE_AGE);
        if recent { waiting.max(self.smoothed) } else { waiting }
    }

    /// Whether a write begun at `now` can be confirmed by `deadline`.
    pub fn can_confirm_by(&self, now: Time, deadline: Time) -> bool {
        now + self.expected_delay(now) < deadline
    }

    fn sample(&mut self, delay: Duration, now: Time) {
        self.smoothed = match self.sampled {
            Some(_) => (self.smoothed * SMOOTHING_WEIGHT + delay) / (SMOOTHING_WEIGHT + 1),
            None => delay,
        };
        self.sampled = Some(now);
    }
}
