//! Injects and heals the faults of a scenario at their due times.

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

/// Injects the faults of one run.
pub struct Injector<'a> {
    system: &'a mut System,
    scenario: &'a Scenario,
    start: Instant,
    progress: Arc<Progress>,
    /// Targets of the faults in effect, by the index of the fault. Stored because the primary,
    /// which a fault may address, can change before the fault is healed.
    targets: BTreeMap<usize, Target>,
    /// Hosts that are stopping, by index.
    stopping: BTreeMap<usize, JoinHandle<()>>,
    injected: Vec<history::Fault>,
}

/// The injection or the healing of a fault at its due time. The order of the fields is the order of
/// execution.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Event {
    at: Duration,
    fault_index: usize,
    is_healing: bool,
}

impl<'a> Injector<'a> {
    /// An injector for a run that begins at `start`.
    pub fn new(
        system: &'a mut System,
        scenario: &'a Scenario,
        start: Instant,
        progress: Arc<Progress>,
    ) -> Injector<'a> {
        Injector {
            system,
            scenario,
            start,
            progress,
            targets: BTreeMap::new(),
            stopping: BTreeMap::new(),
            injected: Vec::new(),
        }
    }

    /// Injects and heals all faults at their times; returns the record of the injected ones.
    pub async fn run(mut self) -> Result<Vec<history::Fault>> {
        for event in schedule(&self.scenario.faults) {
            tokio::time::sleep_until(self.start + event.at).await;
            let fault = &self.scenario.faults[event.fault_index];
            if event.is_healing {
                self.heal(event.fault_index, fault).await?;
            } else {
                self.inject(event.fault_index, fault)?;
            }
        }
        Ok(self.injected)
    }

    fn inject(&mut self, index: usize, fault: &Fault) -> Result<()> {
        let begun = self.start.elapsed();
        let (name, primary_of) = if fault.kind.is_target() {
            self.inject_target_fault(index, fault)?
        } else if fault.kind.is_store() {
            self.set_store_fault(fault, true)?;
            (fault.kind.to_string(), None)
        } else {
            let host = fault.host.unwrap_or_default();
            self.stop_host(host);
            (format!("stop_host {host}"), None)
        };
        let done = self.start.elapsed();
        self.progress.record_fault(name.clone());
        self.injected.push(history::Fault { name, primary_of, begun, done });
        Ok(())
    }

    fn inject_target_fault(
        &mut self,
        index: usize,
        fault: &Fault,
    ) -> Result<(String, Option<usize>)> {
        let service = self.service(fault)?;
        let primary = self.system.primary(service);
        let number = fault.target.or(primary).unwrap_or_default();
        let target = self.system.groups[service].target(number).clone();
        inject_into_target(&target, fault, self.scenario.services[service].targets);
        self.targets.insert(index, target);
        let disables_primary = fault.kind.disables_primary() && primary == Some(number);
        let name = format!("{} {} {number}", fault.kind, self.scenario.services[service].name);
        Ok((name, disables_primary.then_some(service)))
    }

    async fn heal(&mut self, index: usize, fault: &Fault) -> Result<()> {
        self.progress.record_fault(format!("{} ends", fault.kind));
        if fault.kind.is_store() {
            return self.set_store_fault(fault, false);
        }
        if fault.kind == FaultKind::StopHost {
            return self.restart_host(fault.host.unwrap_or_default()).await;
        }
        let lag = self.scenario.services[self.service(fault)?].lag;
        match self.targets.remove(&index) {
            Some(target) => heal_target(&target, fault.kind, lag),
            None => Ok(()),
        }
    }

    fn service(&self, fault: &Fault) -> Result<usize> {
        let name = fault.service.as_deref().unwrap_or_default();
        self.scenario
            .service(name)
            .ok_or_else(|| Error::Usage(format!("there is no service {name}")))
    }

    fn set_store_fault(&self, fault: &Fault, on: bool) -> Result<()> {
        let delay = if on { fault.delay.unwrap_or_default() } else { Duration::ZERO };
        let faults = self.system.platform.faults();
        let result = faults.set(|store| match fault.kind {
            FaultKind::StoreDown => store.outage = on,
            FaultKind::StoreHang => store.hang = on,
            _ => store.delay = delay,
        });
        result.map_err(start_error)
    }

    fn stop_host(&mut self, host: usize) {
        if let Some(stopping) = self.system.hosts[host].begin_stop() {
            self.stopping.insert(host, stopping);
        }
    }

    async fn restart_host(&mut self, host: usize) -> Result<()> {
        if let Some(stopping) = self.stopping.remove(&host) {
            stopping.await.map_err(start_error)?;
        }
        self.system.hosts[host].restart().await
    }
}

fn start_error(error: impl ToString) -> Error {
    Error::Start(error.to_string())
}

/// Injections and healings in order of time. A fault without a duration has no healing here: the
/// run heals it at the end by [`heal_all`].
fn schedule(faults: &[Fault]) -> Vec<Event> {
    let mut events = Vec::new();
    for (fault_index, fault) in faults.iter().enumerate() {
        events.push(Event { at: fault.at, fault_index, is_healing: false });
        if let Some(lasts) = fault.lasts {
            events.push(Event { at: fault.at + lasts, fault_index, is_healing: true });
        }
    }
    events.sort();
    events
}

fn inject_into_target(target: &Target, fault: &Fault, targets: usize) {
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

fn heal_target(target: &Target, kind: FaultKind, lag: Duration) -> Result<()> {
    match kind {
        FaultKind::Kill => target.restart().map_err(start_error)?,
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

/// Heals all faults of the targets and the platform, so that replication can catch up. Stopped
/// hosts stay stopped.
pub fn heal_all(system: &System) -> Result<()> {
    for target in system.groups.iter().flat_map(|group| group.targets()) {
        target.resume();
        target.heal();
        target.set_callers_blocked(false);
        target.set_poisoned(false);
        target.drop_commit_responses(0);
        target.set_lag(Duration::ZERO);
        target.restart().map_err(start_error)?;
    }
    let faults = system.platform.faults();
    faults
        .set(|store| {
            store.outage = false;
            store.hang = false;
            store.delay = Duration::ZERO;
        })
        .map_err(start_error)
}
