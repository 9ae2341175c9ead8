//! Seeded pseudo-random number generator (SplitMix64), for jitter and backoff.
//!
//! Decisions must be reproducible from their seed. Not cryptographically secure: do not use it for
//! secrets.

use std::time::Duration;

const GOLDEN_GAMMA: u64 = 0x9e37_79b9_7f4a_7c15;

/// A seeded generator of pseudo-random numbers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Source {
    state: u64,
}

impl Source {
    /// Creates a generator; the same seed gives the same sequence of numbers.
    pub fn new(seed: u64) -> Source {
        Source { state: seed }
    }

    /// Returns the next 64 random bits.
    pub fn bits(&mut self) -> u64 {
        self.state = self.state.wrapping_add(GOLDEN_GAMMA);
        mix(self.state)
    }

    /// Returns a number below `bound`, or zero if `bound` is zero.
    pub fn below(&mut self, bound: u64) -> u64 {
        self.bits().checked_rem(bound).unwrap_or(0)
    }

    /// Returns a duration below `bound`, in whole microseconds.
    pub fn time_below(&mut self, bound: Duration) -> Duration {
        Duration::from_micros(self.below(bound.as_micros() as u64))
    }

    /// Returns true with the given probability in thousandths.
    pub fn chance(&mut self, thousandths: u64) -> bool {
        self.below(1000) < thousandths
    }
}

/// Hashes one 64-bit word with the SplitMix64 finalizer.
pub fn mix(word: u64) -> u64 {
    let mut z = word;
    z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    z ^ (z >> 31)
}
