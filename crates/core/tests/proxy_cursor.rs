//! The call with which a host follows a table of the platform.

use bergamotvale_core::proxy::cursor::{Cursor, Step};

fn cursor_at(revision: u64) -> Cursor {
    let mut cursor = Cursor::default();
    cursor.record_answer(revision);
    cursor
}

#[test]
fn a_table_is_read_once_and_then_polled() {
    let mut cursor = Cursor::default();
    assert_eq!(cursor.next_step(), Step::ReadTable);
    cursor.record_answer(7);
    assert_eq!(cursor.next_step(), Step::Poll(7));
    cursor.record_answer(9);
    assert_eq!(cursor.next_step(), Step::Poll(9));
}

/// Guards against a poll that is repeated after its answer took too long, and so never ends.
#[test]
fn an_unanswered_poll_is_followed_by_a_read_of_the_table() {
    let mut cursor = cursor_at(7);
    cursor.record_unanswered();
    assert_eq!(cursor.next_step(), Step::ReadTable);
    cursor.record_answer(90);
    assert_eq!(cursor.next_step(), Step::Poll(90));
}

#[test]
fn only_a_poll_can_be_behind_a_peer() {
    let mut cursor = cursor_at(7);
    assert!(cursor.is_behind(8) && !cursor.is_behind(7));
    cursor.record_unanswered();
    assert!(!cursor.is_behind(8));
}
