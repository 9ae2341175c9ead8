//! Planned promotion: moves a group's primary to a chosen target and loses no request.
//!
//! First every host stops sending the primary anything new and lets what runs there end; requests
//! wait in the hosts. Then the primary itself is held, which turns away, as not run, the writes of
//! a host that did not hear. Once the candidate holds the primary's last entry, and
//! that entry is confirmed and no longer moves, the ordinary promotion runs with the candidate preferred. Until the
//! fence every step can be taken back by releasing the hold, and the hold ends by itself when the
//! host that set it dies. From the fence on the promotion has to be carried through, by this host
//! or by any other that finds the group without a primary.

use crate::group::Status;
use crate::id::{TargetId, Time};
use crate::log::{Position, Term};
use derive_more::Display;
use std::time::Duration;

/// Time after which the primary takes writes again by itself.
pub const PRIMARY_HOLD_DURATION: Duration = Duration::from_millis(1_500);
/// Time for which hosts send the primary nothing new.
pub const HOST_HOLD_DURATION: Duration = Duration::from_millis(2_500);
/// Time for work on the primary to end.
pub const DRAIN_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Time for the candidate to hold all that the primary wrote, once it is held.
pub const CATCH_UP_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Time for which the primary's last entry must stay the same.
pub const STABLE_ENTRY_DURATION: Duration = Duration::from_millis(60);
/// Time between two looks at both.
pub const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Why a planned promotion was taken back; nothing has changed then.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
#[display(rename_all = "snake_case")]
pub enum Abort {
    /// Work on the primary did not end in time.
    NotDrained,
    /// The primary is not the one that the plan names.
    Superseded,
    /// The primary did not let itself be held.
    NotHeld,
    /// The candidate did not catch up in time.
    NotCaughtUp,
}

/// What the caller has to do.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Action {
    /// Turn writes away at `target` for `time`; zero releases.
    Hold {
        /// The primary.
        target: TargetId,
        /// How long.
        time: Duration,
    },
    /// Ask `target` for its last entry.
    ReadStatus {
        /// Whom to ask.
        target: TargetId,
    },
    /// Promote `candidate` over the primary of `term`.
    Promote {
        /// The candidate.
        candidate: TargetId,
        /// The primary's term.
        term: Term,
    },
    /// Taken back.
    Aborted {
        /// Why.
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

/// One planned promotion, up to the fence.
#[derive(Debug)]
pub struct Handover {
    primary: TargetId,
    term: Term,
    candidate: TargetId,
    state: State,
    started: Time,
    looked: Time,
    last: Option<(Time, Position)>,
    reached: Position,
    confirmed: Position,
}

impl Handover {
    /// Starts to move the primary of `term` to `candidate`.
    pub fn new(now: Time, primary: TargetId, term: Term, candidate: TargetId) -> Handover {
        Handover {
            primary,
            term,
            candidate,
            state: State::Draining,
            started: now,
            looked: now,
            last: None,
            reached: Position::default(),
            confirmed: Position::default(),
        }
    }

    /// No host uses the primary any more.
    pub fn record_drained(&mut self, now: Time) -> Vec<Action> {
        if self.state != State::Draining {
            return Vec::new();
        }
        self.state = State::Holding;
        self.started = now;
        vec![Action::Hold { target: self.primary, time: PRIMARY_HOLD_DURATION }]
    }

    /// Whether it has come to an end, one way or the other.
    pub fn is_ended(&self) -> bool {
        self.state == State::Ended
    }

    /// The primary answered the hold, or could not be asked.
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

    /// `target` told its status.
    pub fn record_status(&mut self, now: Time, target: TargetId, status: &Status) -> Vec<Action> {
        if self.state != State::CatchingUp {
            return Vec::new();
        }
        if target == self.candidate {
            // The last answer counts alone: a target that was rebuilt has gone back.
            self.reached = status.entry;
        }
        if target == self.primary {
            if !status.leads() || status.entry.term != self.term {
                return self.abort(Abort::Superseded);
            }
            self.confirmed = status.confirmed;
            if self.last.is_none_or(|(_, known)| known != status.entry) {
                self.last = Some((now, status.entry));
            }
        }
        self.advance(now)
    }

    /// Time passes: looks again, and gives up at the bound.
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
        if self.state == State::CatchingUp && now.saturating_sub(self.looked) >= POLL_INTERVAL {
            return self.poll(now);
        }
        Vec::new()
    }

    fn poll(&mut self, now: Time) -> Vec<Action> {
        self.looked = now;
        [self.primary, self.candidate].map(|target| Action::ReadStatus { target }).to_vec()
    }

    fn advance(&mut self, now: Time) -> Vec<Action> {
        let Some((since, entry)) = self.last else { return Vec::new() };
        let settled = now.saturating_sub(since) >= STABLE_ENTRY_DURATION;
        if !settled || self.reached < entry || self.confirmed < entry {
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
