//! Which failure domains are evacuated, from when on, and what ends an evacuation.

use bergamotvale_core::id::Time;
use bergamotvale_core::proxy::evacuation::{
    CLOSE_MARGIN, Change, Evacuations, RESTORED_ROW_RETENTION, Report, Row,
};
use bergamotvale_core::proxy::revision::Revision;
use std::collections::BTreeMap;
use std::time::Duration;

const LIMIT: Duration = Duration::from_secs(5);

fn ms(millis: u64) -> Time {
    Duration::from_millis(millis)
}

fn rows(rows: &[(&str, Row)]) -> BTreeMap<String, Row> {
    rows.iter().map(|(domain, row)| ((*domain).to_owned(), *row)).collect()
}

fn at(version: u64) -> Revision {
    Revision::new(0, version)
}

/// A host that has read the row of domain `a` as a change at 1 s.
fn evacuated() -> Evacuations {
    let mut state = Evacuations::new(LIMIT);
    state.apply(ms(1000), at(5), &rows(&[("a", Row::Ordered)]), false);
    state
}

#[test]
fn reads_leave_at_once_and_the_rest_before_the_limit() {
    let state = evacuated();
    let closes = ms(1000) + LIMIT - CLOSE_MARGIN;
    assert!(state.is_evacuated("a") && !state.is_evacuated("b"));
    assert!(!state.is_closed("a", closes - ms(1)));
    assert!(state.is_closed("a", closes));
}

/// Guards against a host that has just started and gives an old evacuation its whole time again.
#[test]
fn a_row_of_unknown_age_closes_its_domain_at_once() {
    let mut state = Evacuations::new(LIMIT);
    state.apply(ms(0), at(5), &rows(&[("a", Row::Ordered)]), true);
    assert!(state.is_closed("a", ms(0)));
}

/// Guards against a host that a later read of the same row gives more time.
#[test]
fn a_row_that_is_read_again_keeps_its_time() {
    let mut state = evacuated();
    assert_eq!(state.apply(ms(3000), at(7), &rows(&[("a", Row::Ordered)]), false), vec![]);
    assert!(state.is_closed("a", ms(1000) + LIMIT - CLOSE_MARGIN));
}

#[test]
fn a_removed_row_ends_its_evacuation_alone() {
    let mut state = evacuated();
    state.apply(ms(1000), at(6), &rows(&[("b", Row::Ordered)]), false);
    let ended = state.apply(ms(2000), at(7), &rows(&[("a", Row::Removed)]), false);
    assert_eq!(ended, vec![Change::Ended("a".into())]);
    assert!(!state.is_evacuated("a") && state.is_evacuated("b"));
    let ended = state.apply(ms(2000), at(8), &rows(&[]), true);
    assert_eq!(ended, vec![Change::Ended("b".into())]);
}

#[test]
fn an_unreadable_row_keeps_what_was_in_force() {
    let unreadable = rows(&[("a", Row::Unreadable)]);
    let mut state = evacuated();
    for is_full_table in [false, true] {
        state.apply(ms(2000), at(6), &unreadable, is_full_table);
        assert!(state.is_evacuated("a"));
    }
    let mut fresh = Evacuations::new(LIMIT);
    fresh.apply(ms(2000), at(9), &unreadable, true);
    assert!(!fresh.is_evacuated("a"));
    // A host that has never read the row in a valid form does not end it at others.
    fresh.apply(ms(2000), at(10), &rows(&[("b", Row::Ordered)]), false);
    let report = fresh.report(ms(2000)).expect("a report");
    state.learn(ms(2000), &report, Some(ms(0)));
    assert!(state.is_evacuated("a"));
}

/// Guards against a host that is cut off from the store and counts the time from when a peer told
/// it, not from when the peer saw the row.
#[test]
fn a_peers_report_counts_from_when_the_peer_saw_the_row() {
    let report = evacuated().report(ms(2000)).expect("a report");
    let mut state = Evacuations::new(LIMIT);
    let begun = state.learn(ms(9000), &report, Some(ms(500)));
    assert_eq!(begun, vec![Change::Begun("a".into())]);
    let closes = ms(9000) + LIMIT - CLOSE_MARGIN - ms(1500);
    assert!(!state.is_closed("a", closes - ms(1)) && state.is_closed("a", closes));
    let mut unbounded = Evacuations::new(LIMIT);
    unbounded.learn(ms(9000), &report, None);
    assert!(unbounded.is_closed("a", ms(9000)));
}

/// Guards against late reports and answers that bring an ended evacuation back, or end a newer one.
#[test]
fn older_copies_change_nothing() {
    let mut state = evacuated();
    let old = Report { revision: at(4), ..Report::default() };
    assert_eq!(state.learn(ms(2000), &old, Some(ms(0))), vec![]);
    assert!(state.is_evacuated("a"));
    let before = state.report(ms(2000)).expect("a report");
    state.apply(ms(2000), at(6), &rows(&[("a", Row::Removed)]), false);
    assert_eq!(state.learn(ms(3000), &before, Some(ms(0))), vec![]);
    assert_eq!(state.apply(ms(3000), at(5), &rows(&[("a", Row::Ordered)]), false), vec![]);
    assert!(!state.is_evacuated("a"));
}

#[test]
fn peers_pass_the_end_on() {
    let mut ended = evacuated();
    let mut cut_off = evacuated();
    ended.apply(ms(2000), at(6), &rows(&[("a", Row::Removed)]), false);
    let report = ended.report(ms(2000)).expect("the end is reported as well");
    let changes = cut_off.learn(ms(2100), &report, Some(ms(0)));
    assert_eq!(changes, vec![Change::Ended("a".into())]);
}

/// Guards against a restore of the store that ends an evacuation which the operator has not ended.
#[test]
fn a_row_that_a_restore_lost_stays_in_force_until_it_can_be_written_again() {
    let mut state = evacuated();
    let restored = |version| Revision::new(1, version);
    assert_eq!(state.apply(ms(2000), restored(3), &rows(&[]), true), vec![]);
    assert_eq!(state.apply(ms(2500), restored(4), &rows(&[]), true), vec![]);
    assert!(state.is_evacuated("a"));
    let end = ms(2000) + RESTORED_ROW_RETENTION;
    assert!(!state.tick(end - ms(1)).contains(&Change::Ended("a".into())));
    assert_eq!(state.tick(end), vec![Change::Ended("a".into())]);

    let mut rewritten = evacuated();
    rewritten.apply(ms(2000), restored(3), &rows(&[]), true);
    rewritten.apply(ms(3000), restored(4), &rows(&[("a", Row::Ordered)]), false);
    rewritten.tick(end);
    assert!(rewritten.is_evacuated("a"));
}

#[test]
fn a_domain_is_reported_as_closed_once() {
    let mut state = evacuated();
    assert_eq!(state.tick(ms(2000)), vec![]);
    assert_eq!(state.tick(ms(5000)), vec![Change::Closed("a".into())]);
    assert_eq!(state.tick(ms(5100)), vec![]);
}

#[test]
fn without_any_evacuation_nothing_is_reported() {
    let mut state = Evacuations::new(LIMIT);
    state.apply(ms(0), at(5), &rows(&[]), true);
    assert_eq!(state.report(ms(0)), None);
}
