//! Callers of the soak. They keep open sessions until their host is gone, and go to another then.

use super::{READERS, WRITERS, World};
use crate::fixture::{BOUND, Caller, KEY, OLD, OTHER_KEY, OWN, STRICT};
use bergamotvale_platform::counterpart::caller;
use bergamotvale_platform::line::{Answer, End};
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// Time after which a caller gives its session up.
const PATIENCE: Duration = Duration::from_secs(4);
/// Pause after a request that was not served.
const PAUSE: Duration = Duration::from_millis(20);
/// Taken off the age of a bounded read: what is acknowledged takes time to be noted here.
const NOTED: Duration = Duration::from_millis(50);

/// Starts all callers.
pub(super) fn start(world: &Arc<World>) -> Vec<JoinHandle<()>> {
    let mut threads = Vec::new();
    for index in 0..WRITERS {
        let world = world.clone();
        threads.push(std::thread::spawn(move || write(&world, index)));
    }
    for index in 0..READERS {
        let world = world.clone();
        threads.push(std::thread::spawn(move || read(&world, index)));
    }
    let world = world.clone();
    threads.push(std::thread::spawn(move || press(&world)));
    threads
}

/// A session at some host; none if no host opens one now.
fn session(world: &World, turn: u32, database: &str, key: &str) -> Option<Caller> {
    let addresses: Vec<_> =
        world.hosts.lock().expect("no thread failed").iter().map(|host| host.callers).collect();
    let address = addresses[turn as usize % addresses.len()];
    Caller::try_connect(address, database, key, PATIENCE)
}

/// Repeats `operate` on a session, a new one at the next host when it answers false.
fn repeat(
    world: &World,
    first: u32,
    (database, key): (&str, &str),
    mut operate: impl FnMut(&mut Caller) -> bool,
) {
    let mut turn = first;
    while !world.has_ended() {
        turn += 1;
        let Some(mut session) = session(world, turn, database, key) else {
            std::thread::sleep(PAUSE);
            continue;
        };
        while !world.has_ended() && operate(&mut session) {}
    }
}

/// Writes growing numbers to an item of its own, and reads them back in the same session.
fn write(world: &World, index: u32) {
    let item = format!("item{index}");
    let mut number = 0;
    let database = if index.is_multiple_of(2) { STRICT } else { OWN };
    repeat(world, index, (database, KEY), |session| {
        number += 1;
        let answer = if number % 3 == 0 {
            write_in_transaction(session, &item, number)
        } else {
            session.try_run(&caller::write(&item, &number.to_string()))
        };
        note(world, &item, number, answer.as_ref());
        if answer.is_none() {
            return false;
        }
        if answer.is_some_and(|answer| answer.end == End::Done) {
            return check_own(world, session, &item, number);
        }
        std::thread::sleep(PAUSE);
        true
    });
}

/// A transaction of one write; its last answer, of the commit if it came to that.
fn write_in_transaction(session: &mut Caller, item: &str, number: u64) -> Option<Answer> {
    let begun = session.try_run(caller::begin(false))?;
    if begun.end != End::Done {
        return Some(begun);
    }
    let written = session.try_run(&caller::write(item, &number.to_string()))?;
    if written.end != End::Done {
        session.try_run(bergamotvale_platform::text::ROLLBACK)?;
        return Some(written);
    }
    session.try_run(bergamotvale_platform::text::COMMIT)
}

fn note(world: &World, item: &str, number: u64, answer: Option<&Answer>) {
    match answer.map(|answer| answer.end) {
        Some(End::Done) => world.ledger.acknowledge(item, number),
        Some(End::Error(code)) if code.guarantees_no_effect() => world.ledger.refuse(item, number),
        _ => world.ledger.lose(),
    }
}

/// The session sees its own commit.
fn check_own(world: &World, session: &mut Caller, item: &str, number: u64) -> bool {
    match session.try_run(&caller::read(item)) {
        Some(answer) if answer.end == End::Done => {
            world.ledger.read("own write", item, number, seen(&answer).0);
            true
        }
        other => other.is_some(),
    }
}

/// Number and session's values in a row.
fn seen(answer: &Answer) -> (u64, String) {
    let row = answer.first_row().unwrap_or_default();
    let (data, values) = row.split_once('|').unwrap_or((row, ""));
    (data.parse().unwrap_or_default(), values.to_owned())
}

/// Reads others' items in a session with a value of its own.
fn read(world: &World, index: u32) {
    let (database, bound) =
        if index.is_multiple_of(2) { (STRICT, Duration::ZERO) } else { (OLD, BOUND + NOTED) };
    let tag = format!("reader{index}");
    let mut is_set = false;
    let mut count = 0;
    repeat(world, index, (database, KEY), |session| {
        if !is_set {
            is_set = session.try_run(&caller::set("tag", &tag)).is_some();
            return is_set;
        }
        count += 1;
        let item = format!("item{}", count % WRITERS);
        let now = Instant::now();
        let least = world.ledger.newest(&item, now.checked_sub(bound).unwrap_or(now));
        let Some(answer) = session.try_run(&caller::read(&item)) else {
            is_set = false;
            return false;
        };
        if answer.end == End::Done {
            let (number, values) = seen(&answer);
            world.ledger.read(database, &item, least, number);
            if values != format!("tag={tag}") {
                world.ledger.find(format!("mixed: {tag} got a connection with {values:?}"));
            }
        }
        std::thread::sleep(PAUSE / 4);
        true
    });
}

/// Asks for several times the rate of an account.
fn press(world: &World) {
    repeat(world, 0, (STRICT, OTHER_KEY), |session| {
        std::thread::sleep(PAUSE / 2);
        match session.try_run(&caller::read("item0")) {
            Some(answer) if answer.end == End::Done => {
                world.ledger.serve();
                true
            }
            other => other.is_some(),
        }
    });
}
