//! Copies of the table of records and members over restores of the store, and when a restored table
//! is settled.

use bergamotvale_core::id::{HostId, Time};
use bergamotvale_core::proxy::lease::{Attestation, Barrier, Lease, Limits, Member};
use bergamotvale_core::proxy::restore::Settlement;
use bergamotvale_core::proxy::revision::Revision;
use bergamotvale_core::proxy::table::{ERA_KEY, Replica, Row, Table, encode_era};
use std::collections::BTreeMap;
use std::time::Duration;

const LIMITS: Limits = Limits {
    validity: Duration::from_millis(1000),
    max_attested_age: Duration::from_millis(10_000),
    clock_drift_margin: Duration::from_millis(50),
};
/// The platform's clock at time 0 of the tests.
const PLATFORM: Duration = Duration::from_secs(3600);

fn ms(millis: u64) -> Time {
    Duration::from_millis(millis)
}

fn row(key: &str, value: Option<&str>, era: u64, version: u64) -> Row<String> {
    Row { key: key.into(), value: value.map(Into::into), revision: Revision::new(era, version) }
}

fn settled_row(era: u64, version: u64) -> Row<String> {
    row(ERA_KEY, Some(&encode_era(era)), era, version)
}

fn value<'a>(table: Option<&'a Table<String>>, key: &str) -> Option<&'a str> {
    table?.rows.get(key).map(|(value, _)| value.as_str())
}

fn replica_of_first_era() -> Replica<String> {
    let mut replica = Replica::default();
    replica.record_read(Revision::new(0, 9), vec![row("a", Some("new"), 0, 8)]);
    replica
}

fn members(count: HostId) -> BTreeMap<HostId, Member> {
    let address = "127.0.0.1:1".parse().expect("an address");
    let member = Member { incarnation: 1, address, domain: "a".into(), entered: Duration::ZERO };
    (1..=count).map(|host| (host, member.clone())).collect()
}

fn lease(count: HostId) -> Lease {
    let mut lease = Lease::new(1, 1, LIMITS);
    lease.adopt(Revision::new(0, 5), members(count));
    lease.set_platform_clock(ms(0), PLATFORM);
    lease
}

fn reconciled(host: HostId, era: u64) -> Attestation {
    let revision = Revision::new(0, 5);
    let (quiesced, reconciled) = (revision, Some(era));
    Attestation {
        host,
        incarnation: 1,
        revision,
        quiesced,
        renewal_age: None,
        reconciled,
        majority_age: None,
    }
}

/// Guards against a host that acts on records of before the restore: the restored table must not
/// replace the copy until it is settled.
#[test]
fn a_restored_table_stays_beside_the_settled_one_until_its_era_is_named() {
    let mut replica = replica_of_first_era();

    replica.record_read(Revision::new(1, 4), vec![row("a", Some("old"), 1, 3)]);
    assert_eq!(value(replica.settled(), "a"), Some("new"));
    assert_eq!(value(replica.restored(), "a"), Some("old"));

    replica.record_changes(1, vec![row("a", Some("new"), 1, 5), settled_row(1, 6)]);
    assert_eq!(value(replica.settled(), "a"), Some("new"));
    assert!(replica.restored().is_none());
    assert_eq!(replica.settled().map(|table| table.revision), Some(Revision::new(1, 6)));
}

/// Guards against a second restore that brings back the row of the first one's settlement.
#[test]
fn a_row_that_names_an_earlier_era_settles_nothing() {
    let mut replica = replica_of_first_era();
    replica.record_read(Revision::new(1, 4), vec![settled_row(1, 4)]);

    let mut old = settled_row(1, 4);
    old.revision = Revision::new(2, 4);
    replica.record_read(Revision::new(2, 5), vec![old]);

    assert_eq!(replica.settled().map(|table| table.revision.era), Some(1));
    assert_eq!(replica.restored().map(|table| table.revision.era), Some(2));
}

