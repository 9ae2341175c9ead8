//! Leases: renewals, attestations, and the barrier that is passed once no host acts on an older
//! revision.

use bergamotvale_core::id::{HostId, Time};
use bergamotvale_core::proxy::lease::{Attestation, Barrier, Lease, Limits, Member};
use bergamotvale_core::proxy::revision::Revision;
use std::collections::BTreeMap;
use std::time::Duration;

const LIMITS: Limits = Limits {
    validity: Duration::from_millis(1000),
    max_attested_age: Duration::from_millis(10_000),
    clock_drift_margin: Duration::from_millis(50),
};

fn ms(millis: u64) -> Time {
    Duration::from_millis(millis)
}

/// Returns a revision of the store's first era.
fn at(version: u64) -> Revision {
    Revision::new(0, version)
}

/// The platform's clock at time 0 of the tests.
const PLATFORM: Duration = Duration::from_secs(3600);

fn member(incarnation: u64, entered: Duration) -> Member {
    let address = "127.0.0.1:1".parse().expect("an address");
    Member { incarnation, address, domain: "a".into(), entered }
}

fn members(count: HostId) -> BTreeMap<HostId, Member> {
    (1..=count).map(|host| (host, member(1, ms(0)))).collect()
}

fn lease(count: HostId) -> Lease {
    let mut lease = Lease::new(1, 1, LIMITS);
    lease.adopt(at(5), members(count));
    lease.set_platform_clock(ms(0), PLATFORM);
    lease
}

fn attestation(host: HostId, revision: u64, renewal_age: Option<u64>) -> Attestation {
    Attestation {
        host,
        incarnation: 1,
        revision: at(revision),
        quiesced: at(revision),
        renewal_age: renewal_age.map(ms),
        reconciled: None,
        majority_age: None,
    }
}

#[test]
fn a_read_of_the_platform_proves_from_when_it_was_sent() {
    let mut lease = lease(4);
    assert!(!lease.is_held(ms(0)));
    lease.renew(ms(100), at(5));
    assert!(lease.is_held(ms(1100)));
    assert!(!lease.is_held(ms(1101)));
}

#[test]
fn a_read_that_shows_a_newer_revision_proves_nothing() {
    let mut lease = lease(4);
    lease.renew(ms(100), at(6));
    assert!(!lease.is_held(ms(100)));
}

#[test]
fn a_newer_revision_ends_the_proof_of_the_older() {
    let mut lease = lease(4);
    lease.renew(ms(100), at(5));
    lease.adopt(at(6), members(4));
    assert!(!lease.is_held(ms(200)));
    lease.renew(ms(200), at(6));
    assert!(lease.is_held(ms(200)));
}

#[test]
fn a_peers_proof_counts_with_its_age_and_only_at_the_same_revision() {
    let mut lease = lease(4);
    lease.record_attestation(ms(500), attestation(2, 4, Some(100)));
    assert!(!lease.is_held(ms(500)));
    lease.record_attestation(ms(500), attestation(2, 5, Some(100)));
    assert!(lease.is_held(ms(1400)));
    assert!(!lease.is_held(ms(1401)));
}

#[test]
fn a_host_that_the_table_does_not_record_holds_nothing() {
    let mut lease = Lease::new(1, 2, LIMITS);
    lease.adopt(at(5), members(4));
    lease.renew(ms(0), at(5));
    assert!(!lease.is_held(ms(0)));
}

#[test]
fn a_majority_vouches_while_the_store_is_away_for_a_bounded_time() {
    let mut lease = lease(4);
    lease.renew(ms(0), at(5));
    for now in [3000, 9500, 10_500] {
        lease.record_attestation(ms(now), attestation(2, 5, None));
        assert!(!lease.is_held(ms(now)), "two of four are no majority");
        lease.record_attestation(ms(now), attestation(3, 5, None));
        assert_eq!(lease.is_held(ms(now)), now < 10_000);
    }
}

