//! From a seed that breaks an invariant to the least that still breaks one.
//!
//! Faults are left out one by one, then the run is ended earlier; both until nothing more can go.
//! Faults are drawn before all else, so that leaving one out changes no other.

use super::{Defect, STEP, World};
use bergamotvale_core::id::Time;
use bergamotvale_core::invariant::Broken;
use std::fmt;

/// The least of a seed that still breaks an invariant.
pub struct Least {
    pub seed: u64,
    pub defect: Defect,
    /// Places of the faults that are needed.
    pub kept: Vec<usize>,
    /// When the run ends.
    pub end: Time,
    /// What breaks.
    pub broken: Broken,
}

impl Least {
    /// The world that breaks.
    pub fn replay(&self) -> World {
        World::new(self.seed, self.defect).with_faults(&self.kept).with_end(self.end)
    }

    /// Takes `kept` and `end` over if that breaks too; says whether it did.
    fn try_less(&mut self, kept: Vec<usize>, end: Time) -> bool {
        let world = World::new(self.seed, self.defect);
        let Err(broken) = world.with_faults(&kept).with_end(end).run() else { return false };
        (self.kept, self.end, self.broken) = (kept, end, broken);
        true
    }

    /// Leaves out a fault that is not needed.
    fn drop_fault(&mut self) -> bool {
        (0..self.kept.len()).any(|place| {
            let mut fewer = self.kept.clone();
            fewer.remove(place);
            self.try_less(fewer, self.end)
        })
    }

    /// Ends the run earlier, by as much as may be.
    fn end_earlier(&mut self) -> bool {
        let mut cut = self.end / 2;
        while cut >= STEP {
            if self.try_less(self.kept.clone(), self.end - cut) {
                return true;
            }
            cut /= 2;
        }
        false
    }
}

impl fmt::Display for Least {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let faults = self.replay().faults();
        let Least { end, broken, .. } = self;
        write!(f, "least: {broken}; ends after {} ms; faults: {faults}", end.as_millis())
    }
}

/// Shrinks `seed`; none when it breaks nothing.
pub fn shrink(seed: u64, defect: Defect) -> Option<Least> {
    let mut world = World::new(seed, defect);
    let (kept, end) = ((0..world.fault_count()).collect(), world.end());
    let broken = world.run().err()?;
    let mut least = Least { seed, defect, kept, end, broken };
    while least.drop_fault() || least.end_earlier() {}
    Some(least)
}
