//! Callers of the soak. Each keeps a session open until its host stops responding, then opens one
//! at the next host.

use super::{READERS, Soak, WRITERS};
use crate::fixture::{
    BOUNDED_DB, Caller, KEY, MAX_READ_AGE, OTHER_KEY, READ_YOUR_WRITES_DB, STRICT_DB,
};
use bergamotvale_platform::counterpart::caller;
use bergamotvale_platform::line::{Answer, End};
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// Time without a response after which a caller abandons its session.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(4);
/// Delay after a session that could not be opened and after a write that was not acknowledged;
/// other requests are spaced by a fraction of it.
const REQUEST_DELAY: Duration = Duration::from_millis(20);
/// Tolerance for the age of a bounded read: an acknowledgement reaches the ledger with a delay.
const READ_AGE_MARGIN: Duration = Duration::from_millis(50);

/// Starts all callers.
pub(super) fn start(soak: &Arc<Soak>) -> Vec<JoinHandle<()>> {
    let mut threads = Vec::new();
    for index in 0..WRITERS {
        let soak = soak.clone();
        threads.push(std::thread::spawn(move || run_writer(&soak, index)));
    }
    for index in 0..READERS {
        let soak = soak.clone();
        threads.push(std::thread::spawn(move || run_reader(&soak, index)));
    }
    let soak = soak.clone();
    threads.push(std::thread::spawn(move || run_rate_limited_caller(&soak)));
    threads
}

/// Opens a session at host number `attempt`, modulo the number of hosts. None if that host does not
/// open it.
fn try_open_session(soak: &Soak, attempt: u32, database: &str, key: &str) -> Option<Caller> {
    let addresses: Vec<_> = soak
        .hosts
        .lock()
        .expect("the mutex is not poisoned")
        .iter()
        .map(|host| host.callers)
        .collect();
    let address = addresses[attempt as usize % addresses.len()];
    Caller::try_connect(address, database, key, RESPONSE_TIMEOUT)
}

/// Repeats `operate` on a session until the soak stops. When it returns false, the session is
/// replaced by one at the next host.
fn repeat_on_sessions(
    soak: &Soak,
    first: u32,
    (database, key): (&str, &str),
    mut operate: impl FnMut(&mut Caller) -> bool,
) {
    let mut attempt = first;
    while !soak.is_stopping() {
        attempt += 1;
        let Some(mut session) = try_open_session(soak, attempt, database, key) else {
            std::thread::sleep(REQUEST_DELAY);
            continue;
        };
        while !soak.is_stopping() && operate(&mut session) {}
    }
}

/// Writes increasing numbers to an item of its own, and reads each acknowledged one back in the
/// same session.
fn run_writer(soak: &Soak, index: u32) {
    let item = format!("item{index}");
    let mut number = 0;
    let database = if index.is_multiple_of(2) { STRICT_DB } else { READ_YOUR_WRITES_DB };
    repeat_on_sessions(soak, index, (database, KEY), |session| {
        number += 1;
        let answer = if number % 3 == 0 {
            write_in_transaction(session, &item, number)
        } else {
            session.try_run(&caller::write(&item, &number.to_string()))
        };
        record_outcome(soak, &item, number, answer.as_ref());
        if answer.is_none() {
            return false;
        }
        if answer.is_some_and(|answer| answer.end == End::Done) {
            return check_own_write(soak, session, &item, number);
        }
        std::thread::sleep(REQUEST_DELAY);
        true
    });
}

/// Runs a transaction of one write. Returns the answer to the commit, or to the first statement
/// that failed; None if the session broke off.
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

fn record_outcome(soak: &Soak, item: &str, number: u64, answer: Option<&Answer>) {
    match answer.map(|answer| answer.end) {
        Some(End::Done) => soak.ledger.record_acknowledged(item, number),
        Some(End::Error(code)) if code.guarantees_no_effect() => {
            soak.ledger.record_refused(item, number)
        }
        _ => soak.ledger.record_unknown(),
    }
}

/// Reads an item whose write the same session just had acknowledged; the read has to return it.
/// Returns false if the session broke off.
fn check_own_write(soak: &Soak, session: &mut Caller, item: &str, number: u64) -> bool {
    match session.try_run(&caller::read(item)) {
        Some(answer) if answer.end == End::Done => {
            soak.ledger.check_read("own write", item, number, parse_row(&answer).0);
            true
        }
        other => other.is_some(),
    }
}

/// Splits a row into the item's number, 0 if it has none, and the session's values.
fn parse_row(answer: &Answer) -> (u64, String) {
    let row = answer.first_row().unwrap_or_default();
    let (data, values) = row.split_once('|').unwrap_or((row, ""));
    (data.parse().unwrap_or_default(), values.to_owned())
}

/// Reads the writers' items, checks their age, and checks that every read runs with the value that
/// was set in this session, so that no other session's connection state is used.
fn run_reader(soak: &Soak, index: u32) {
    let (database, max_age) = if index.is_multiple_of(2) {
        (STRICT_DB, Duration::ZERO)
    } else {
        (BOUNDED_DB, MAX_READ_AGE + READ_AGE_MARGIN)
    };
    let tag = format!("reader{index}");
    let mut is_set = false;
    let mut count = 0;
    repeat_on_sessions(soak, index, (database, KEY), |session| {
        if !is_set {
            is_set = session.try_run(&caller::set("tag", &tag)).is_some();
            return is_set;
        }
        count += 1;
        let item = format!("item{}", count % WRITERS);
        let now = Instant::now();
        let min_expected =
            soak.ledger.newest_acknowledged(&item, now.checked_sub(max_age).unwrap_or(now));
        let Some(answer) = session.try_run(&caller::read(&item)) else {
            is_set = false;
            return false;
        };
        if answer.end == End::Done {
            let (number, values) = parse_row(&answer);
            soak.ledger.check_read(database, &item, min_expected, number);
            if values != format!("tag={tag}") {
                soak.ledger.report(format!(
                    "mixed: a read of {tag} ran on a connection with the values {values:?}"
                ));
            }
        }
        std::thread::sleep(REQUEST_DELAY / 4);
        true
    });
}

/// Sends requests at several times the rate limit of its client account.
fn run_rate_limited_caller(soak: &Soak) {
    repeat_on_sessions(soak, 0, (STRICT_DB, OTHER_KEY), |session| {
        std::thread::sleep(REQUEST_DELAY / 2);
        match session.try_run(&caller::read("item0")) {
            Some(answer) if answer.end == End::Done => {
                soak.ledger.record_served();
                true
            }
            other => other.is_some(),
        }
    });
}
