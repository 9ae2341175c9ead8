//! Ends of a running statement: cancel request, statement timeout, end of the connection.

use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use super::sqlstate::{self, Error, Result};
use crate::sync::lock;

/// How often a waiting statement looks whether it should end.
pub(crate) const LOOK_PERIOD: Duration = Duration::from_millis(2);

/// What can end the statement that a connection runs.
#[derive(Debug, Default)]
pub(crate) struct Control {
    running: AtomicBool,
    canceled: AtomicBool,
    closed: AtomicBool,
    silent: AtomicBool,
    deadline: Mutex<Option<Instant>>,
}

impl Control {
    /// A statement starts; an earlier cancel request no longer counts.
    pub(crate) fn start(&self, timeout: Option<Duration>) {
        *lock(&self.deadline) = timeout.map(|timeout| Instant::now() + timeout);
        self.canceled.store(false, Ordering::SeqCst);
        self.running.store(true, Ordering::SeqCst);
    }

    /// The statement has ended.
    pub(crate) fn finish(&self) {
        self.running.store(false, Ordering::SeqCst);
        *lock(&self.deadline) = None;
    }

    /// Ends the running statement, if there is one.
    pub(crate) fn cancel(&self) {
        if self.running.load(Ordering::SeqCst) {
            self.canceled.store(true, Ordering::SeqCst);
        }
    }

    /// Ends the connection.
    pub(crate) fn close(&self) {
        self.closed.store(true, Ordering::SeqCst);
    }

    /// Whether the connection has ended.
    pub(crate) fn closed(&self) -> bool {
        self.closed.load(Ordering::SeqCst)
    }

    /// From now on nothing passes over the connection.
    pub(crate) fn silence(&self) {
        self.silent.store(true, Ordering::SeqCst);
    }

    /// Whether nothing passes over the connection.
    pub(crate) fn silent(&self) -> bool {
        self.silent.load(Ordering::SeqCst)
    }

    /// Fails when the running statement should end.
    pub(crate) fn check(&self) -> Result<()> {
        if self.closed() {
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

    /// Sleeps; fails when the statement should end earlier.
    pub(crate) fn sleep(&self, duration: Duration) -> Result<()> {
        let until = Instant::now() + duration.min(Duration::from_secs(86_400));
        loop {
            self.check()?;
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return Ok(());
            }
            std::thread::sleep(left.min(LOOK_PERIOD));
        }
    }

    /// Says why an interrupted statement ended.
    pub(crate) fn explain(&self, error: Error) -> Error {
        match self.check() {
            Err(cause) if error.code == sqlstate::CANCELED => cause,
            _ => error,
        }
    }
}

/// The control of the statement that a database runs at the moment.
#[derive(Debug, Default)]
pub(crate) struct Slot {
    control: Mutex<Option<std::sync::Arc<Control>>>,
}

impl Slot {
    /// A statement starts or ends.
    pub(crate) fn set(&self, control: Option<std::sync::Arc<Control>>) {
        *lock(&self.control) = control;
    }

    /// Whether the running statement should end.
    pub(crate) fn ends(&self) -> bool {
        lock(&self.control).as_ref().is_some_and(|control| control.check().is_err())
    }

    /// Sleeps; false when the statement should end.
    pub(crate) fn sleep(&self, duration: Duration) -> bool {
        let control = lock(&self.control).clone();
        match control {
            Some(control) => control.sleep(duration).is_ok(),
            None => true,
        }
    }
}
