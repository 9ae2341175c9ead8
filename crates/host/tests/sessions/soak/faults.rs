//! Fault injection of the soak: draws faults from a seed, one after another or overlapping, and
//! clears each after a random time.

use super::{HOSTS, Soak, domain};
use crate::fixture::Process;
use bergamotvale_platform::catalog;
use bergamotvale_standin::lines::Outage;
use bytes::Bytes;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use rustix::process::Signal;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Range of the time between two draws of a fault.
const FAULT_INTERVAL_MS: std::ops::Range<u64> = 150..900;
/// Range of the time that a fault stays active.
const FAULT_DURATION_MS: std::ops::Range<u64> = 200..2500;
/// A replication stall is also injected with one draw in this many.
const STALL_ONE_IN: u32 = 3;
/// An evacuation is also ordered with one draw in this many.
const EVACUATION_ONE_IN: u32 = 4;
/// Distinguishes the generator of evacuations from the other ones of a seed.
const EVACUATION_SEED: u64 = 1 << 40;
/// Lag of a stalled replica: longer than a run, so that it receives nothing.
const STALLED_LAG: Duration = Duration::from_secs(3600);
const NORMAL_LAG: Duration = Duration::from_millis(5);
/// Time between checks for faults that are due to be cleared or injected.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Upper bound of a host's graceful stop, which has a grace period of 6 s.
const MAX_STOP_TIME: Duration = Duration::from_secs(8);

/// A fault that stays active until it is cleared. The number is the index of the host or target.
///
/// Faults that are due at the same time are cleared in the order of the variants.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Fault {
    /// The host was killed by SIGKILL. It is restarted when the fault is cleared.
    Killed(u8),
    /// The host was sent SIGTERM and has to exit gracefully. It is restarted when the fault is
    /// cleared.
    Stopping(u8),
    /// The host's process is suspended by SIGSTOP.
    Paused(u8),
    /// Nothing is delivered between the host and the store.
    StoreBlocked(u8),
    /// New connections of the host to the store are refused.
    StoreRefused(u8),
    /// The store is silent, busy or slow, loses write responses or delays writes.
    StoreOutage,
    /// The target has crashed: its connections are closed and new ones refused.
    Crashed(usize),
    /// Nothing is delivered between hosts and the target.
    TargetBlocked(usize),
    /// Everything to and from the target is delayed.
    TargetSlow(usize),
    /// Commits take effect at the target, but their responses are lost.
    ResponsesLost(usize),
    /// The target receives no commits while it is a replica.
    ReplicationStalled(usize),
    /// The failure domain of the target is evacuated.
    Evacuated(usize),
}

/// Injects faults until `deadline`, then clears all active ones. Returns the number of faults.
pub(super) fn inject(soak: &Soak, seed: u64, deadline: Instant) -> usize {
    let mut rng = SmallRng::seed_from_u64(seed);
    // Stalls have a generator of their own: seeds that failed before stalls were added to the soak
    // still draw the same other faults.
    let mut stall_rng = SmallRng::seed_from_u64(!seed);
    // So do evacuations.
    let mut evacuation_rng = SmallRng::seed_from_u64(seed ^ EVACUATION_SEED);
    let mut active: BTreeMap<Fault, Instant> = BTreeMap::new();
    let mut count = 0;
    let mut next_fault = Instant::now();
    while Instant::now() < deadline {
        clear_due_faults(soak, &mut active, Instant::now());
        if Instant::now() >= next_fault {
            next_fault =
                Instant::now() + Duration::from_millis(rng.random_range(FAULT_INTERVAL_MS));
            let duration = Duration::from_millis(rng.random_range(FAULT_DURATION_MS));
            count += usize::from(inject_random_fault(soak, &mut rng, &mut active, duration));
            count += usize::from(inject_random_stall(soak, &mut stall_rng, &mut active));
            count += usize::from(inject_random_evacuation(soak, &mut evacuation_rng, &mut active));
        }
        std::thread::sleep(POLL_INTERVAL);
    }
    let latest_end = Instant::now() + MAX_STOP_TIME + Duration::from_secs(60);
    clear_due_faults(soak, &mut active, latest_end);
    count
}

