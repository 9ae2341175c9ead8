//! When a group's primary is replaced, by which target, and which host acts first.

use bergamotvale_core::id::{HostId, Time};
use bergamotvale_core::proxy::directory::{Directory, Entry, Role, TargetName};
use bergamotvale_core::proxy::evidence::{Evidence, FAILURE_TIMEOUT, RESPONSE_TIMEOUT, View};
use bergamotvale_core::proxy::failover::{
    Cause, Holder, Monitor, Snapshot, is_reachable_by_majority,
};
use bergamotvale_core::proxy::floor::Position;
use bergamotvale_core::proxy::record::Record;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

const SERVICE: &str = "orders";

fn ms(millis: u64) -> Time {
    Duration::from_millis(millis)
}

fn entry(name: &str, role: Role) -> Entry {
    Entry {
        name: name.into(),
        service: SERVICE.into(),
        address: "127.0.0.1:1".parse().expect("an address"),
        domain: "a".into(),
        slots: 3,
        is_leaving: false,
        role,
        start_time: 1,
    }
}

/// A group with primary `p` and replicas `r` and `s`; `s` has the higher log position.
struct World {
    record: Record,
    directory: Directory,
    views: BTreeMap<TargetName, View>,
    evacuated: BTreeSet<String>,
    peers: BTreeMap<HostId, View>,
    positions: BTreeMap<TargetName, Position>,
    holder: Holder,
    peer_timeout: Duration,
}

impl World {
    fn new() -> World {
        let entries =
            [entry("p", Role::Primary), entry("r", Role::Replica), entry("s", Role::Replica)];
        let directory: Directory = entries.into_iter().map(|e| (e.name.clone(), e)).collect();
        let position = |number| Position { term: 1, number };
        World {
            record: Record::first(&directory, SERVICE, 1, 0).expect("one primary"),
            directory,
            views: BTreeMap::new(),
            evacuated: BTreeSet::new(),
            peers: [(2, View::Alive), (3, View::Alive), (4, View::Alive)].into(),
            positions: [("r".into(), position(5)), ("s".into(), position(9))].into(),
            holder: Holder::Alive,
            peer_timeout: ms(300),
        }
    }

    fn snapshot(&self) -> Snapshot<'_> {
        Snapshot {
            service: SERVICE,
            record: &self.record,
            directory: &self.directory,
            views: &self.views,
            evacuated: &self.evacuated,
            peer_views: &self.peers,
            positions: &self.positions,
            holder: self.holder,
            peer_timeout: self.peer_timeout,
        }
    }

    fn set_unreachable(&mut self, peers: &[HostId]) {
        self.views.insert("p".into(), View::Lost);
        for host in peers {
            self.peers.insert(*host, View::Lost);
        }
    }

    fn decide(&self, monitor: &mut Monitor, at: u64, rank: usize) -> Option<(Cause, String)> {
        monitor
            .decide(ms(at), rank, &self.snapshot())
            .map(|change| (change.cause, change.candidate))
    }
}

#[test]
fn a_healthy_primary_stays() {
    assert_eq!(World::new().decide(&mut Monitor::default(), 0, 0), None);
}

#[test]
fn a_primary_that_only_this_host_has_lost_stays() {
    let mut world = World::new();
    world.set_unreachable(&[]);
    assert_eq!(world.decide(&mut Monitor::default(), 0, 0), None);
}

#[test]
fn a_primary_that_most_have_lost_is_replaced_by_the_replica_with_most_of_the_log() {
    let mut world = World::new();
    world.set_unreachable(&[2, 3]);
    let found = world.decide(&mut Monitor::default(), 0, 0);
    assert_eq!(found, Some((Cause::Lost, "s".into())));
}

#[test]
fn hosts_act_in_the_order_of_their_rank() {
    let mut world = World::new();
    world.set_unreachable(&[2, 3, 4]);
    let mut monitor = Monitor::default();
    assert_eq!(world.decide(&mut monitor, 0, 1), None);
    assert_eq!(world.decide(&mut monitor, 149, 1), None);
    assert!(world.decide(&mut monitor, 150, 1).is_some());
}

