//! Monotonic clock that also counts while the system is suspended.
//!
//! Leases and ages are measured with it, so that a host finds its lease expired after a suspension.

use bergamotvale_core::id::Time;
use nix::time::{ClockId, clock_gettime};

/// Returns the time since the system was booted.
pub fn now() -> Time {
    let time = clock_gettime(ClockId::CLOCK_BOOTTIME).expect("Linux supports CLOCK_BOOTTIME");
    Time::from(time)
}
