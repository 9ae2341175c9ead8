//! No client account is admitted above its burst and rate, over any window.

use crate::id::Time;
use derive_more::{Display, Error};
use std::time::Duration;

/// An admission above burst + rate × window for some window that ends with it.
#[derive(Debug, Clone, Copy, PartialEq, Display, Error)]
#[display("admission {index} at {at:?} is {excess:.3} tokens above rate and burst")]
pub struct Excess {
    /// Place of the admission in time order.
    pub index: usize,
    /// When.
    pub at: Time,
    /// Tokens missing.
    pub excess: f64,
}

/// A bucket with the whole rate and burst, as one host alone would count.
///
/// The admissions of all windows stay within bounds exactly if this bucket, full at the start,
/// never runs below zero.
#[derive(Debug, Clone, Copy)]
pub struct Bucket {
    rate: f64,
    burst: f64,
    level: f64,
    at: Time,
}

impl Bucket {
    /// A full bucket.
    pub fn new(rate: impl Into<f64>, burst: impl Into<f64>) -> Bucket {
        let (rate, burst) = (rate.into(), burst.into());
        Bucket { rate, burst, level: burst, at: Duration::ZERO }
    }

    /// Level at `now`.
    pub fn level(&mut self, now: Time) -> f64 {
        let gained = now.saturating_sub(self.at).as_secs_f64() * self.rate;
        self.level = (self.level + gained).min(self.burst);
        self.at = self.at.max(now);
        self.level
    }

    /// Takes a token if there is one.
    pub fn admit(&mut self, now: Time) -> bool {
        let has_token = self.level(now) >= 1.0;
        if has_token {
            self.level -= 1.0;
        }
        has_token
    }

    /// Takes a token, also below zero; answers the level after.
    pub fn charge(&mut self, now: Time) -> f64 {
        self.level = self.level(now) - 1.0;
        self.level
    }
}

/// Rounding of the check's own arithmetic, tokens.
const TOLERANCE: f64 = 1e-3;

/// Checks the admissions of all hosts together, in order of time.
pub fn verify(admissions: &[Time], rate: u32, burst: u32) -> Result<(), Excess> {
    let mut bucket = Bucket::new(rate, burst);
    for (index, at) in admissions.iter().enumerate() {
        let level = bucket.charge(*at);
        if level < -TOLERANCE {
            return Err(Excess { index, at: *at, excess: -level });
        }
    }
    Ok(())
}
