//! Growth and shrinking of shares over time, also on a host that misses a division.

use bergamotvale_core::share::{DivisionCounter, Share};
use std::collections::BTreeSet;
use std::time::Duration;

const GROWTH_DELAY: Duration = Duration::from_millis(1600);
const ONE_MILLISECOND: Duration = Duration::from_millis(1);

fn usable_share(value: u64) -> Share {
    let mut share = Share::new(GROWTH_DELAY);
    share.update(value, Duration::ZERO);
    share
}

#[test]
fn a_part_grows_late_and_shrinks_at_once() {
    let mut share = usable_share(10);
    let change = GROWTH_DELAY * 2;

    share.update(20, change);
    let grown = [share.usable(change), share.usable(change + GROWTH_DELAY)];
    share.update(5, change + GROWTH_DELAY);
    let shrunk = share.usable(change + GROWTH_DELAY);

    assert_eq!((grown, shrunk), ([10, 20], 5));
}

#[test]
fn a_missed_division_leaves_nothing_until_it_is_out_of_force() {
    let mut share = usable_share(10);
    let learned = GROWTH_DELAY * 2;

    share.record_missed_division(learned);
    share.update(10, learned);
    let usable = [share.usable(learned), share.usable(learned + GROWTH_DELAY - ONE_MILLISECOND)];
    let after = share.usable(learned + GROWTH_DELAY);

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
