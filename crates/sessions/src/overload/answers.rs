//! Memory for large answers while they are received from targets.

use bergamotvale_core::proxy::budget::{COPIES, Limits, MIDDLE_BYTES};
use std::sync::Arc;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// Largest size of an answer that needs a single permit.
const LARGE_ANSWER_BYTES: usize = 1 << 20;

/// Bounds the number of large answers that are received at a time.
#[derive(Debug)]
pub struct AnswerGate {
    large: Arc<Semaphore>,
    /// Answers over [`LARGE_ANSWER_BYTES`], which are received one at a time.
    huge: Arc<Semaphore>,
}

/// Permission to receive one answer of the size that has been reached.
#[derive(Debug, Default)]
pub struct AnswerPermit {
    large: Option<OwnedSemaphorePermit>,
    huge: Option<OwnedSemaphorePermit>,
}

impl AnswerGate {
    pub(super) fn new(limits: &Limits) -> AnswerGate {
        let count = (limits.answer_bytes / (COPIES * LARGE_ANSWER_BYTES)).max(1);
        AnswerGate { large: Arc::new(Semaphore::new(count)), huge: Arc::new(Semaphore::new(1)) }
    }
}

impl AnswerPermit {
    /// Waits until an answer of which `pending` bytes have arrived may be received further. Does
    /// not read meanwhile; the exchange's deadline ends the wait.
    pub async fn grow(&mut self, gate: &AnswerGate, pending: usize) {
        if pending > MIDDLE_BYTES && self.large.is_none() {
            // The semaphores are never closed, so that a permit is always obtained.
            self.large = gate.large.clone().acquire_owned().await.ok();
        }
        if pending > LARGE_ANSWER_BYTES && self.huge.is_none() {
            self.huge = gate.huge.clone().acquire_owned().await.ok();
        }
    }
}