#[test]
fn a_primary_that_leaves_is_replaced_as_planned_work() {
    let mut world = World::new();
    world.directory.get_mut("p").unwrap().is_leaving = true;
    let (cause, candidate) = world.decide(&mut Monitor::default(), 0, 0).unwrap();
    assert_eq!(cause, Cause::Leaving);
    let record = world.record.promote(&candidate, 1, true, 1, 0);
    assert!(record.planned && !record.established);
    assert_eq!((record.fence, record.previous.as_deref()), (2, Some("p")));
}

/// The group with its primary `p` and replica `s` in domain `a`, which is evacuated, and `r` in `b`.
fn evacuated_world() -> World {
    let mut world = World::new();
    world.directory.get_mut("r").expect("a target").domain = "b".into();
    world.evacuated.insert("a".into());
    world
}

/// Guards against a promotion to a target with more of the log in the domain that is evacuated.
#[test]
fn a_primary_in_an_evacuated_domain_is_replaced_by_a_target_elsewhere_as_planned_work() {
    let world = evacuated_world();
    let found = world.decide(&mut Monitor::new(ms(0)), 0, 0);
    assert_eq!(found, Some((Cause::Evacuated, "r".into())));
    assert!(Cause::Evacuated.is_planned());
}

#[test]
fn a_group_whose_domains_are_all_evacuated_keeps_its_primary() {
    let mut world = evacuated_world();
    world.evacuated.insert("b".into());
    assert_eq!(world.decide(&mut Monitor::default(), 0, 0), None);
    world.set_unreachable(&[2, 3, 4]);
    assert_eq!(world.decide(&mut Monitor::default(), 0, 0), None);
}

/// Guards against hosts that treat a dead primary in an evacuated domain as one that still works.
#[test]
fn a_lost_primary_in_an_evacuated_domain_is_replaced_as_lost() {
    let mut world = evacuated_world();
    world.set_unreachable(&[2, 3, 4]);
    assert_eq!(world.decide(&mut Monitor::default(), 0, 0), Some((Cause::Lost, "r".into())));
}

#[test]
fn an_evacuation_that_ends_while_its_promotion_runs_does_not_stop_the_promotion() {
    let mut world = evacuated_world();
    world.record = world.record.promote(&"r".into(), 2, true, 1, 0);
    world.evacuated.clear();
    let mut monitor = Monitor::default();
    assert_eq!(world.decide(&mut monitor, 0, 0), None);
    world.record = world.record.establish(2);
    assert_eq!(world.decide(&mut monitor, 1000, 0), None);
}

#[test]
fn a_promotion_whose_candidate_is_evacuated_goes_on_with_another() {
    let mut world = evacuated_world();
    world.record = world.record.promote(&"s".into(), 2, true, 1, 0);
    world.holder = Holder::Own;
    assert_eq!(world.decide(&mut Monitor::default(), 0, 0), Some((Cause::Stuck, "r".into())));
}

#[test]
fn a_primary_that_is_gone_from_the_directory_is_replaced() {
    let mut world = World::new();
    world.directory.remove("p");
    assert_eq!(world.decide(&mut Monitor::default(), 0, 0), Some((Cause::Lost, "s".into())));
}

#[test]
fn neither_leaving_nor_lost_replicas_are_promoted() {
    let mut world = World::new();
    world.set_unreachable(&[2, 3, 4]);
    world.views.insert("s".into(), View::Lost);
    assert_eq!(world.decide(&mut Monitor::default(), 0, 0), Some((Cause::Lost, "r".into())));
    world.directory.get_mut("r").unwrap().is_leaving = true;
    assert_eq!(world.decide(&mut Monitor::default(), 0, 0), None);
}

#[test]
fn a_promotion_under_way_is_left_alone_until_it_is_stuck() {
    let mut world = World::new();
    world.record = world.record.promote(&"r".into(), 2, false, 1, 0);
    let mut monitor = Monitor::default();
    assert_eq!(world.decide(&mut monitor, 0, 0), None);
    assert_eq!(world.decide(&mut monitor, 3999, 0), None);
    // The candidate of the unfinished promotion is preferred: it may lead already.
    assert_eq!(world.decide(&mut monitor, 4000, 0), Some((Cause::Stuck, "r".into())));
}