/// Guards against a large fleet that loses its leases in an outage of the store because heartbeats
/// between all of its members come too rarely.
#[test]
fn a_majority_that_a_peer_has_heard_counts_with_its_age() {
    let mut lease = lease(5);
    lease.renew(ms(0), at(5));
    assert!(!lease.is_held(ms(2000)));

    let relayed = Attestation { majority_age: Some(ms(300)), ..attestation(2, 5, None) };
    lease.record_attestation(ms(2000), relayed);

    assert!(lease.is_held(ms(2700)));
    assert!(!lease.is_held(ms(2701)));
}

#[test]
fn a_majority_at_another_revision_does_not_count() {
    let mut lease = lease(5);
    lease.renew(ms(0), at(5));

    let older = Attestation { majority_age: Some(ms(0)), ..attestation(2, 4, None) };
    lease.record_attestation(ms(2000), older);

    assert!(!lease.is_held(ms(2000)));
}

#[test]
fn the_age_of_a_majority_is_that_of_its_oldest_attestation() {
    let mut lease = lease(5);
    for (host, at) in [(2, 100), (3, 400), (4, 700)] {
        lease.record_attestation(ms(at), attestation(host, 5, None));
    }

    assert_eq!(lease.majority_age(ms(1000)), Some(ms(600)));
}

#[test]
fn a_host_that_knows_of_a_newer_revision_does_not_vouch() {
    let mut lease = lease(3);
    lease.renew(ms(0), at(5));
    lease.record_attestation(ms(3000), attestation(2, 5, None));
    assert!(lease.is_held(ms(3000)));
    lease.record_attestation(ms(3100), attestation(2, 6, None));
    assert!(!lease.is_held(ms(3100)));
}

#[test]
fn an_earlier_run_of_a_host_does_not_vouch() {
    let mut lease = lease(3);
    lease.renew(ms(0), at(5));
    lease.record_attestation(ms(3000), Attestation { incarnation: 9, ..attestation(2, 5, None) });
    assert!(!lease.is_held(ms(3000)));
}

#[test]
fn a_heartbeat_that_arrives_late_does_not_replace_a_later_one() {
    let mut lease = lease(3);
    lease.renew(ms(0), at(5));
    lease.record_attestation(ms(3100), attestation(2, 6, None));
    lease.record_attestation(ms(3000), attestation(2, 5, None));
    assert!(!lease.is_held(ms(3100)));
}

#[test]
fn a_wait_ends_at_once_when_every_member_has_settled() {
    let mut lease = lease(3);
    let mut barrier = Barrier::new(at(5), ms(100));
    lease.record_attestation(ms(120), attestation(2, 5, None));
    assert!(!barrier.has_passed(&lease, ms(120)));
    lease.record_attestation(ms(125), attestation(3, 5, None));
    assert!(barrier.has_passed(&lease, ms(125)));
}

#[test]
fn a_peer_with_older_work_under_way_is_waited_for() {
    let mut lease = lease(2);
    let mut barrier = Barrier::new(at(5), ms(100));
    lease.record_attestation(ms(120), Attestation { quiesced: at(4), ..attestation(2, 5, None) });
    assert!(!barrier.has_passed(&lease, ms(120)));
}

#[test]
fn with_a_silent_host_the_wait_takes_the_validity_from_the_majoritys_word() {
    let mut lease = lease(4);
    let mut barrier = Barrier::new(at(5), ms(100));
    lease.record_attestation(ms(300), attestation(2, 5, None));
    // Two of four have quiesced: the other two form no majority.
    assert!(!barrier.has_passed(&lease, ms(300)));
    assert!(!barrier.has_passed(&lease, ms(1349)));
    assert!(barrier.has_passed(&lease, ms(1350)));
}

