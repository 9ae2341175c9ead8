//! What this host knows of each target from its own work.

use crate::boot_clock;
use crate::pool::Pool;
use bergamotvale_core::id::Time;
use bergamotvale_core::proxy::directory::TargetName;
use bergamotvale_core::proxy::evidence::{Evidence, View};
use bergamotvale_core::proxy::floor::Position;
use siphasher::sip::SipHasher13;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::hash::Hasher;
use std::rc::Rc;
use std::time::Duration;

/// Weight of a new sample in the mean time of a statement: one in this many.
const WORK_SAMPLES: u32 = 16;
/// Mean time of a statement before any was seen.
const WORK_AT_FIRST: Duration = Duration::from_millis(20);

/// One target.
#[derive(Debug)]
pub struct Target {
    /// Its name.
    pub name: TargetName,
    /// Connections to it.
    pub pool: RefCell<Pool>,
    /// Statements of this host that run or wait there.
    pub in_flight: Cell<u32>,
    evidence: RefCell<Evidence>,
    position: Cell<Position>,
    work: Cell<Duration>,
}

impl Target {
    fn new(name: &TargetName) -> Target {
        Target {
            name: name.clone(),
            pool: RefCell::default(),
            in_flight: Cell::new(0),
            evidence: RefCell::default(),
            position: Cell::default(),
            work: Cell::new(WORK_AT_FIRST),
        }
    }

    /// A question was sent.
    pub fn ask(&self) {
        self.evidence.borrow_mut().record_request(boot_clock::now());
        self.in_flight.set(self.in_flight.get() + 1);
    }

    /// A question ended, with an answer or without.
    pub fn end(&self) {
        self.in_flight.set(self.in_flight.get().saturating_sub(1));
    }

    /// Bytes arrived.
    pub fn answer(&self) {
        let is_waiting = self.in_flight.get() > 1;
        self.evidence.borrow_mut().record_response(boot_clock::now(), is_waiting);
    }

    /// A connection was refused or broke.
    pub fn fail(&self) {
        self.evidence.borrow_mut().record_connection_failure(boot_clock::now());
    }

    /// It said that it takes no writes.
    pub fn depose(&self) {
        self.evidence.borrow_mut().record_deposed(boot_clock::now());
    }

    /// It is the primary.
    pub fn record_primary(&self) {
        self.evidence.borrow_mut().clear_deposed();
    }

    /// Whether it is alive, in this host's view.
    pub fn view(&self) -> View {
        self.evidence.borrow().view(boot_clock::now())
    }

    /// Whether a question has been open for so long that its life should be checked.
    pub fn needs_probe(&self, now: Time) -> bool {
        self.evidence.borrow().needs_probe(now)
    }

    /// Position that it was last seen at.
    pub fn position(&self) -> Position {
        self.position.get()
    }

    /// Notes a position that it answered with.
    pub fn note_position(&self, position: Position) {
        self.position.set(position);
    }

    /// Mean time of a statement there.
    pub fn work(&self) -> Duration {
        self.work.get()
    }

    /// Notes the time that a statement took.
    pub fn note_work(&self, took: Duration) {
        self.work.set((self.work.get() * (WORK_SAMPLES - 1) + took) / WORK_SAMPLES);
    }
}

/// A number for a name, the same on every host.
pub fn name_hash(name: &str) -> u64 {
    let mut hasher = SipHasher13::new();
    hasher.write(name.as_bytes());
    hasher.finish()
}

/// All targets that this host has met.
#[derive(Debug, Default)]
pub struct Targets {
    known: RefCell<BTreeMap<TargetName, Rc<Target>>>,
}

impl Targets {
    /// The target of this name.
    pub fn get(&self, name: &TargetName) -> Rc<Target> {
        let mut known = self.known.borrow_mut();
        known.entry(name.clone()).or_insert_with(|| Rc::new(Target::new(name))).clone()
    }

    /// Whether the target is alive, in this host's view.
    pub fn view(&self, name: &TargetName) -> View {
        self.known.borrow().get(name).map_or(View::Alive, |target| target.view())
    }

    /// The target is the primary.
    pub fn record_primary(&self, name: &TargetName) {
        self.get(name).record_primary();
    }

    /// Positions that targets were last seen at.
    pub fn positions(&self) -> BTreeMap<TargetName, Position> {
        let known = self.known.borrow();
        known.values().map(|target| (target.name.clone(), target.position())).collect()
    }

    /// Views of all targets.
    pub fn views(&self) -> BTreeMap<TargetName, View> {
        let known = self.known.borrow();
        known.values().map(|target| (target.name.clone(), target.view())).collect()
    }

    /// Forgets targets that `keep` does not hold.
    pub fn retain(&self, keep: impl Fn(&TargetName) -> bool) {
        self.known.borrow_mut().retain(|name, target| keep(name) || target.in_flight.get() > 0);
    }

    /// Every target.
    pub fn all(&self) -> Vec<Rc<Target>> {
        self.known.borrow().values().cloned().collect()
    }
}