#[test]
fn a_promotion_whose_candidate_is_lost_goes_on_with_another() {
    let mut world = World::new();
    world.record = world.record.promote(&"s".into(), 2, false, 1, 0);
    world.views.insert("s".into(), View::Lost);
    world.holder = Holder::Own;
    assert_eq!(world.decide(&mut Monitor::default(), 0, 0), Some((Cause::Stuck, "r".into())));
}

#[test]
fn two_primaries_in_the_directory_make_no_first_record() {
    let mut world = World::new();
    world.directory.get_mut("r").unwrap().role = Role::Primary;
    assert_eq!(Record::first(&world.directory, SERVICE, 1, 0), None);
}

#[test]
fn silence_counts_only_after_a_question() {
    let mut evidence = Evidence::default();
    assert_eq!(evidence.view(ms(60_000)), View::Alive);
    evidence.record_request(ms(1000));
    assert_eq!(evidence.view(ms(1000) + RESPONSE_TIMEOUT - ms(1)), View::Alive);
    assert_eq!(evidence.view(ms(1000) + RESPONSE_TIMEOUT), View::Lost);
    evidence.record_response(ms(2000), false);
    assert_eq!(evidence.view(ms(60_000)), View::Alive);
}

#[test]
fn an_answer_to_one_question_leaves_the_others_open() {
    let mut evidence = Evidence::default();
    evidence.record_request(ms(0));
    evidence.record_response(ms(600), true);
    assert_eq!(evidence.view(ms(599) + RESPONSE_TIMEOUT), View::Alive);
    assert_eq!(evidence.view(ms(600) + RESPONSE_TIMEOUT), View::Lost);
}

#[test]
fn refused_connections_count_soon_and_one_sign_of_life_clears_them() {
    let mut evidence = Evidence::default();
    evidence.record_connection_failure(ms(0));
    assert_eq!(evidence.view(FAILURE_TIMEOUT), View::Lost);
    evidence.record_response(ms(200), false);
    assert_eq!(evidence.view(ms(900)), View::Alive);
}

/// Guards against taking a candidate as promoted while it still leads an older term: a primary
/// that died, was replaced and returned was promoted again, and counted as leading although it was
/// still the primary of its old term. Found by the search in proxy_search, seed 21.
#[test]
fn a_candidate_that_still_leads_an_older_term_does_not_lead_by_its_promotion() {
    let world = World::new();
    let first = world.record.promote(&"s".into(), 2, false, 1, 0).establish(2);
    let second = first.promote(&"p".into(), 3, false, 2, 0);
    assert!(!second.accepts_term(1));
    assert!(!second.accepts_term(2));
    assert!(second.accepts_term(3));
    // A host that takes the promotion over keeps the term that has to be exceeded.
    let resumed = second.promote(&"p".into(), 4, false, 0, 0);
    assert!(!resumed.accepts_term(2));
}

/// Guards against failovers that take seconds in a large fleet: there peers count as silent only
/// after seconds, but they tell their view of a new primary at once.
#[test]
fn a_new_primary_that_dies_is_replaced_as_soon_in_a_large_fleet() {
    let mut world = World::new();
    let mut monitor = Monitor::new(ms(0));
    assert_eq!(world.decide(&mut monitor, 0, 0), None);
    world.set_unreachable(&[2, 3, 4]);
    world.peer_timeout = ms(9100);
    assert_eq!(world.decide(&mut monitor, 699, 0), None);
    assert_eq!(world.decide(&mut monitor, 700, 0), Some((Cause::Lost, "s".into())));
}

/// Fault: the primary is partitioned from some hosts, but more than half of the peers
/// reach it, so that it stays.
#[test]
fn a_primary_that_more_than_half_of_the_peers_reach_works_elsewhere() {
    let views = |alive: u32, lost: u32| {
        let alive = (0..alive).map(|host| (host, View::Alive));
        alive.chain((100..100 + lost).map(|host| (host, View::Lost))).collect()
    };
    assert!(is_reachable_by_majority(&views(2, 1)));
    assert!(!is_reachable_by_majority(&views(1, 1)));
    assert!(!is_reachable_by_majority(&views(0, 3)));
    assert!(!is_reachable_by_majority(&views(0, 0)));
}