/// Guards against an answer of before the restore that arrives late and brings back old rows.
#[test]
fn answers_of_an_earlier_era_change_nothing() {
    let mut replica = replica_of_first_era();
    replica.record_read(Revision::new(1, 4), vec![row("a", Some("kept"), 1, 3), settled_row(1, 4)]);

    replica.record_read(Revision::new(0, 90), vec![row("a", Some("late"), 0, 80)]);
    replica.record_changes(0, vec![row("a", Some("late"), 0, 85)]);

    assert_eq!(value(replica.settled(), "a"), Some("kept"));
}

/// Guards against an older record under a newer revision: a peer's copy may overtake this host's own
/// read or poll.
#[test]
fn a_slow_answer_does_not_undo_what_a_peer_has_passed_on() {
    let mut replica = replica_of_first_era();
    let rows = [("a".to_owned(), ("newest".to_owned(), Revision::new(0, 12)))];
    let copy = Table::new(rows.into(), Revision::new(0, 12));
    assert!(replica.record_peer_copy(copy));

    replica.record_read(Revision::new(0, 10), vec![row("a", Some("new"), 0, 8)]);
    replica.record_changes(0, vec![row("a", Some("newer"), 0, 11), row("b", None, 0, 10)]);

    assert_eq!(value(replica.settled(), "a"), Some("newest"));
    assert_eq!(replica.settled().map(|table| table.revision), Some(Revision::new(0, 12)));
}

/// Guards against a change that is skipped: a later page of a read may show a row that is newer than
/// a change which the first page does not show.
#[test]
fn a_read_in_pages_reflects_only_what_its_first_page_does() {
    let mut replica = Replica::default();
    replica.record_read(
        Revision::new(0, 9),
        vec![row("a", Some("old"), 0, 8), row("b", Some("later"), 0, 12)],
    );

    replica.record_changes(0, vec![row("a", Some("new"), 0, 11), row("b", Some("later"), 0, 12)]);

    assert_eq!(value(replica.settled(), "a"), Some("new"));
}

#[test]
fn a_table_is_settled_once_every_member_has_reconciled_the_era() {
    let mut lease = lease(3);
    let mut settlement = Settlement::new(1, ms(0), true);

    lease.record_attestation(ms(10), reconciled(2, 1));
    assert!(!settlement.is_due(ms(10), &lease, &members(3)));
    lease.record_attestation(ms(20), reconciled(3, 0));
    assert!(!settlement.is_due(ms(20), &lease, &members(3)));

    lease.record_attestation(ms(30), reconciled(3, 1));
    assert!(settlement.is_due(ms(30), &lease, &members(3)));
}

/// Guards against a table that a new host settles before those that remember its records are heard.
#[test]
fn a_host_without_memory_waits_for_those_that_have_one() {
    let lease = Lease::new(1, 1, LIMITS);
    let mut settlement = Settlement::new(1, ms(0), false);
    assert!(!settlement.is_due(ms(1049), &lease, &members(1)));
    assert!(settlement.is_due(ms(1050), &lease, &members(1)));
}

#[test]
fn silent_members_are_waited_for_no_longer_than_a_lease_lasts() {
    let mut lease = lease(4);
    let mut settlement = Settlement::new(1, ms(0), true);
    assert!(!settlement.is_due(ms(11_049), &lease, &members(4)));
    assert!(settlement.is_due(ms(11_050), &lease, &members(4)));

    let mut settlement = Settlement::new(1, ms(0), true);
    lease.record_attestation(ms(10), reconciled(2, 1));
    // Two of four have reconciled the era: the other two form no majority.
    assert!(!settlement.is_due(ms(10), &lease, &members(4)));
    assert!(!settlement.is_due(ms(1059), &lease, &members(4)));
    assert!(settlement.is_due(ms(1060), &lease, &members(4)));
}

/// Guards against a promotion that proceeds because its members have gone on to a restored table,
/// which does not have its record.
#[test]
fn a_later_era_does_not_confirm_a_revision_of_an_earlier_one() {
    let mut lease = lease(2);
    let mut barrier = Barrier::new(Revision::new(0, 5), ms(0));
    let later = Revision::new(1, 2);
    let attestation = Attestation { revision: later, quiesced: later, ..reconciled(2, 1) };
    lease.record_attestation(ms(10), attestation);
    assert!(!barrier.has_passed(&lease, ms(10)));
}
