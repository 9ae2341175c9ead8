//! State of each target as this host knows it from its own traffic: liveness, position and load.

use crate::boot_clock;
use crate::pool::Pool;
use bergamotvale_core::id::Time;
use bergamotvale_core::proxy::capacity::Capacity;
use bergamotvale_core::proxy::directory::TargetName;
use bergamotvale_core::proxy::evidence::{Evidence, View};
use bergamotvale_core::proxy::floor::Position;
use siphasher::sip::SipHasher13;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::hash::Hasher;
use std::rc::Rc;
use std::time::Duration;

/// A new sample counts for one part in this many in the mean duration of a statement.
const STATEMENT_TIME_SAMPLES: u32 = 16;
/// Mean duration of a statement that is assumed before the first sample.
const INITIAL_STATEMENT_TIME: Duration = Duration::from_millis(20);

/// State of one target.
#[derive(Debug)]
pub struct Target {
    /// Name in the directory, unique across services.
    pub name: TargetName,
    /// Pool of this host's connections to the target.
    pub pool: RefCell<Pool>,
    /// Number of this host's requests without an answer yet, including connections being opened.
    pub in_flight: Cell<u32>,
    evidence: RefCell<Evidence>,
    position: Cell<Position>,
    statement_time: Cell<Duration>,
}

impl Target {
    fn new(name: &TargetName) -> Target {
        Target {
            name: name.clone(),
            pool: RefCell::default(),
            in_flight: Cell::new(0),
            evidence: RefCell::default(),
            position: Cell::default(),
            statement_time: Cell::new(INITIAL_STATEMENT_TIME),
        }
    }

    /// Records that a request or a new connection is being sent.
    pub fn record_request(&self) {
        self.evidence.borrow_mut().record_request(boot_clock::now());
        self.in_flight.set(self.in_flight.get() + 1);
    }

    /// Records the end of a request, with or without an answer.
    pub fn record_end(&self) {
        self.in_flight.set(self.in_flight.get().saturating_sub(1));
    }

    /// Records that bytes arrived, which show that the target is alive.
    pub fn record_response(&self) {
        let has_pending = self.in_flight.get() > 1;
        self.evidence.borrow_mut().record_response(boot_clock::now(), has_pending);
    }

    /// Records that a connection was refused or failed.
    pub fn record_connection_failure(&self) {
        self.evidence.borrow_mut().record_connection_failure(boot_clock::now());
    }

    /// Records that the target refused a write because it is not the primary.
    pub fn record_deposed(&self) {
        self.evidence.borrow_mut().record_deposed(boot_clock::now());
    }

    /// Forgets all evidence of the target's health: it says nothing of the present.
    fn restart_evidence(&self) {
        *self.evidence.borrow_mut() = Evidence::default();
    }

    /// Records that the target is the established primary.
    pub fn record_primary(&self) {
        self.evidence.borrow_mut().clear_deposed();
    }

    /// This host's present view of the target.
    pub fn view(&self) -> View {
        self.evidence.borrow().view(boot_clock::now())
    }

    /// Whether a new connection should probe the target: a request has been pending for long, or
    /// connections fail.
    pub fn needs_probe(&self, now: Time) -> bool {
        self.evidence.borrow().needs_probe(now)
    }

    /// Log position in the target's newest answer; the default before the first.
    pub fn position(&self) -> Position {
        self.position.get()
    }

    /// Records the log position in an answer of the target.
    pub fn record_position(&self, position: Position) {
        self.position.set(position);
    }

    /// Moving average of the duration of a statement at the target.
    pub fn statement_time(&self) -> Duration {
        self.statement_time.get()
    }

    /// Replaces the moving average, because the durations in it say nothing of the present.
    pub fn set_statement_time(&self, mean: Duration) {
        self.statement_time.set(mean);
    }

    /// Adds the duration of a statement to the moving average.
    pub fn record_statement_time(&self, took: Duration) {
        self.statement_time.set(
            (self.statement_time.get() * (STATEMENT_TIME_SAMPLES - 1) + took)
                / STATEMENT_TIME_SAMPLES,
        );
    }
}

/// Hash of a name, the same on every host and in every incarnation.
pub fn name_hash(name: &str) -> u64 {
    let mut hasher = SipHasher13::new();
    hasher.write(name.as_bytes());
    hasher.finish()
}

/// State of each target that this host has used or probed, by name.
#[derive(Debug, Default)]
pub struct Targets {
    /// Limits that this host has learned for targets that are slower than others of their group.
    pub capacity: RefCell<Capacity>,
    known: RefCell<BTreeMap<TargetName, Rc<Target>>>,
}

impl Targets {
    /// Returns the target of this name; one that is not known yet is added, with an empty pool.
    pub fn get(&self, name: &TargetName) -> Rc<Target> {
        let mut known = self.known.borrow_mut();
        known.entry(name.clone()).or_insert_with(|| Rc::new(Target::new(name))).clone()
    }

    /// This host's present view of a target; a target that is not known counts as alive.
    pub fn view(&self, name: &TargetName) -> View {
        self.known.borrow().get(name).map_or(View::Alive, |target| target.view())
    }

    /// Forgets the evidence of a target's health, because it has another role since.
    pub fn restart_evidence_of(&self, name: &TargetName) {
        self.get(name).restart_evidence();
    }

    /// Forgets the evidence of all targets' health, because this host was cut off or suspended.
    pub fn restart_evidence(&self) {
        self.known.borrow().values().for_each(|target| target.restart_evidence());
    }

    /// Records that a target is the established primary.
    pub fn record_primary(&self, name: &TargetName) {
        self.get(name).record_primary();
    }

    /// Log position in the newest answer of each target.
    pub fn positions(&self) -> BTreeMap<TargetName, Position> {
        let known = self.known.borrow();
        known.values().map(|target| (target.name.clone(), target.position())).collect()
    }

    /// This host's present view of each target.
    pub fn views(&self) -> BTreeMap<TargetName, View> {
        let known = self.known.borrow();
        known.values().map(|target| (target.name.clone(), target.view())).collect()
    }

    /// Forgets targets for which `keep` is false, but not those with requests in flight.
    pub fn retain(&self, keep: impl Fn(&TargetName) -> bool) {
        self.known.borrow_mut().retain(|name, target| keep(name) || target.in_flight.get() > 0);
        self.capacity.borrow_mut().retain(keep);
    }

    /// All known targets, ordered by name.
    pub fn all(&self) -> Vec<Rc<Target>> {
        self.known.borrow().values().cloned().collect()
    }
}
