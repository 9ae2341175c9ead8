//! Memory for messages from callers, until they have been replied to.

use bergamotvale_core::proxy::budget::{COPIES, Limits, MIDDLE_BYTES, SMALL_BYTES};
use bergamotvale_platform::line::MAX_MESSAGE_BYTES;
use std::sync::Arc;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// Unit of the budgets.
const UNIT_BYTES: usize = 1 << 10;

/// Bounds the bytes of messages over [`SMALL_BYTES`].
#[derive(Debug)]
pub struct MessageGate {
    middle: Arc<Semaphore>,
    large: Arc<Semaphore>,
}

/// Permission to buffer and run one message of the size that has been reached.
///
/// A message that grows beyond a class waits for the budget of the next one while it holds its own.
/// Holders of the last class wait for nothing, so the waits cannot form a cycle.
#[derive(Debug, Default)]
pub struct MessagePermit {
    middle: Option<OwnedSemaphorePermit>,
    large: Option<OwnedSemaphorePermit>,
}

impl MessageGate {
    pub(super) fn new(limits: &Limits) -> MessageGate {
        let semaphore = |bytes| Arc::new(Semaphore::new(bytes / UNIT_BYTES));
        MessageGate { middle: semaphore(limits.middle_bytes), large: semaphore(limits.large_bytes) }
    }
}

impl MessagePermit {
    /// Waits until `pending` bytes may grow to the end of their class, and returns that end.
    pub async fn grow(&mut self, gate: &MessageGate, pending: usize) -> usize {
        if pending < SMALL_BYTES {
            return SMALL_BYTES;
        }
        if self.middle.is_none() {
            self.middle = acquire(&gate.middle, MIDDLE_BYTES).await;
        }
        if pending < MIDDLE_BYTES {
            return MIDDLE_BYTES;
        }
        if self.large.is_none() {
            self.large = acquire(&gate.large, MAX_MESSAGE_BYTES).await;
        }
        // One more byte, so that a message over the limit is noticed.
        MAX_MESSAGE_BYTES + 1
    }

    /// Gives back what a message of this size, complete now, does not need.
    pub fn shrink(&mut self, bytes: usize) {
        let units = (bytes * COPIES).div_ceil(UNIT_BYTES);
        if let Some(large) = &mut self.large {
            drop(large.split(large.num_permits().saturating_sub(units)));
            self.middle = None;
        } else if let Some(middle) = &mut self.middle {
            drop(middle.split(middle.num_permits().saturating_sub(units)));
        }
    }
}

async fn acquire(semaphore: &Arc<Semaphore>, class_bytes: usize) -> Option<OwnedSemaphorePermit> {
    let units = u32::try_from(class_bytes * COPIES / UNIT_BYTES).unwrap_or(u32::MAX);
    // The semaphores are never closed, so that a permit is always obtained.
    semaphore.clone().acquire_many_owned(units).await.ok()
}
