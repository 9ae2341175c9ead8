//! Checks that no client account is admitted above its rate and burst over any window of time.

use crate::id::Time;
use derive_more::{Display, Error};
use std::time::Duration;

/// An admission that exceeds burst + rate × window for some window that ends with it.
#[derive(Debug, Clone, Copy, PartialEq, Display, Error)]
#[display("admission {index} at {at:?} is {excess:.3} tokens above rate and burst")]
pub struct Excess {
    /// Index of the admission in order of time.
    pub index: usize,
    /// Time of the admission.
    pub at: Time,
    /// Number of tokens above the bound.
    pub excess: f64,
}

/// A token bucket with an account's whole rate and burst, as a single host would keep it.
///
/// Admissions stay within burst + rate × window over every window if and only if this bucket, full
/// at the start, never falls below zero.
#[derive(Debug, Clone, Copy)]
pub struct Bucket {
    rate: f64,
    burst: f64,
    level: f64,
    at: Time,
}

impl Bucket {
    /// Creates a full bucket with a rate in tokens per second and a burst in tokens.
    pub fn new(rate: impl Into<f64>, burst: impl Into<f64>) -> Bucket {
        let (rate, burst) = (rate.into(), burst.into());
        Bucket { rate, burst, level: burst, at: Duration::ZERO }
    }

    /// Refills the bucket up to `now` and returns its level in tokens, which may be negative.
    pub fn level(&mut self, now: Time) -> f64 {
        let gained = now.saturating_sub(self.at).as_secs_f64() * self.rate;
        self.level = (self.level + gained).min(self.burst);
        self.at = self.at.max(now);
        self.level
    }

    /// Takes a token if one is available; returns whether it did.
    pub fn admit(&mut self, now: Time) -> bool {
        let has_token = self.level(now) >= 1.0;
        if has_token {
            self.level -= 1.0;
        }
        has_token
    }

    /// Takes a token even if that makes the level negative; returns the new level.
    pub fn charge(&mut self, now: Time) -> f64 {
        self.level = self.level(now) - 1.0;
        self.level
    }
}

/// Tolerance for rounding errors of the floating-point level, in tokens.
const ROUNDING_TOLERANCE: f64 = 1e-3;

/// Checks the admissions of all hosts together; `admissions` are ordered by time.
pub fn verify(admissions: &[Time], rate: u32, burst: u32) -> Result<(), Excess> {
    let mut bucket = Bucket::new(rate, burst);
    for (index, at) in admissions.iter().enumerate() {
        let level = bucket.charge(*at);
        if level < -ROUNDING_TOLERANCE {
            return Err(Excess { index, at: *at, excess: -level });
        }
    }
    Ok(())
}
