//! Shrinks a seed that violates an invariant to a minimal run that still violates one.
//!
//! Removes faults one by one and shortens the run, until neither is possible. The faults are drawn
//! before anything else, so removing one doesn't change the others.

use super::{Defect, STEP, World};
use bergamotvale_core::id::Time;
use bergamotvale_core::invariant::Violation;
use std::fmt;

/// A minimal run of a seed that still violates an invariant.
pub struct Reproducer {
    pub seed: u64,
    pub defect: Defect,
    /// Indices of the faults that are needed.
    pub kept: Vec<usize>,
    /// Time at which the run ends.
    pub end: Time,
    /// Violation at the end of the run.
    pub violation: Violation,
}

impl Reproducer {
    /// Returns the simulation, ready to run.
    pub fn replay(&self) -> World {
        World::new(self.seed, self.defect).with_faults(&self.kept).with_end(self.end)
    }

    /// Adopts `kept` and `end` if the run still violates an invariant; returns whether it does.
    fn try_smaller(&mut self, kept: Vec<usize>, end: Time) -> bool {
        let world = World::new(self.seed, self.defect);
        let Err(violation) = world.with_faults(&kept).with_end(end).run() else { return false };
        (self.kept, self.end, self.violation) = (kept, end, violation);
        true
    }

    /// Removes a fault that is not needed; returns whether there was one.
    fn drop_fault(&mut self) -> bool {
        (0..self.kept.len()).any(|index| {
            let mut fewer = self.kept.clone();
            fewer.remove(index);
            self.try_smaller(fewer, self.end)
        })
    }

    /// Ends the run earlier by the largest step that succeeds, halving from half its duration;
    /// returns whether one did.
    fn shorten(&mut self) -> bool {
        let mut reduction = self.end / 2;
        while reduction >= STEP {
            if self.try_smaller(self.kept.clone(), self.end - reduction) {
                return true;
            }
            reduction /= 2;
        }
        false
    }
}

impl fmt::Display for Reproducer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let faults = self.replay().faults();
        let Reproducer { end, violation, .. } = self;
        write!(f, "minimal run: {violation}; ends after {} ms; faults: {faults}", end.as_millis())
    }
}

/// Shrinks `seed`; `None` if it violates no invariant.
pub fn shrink(seed: u64, defect: Defect) -> Option<Reproducer> {
    let mut world = World::new(seed, defect);
    let (kept, end) = ((0..world.fault_count()).collect(), world.end());
    let violation = world.run().err()?;
    let mut reproducer = Reproducer { seed, defect, kept, end, violation };
    while reproducer.drop_fault() || reproducer.shorten() {}
    Some(reproducer)
}
