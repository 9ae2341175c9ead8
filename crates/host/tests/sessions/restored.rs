//! Session hosts after the store came back from an older copy and lost what they had written.

use crate::faults::write_until_acknowledged;
use crate::fixture::{Fleet, Process, STRICT_DB, eventually};
use std::time::Duration;

/// Time after its return in which the store's other writers have written their rows again.
const REWRITE_TIME: Duration = Duration::from_secs(2);

/// Guards against a group without a primary: hosts know a newer record than the store has, and each
/// conditional write of theirs names a revision that the store does not have.
#[test]
fn a_primary_is_replaced_after_the_store_lost_the_promotion_before() {
    let fleet = Fleet::start(2);
    let group = fleet.system.groups[0].clone();
    let mut session = fleet.open_session(0, STRICT_DB);
    write_until_acknowledged(&mut session, "bolt", "1");
    let copy = fleet.system.store.copy();
    let first = group.primary();
    first.crash();
    write_until_acknowledged(&mut session, "bolt", "2");
    first.restart().expect("the target starts");
    fleet.system.restore(&copy);
    std::thread::sleep(REWRITE_TIME);

    group.primary().crash();

    write_until_acknowledged(&mut session, "bolt", "3");
}

/// Guards against a host that never gets ready, because its peers take their copy of the table from
/// before the loss for newer than what it has read.
#[test]
fn a_host_that_starts_after_the_store_lost_changes_gets_ready() {
    let fleet = Fleet::start(2);
    let mut session = fleet.open_session(0, STRICT_DB);
    write_until_acknowledged(&mut session, "bolt", "1");
    let copy = fleet.system.store.copy();
    fleet.system.groups[0].primary().crash();
    write_until_acknowledged(&mut session, "bolt", "2");
    fleet.system.restore(&copy);

    let newcomer = Process::start(3, fleet.system.address);

    eventually("the new host is ready", || newcomer.is_ready());
}
