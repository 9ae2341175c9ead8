//! Tests of the push tree, of the epoch in force on all hosts, and of the bounded cost of membership
//! in a large fleet.

mod fleet;

use bergamotvale_core::authority::{self, VALIDITY};
use bergamotvale_core::distribute::{Adoption, FAN_OUT, Row, children};
use bergamotvale_core::id::{HostId, Time};
use bergamotvale_core::member::{
    self, MAX_LIST_AGE, MAX_VOTERS, POLLERS_PER_DOMAIN, REMOVE_AFTER, TREE_PARENTS, View,
    WATCHED_PEERS,
};
use bergamotvale_core::peer::Member;
use fleet::member;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

const LARGE: u32 = 3600;
const NOW: Time = Duration::from_secs(100);

fn members(count: u32) -> BTreeMap<HostId, Member> {
    (1..=count).map(|host| (host, member(host, 1))).collect()
}

fn row(epoch: u64, hosts: &[HostId]) -> Row {
    let members = hosts.iter().map(|host| (*host, member(*host, 1))).collect();
    Row { epoch, version: epoch, members, ..Row::default() }
}

#[test]
fn the_tree_reaches_each_host_once_in_few_steps() {
    for (count, origin) in [(4, 3), (17, 1), (LARGE, 1777)] {
        let members = members(count);
        let mut reached = BTreeSet::from([origin]);
        let mut queue = VecDeque::from([(origin, 0)]);
        let mut deepest = 0;

        while let Some((host, depth)) = queue.pop_front() {
            for child in children(&members, origin, host, FAN_OUT) {
                assert!(reached.insert(child), "{child} reached twice");
                queue.push_back((child, depth + 1));
                deepest = deepest.max(depth + 1);
            }
        }

        assert_eq!(reached.len(), count as usize);
        assert!(deepest <= if count == LARGE { 3 } else { 1 }, "{deepest} steps");
    }
}

#[test]
fn every_majority_of_voters_meets_every_announcement_quorum() {
    for voters in 1..=MAX_VOTERS {
        let quorum = authority::announcement_quorum(voters);

        assert!(authority::majority(voters) + quorum > voters);
        assert!(quorum <= voters);
    }
}

#[test]
fn a_host_probes_a_constant_number_of_peers() {
    let members = members(LARGE);
    let mut probed: BTreeMap<HostId, usize> = BTreeMap::new();
    for own in (1..=LARGE).step_by(101) {
        let mut view = View::new(own);
        view.record_members(NOW, &members);

        let probes = view.probes();

        assert!(
            probes.len() <= WATCHED_PEERS + MAX_VOTERS.max(TREE_PARENTS),
            "{} probes",
            probes.len()
        );
        probes.iter().for_each(|member| *probed.entry(member.host).or_default() += 1);
    }
    assert!(probed.values().all(|count| *count <= WATCHED_PEERS + MAX_VOTERS + TREE_PARENTS));
    assert_eq!(member::voters(&members).len(), MAX_VOTERS);
}

#[test]
fn four_hosts_are_a_full_mesh() {
    let mut view = View::new(2);
    view.record_members(NOW, &members(4));

    let probed: Vec<HostId> = view.probes().iter().map(|member| member.host).collect();

    assert_eq!(probed, [1, 3, 4]);
}

/// A view in which all members became known at `NOW`.
fn view_of(own: HostId, members: &BTreeMap<HostId, Member>) -> View {
    let mut view = View::new(own);
    view.record_members(NOW, members);
    view
}

#[test]
fn few_hosts_a_failure_domain_read_the_platforms_list() {
    let domains = |members: &BTreeMap<HostId, Member>| {
        members.values().map(|member| member.failure_domain).collect::<BTreeSet<_>>().len()
    };
    let members = members(LARGE);
    let polls = |host: &&HostId| member::is_poller(&members, **host, POLLERS_PER_DOMAIN);
    let (pollers, others): (Vec<&HostId>, Vec<&HostId>) = members.keys().partition(polls);

    let reads = |host: HostId, now| view_of(host, &members).reads_list(now, &members);

    assert_eq!(pollers.len(), POLLERS_PER_DOMAIN * domains(&members));
    assert!(pollers.iter().all(|host| reads(**host, NOW)));
    assert!(others.iter().step_by(101).all(|host| !reads(**host, NOW)));
    assert!(reads(*others[0], NOW + REMOVE_AFTER), "a host that suspects a peer needs the list");
}

#[test]
fn four_hosts_all_read_the_platforms_list() {
    let members = members(4);

    assert!(members.keys().all(|host| view_of(*host, &members).reads_list(NOW, &members)));
}

#[test]
fn an_old_list_is_no_evidence_that_a_host_is_gone() {
    let mut view = view_of(1, &members(2));
    view.record_platform_list(NOW, &[]);
    let later = NOW + MAX_LIST_AGE;

    let fresh = view.removable(NOW + REMOVE_AFTER, REMOVE_AFTER);
    let old = view.removable(later, REMOVE_AFTER);
    view.record_platform_list(later, &[]);
    let again = view.removable(later, REMOVE_AFTER);

    assert_eq!((fresh, old, again), ([2].into(), BTreeSet::new(), [2].into()));
}

#[test]
fn an_epoch_is_in_force_once_every_member_confirmed_it() {
    let mut adoption = Adoption::new();
    adoption.record_accepted(NOW, &row(5, &[1, 2, 3]), &row(4, &[1, 2, 3]), 1);
    assert_eq!(adoption.in_force(NOW), (0, 0));

    adoption.record_confirmed(2, 1, 5);
    adoption.record_confirmed(3, 0, 5);
    assert_eq!(
        adoption.in_force(NOW),
        (0, 0),
        "another incarnation of host 3 does not confirm for it"
    );
    adoption.record_confirmed(3, 1, 6);

    assert_eq!(adoption.in_force(NOW), (5, 5));
}

#[test]
fn an_epoch_that_removes_a_host_is_in_force_once_its_authority_has_lapsed() {
    for previous in [row(4, &[1, 2, 3]), row(3, &[1, 2])] {
        let mut adoption = Adoption::new();
        adoption.record_accepted(NOW, &row(5, &[1, 2]), &previous, 1);
        adoption.record_confirmed(2, 1, 5);

        assert_eq!(adoption.in_force(NOW + VALIDITY), (0, 0));

        assert_eq!(adoption.in_force(NOW + VALIDITY + Duration::from_millis(1)), (5, 5));
    }
}

#[test]
fn a_later_epoch_waits_for_the_host_that_an_earlier_one_removed() {
    let mut adoption = Adoption::new();
    adoption.record_accepted(NOW, &row(5, &[1, 2]), &row(4, &[1, 2, 3]), 1);
    adoption.record_accepted(NOW, &row(6, &[1, 2]), &row(5, &[1, 2]), 1);
    adoption.record_confirmed(2, 1, 6);

    assert_eq!(adoption.in_force(NOW + VALIDITY), (0, 0));

    assert_eq!(adoption.in_force(NOW + VALIDITY + Duration::from_millis(1)), (6, 6));
}
