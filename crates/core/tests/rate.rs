//! Rates over a small fake fleet: lossy, slow links, pauses, uneven load, members that change.

mod meters;

use bergamotvale_core::id::{HostId, Time};
use meters::{AUTHORITY, Fleet, SETTLE, fresh_host};
use rand::RngExt;
use rand::rngs::SmallRng;
use std::time::Duration;

fn any_host(random: &mut SmallRng) -> HostId {
    random.random_range(1..=4)
}

#[test]
fn admits_at_any_balance_without_wrongful_refusals() {
    for (name, favourite) in [("even", 0.25), ("uneven", 0.8), ("one host", 1.0)] {
        let mut fleet = Fleet::new(4, 200, 100, 1);
        fleet.learn_members(Time::ZERO);
        fleet.drive(Time::ZERO, SETTLE * 3, 0.0, any_host);
        let pick = move |random: &mut SmallRng| {
            if random.random_bool(favourite) { 1 } else { random.random_range(2..=4) }
        };

        fleet.drive(SETTLE * 3, Duration::from_secs(40), 180.0, pick);

        fleet.verify().expect(name);
        assert_eq!(fleet.wrongly_refused, 0, "{name}: of {}", fleet.offered);
    }
}

#[test]
fn never_exceeds_rate_and_burst_under_overload_losses_and_pauses() {
    for seed in 0..40 {
        let mut fleet = Fleet::new(4, 100, 40, seed);
        fleet.loss = 0.05;
        fleet.learn_members(Time::ZERO);
        let round = Duration::from_millis(800);

        for number in 0..12 {
            let now = round * number;
            let id = any_host(&mut fleet.random);
            let pause = Duration::from_millis(fleet.random.random_range(0..1000));
            fleet.host(id).paused_until = now + pause;
            fleet.drive(now, now + round, 500.0, any_host);
        }

        fleet.verify().unwrap_or_else(|e| panic!("seed {seed}: {e}"));
        assert!(fleet.admitted.len() > 300, "seed {seed}: {}", fleet.admitted.len());
    }
}

#[test]
fn members_that_change_never_hold_more_than_the_total() {
    for seed in 0..40 {
        let mut fleet = Fleet::new(4, 100, 40, seed);
        fleet.learn_members(Time::ZERO);
        let change = SETTLE * 2;
        fleet.drive(Time::ZERO, change, 400.0, any_host);
        fleet.members.remove(&4);
        let mut learned: Vec<(Time, HostId)> = (1..=4)
            .map(|id| (change + AUTHORITY.mul_f64(fleet.random.random_range(0.0..1.0)), id))
            .collect();
        learned.sort();

        let mut now = change;
        for (at, id) in learned {
            fleet.drive(now, at, 400.0, any_host);
            fleet.learn_members_at(id, at);
            now = at;
        }
        fleet.drive(now, now + SETTLE * 2, 400.0, any_host);
        fleet.members.insert(4);
        fleet.hosts.insert(4, fresh_host());
        fleet.learn_members(now + SETTLE * 2);
        fleet.drive(now + SETTLE * 2, now + SETTLE * 5, 400.0, any_host);

        fleet.verify().unwrap_or_else(|e| panic!("seed {seed}: {e}"));
    }
}

#[test]
fn the_check_catches_a_limiter_that_counts_alone() {
    let mut fleet = Fleet::new(4, 100, 40, 1);
    for host in fleet.hosts.values_mut() {
        host.local_only = true;
    }
    fleet.learn_members(Time::ZERO);

    fleet.drive(SETTLE, SETTLE * 3, 500.0, any_host);

    assert!(fleet.verify().is_err());
}
