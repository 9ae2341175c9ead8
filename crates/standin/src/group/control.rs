//! Interruption of running statements by a cancel request, the statement timeout or the end of
//! the connection.

use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use super::sqlstate::{self, Error, Result};
use crate::sync::lock;

/// How often a waiting statement checks whether it is interrupted.
pub(crate) const INTERRUPT_POLL_INTERVAL: Duration = Duration::from_millis(2);

/// Flags of a connection by which other threads interrupt its running statement.
#[derive(Debug, Default)]
pub(crate) struct Control {
    running: AtomicBool,
    canceled: AtomicBool,
    closed: AtomicBool,
    silent: AtomicBool,
    deadline: Mutex<Option<Instant>>,
}

impl Control {
    /// Marks the start of a statement and discards an earlier cancel request.
    pub(crate) fn start(&self, timeout: Option<Duration>) {
        *lock(&self.deadline) = timeout.map(|timeout| Instant::now() + timeout);
        self.canceled.store(false, Ordering::SeqCst);
        self.running.store(true, Ordering::SeqCst);
    }

    /// Marks the end of the statement; its timeout no longer applies.
    pub(crate) fn finish(&self) {
        self.running.store(false, Ordering::SeqCst);
        *lock(&self.deadline) = None;
    }

    /// Cancels the running statement, if there is one.
    pub(crate) fn cancel(&self) {
        if self.running.load(Ordering::SeqCst) {
            self.canceled.store(true, Ordering::SeqCst);
        }
    }

    /// Marks the connection as closed, which interrupts its statement.
    pub(crate) fn close(&self) {
        self.closed.store(true, Ordering::SeqCst);
    }

    pub(crate) fn is_closed(&self) -> bool {
        self.closed.load(Ordering::SeqCst)
    }

    /// Blocks all traffic of the connection for good, without closing it.
    pub(crate) fn silence(&self) {
        self.silent.store(true, Ordering::SeqCst);
    }

    pub(crate) fn is_silent(&self) -> bool {
        self.silent.load(Ordering::SeqCst)
    }

    /// Fails when the running statement is interrupted.
    pub(crate) fn check_interrupts(&self) -> Result<()> {
        if self.is_closed() {
            return Err(Error::new(sqlstate::SHUTDOWN, "the connection is closed"));
        }
        if self.canceled.load(Ordering::SeqCst) {
            return Err(Error::new(sqlstate::CANCELED, "canceling statement due to user request"));
        }
        let deadline = *lock(&self.deadline);
        if deadline.is_some_and(|deadline| Instant::now() >= deadline) {
            let message = "canceling statement due to statement timeout";
            return Err(Error::new(sqlstate::CANCELED, message));
        }
        Ok(())
    }

    /// Sleeps for at most a day; fails early when the statement is interrupted.
    pub(crate) fn sleep(&self, duration: Duration) -> Result<()> {
        let deadline = Instant::now() + duration.min(Duration::from_secs(86_400));
        loop {
            self.check_interrupts()?;
            let remaining = deadline.saturating_duration_since(Instant::now());
            if remaining.is_zero() {
                return Ok(());
            }
            std::thread::sleep(remaining.min(INTERRUPT_POLL_INTERVAL));
        }
    }

    /// Replaces SQLite's error for an interrupted statement by the cause of the interruption.
    pub(crate) fn interruption_cause(&self, error: Error) -> Error {
        match self.check_interrupts() {
            Err(cause) if error.code == sqlstate::CANCELED => cause,
            _ => error,
        }
    }
}

/// The control of the statement that a database is running, for SQLite's callbacks.
#[derive(Debug, Default)]
pub(crate) struct Current {
    control: Mutex<Option<std::sync::Arc<Control>>>,
}

impl Current {
    /// Sets the control at the start of a statement; `None` at its end.
    pub(crate) fn set(&self, control: Option<std::sync::Arc<Control>>) {
        *lock(&self.control) = control;
    }

    /// Whether the running statement is interrupted.
    pub(crate) fn is_interrupted(&self) -> bool {
        lock(&self.control).as_ref().is_some_and(|control| control.check_interrupts().is_err())
    }

    /// Sleeps; false when the statement is interrupted.
    pub(crate) fn sleep(&self, duration: Duration) -> bool {
        let control = lock(&self.control).clone();
        match control {
            Some(control) => control.sleep(duration).is_ok(),
            None => true,
        }
    }
}
