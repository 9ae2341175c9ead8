//! Sets and heals the faults of a scenario when they are due.

use crate::bench::history;
use crate::bench::progress::Progress;
use crate::bench::scenario::{Fault, FaultKind, Scenario};
use crate::error::{Error, Result};
use crate::system::System;
use bergamotvale_standin::group::Target;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use tokio::task::JoinHandle;
use tokio::time::Instant;

/// Drives the faults of one run.
pub struct Driver<'a> {
    system: &'a mut System,
    scenario: &'a Scenario,
    start: Instant,
    progress: Arc<Progress>,
    /// Targets of the faults that are set, by the fault's place.
    targets: BTreeMap<usize, Target>,
    /// Hosts on their way out, by their place.
    stopping: BTreeMap<usize, JoinHandle<()>>,
    recorded: Vec<history::Fault>,
}

/// Something to do at a time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Due {
    at: Duration,
    place: usize,
    heals: bool,
}

impl<'a> Driver<'a> {
    /// A driver for a run that began at `start`.
    pub fn new(
        system: &'a mut System,
        scenario: &'a Scenario,
        start: Instant,
        progress: Arc<Progress>,
    ) -> Driver<'a> {
        Driver {
            system,
            scenario,
            start,
            progress,
            targets: BTreeMap::new(),
            stopping: BTreeMap::new(),
            recorded: Vec::new(),
        }
    }

    /// Sets and heals all faults; answers with the record of those that were set.
    pub async fn run(mut self) -> Result<Vec<history::Fault>> {
        for due in schedule(&self.scenario.faults) {
            tokio::time::sleep_until(self.start + due.at).await;
            let fault = &self.scenario.faults[due.place];
            if due.heals {
                self.heal(due.place, fault).await?;
            } else {
                self.set(due.place, fault)?;
            }
        }
        Ok(self.recorded)
    }

    fn set(&mut self, place: usize, fault: &Fault) -> Result<()> {
        let begun = self.start.elapsed();
        let (name, primary_of) = if fault.kind.is_target() {
            self.set_target(place, fault)?
        } else if fault.kind.is_store() {
            self.set_store(fault, true)?;
            (fault.kind.to_string(), None)
        } else {
            let host = fault.host.unwrap_or_default();
            self.stop_host(host);
            (format!("stop_host {host}"), None)
        };
        let done = self.start.elapsed();
        self.progress.note(name.clone());
        self.recorded.push(history::Fault { name, primary_of, begun, done });
        Ok(())
    }

    fn set_target(&mut self, place: usize, fault: &Fault) -> Result<(String, Option<usize>)> {
        let service = self.service(fault)?;
        let primary = self.system.primary(service);
        let number = fault.target.or(primary).unwrap_or_default();
        let target = self.system.groups[service].target(number).clone();
        apply(&target, fault, self.scenario.services[service].targets);
        self.targets.insert(place, target);
        let takes_primary = fault.kind.takes_primary() && primary == Some(number);
        let name = format!("{} {} {number}", fault.kind, self.scenario.services[service].name);
        Ok((name, takes_primary.then_some(service)))
    }

    async fn heal(&mut self, place: usize, fault: &Fault) -> Result<()> {
        self.progress.note(format!("{} ends", fault.kind));
        if fault.kind.is_store() {
            return self.set_store(fault, false);
        }
        if fault.kind == FaultKind::StopHost {
            return self.restart_host(fault.host.unwrap_or_default()).await;
        }
        let lag = self.scenario.services[self.service(fault)?].lag;
        match self.targets.remove(&place) {
            Some(target) => undo(&target, fault.kind, lag),
            None => Ok(()),
        }
    }

    fn service(&self, fault: &Fault) -> Result<usize> {
        let name = fault.service.as_deref().unwrap_or_default();
        self.scenario.service(name).ok_or_else(|| Error::Usage(format!("no service {name}")))
    }

    fn set_store(&self, fault: &Fault, on: bool) -> Result<()> {
        let delay = if on { fault.delay.unwrap_or_default() } else { Duration::ZERO };
        let faults = self.system.platform.faults();
        let set = faults.set(|store| match fault.kind {
            FaultKind::StoreDown => store.outage = on,
            FaultKind::StoreHang => store.hang = on,
            _ => store.delay = delay,
        });
        set.map_err(broken)
    }

    fn stop_host(&mut self, host: usize) {
        if let Some(stopping) = self.system.hosts[host].begin_stop() {
            self.stopping.insert(host, stopping);
        }
    }

    async fn restart_host(&mut self, host: usize) -> Result<()> {
        if let Some(stopping) = self.stopping.remove(&host) {
            stopping.await.map_err(broken)?;
        }
        self.system.hosts[host].restart().await
    }
}

fn broken(error: impl ToString) -> Error {
    Error::Start(error.to_string())
}

/// What is to be done, in order; a fault without an end is healed after the others, by the run.
fn schedule(faults: &[Fault]) -> Vec<Due> {
    let mut due = Vec::new();
    for (place, fault) in faults.iter().enumerate() {
        due.push(Due { at: fault.at, place, heals: false });
        if let Some(lasts) = fault.lasts {
            due.push(Due { at: fault.at + lasts, place, heals: true });
        }
    }
    due.sort();
    due
}

fn apply(target: &Target, fault: &Fault, targets: usize) {
    let others: Vec<usize> = (0..targets).filter(|other| *other != target.number()).collect();
    match fault.kind {
        FaultKind::Kill => target.kill(),
        FaultKind::Pause => target.pause(),
        FaultKind::Partition => target.partition(&others),
        FaultKind::Isolate => {
            target.partition(&others);
            target.set_callers_blocked(true);
        }
        FaultKind::Silence => target.silence_connections(),
        FaultKind::Poison => target.set_poisoned(true),
        FaultKind::Lag => target.set_lag(fault.delay.unwrap_or_default()),
        FaultKind::LostAnswers => target.drop_commit_responses(u64::MAX),
        FaultKind::Rebuild => target.rebuild(),
        FaultKind::StopHost
        | FaultKind::StoreDown
        | FaultKind::StoreSlow
        | FaultKind::StoreHang => {}
    }
}

fn undo(target: &Target, kind: FaultKind, lag: Duration) -> Result<()> {
    match kind {
        FaultKind::Kill => target.restart().map_err(broken)?,
        FaultKind::Pause => target.resume(),
        FaultKind::Partition => target.heal(),
        FaultKind::Isolate => {
            target.heal();
            target.set_callers_blocked(false);
        }
        FaultKind::Poison => target.set_poisoned(false),
        FaultKind::Lag => target.set_lag(lag),
        FaultKind::LostAnswers => target.drop_commit_responses(0),
        _ => {}
    }
    Ok(())
}

/// Heals every target of the system, so that replication can catch up.
pub fn heal_all(system: &System) -> Result<()> {
    for target in system.groups.iter().flat_map(|group| group.targets()) {
        target.resume();
        target.heal();
        target.set_callers_blocked(false);
        target.set_poisoned(false);
        target.drop_commit_responses(0);
        target.set_lag(Duration::ZERO);
        target.restart().map_err(broken)?;
    }
    let faults = system.platform.faults();
    faults
        .set(|store| {
            store.outage = false;
            store.hang = false;
            store.delay = Duration::ZERO;
        })
        .map_err(broken)
}
