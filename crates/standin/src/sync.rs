//! Locks that outlive a panic of their holder's thread.

use std::sync::{Condvar, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// Locks; what a panicking thread left is taken as it is.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Waits for a change, at most for a time.
pub(crate) fn wait<'a, T>(
    changed: &Condvar,
    guard: MutexGuard<'a, T>,
    time: Duration,
) -> MutexGuard<'a, T> {
    changed.wait_timeout(guard, time).unwrap_or_else(PoisonError::into_inner).0
}
