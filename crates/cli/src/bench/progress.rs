//! Prints the progress of a run to standard error, one line per second.

use crate::bench::history::{Op, Verdict};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

const PRINT_INTERVAL: Duration = Duration::from_secs(1);

/// Counters of a running load, and faults that have not been printed yet.
#[derive(Debug, Default)]
pub struct Progress {
    started: AtomicU64,
    answered: AtomicU64,
    other: AtomicU64,
    faults: Mutex<Vec<String>>,
}

impl Progress {
    /// Counts an operation that starts.
    pub fn record_start(&self) {
        self.started.fetch_add(1, Ordering::Relaxed);
    }

    /// Counts an operation that has ended, by its verdict.
    pub fn record_end(&self, op: &Op) {
        let counter = match op.verdict() {
            Verdict::Acknowledged => &self.answered,
            Verdict::NotRun | Verdict::Unknown => &self.other,
        };
        counter.fetch_add(1, Ordering::Relaxed);
    }

    /// Records that a fault was injected or healed; the next line shows it.
    pub fn record_fault(&self, fault: String) {
        self.faults.lock().unwrap_or_else(PoisonError::into_inner).push(fault);
    }

    /// Prints a line per second with the changes since the last one; never returns.
    pub async fn print(self: Arc<Progress>, name: String) {
        let mut ticks = tokio::time::interval(PRINT_INTERVAL);
        ticks.tick().await;
        let (mut second, mut answered, mut other) = (0_u64, 0, 0);
        loop {
            ticks.tick().await;
            second += 1;
            let now_answered = self.answered.load(Ordering::Relaxed);
            let now_other = self.other.load(Ordering::Relaxed);
            let running = self.started.load(Ordering::Relaxed) - now_answered - now_other;
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