/// Draws a fault and injects it. Resets of connections and new configurations take effect at once
/// and need no clearing. Returns false if the drawn fault conflicts with an active one or does not
/// apply now.
fn inject_random_fault(
    soak: &Soak,
    rng: &mut SmallRng,
    active: &mut BTreeMap<Fault, Instant>,
    duration: Duration,
) -> bool {
    let host = rng.random_range(0..HOSTS);
    let target = rng.random_range(0..soak.group.targets.len());
    let fault = match rng.random_range(0..14) {
        0 => Fault::Killed(host),
        1 => Fault::Stopping(host),
        2 | 3 => Fault::Paused(host),
        4 => Fault::StoreBlocked(host),
        5 => Fault::StoreRefused(host),
        6 => Fault::StoreOutage,
        7 | 8 => Fault::Crashed(target),
        9 => Fault::TargetBlocked(target),
        10 => Fault::TargetSlow(target),
        11 => Fault::ResponsesLost(target),
        12 => {
            soak.target_links[target].silence();
            soak.store_links[usize::from(host)].reset();
            return true;
        }
        _ => {
            reconfigure(soak);
            return true;
        }
    };
    if conflicts(fault, active) || !is_applicable(soak, fault) {
        return false;
    }
    inject_fault(soak, rng, fault);
    active.insert(fault, Instant::now() + duration);
    true
}

/// Stalls replication to a random target, with one draw in `STALL_ONE_IN`. Returns whether a fault
/// was injected.
fn inject_random_stall(
    soak: &Soak,
    rng: &mut SmallRng,
    active: &mut BTreeMap<Fault, Instant>,
) -> bool {
    let fault = Fault::ReplicationStalled(rng.random_range(0..soak.group.targets.len()));
    let duration = Duration::from_millis(rng.random_range(FAULT_DURATION_MS));
    if !rng.random_ratio(1, STALL_ONE_IN) || active.contains_key(&fault) {
        return false;
    }
    inject_fault(soak, rng, fault);
    active.insert(fault, Instant::now() + duration);
    true
}

/// Evacuates the domain of a random target, with one draw in `EVACUATION_ONE_IN`. Returns whether
/// an evacuation was ordered.
fn inject_random_evacuation(
    soak: &Soak,
    rng: &mut SmallRng,
    active: &mut BTreeMap<Fault, Instant>,
) -> bool {
    let fault = Fault::Evacuated(rng.random_range(0..soak.group.targets.len()));
    let duration = Duration::from_millis(rng.random_range(FAULT_DURATION_MS));
    if !rng.random_ratio(1, EVACUATION_ONE_IN) || active.contains_key(&fault) {
        return false;
    }
    inject_fault(soak, rng, fault);
    active.insert(fault, Instant::now() + duration);
    true
}

/// Orders or ends the evacuation of a target's domain, as operators do.
fn set_evacuated(soak: &Soak, target: usize, is_evacuated: bool) {
    let key = catalog::evacuation_key(&domain(target));
    let value = is_evacuated.then(|| Bytes::from_static(b"{}"));
    soak.system.store.write(catalog::TABLE, &key, value);
}

/// Whether an active fault excludes `fault`: a host process has at most one fault, and at most one
/// target is crashed at a time.
fn conflicts(fault: Fault, active: &BTreeMap<Fault, Instant>) -> bool {
    let host_of = |fault: &Fault| match fault {
        Fault::Killed(host) | Fault::Stopping(host) | Fault::Paused(host) => Some(*host),
        _ => None,
    };
    let is_crash = |fault: &Fault| matches!(fault, Fault::Crashed(_));
    let mut others = active.keys();
    others.any(|other| {
        *other == fault
            || (host_of(other).is_some() && host_of(other) == host_of(&fault))
            || (is_crash(other) && is_crash(&fault))
    })
}

/// Whether the fault can be injected now. A host that receives SIGTERM before it has installed its
/// signal handlers is terminated by the operating system, so only a started host is stopped.
fn is_applicable(soak: &Soak, fault: Fault) -> bool {
    let hosts = soak.hosts.lock().expect("the mutex is not poisoned");
    match fault {
        Fault::Stopping(host) => !hosts[usize::from(host)].events("started").is_empty(),
        _ => true,
    }
}

