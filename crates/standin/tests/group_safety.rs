//! Confirmed writes outlive faults: seeded random faults and promotions against one group.
//!
//! The order of faults follows from the seed, their timing does not. The verdict holds for every
//! timing: each entry that was confirmed in its term is in the log of the last primary, and no
//! two targets ever confirm different entries at one index.

mod common;

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use bergamotvale_standin::group::{Group, Options, Position, Term};
use common::{DEADLINE, call, eventually, insert, start_with, try_connect};
use tokio::time::timeout;

/// Faults of one run.
const STEPS: usize = 60;
/// How long a fault is left to itself.
const STEP: Duration = Duration::from_millis(25);
/// How long one exchange with a target may take.
const PATIENCE: Duration = Duration::from_millis(300);
const TARGETS: usize = 3;
const PROMOTER: i64 = 9;

/// What a run has seen as confirmed: position by the id of its row.
type Confirmed = Arc<Mutex<BTreeMap<i64, Position>>>;

/// Next number of a fixed sequence.
fn next(random: &mut u64) -> usize {
    *random ^= *random << 13;
    *random ^= *random >> 7;
    *random ^= *random << 17;
    (*random >> 33) as usize
}

/// Writes to whichever target takes writes and notes what gets confirmed.
async fn write(group: Arc<Group>, first: i64, confirmed: Confirmed, stop: Arc<AtomicBool>) {
    let mut id = first;
    while !stop.load(Ordering::SeqCst) {
        for target in 0..TARGETS {
            id += 10;
            let attempt = timeout(PATIENCE, write_once(&group, target, id)).await;
            if let Ok(Some(position)) = attempt {
                confirmed.lock().expect("no writer panics").insert(id, position);
            }
        }
    }
}

/// Writes a row on a target; its position once a majority has it.
async fn write_once(group: &Group, target: usize, id: i64) -> Option<Position> {
    let client = try_connect(group.addresses()[target]).await.ok()?;
    insert(&client, id).await.ok()?;
    let commit = call(&client, "commit", &[]).await.ok()?;
    let position = Position { term: commit.get("term"), index: commit.get("index") };
    let arguments = [position.term, position.index, 100];
    let answer = call(&client, "confirmed", &arguments).await.ok()?;
    let reached =
        Position { term: answer.get("confirmed_term"), index: answer.get("confirmed_index") };
    (reached >= position).then_some(position)
}

/// Asks all targets for a term and promotes the one with the highest entry, given a majority.
async fn promote(group: &Group, term: Term, patience: Duration) -> Option<usize> {
    let mut voters = Vec::new();
    for target in 0..TARGETS {
        let fence = timeout(patience, fence(group, target, term)).await;
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
    let promoted = timeout(patience, promotion).await.ok()?.ok()?.flag("promoted");
    promoted.then_some(chosen)
}

/// Last entry of a target that grants the term with a vote.
async fn fence(group: &Group, target: usize, term: Term) -> Option<Position> {
    let client = try_connect(group.addresses()[target]).await.ok()?;
    let fence = call(&client, "fence", &[term, PROMOTER]).await.ok()?;
    let entry = Position { term: fence.get("entry_term"), index: fence.get("entry_index") };
    (fence.flag("granted") && fence.flag("voter")).then_some(entry)
}

/// One fault or its end, as the seed has it.
async fn step(group: &Group, random: &mut u64, term: &mut Term) {
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
            promote(group, *term, PATIENCE).await;
        }
    }
    tokio::time::sleep(STEP).await;
}

fn heal(group: &Group) {
    for target in group.targets() {
        target.restart().expect("the target restarts");
        target.resume();
        target.heal();
    }
}

async fn run(seed: u64) {
    let options =
        Options { connect_delay: Duration::ZERO, connection_limit: 1_000, ..Options::default() };
    let group = Arc::new(start_with(options));
    let confirmed = Confirmed::default();
    let stop = Arc::new(AtomicBool::new(false));
    let writer = |first| write(group.clone(), first, confirmed.clone(), stop.clone());
    let writers: Vec<_> = (0..4).map(|first| tokio::spawn(writer(first))).collect();
    let (mut random, mut term) = (seed, 1);
    let some = || !confirmed.lock().expect("no writer panics").is_empty();
    eventually("a write is confirmed before the faults", some).await;

    for _ in 0..STEPS {
        step(&group, &mut random, &mut term).await;
    }
    heal(&group);
    stop.store(true, Ordering::SeqCst);
    for writer in writers {
        writer.await.expect("the writer ends");
    }
    let deadline = Instant::now() + DEADLINE;
    let last = loop {
        assert!(Instant::now() < deadline, "seed {seed}: no primary within the deadline");
        term += 1;
        if let Some(last) = promote(&group, term, DEADLINE).await {
            break last;
        }
    };
    let logs = || group.targets().iter().map(|target| target.log_positions()).collect::<Vec<_>>();
    let equal = || logs().windows(2).all(|pair| pair[0] == pair[1]);
    eventually("the logs are equal", equal).await;

    let log = group.target(last).log_positions();
    let rows = group.target(last).query("SELECT id FROM bolts").expect("the query runs");
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
        run(seed).await;
    }
}