/// Guards against a planned promotion that takes effect while a live host, which has adopted it and
/// keeps its lease, may still commit at the previous primary.
#[test]
fn a_planned_change_waits_for_work_that_a_live_member_may_finish() {
    let handover = ms(2000);
    let mut lease = lease(4);
    let mut barrier = Barrier::new(at(5), ms(100)).with_handover(handover);
    for host in [2, 3] {
        lease.record_attestation(ms(110), attestation(host, 5, Some(0)));
    }
    let busy = Attestation { quiesced: at(4), ..attestation(4, 5, Some(0)) };
    lease.record_attestation(ms(1300), busy);
    assert!(!barrier.has_passed(&lease, ms(300)));
    assert!(!barrier.has_passed(&lease, ms(1400)));
    lease.record_attestation(ms(1500), attestation(4, 5, Some(0)));

    assert!(barrier.has_passed(&lease, ms(1510)));
}

/// Guards against a planned promotion that waits without bound for a host that has fallen silent.
#[test]
fn a_planned_change_waits_for_a_silent_member_until_its_work_has_to_end() {
    let mut lease = lease(4);
    let mut barrier = Barrier::new(at(5), ms(100)).with_handover(ms(2000));
    for host in [2, 3] {
        lease.record_attestation(ms(110), attestation(host, 5, Some(0)));
    }
    assert!(!barrier.has_passed(&lease, ms(300)));

    assert!(!barrier.has_passed(&lease, ms(3349)));
    assert!(barrier.has_passed(&lease, ms(3350)));
}

/// Guards against work under an older revision that goes on longer than the writer of the newer one
/// waits.
#[test]
fn a_host_that_adopts_a_change_late_has_no_time_left_for_older_work() {
    let mut lease = lease(4);
    lease.renew(ms(100), at(5));
    lease.adopt(at(6), members(4));
    lease.renew(ms(4000), at(5));

    assert_eq!(lease.end_if_superseded(), ms(1100));
    assert!(lease.end_if_superseded() < ms(3000));
}

#[test]
fn with_a_silent_majority_the_wait_takes_the_vouch_limit_and_the_validity() {
    let lease = lease(4);
    let mut barrier = Barrier::new(at(5), ms(100));
    assert!(!barrier.has_passed(&lease, ms(11_149)));
    assert!(barrier.has_passed(&lease, ms(11_150)));
}

#[test]
fn a_member_that_has_just_entered_does_not_break_up_a_majority() {
    let mut lease = lease(3);
    let mut with_new = members(3);
    with_new.insert(4, member(1, PLATFORM));
    lease.adopt(at(6), with_new);
    // 2 and 3 may still attest for each other under the table without 4.
    lease.record_attestation(ms(10), attestation(4, 6, None));
    assert!(!lease.has_majority_quiesced(ms(10), at(6)));
    lease.record_attestation(ms(20), attestation(2, 6, None));
    assert!(lease.has_majority_quiesced(ms(20), at(6)));
}

/// Fault: four of five hosts restart at once, and the fifth never returns. Members that keep the
/// entry time of their previous incarnation must not count as new, or a promotion waits for the
/// maximum attested age.
#[test]
fn hosts_that_were_all_restarted_settle_a_promotion_without_the_vouch_limit() {
    let mut lease = Lease::new(1, 2, LIMITS);
    let mut table = members(5);
    for host in 1..=4 {
        // They return one by one and keep the entry time of their previous incarnation.
        table.insert(host, member(2, ms(0)));
        lease.adopt(at(5 + u64::from(host)), table.clone());
    }
    lease.set_platform_clock(ms(0), PLATFORM);
    let mut barrier = Barrier::new(at(9), ms(0));
    for host in 2..=4 {
        lease.record_attestation(
            ms(100),
            Attestation { incarnation: 2, ..attestation(host, 9, None) },
        );
    }
    assert!(!barrier.has_passed(&lease, ms(100)));
    assert!(barrier.has_passed(&lease, ms(1150)));
}

#[test]
fn without_the_platforms_clock_every_member_counts_as_new() {
    let mut lease = Lease::new(1, 1, LIMITS);
    lease.adopt(at(5), members(3));
    lease.record_attestation(ms(10), attestation(2, 5, None));
    lease.record_attestation(ms(10), attestation(3, 5, None));
    assert!(!lease.has_majority_quiesced(ms(10), at(5)));
    assert!(lease.has_quiesced_everywhere(at(5)));
}
