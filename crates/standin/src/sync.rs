//! Locking and waiting that ignore the poisoning of a mutex by a panic.

use std::sync::{Condvar, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// Locks `mutex`; after a panic of an earlier holder the data is used as that holder left it.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Waits until `changed` is notified, for at most `time`.
pub(crate) fn wait<'a, T>(
    changed: &Condvar,
    guard: MutexGuard<'a, T>,
    time: Duration,
) -> MutexGuard<'a, T> {
    changed.wait_timeout(guard, time).unwrap_or_else(PoisonError::into_inner).0
}