fn inject_fault(soak: &Soak, rng: &mut SmallRng, fault: Fault) {
    let hosts = soak.hosts.lock().expect("the mutex is not poisoned");
    match fault {
        Fault::Killed(host) => hosts[usize::from(host)].signal(Signal::KILL),
        Fault::Stopping(host) => hosts[usize::from(host)].signal(Signal::TERM),
        Fault::Paused(host) => hosts[usize::from(host)].signal(Signal::STOP),
        Fault::StoreBlocked(host) => set_store_link(soak, host, |link| link.blocked = true),
        Fault::StoreRefused(host) => set_store_link(soak, host, |link| link.refuse = true),
        Fault::StoreOutage => soak.system.store.set_outage(random_outage(rng)),
        Fault::Crashed(target) => soak.group.targets[target].crash(),
        Fault::TargetBlocked(target) => set_target_link(soak, target, |link| link.blocked = true),
        Fault::TargetSlow(target) => {
            set_target_link(soak, target, |link| link.delay = Duration::from_millis(60));
        }
        Fault::ResponsesLost(target) => soak.group.targets[target].drop_commit_responses(true),
        Fault::ReplicationStalled(target) => soak.group.targets[target].set_lag(STALLED_LAG),
        Fault::Evacuated(target) => set_evacuated(soak, target, true),
    }
}

fn random_outage(rng: &mut SmallRng) -> Outage {
    match rng.random_range(0..5) {
        0 => Outage::Silent,
        1 => Outage::Busy,
        2 => Outage::Slow(Duration::from_millis(300)),
        3 => Outage::LostWriteResponses,
        _ => Outage::DelayedWrites(Duration::from_millis(800)),
    }
}

fn set_store_link(
    soak: &Soak,
    host: u8,
    change: impl FnOnce(&mut bergamotvale_standin::link::Fault),
) {
    soak.store_links[usize::from(host)].set(change).expect("the port is free to bind again");
}

fn set_target_link(
    soak: &Soak,
    target: usize,
    change: impl FnOnce(&mut bergamotvale_standin::link::Fault),
) {
    soak.target_links[target].set(change).expect("the port is free to bind again");
}

/// Publishes the same configuration under a newer version.
fn reconfigure(soak: &Soak) {
    let mut catalog = soak.catalog.lock().expect("the mutex is not poisoned");
    catalog.version += 1;
    soak.system.configure(&catalog);
}

fn clear_due_faults(soak: &Soak, active: &mut BTreeMap<Fault, Instant>, now: Instant) {
    let due: Vec<Fault> =
        active.iter().filter(|(_, deadline)| **deadline <= now).map(|(fault, _)| *fault).collect();
    for fault in due {
        active.remove(&fault);
        clear_fault(soak, fault);
    }
}

fn clear_fault(soak: &Soak, fault: Fault) {
    match fault {
        Fault::Killed(host) => restart_host(soak, host),
        Fault::Stopping(host) => {
            let mut hosts = soak.hosts.lock().expect("the mutex is not poisoned");
            if !hosts[usize::from(host)].wait_for_exit() {
                soak.ledger.report(format!("host {host} did not exit successfully after SIGTERM"));
            }
            drop(hosts);
            restart_host(soak, host);
        }
        Fault::Paused(host) => {
            soak.hosts.lock().expect("the mutex is not poisoned")[usize::from(host)]
                .signal(Signal::CONT);
        }
        Fault::StoreBlocked(host) => set_store_link(soak, host, |link| link.blocked = false),
        Fault::StoreRefused(host) => set_store_link(soak, host, |link| link.refuse = false),
        Fault::StoreOutage => soak.system.store.set_outage(Outage::None),
        Fault::Crashed(target) => {
            soak.group.targets[target].restart().expect("the port is free to bind again");
        }
        Fault::TargetBlocked(target) => set_target_link(soak, target, |link| link.blocked = false),
        Fault::TargetSlow(target) => {
            set_target_link(soak, target, |link| link.delay = Duration::ZERO)
        }
        Fault::ResponsesLost(target) => soak.group.targets[target].drop_commit_responses(false),
        Fault::ReplicationStalled(target) => soak.group.targets[target].set_lag(NORMAL_LAG),
        Fault::Evacuated(target) => set_evacuated(soak, target, false),
    }
}

/// Replaces the process of a host that was killed or has exited.
fn restart_host(soak: &Soak, host: u8) {
    let mut hosts = soak.hosts.lock().expect("the mutex is not poisoned");
    let index = usize::from(host);
    // Dropping the old process frees the addresses that the new one binds.
    let old_process: Process = hosts.remove(index);
    drop(old_process);
    hosts.insert(index, soak.start_host(host));
}
