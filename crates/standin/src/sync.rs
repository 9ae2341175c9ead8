//! Locks that outlive a panic of their holder's thread.

use std::sync::{Mutex, MutexGuard, PoisonError};

/// Locks; what a panicking thread left is taken as it is.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
