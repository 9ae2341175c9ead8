//! Acknowledgement of writes: when a write is confirmed, and whether a new one can be in time.
//!
//! A position may be acknowledged once a majority of the group has it in the term in which it was
//! written. A later term may or may not have kept the entry; only its idempotency row can tell.

use crate::id::Time;
use crate::log::Position;
use std::collections::VecDeque;
use std::time::Duration;

/// Maximum number of unconfirmed positions that are tracked for a group.
const MAX_PENDING: usize = 256;
/// Age up to which the smoothed delay is used to predict the next confirmation.
const MAX_SAMPLE_AGE: Duration = Duration::from_secs(1);
/// Weight of the previous value in the smoothed delay, in eighths.
const SMOOTHING_WEIGHT: u32 = 7;

/// What a group's confirmed position implies for a written one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// A majority has it in the term in which it was written.
    Acknowledged,
    /// It is not confirmed yet.
    Pending,
    /// A later term has begun: the entry may or may not be in the log.
    Superseded,
}

/// Compares a written position with the highest one that the group has confirmed.
pub fn verify(written: Position, confirmed: Position) -> Verdict {
    if confirmed.term > written.term {
        return Verdict::Superseded;
    }
    if confirmed.covers(written) { Verdict::Acknowledged } else { Verdict::Pending }
}

/// A position that the primary has written and a majority has not confirmed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Pending {
    position: Position,
    observed_at: Time,
}

/// Confirmation lag of a group: the delay from a write on its primary to the confirmation by a
/// majority, as observed by one host.
#[derive(Debug, Clone, Default)]
pub struct Lag {
    pending: VecDeque<Pending>,
    confirmed: Position,
    smoothed_delay: Duration,
    sampled_at: Option<Time>,
}

impl Lag {
    /// Starts without samples: the expected delay is zero until a write waits.
    pub fn new() -> Lag {
        Lag::default()
    }

    /// Records that the primary's log reached `position`.
    pub fn record_written(&mut self, position: Position, now: Time) {
        if self.confirmed.covers(position) {
            return;
        }
        let newest = self.pending.back().map(|pending| pending.position);
        let is_new = newest.is_none_or(|newest| position > newest);
        if is_new && self.pending.len() < MAX_PENDING {
            self.pending.push_back(Pending { position, observed_at: now });
        }
    }

    /// Records that a majority has `position`, and samples the delay of the oldest entry that this
    /// confirms.
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
            // Entries of an older term no longer wait, but were not confirmed in it: no sample.
            if pending.position.term == position.term {
                oldest = oldest.or(Some(pending.observed_at));
            }
            self.pending.pop_front();
        }
        if let Some(observed_at) = oldest {
            self.record_delay(now.saturating_sub(observed_at), now);
        }
    }

    /// Minimum confirmation delay to expect for a write that starts at `now`.
    pub fn expected_delay(&self, now: Time) -> Duration {
        let waiting =
            self.pending.front().map_or(Duration::ZERO, |p| now.saturating_sub(p.observed_at));
        let is_recent = self.sampled_at.is_some_and(|at| now.saturating_sub(at) <= MAX_SAMPLE_AGE);
        if is_recent { waiting.max(self.smoothed_delay) } else { waiting }
    }

    /// Whether a write that starts at `now` can be confirmed before `deadline`.
    pub fn can_confirm_by(&self, now: Time, deadline: Time) -> bool {
        now + self.expected_delay(now) < deadline
    }

    fn record_delay(&mut self, delay: Duration, now: Time) {
        self.smoothed_delay = match self.sampled_at {
            Some(_) => (self.smoothed_delay * SMOOTHING_WEIGHT + delay) / (SMOOTHING_WEIGHT + 1),
            None => delay,
        };
        self.sampled_at = Some(now);
    }
}
