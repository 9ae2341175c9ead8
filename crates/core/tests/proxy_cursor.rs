//! The call with which a host follows a table of the platform.

use bergamotvale_core::proxy::cursor::{Cursor, Step};
use bergamotvale_core::proxy::revision::Revision;

fn at(version: u64) -> Revision {
    Revision::new(0, version)
}

fn cursor_at(revision: u64) -> Cursor {
    let mut cursor = Cursor::default();
    cursor.record_answer(at(revision));
    cursor
}

#[test]
fn a_table_is_read_once_and_then_polled() {
    let mut cursor = Cursor::default();
    assert_eq!(cursor.next_step(), Step::ReadTable);
    cursor.record_answer(at(7));
    assert_eq!(cursor.next_step(), Step::Poll(at(7)));
    cursor.record_answer(at(9));
    assert_eq!(cursor.next_step(), Step::Poll(at(9)));
}

/// Guards against a poll that is repeated after its answer took too long, and so never ends.
#[test]
fn an_unanswered_poll_is_followed_by_a_read_of_the_table() {
    let mut cursor = cursor_at(7);
    cursor.record_unanswered();
    assert_eq!(cursor.next_step(), Step::ReadTable);
    cursor.record_answer(at(90));
    assert_eq!(cursor.next_step(), Step::Poll(at(90)));
}

#[test]
fn only_a_poll_can_be_behind_a_peer() {
    let mut cursor = cursor_at(7);
    assert!(cursor.is_behind(at(8)) && !cursor.is_behind(at(7)));
    cursor.record_unanswered();
    assert!(!cursor.is_behind(at(8)));
}

/// Guards against rows that are never seen: the store numbers its changes anew after a restore, and
/// answers a poll after a number of before as soon as it has given that number out again.
#[test]
fn a_poll_of_an_earlier_era_is_noticed() {
    let cursor = cursor_at(7);
    assert!(cursor.is_before(1) && !cursor.is_before(0));
    assert!(cursor.is_behind(Revision::new(1, 2)));
}
