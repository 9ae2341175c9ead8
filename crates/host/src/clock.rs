//! Monotone time since the process's epoch, as the core counts it.

use bergamotvale_core::id::Time;
use std::time::Instant;

/// Source of [`Time`].
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    epoch: Instant,
}

impl Clock {
    /// A clock that starts now.
    #[allow(
        clippy::new_without_default,
        reason = "a clock that is made twice counts from two epochs"
    )]
    pub fn new() -> Clock {
        Clock { epoch: Instant::now() }
    }

    /// Time now.
    pub fn now(&self) -> Time {
        self.epoch.elapsed()
    }

    /// `time` as the runtime's timers count it.
    pub fn instant(&self, time: Time) -> Instant {
        self.epoch + time
    }
}
