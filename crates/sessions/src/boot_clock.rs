//! Monotone time that also counts while the machine is suspended.
//!
//! Leases and ages rest on it: a host that was suspended must find its lease ended.

use bergamotvale_core::id::Time;
use nix::time::{ClockId, clock_gettime};

/// Time since the machine started.
pub fn now() -> Time {
    let time = clock_gettime(ClockId::CLOCK_BOOTTIME).expect("Linux has this clock");
    Time::from(time)
}
