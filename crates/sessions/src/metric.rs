//! Counters and duration histograms that the host serves on its metrics address.

use hdrhistogram::Histogram;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::fmt::Write;
use std::time::Duration;

/// Longest duration that is recorded, in microseconds; longer ones count as this.
const MAX_DURATION_US: u64 = 60_000_000;
/// Precision of the histograms, in significant decimal digits.
const SIGNIFICANT_DIGITS: u8 = 2;
/// Quantiles that are served, with the labels in their metric names.
const QUANTILES: [(&str, f64); 4] = [("p50", 0.5), ("p90", 0.9), ("p99", 0.99), ("max", 1.0)];

/// Counters and duration histograms by name. A name is added when it is first used.
#[derive(Debug, Default)]
pub struct Registry {
    counts: RefCell<BTreeMap<String, u64>>,
    times: RefCell<BTreeMap<String, Histogram<u32>>>,
}

impl Registry {
    /// Adds 1 to the counter of this name.
    pub fn count(&self, name: &str) {
        let mut counts = self.counts.borrow_mut();
        match counts.get_mut(name) {
            Some(count) => *count += 1,
            None => drop(counts.insert(name.to_owned(), 1)),
        }
    }

    /// Records a duration in the histogram of this name.
    pub fn time(&self, name: &str, took: Duration) {
        let micros =
            u64::try_from(took.as_micros()).unwrap_or(MAX_DURATION_US).clamp(1, MAX_DURATION_US);
        let mut times = self.times.borrow_mut();
        if !times.contains_key(name) {
            match Histogram::new_with_bounds(1, MAX_DURATION_US, SIGNIFICANT_DIGITS) {
                Ok(histogram) => drop(times.insert(name.to_owned(), histogram)),
                Err(error) => return log::error!("cannot record a duration of {name}: {error}"),
            }
        }
        if let Some(histogram) = times.get_mut(name) {
            histogram.saturating_record(micros);
        }
    }

    /// Renders all metrics as text, one name and value a line. Durations are in microseconds.
    pub fn render(&self) -> String {
        let mut text = String::new();
        for (name, count) in self.counts.borrow().iter() {
            // Writing to a string cannot fail.
            let _ = writeln!(text, "{name} {count}");
        }
        for (name, histogram) in self.times.borrow().iter() {
            let _ = writeln!(text, "{name}_count {}", histogram.len());
            for (label, quantile) in QUANTILES {
                let _ =
                    writeln!(text, "{name}_{label}_us {}", histogram.value_at_quantile(quantile));
            }
        }
        text
    }
}
