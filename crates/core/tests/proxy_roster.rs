//! Which targets may hold acknowledged commits of a group, and when one that has ended no longer
//! counts.

use bergamotvale_core::id::Time;
use bergamotvale_core::proxy::directory::{Directory, Entry, Role, StartTime};
use bergamotvale_core::proxy::floor::{Observation, Position};
use bergamotvale_core::proxy::roster::{Departure, Roster};
use std::net::SocketAddr;
use std::time::Duration;

const SERVICE: &str = "orders";

fn entry(name: &str, service: &str, port: u16, start_time: StartTime) -> Entry {
    Entry {
        name: name.into(),
        service: service.into(),
        address: SocketAddr::from(([127, 0, 0, 1], port)),
        domain: "a".into(),
        slots: 3,
        is_leaving: false,
        role: Role::Replica,
        start_time,
    }
}

fn directory(entries: &[Entry]) -> Directory {
    entries.iter().map(|entry| (entry.name.clone(), entry.clone())).collect()
}

fn names(entries: &[Entry]) -> Vec<&str> {
    entries.iter().map(|entry| entry.name.as_str()).collect()
}

fn absent(roster: &Roster, directory: &Directory) -> Vec<String> {
    roster.absent(directory).cloned().collect()
}

fn at(number: u64) -> Position {
    Position { term: 1, number }
}

fn seen(at_ms: u64, number: u64) -> Option<Observation> {
    Some(Observation { at: Duration::from_millis(at_ms), position: at(number) })
}

/// Guards against a survey that forgets a replica as soon as the directory does.
#[test]
fn a_target_that_is_no_longer_listed_still_counts() {
    let all = directory(&[entry("a", SERVICE, 1, 7), entry("b", SERVICE, 2, 7)]);
    let listed = directory(&[entry("a", SERVICE, 1, 7)]);

    let roster = Roster::default().updated(&all, SERVICE).updated(&listed, SERVICE);

    assert_eq!(names(&roster.entries(&listed, SERVICE)), ["a", "b"]);
    assert_eq!(absent(&roster, &listed), ["b"]);
    assert_eq!(roster.entry(SERVICE, &"b".to_owned()).map(|e| e.address.port()), Some(2));
}

#[test]
fn a_target_whose_address_another_one_has_no_longer_counts() {
    let roster = Roster::default().updated(&directory(&[entry("a", SERVICE, 1, 7)]), SERVICE);

    let of_group = roster.updated(&directory(&[entry("b", SERVICE, 1, 8)]), SERVICE);
    let of_another = roster.updated(&directory(&[entry("b", "stock", 1, 8)]), SERVICE);

    assert_eq!(names(&of_group.entries(&Directory::new(), SERVICE)), ["b"]);
    assert!(of_another.is_empty());
}

/// Guards against counting the position of a target that has lost its log as if it showed what the
/// incarnation before had acknowledged.
#[test]
fn a_target_that_starts_again_without_its_log_is_absent_until_it_is_taken_up_anew() {
    let before = directory(&[entry("a", SERVICE, 1, 7)]);
    let after = directory(&[entry("a", SERVICE, 1, 8)]);

    let roster = Roster::default().updated(&before, SERVICE).updated(&after, SERVICE);

    assert_eq!(absent(&roster, &after), ["a"]);
    let renewed = roster.without(&"a".to_owned()).updated(&after, SERVICE);
    assert!(absent(&renewed, &after).is_empty());
}

#[test]
fn a_target_that_has_ended_counts_until_enough_others_have_what_was_acknowledged() {
    let since: Time = Duration::from_millis(100);
    let mut departure = Departure::new(since);

    // An observation from before the end does not cover the last commits.
    assert!(!departure.is_covered(seen(100, 4), 1, [at(9)].into_iter()));
    assert!(!departure.is_covered(None, 1, [at(9)].into_iter()));
    // The first one from after it counts; later commits do not depend on the target.
    assert!(!departure.is_covered(seen(101, 6), 1, [at(5)].into_iter()));
    assert!(departure.is_covered(seen(300, 20), 1, [at(6)].into_iter()));
    assert!(!departure.is_covered(seen(300, 20), 2, [at(6), at(5)].into_iter()));
}
