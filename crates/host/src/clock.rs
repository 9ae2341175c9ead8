//! Monotonic clock, which provides the time in the form that the core uses.

use bergamotvale_core::id::Time;
use std::time::Instant;

/// Monotonic clock that counts [`Time`] from its creation.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    epoch: Instant,
}

impl Clock {
    /// A clock whose epoch is now; times of different clocks cannot be compared.
    #[allow(
        clippy::new_without_default,
        reason = "each clock has its own epoch, so construction must be explicit"
    )]
    pub fn new() -> Clock {
        Clock { epoch: Instant::now() }
    }

    /// Time since the clock's epoch.
    pub fn now(&self) -> Time {
        self.epoch.elapsed()
    }

    /// Converts `time` to an instant for the runtime's timers.
    pub fn instant(&self, time: Time) -> Instant {
        self.epoch + time
    }
}
