//! From a seed that breaks an invariant to the least that still breaks one.
//!
//! Faults are left out one by one, then the run is ended earlier; both until nothing more can go.
//! Faults are drawn before all else, so that leaving one out changes no other.

use super::{Defect, STEP, World};
use bergamotvale_core::id::Time;
use bergamotvale_core::invariant::Violation;
use std::fmt;

/// The least of a seed that still breaks an invariant.
pub struct Reproducer {
    pub seed: u64,
    pub defect: Defect,
    /// Places of the faults that are needed.
    pub kept: Vec<usize>,
    /// When the run ends.
    pub end: Time,
    /// What breaks.
    pub violation: Violation,
}

impl Reproducer {
    /// The world that breaks.
    pub fn replay(&self) -> World {
        World::new(self.seed, self.defect).with_faults(&self.kept).with_end(self.end)
    }

    /// Takes `kept` and `end` over if that breaks too; says whether it did.
    fn try_smaller(&mut self, kept: Vec<usize>, end: Time) -> bool {
        let world = World::new(self.seed, self.defect);
        let Err(violation) = world.with_faults(&kept).with_end(end).run() else { return false };
        (self.kept, self.end, self.violation) = (kept, end, violation);
        true
    }

    /// Leaves out a fault that is not needed.
    fn drop_fault(&mut self) -> bool {
        (0..self.kept.len()).any(|index| {
            let mut fewer = self.kept.clone();
            fewer.remove(index);
            self.try_smaller(fewer, self.end)
        })
    }

    /// Ends the run earlier, by as much as may be.
    fn shorten(&mut self) -> bool {
        let mut cut = self.end / 2;
        while cut >= STEP {
            if self.try_smaller(self.kept.clone(), self.end - cut) {
                return true;
            }
            cut /= 2;
        }
        false
    }
}

impl fmt::Display for Reproducer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let faults = self.replay().faults();
        let Reproducer { end, violation, .. } = self;
        write!(f, "least: {violation}; ends after {} ms; faults: {faults}", end.as_millis())
    }
}

/// Shrinks `seed`; none when it breaks nothing.
pub fn shrink(seed: u64, defect: Defect) -> Option<Reproducer> {
    let mut world = World::new(seed, defect);
    let (kept, end) = ((0..world.fault_count()).collect(), world.end());
    let violation = world.run().err()?;
    let mut least = Reproducer { seed, defect, kept, end, violation };
    while least.drop_fault() || least.shorten() {}
    Some(least)
}
