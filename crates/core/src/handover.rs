//! Planned promotion: moves a group's primary to a chosen target without losing a request.
//!
//! First every host stops sending new work to the primary and lets running work complete; new
//! requests wait in the hosts. Then the primary itself is put on hold: it rejects, as not run, the
//! writes of a host that missed the notification. Once the candidate has the primary's last entry
//! and that entry is confirmed and stable, the ordinary promotion runs with the candidate
//! preferred. Until the fence every step can be undone by releasing the hold, and the hold expires
//! by itself if the host that set it dies. After the fence the promotion must be completed, by
//! this host or by any other that finds the group without a primary.

use crate::group::Status;
use crate::id::{TargetId, Time};
use crate::log::{Position, Term};
use derive_more::Display;
use std::time::Duration;

/// Time after which the primary accepts writes again unless it is released earlier.
pub const PRIMARY_HOLD_DURATION: Duration = Duration::from_millis(1_500);
/// Longest time for which hosts send the primary no new work.
pub const HOST_HOLD_DURATION: Duration = Duration::from_millis(2_500);
/// Longest time for work on the primary to complete.
pub const DRAIN_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Longest time from the request to hold the primary until the candidate has replicated all of the
/// primary's entries.
pub const CATCH_UP_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Time for which the primary's last entry must stay the same to count as stable.
pub const STABLE_ENTRY_DURATION: Duration = Duration::from_millis(60);
/// Interval at which the status of primary and candidate is polled.
pub const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Why a planned promotion was aborted; the group is unchanged in that case.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
#[display(rename_all = "snake_case")]
pub enum Abort {
    /// Work on the primary did not complete in time.
    NotDrained,
    /// The primary is not the one that the plan names.
    Superseded,
    /// The primary refused the hold or did not answer.
    NotHeld,
    /// The candidate did not catch up in time.
    NotCaughtUp,
}

/// What the caller has to do next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Action {
    /// Make `target` reject writes for `time`; zero releases the hold.
    Hold {
        /// The primary.
        target: TargetId,
        /// Duration of the hold.
        time: Duration,
    },
    /// Query the status of `target`.
    ReadStatus {
        /// Target to query.
        target: TargetId,
    },
    /// Promote `candidate` over the primary of `term`.
    Promote {
        /// Target to promote.
        candidate: TargetId,
        /// Term of the present primary.
        term: Term,
    },
    /// The promotion was aborted.
    Aborted {
        /// Cause of the abort.
        reason: Abort,
    },
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    Draining,
    Holding,
    CatchingUp,
    Ended,
}

/// State machine of one planned promotion, up to the fence.
#[derive(Debug)]
pub struct Handover {
    primary: TargetId,
    term: Term,
    candidate: TargetId,
    state: State,
    started: Time,
    polled: Time,
    last_entry: Option<(Time, Position)>,
    reached: Position,
    confirmed: Position,
}

impl Handover {
    /// Starts a move of the primary of `term` to `candidate`; waits for the drain first.
    pub fn new(now: Time, primary: TargetId, term: Term, candidate: TargetId) -> Handover {
        Handover {
            primary,
            term,
            candidate,
            state: State::Draining,
            started: now,
            polled: now,
            last_entry: None,
            reached: Position::default(),
            confirmed: Position::default(),
        }
    }

    /// Records that no host uses the primary any more.
    pub fn record_drained(&mut self, now: Time) -> Vec<Action> {
        if self.state != State::Draining {
            return Vec::new();
        }
        self.state = State::Holding;
        self.started = now;
        vec![Action::Hold { target: self.primary, time: PRIMARY_HOLD_DURATION }]
    }

    /// Whether the handover has reached the promotion or was aborted.
    pub fn is_ended(&self) -> bool {
        self.state == State::Ended
    }

    /// Records the primary's answer to the hold: its last entry, or `None` if the hold failed.
    pub fn record_hold(&mut self, now: Time, entry: Option<Position>) -> Vec<Action> {
        if self.state != State::Holding {
            return Vec::new();
        }
        match entry {
            None => self.abort(Abort::NotHeld),
            Some(_) => {
                self.state = State::CatchingUp;
                self.poll(now)
            }
        }
    }

    /// Records the answer of `target` to a status query.
    pub fn record_status(&mut self, now: Time, target: TargetId, status: &Status) -> Vec<Action> {
        if self.state != State::CatchingUp {
            return Vec::new();
        }
        if target == self.candidate {
            // Only the latest answer counts, since a rebuilt target may have a shorter log.
            self.reached = status.entry;
        }
        if target == self.primary {
            if !status.leads() || status.entry.term != self.term {
                return self.abort(Abort::Superseded);
            }
            self.confirmed = status.confirmed;
            if self.last_entry.is_none_or(|(_, known)| known != status.entry) {
                self.last_entry = Some((now, status.entry));
            }
        }
        self.advance(now)
    }

    /// Advances time: polls again, and aborts at the timeout of the current phase.
    pub fn tick(&mut self, now: Time) -> Vec<Action> {
        if self.is_ended() {
            return Vec::new();
        }
        let (timeout, reason) = match self.state {
            State::Draining => (DRAIN_TIMEOUT, Abort::NotDrained),
            State::Holding => (CATCH_UP_TIMEOUT, Abort::NotHeld),
            State::CatchingUp | State::Ended => (CATCH_UP_TIMEOUT, Abort::NotCaughtUp),
        };
        if now.saturating_sub(self.started) >= timeout {
            return self.abort(reason);
        }
        if self.state == State::CatchingUp && now.saturating_sub(self.polled) >= POLL_INTERVAL {
            return self.poll(now);
        }
        Vec::new()
    }

    fn poll(&mut self, now: Time) -> Vec<Action> {
        self.polled = now;
        [self.primary, self.candidate].map(|target| Action::ReadStatus { target }).to_vec()
    }

    fn advance(&mut self, now: Time) -> Vec<Action> {
        let Some((since, entry)) = self.last_entry else { return Vec::new() };
        let stable = now.saturating_sub(since) >= STABLE_ENTRY_DURATION;
        if !stable || self.reached < entry || self.confirmed < entry {
            return Vec::new();
        }
        self.state = State::Ended;
        vec![Action::Promote { candidate: self.candidate, term: self.term }]
    }

    fn abort(&mut self, reason: Abort) -> Vec<Action> {
        self.state = State::Ended;
        vec![
            Action::Hold { target: self.primary, time: Duration::ZERO },
            Action::Aborted { reason },
        ]
    }
}
