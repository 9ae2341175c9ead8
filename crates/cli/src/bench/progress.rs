//! Progress of a run, a line a second on standard error.

use crate::bench::history::{Op, Verdict};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

/// Time between two lines.
const PERIOD: Duration = Duration::from_secs(1);

/// Counters of a running load.
#[derive(Debug, Default)]
pub struct Progress {
    begun: AtomicU64,
    answered: AtomicU64,
    other: AtomicU64,
    faults: Mutex<Vec<String>>,
}

impl Progress {
    /// An operation begins.
    pub fn begin(&self) {
        self.begun.fetch_add(1, Ordering::Relaxed);
    }

    /// An operation has ended.
    pub fn end(&self, op: &Op) {
        let counter = match op.verdict() {
            Verdict::Acknowledged => &self.answered,
            Verdict::NotRun | Verdict::Unknown => &self.other,
        };
        counter.fetch_add(1, Ordering::Relaxed);
    }

    /// A fault was set or healed; shown with the next line.
    pub fn note(&self, fault: String) {
        self.faults.lock().unwrap_or_else(PoisonError::into_inner).push(fault);
    }

    /// Prints a line a second, for ever.
    pub async fn print(self: Arc<Progress>, name: String) {
        let mut ticks = tokio::time::interval(PERIOD);
        ticks.tick().await;
        let (mut second, mut answered, mut other) = (0_u64, 0, 0);
        loop {
            ticks.tick().await;
            second += 1;
            let now_answered = self.answered.load(Ordering::Relaxed);
            let now_other = self.other.load(Ordering::Relaxed);
            let running = self.begun.load(Ordering::Relaxed) - now_answered - now_other;
            let faults =
                std::mem::take(&mut *self.faults.lock().unwrap_or_else(PoisonError::into_inner));
            eprintln!(
                "{name} {second:>3} s  answered {:>5}/s  refused {:>5}/s  running {running:>5}  {}",
                now_answered - answered,
                now_other - other,
                faults.join(", "),
            );
            (answered, other) = (now_answered, now_other);
        }
    }
}
