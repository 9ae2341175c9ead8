//! A seeded source of pseudo-random numbers (SplitMix64), for jitter and backoff.
//!
//! Decisions must be repeatable from their seed; nothing here is fit for secrets.

use std::time::Duration;

const GAMMA: u64 = 0x9e37_79b9_7f4a_7c15;

/// A seeded generator.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Source {
    state: u64,
}

impl Source {
    /// A generator that gives the same numbers for the same seed.
    pub fn new(seed: u64) -> Source {
        Source { state: seed }
    }

    /// The next 64 bits.
    pub fn bits(&mut self) -> u64 {
        self.state = self.state.wrapping_add(GAMMA);
        mix(self.state)
    }

    /// A number below `bound`; zero when the bound is zero.
    pub fn below(&mut self, bound: u64) -> u64 {
        self.bits().checked_rem(bound).unwrap_or(0)
    }

    /// A time below `bound`.
    pub fn time_below(&mut self, bound: Duration) -> Duration {
        Duration::from_micros(self.below(bound.as_micros() as u64))
    }

    /// Whether an event of the given chance, in thousandths, happens.
    pub fn chance(&mut self, thousandths: u64) -> bool {
        self.below(1000) < thousandths
    }
}

/// A well-mixed hash of one word.
pub fn mix(word: u64) -> u64 {
    let mut z = word;
    z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    z ^ (z >> 31)
}
