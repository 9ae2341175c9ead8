//! Owners of a target's connections: when operations are forwarded, who owns what, and how many
//! connections all hosts open together.

use bergamotvale_core::id::HostId;
use bergamotvale_core::proxy::lease::Member;
use bergamotvale_core::proxy::ownership::{Owners, is_forwarded};
use bergamotvale_core::rendezvous::Subject;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// So many usable connections that every owner has a part, also one that stands in for others.
const MANY: (u64, Subject) = (1_000, Subject::Connection(3));

/// Members 1 to `count`, in the domains `d0`, `d1` and so on in turn.
fn members(count: u32, domains: u32) -> BTreeMap<HostId, Member> {
    let member = |host: HostId| Member {
        incarnation: 1,
        address: SocketAddr::from(([127, 0, 0, 1], 7004)),
        domain: format!("d{}", host % domains),
        entered: Duration::ZERO,
    };
    (1..=count).map(|host| (host, member(host))).collect()
}

/// Two regions: `r0` has the domains `d0` and `d1`, `r1` all others.
fn regions(domains: u32) -> BTreeMap<String, String> {
    let region = |number: u32| if number < 2 { "r0" } else { "r1" };
    (0..domains).map(|number| (format!("d{number}"), region(number).to_owned())).collect()
}

/// Guards against forwarding at small sites, and against none at the grown, large and new ones.
#[test]
fn forwarding_is_in_force_at_the_sites_that_need_it() {
    // Usable connections (80% of the limit), hosts and accounts of each deployment.
    for (usable, hosts, accounts) in [(16, 4, 8), (32, 4, 8), (12, 4, 8)] {
        assert!(!is_forwarded(usable, hosts, accounts), "{usable} on {hosts}");
    }
    let forwarded = [
        (57, 26, 75),
        (233, 36, 87),
        (47, 34, 84),
        (33, 36, 87),
        (172, 118, 190),
        (56, 24, 72),
        (64, 84, 84),
    ];
    for (usable, hosts, accounts) in forwarded {
        assert!(is_forwarded(usable, hosts, accounts), "{usable} on {hosts}");
    }
}

#[test]
fn owners_are_in_the_targets_domain_then_its_region_then_anywhere() {
    let members = members(24, 6);
    let owners = Owners::new(&members, "d1", &regions(6));
    let domain_of = |host: &HostId| members[host].domain.as_str();
    let ranked =
        |is_alive: &dyn Fn(HostId) -> bool| owners.ranked(Subject::Owner(7), MANY, 24, is_alive);
    assert!(ranked(&|_| true).iter().all(|host| domain_of(host) == "d1"));
    let without_domain = ranked(&|host| domain_of(&host) != "d1");
    assert_eq!(without_domain.len(), 4);
    assert!(without_domain.iter().all(|host| domain_of(host) == "d0"));
    let without_region = ranked(&|host| !["d0", "d1"].contains(&domain_of(&host)));
    assert_eq!(without_region.len(), 16);
    assert!(ranked(&|_| false).is_empty());
}

/// Guards against accounts that move between live owners when another one dies: each move opens
/// connections.
#[test]
fn a_dead_owners_accounts_move_to_their_next_owner_and_no_others_move() {
    let owners = Owners::new(&members(24, 4), "d1", &BTreeMap::new());
    for account in 0..200 {
        let subject = Subject::Owner(account);
        let ranked = owners.ranked(subject, MANY, 3, |_| true);
        for dead in [ranked[0], ranked[1]] {
            let expected: Vec<HostId> = ranked.iter().copied().filter(|h| *h != dead).collect();
            let left = owners.ranked(subject, MANY, 2, |host| host != dead);
            assert_eq!(left, expected);
        }
    }
}

/// Guards against hosts that together open more connections than the target's limit while they
/// disagree on which of the owners are alive, and more than are usable while they agree.
#[test]
fn the_parts_of_all_hosts_stay_within_the_limit() {
    for (hosts, domains, limit) in [(4, 3, 15), (26, 3, 72), (118, 5, 216), (600, 6, 80)] {
        let usable = limit * 80 / 100;
        let members = members(hosts, domains);
        let owners = Owners::new(&members, "d1", &regions(domains));
        let connections = (usable, Subject::Connection(3));
        let total: u64 =
            members.keys().map(|host| owners.part_of(*host, connections, |_| true)).sum();
        assert_eq!(total, usable);
        for (host, member) in &members {
            let has_part = owners.part_of(*host, connections, |_| true) > 0;
            assert!(!has_part || member.domain == "d1");
        }
        // Each host takes other hosts for dead, down to all others; it is alive for itself.
        for divisor in [1, 2, 3, 5] {
            let part = |host: &HostId| {
                let is_alive =
                    |other: HostId| other == *host || !(other ^ host).is_multiple_of(divisor);
                owners.part_of(*host, connections, is_alive)
            };
            let total: u64 = members.keys().map(part).sum();
            assert!(total <= limit, "{total} of {limit} on {hosts} hosts");
        }
    }
}

/// Guards against attempts that are sent to a host without a part of the connections, which would
/// refuse them: a domain may have more hosts than there are connections.
#[test]
fn only_hosts_with_a_part_are_ranked() {
    let members = members(600, 6);
    let owners = Owners::new(&members, "d1", &regions(6));
    let connections = (64, Subject::Connection(3));
    let views: [&dyn Fn(HostId) -> bool; 2] = [&|_| true, &|host| host % 6 != 1];
    for is_alive in views {
        for account in 0..100 {
            let ranked = owners.ranked(Subject::Owner(account), connections, 2, is_alive);
            assert_eq!(ranked.len(), 2);
            let has_part = |host: &HostId| owners.part_of(*host, connections, is_alive) > 0;
            assert!(ranked.iter().all(has_part));
        }
    }
}
