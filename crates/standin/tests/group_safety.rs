//! Confirmed writes survive faults: random faults and promotions, from a seed, against one group.
//!
//! The seed determines the order of the faults but not their timing. The checks are valid for every
//! timing: each entry that was confirmed in its term is in the log of the last primary, and no
//! two targets ever confirm different entries at one index.

mod common;

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use bergamotvale_standin::group::{Group, Options, Position, Term};
use common::{MAX_WAIT, call, eventually, insert, start_with, try_connect};
use tokio::time::timeout;

/// Faults and promotions per seed.
const STEPS: usize = 60;
/// Time between two steps.
const STEP_INTERVAL: Duration = Duration::from_millis(25);
/// Timeout of one request to a target.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(300);
const TARGETS: usize = 3;
const PROMOTER: i64 = 9;

/// Positions of the confirmed writes by row id.
type Confirmed = Arc<Mutex<BTreeMap<i64, Position>>>;

/// Next number of an xorshift generator.
fn next(random: &mut u64) -> usize {
    *random ^= *random << 13;
    *random ^= *random >> 7;
    *random ^= *random << 17;
    (*random >> 33) as usize
}

/// Writes to all targets in turn until stopped and records the confirmed writes.
async fn write(group: Arc<Group>, first: i64, confirmed: Confirmed, stop: Arc<AtomicBool>) {
    let mut id = first;
    while !stop.load(Ordering::SeqCst) {
        for target in 0..TARGETS {
            id += 10;
            let attempt = timeout(REQUEST_TIMEOUT, write_once(&group, target, id)).await;
            if let Ok(Some(position)) = attempt {
                confirmed.lock().expect("no writer panics").insert(id, position);
            }
        }
    }
}

/// Writes a row on a target; its position if it is confirmed, none otherwise.
async fn write_once(group: &Group, target: usize, id: i64) -> Option<Position> {
    let client = try_connect(group.addresses()[target]).await.ok()?;
    insert(&client, id).await.ok()?;
    let commit = call(&client, "commit", &[]).await.ok()?;
    let position = Position { term: commit.get("term"), index: commit.get("index") };
    let arguments = [position.term, position.index, 100];
    let response = call(&client, "confirmed", &arguments).await.ok()?;
    let reached =
        Position { term: response.get("confirmed_term"), index: response.get("confirmed_index") };
    (reached >= position).then_some(position)
}

/// Fences all targets for a term and, if a majority grants it, promotes the one with the highest
/// entry; returns the new primary.
async fn promote(group: &Group, term: Term, max_wait: Duration) -> Option<usize> {
    let mut voters = Vec::new();
    for target in 0..TARGETS {
        let fence = timeout(max_wait, fence(group, target, term)).await;
        if let Ok(Some(entry)) = fence {
            voters.push((entry, target));
        }
    }
    if voters.len() <= TARGETS / 2 {
        return None;
    }
    let chosen = voters.into_iter().max()?.1;
    let client = try_connect(group.addresses()[chosen]).await.ok()?;
    let arguments = [term, PROMOTER];
    let promotion = call(&client, "promote", &arguments);
    let promoted = timeout(max_wait, promotion).await.ok()?.ok()?.flag("promoted");
    promoted.then_some(chosen)
}

/// Position of the last entry of a target that grants the term and is a voter; none otherwise.
async fn fence(group: &Group, target: usize, term: Term) -> Option<Position> {
    let client = try_connect(group.addresses()[target]).await.ok()?;
    let fence = call(&client, "fence", &[term, PROMOTER]).await.ok()?;
    let entry = Position { term: fence.get("entry_term"), index: fence.get("entry_index") };
    (fence.flag("granted") && fence.flag("voter")).then_some(entry)
}

/// Injects a fault, ends one or promotes a target, as the generator selects.
async fn run_step(group: &Group, random: &mut u64, term: &mut Term) {
    let target = group.target(next(random) % TARGETS);
    match next(random) % 10 {
        0 => target.kill(),
        1 | 2 => target.restart().expect("the target restarts"),
        3 => target.pause(),
        4 | 5 => target.resume(),
        6 => target.partition(&[next(random) % TARGETS]),
        7 => target.heal(),
        8 if group.targets().iter().all(|target| target.is_voter()) => target.rebuild(),
        _ => {
            *term += 1;
            promote(group, *term, REQUEST_TIMEOUT).await;
        }
    }
    tokio::time::sleep(STEP_INTERVAL).await;
}

/// Ends all faults.
fn heal(group: &Group) {
    for target in group.targets() {
        target.restart().expect("the target restarts");
        target.resume();
        target.heal();
    }
}

async fn check_seed(seed: u64) {
    let options =
        Options { connect_delay: Duration::ZERO, connection_limit: 1_000, ..Options::default() };
    let group = Arc::new(start_with(options));
    let confirmed = Confirmed::default();
    let stop = Arc::new(AtomicBool::new(false));
    let writer = |first| write(group.clone(), first, confirmed.clone(), stop.clone());
    let writers: Vec<_> = (0..4).map(|first| tokio::spawn(writer(first))).collect();
    let (mut random, mut term) = (seed, 1);
    let any_confirmed = || !confirmed.lock().expect("no writer panics").is_empty();
    eventually("a write is confirmed before the faults", any_confirmed).await;

    for _ in 0..STEPS {
        run_step(&group, &mut random, &mut term).await;
    }
    heal(&group);
    stop.store(true, Ordering::SeqCst);
    for writer in writers {
        writer.await.expect("the writer ends");
    }
    let deadline = Instant::now() + MAX_WAIT;
    let new_primary = loop {
        assert!(Instant::now() < deadline, "seed {seed}: no primary within the deadline");
        term += 1;
        if let Some(new_primary) = promote(&group, term, MAX_WAIT).await {
            break new_primary;
        }
    };
    let logs = || group.targets().iter().map(|target| target.log_positions()).collect::<Vec<_>>();
    let equal = || logs().windows(2).all(|pair| pair[0] == pair[1]);
    eventually("the logs are equal", equal).await;

    let log = group.target(new_primary).log_positions();
    let rows = group.target(new_primary).query("SELECT id FROM bolts").expect("the query runs");
    let confirmed = confirmed.lock().expect("no writer panics");
    for (id, position) in confirmed.iter() {
        assert!(log.contains(position), "seed {seed}: entry {position} of row {id} is lost");
        assert!(rows.contains(&vec![(*id).into()]), "seed {seed}: row {id} is lost");
    }
    println!("seed {seed}: {} confirmed, {} entries, term {term}", confirmed.len(), log.len());
}

#[tokio::test(flavor = "multi_thread")]
async fn confirmed_writes_are_never_lost() {
    for seed in [1, 7, 20_261_204] {
        check_seed(seed).await;
    }
}
