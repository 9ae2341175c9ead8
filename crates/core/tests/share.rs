//! Parts over time, also of a host that misses a division.

use bergamotvale_core::share::{DivisionCounter, Share};
use std::collections::BTreeSet;
use std::time::Duration;

const SETTLE: Duration = Duration::from_millis(1600);
const MOMENT: Duration = Duration::from_millis(1);

fn settled(value: u64) -> Share {
    let mut part = Share::new(SETTLE);
    part.update(value, Duration::ZERO);
    part
}

#[test]
fn a_part_grows_late_and_shrinks_at_once() {
    let mut part = settled(10);
    let change = SETTLE * 2;

    part.update(20, change);
    let grown = [part.usable(change), part.usable(change + SETTLE)];
    part.update(5, change + SETTLE);
    let shrunk = part.usable(change + SETTLE);

    assert_eq!((grown, shrunk), ([10, 20], 5));
}

#[test]
fn a_missed_division_leaves_nothing_until_it_is_out_of_force() {
    let mut part = settled(10);
    let learned = SETTLE * 2;

    part.record_missed_division(learned);
    part.update(10, learned);
    let usable = [part.usable(learned), part.usable(learned + SETTLE - MOMENT)];
    let after = part.usable(learned + SETTLE);

    assert_eq!((usable, after), ([0, 0], 10));
}

#[test]
fn a_skipped_epoch_counts_as_a_missed_division() {
    let (three, four) = (BTreeSet::from([1, 2, 3]), BTreeSet::from([1, 2, 3, 4]));
    let steps = [(5, &four), (6, &four), (7, &three), (9, &three), (11, &four)];
    let mut count = DivisionCounter::default();

    let counted = steps.map(|(epoch, members)| {
        let missed = count.adopt(epoch, members);
        (count.generation(), missed)
    });

    assert_eq!(counted, [(1, false), (1, false), (2, false), (4, true), (6, true)]);
}
