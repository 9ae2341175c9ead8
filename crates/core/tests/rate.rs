//! Rates over a small simulated fleet with lossy and slow links, pauses, uneven load and changing
//! members.
//!
//! Guards against admission above rate and burst, and against refusals within the rate.

mod meters;

use bergamotvale_core::id::{HostId, Time};
use bergamotvale_core::peer::TokenRequest;
use bergamotvale_core::rate::Meter;
use bergamotvale_core::rate::meter::micro;
use meters::{ACCOUNT, AUTHORITY_VALIDITY, Fleet, GROWTH_DELAY, fresh_host};
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
        fleet.apply_members(Time::ZERO);
        fleet.drive(Time::ZERO, GROWTH_DELAY * 3, 0.0, any_host);
        let pick = move |random: &mut SmallRng| {
            if random.random_bool(favourite) { 1 } else { random.random_range(2..=4) }
        };

        fleet.drive(GROWTH_DELAY * 3, Duration::from_secs(40), 180.0, pick);

        fleet.verify().expect(name);
        assert_eq!(fleet.wrongly_refused, 0, "{name}: of {}", fleet.offered);
    }
}

#[test]
fn never_exceeds_rate_and_burst_under_overload_losses_and_pauses() {
    for seed in 0..40 {
        let mut fleet = Fleet::new(4, 100, 40, seed);
        fleet.loss = 0.05;
        fleet.apply_members(Time::ZERO);
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
        fleet.apply_members(Time::ZERO);
        let change = GROWTH_DELAY * 2;
        fleet.drive(Time::ZERO, change, 400.0, any_host);
        fleet.members.remove(&4);
        let mut learned: Vec<(Time, HostId)> = (1..=4)
            .map(|id| {
                (change + AUTHORITY_VALIDITY.mul_f64(fleet.random.random_range(0.0..1.0)), id)
            })
            .collect();
        learned.sort();

        let mut now = change;
        for (at, id) in learned {
            fleet.drive(now, at, 400.0, any_host);
            fleet.apply_members_at(id, at);
            now = at;
        }
        fleet.drive(now, now + GROWTH_DELAY * 2, 400.0, any_host);
        fleet.members.insert(4);
        fleet.hosts.insert(4, fresh_host());
        fleet.apply_members(now + GROWTH_DELAY * 2);
        fleet.drive(now + GROWTH_DELAY * 2, now + GROWTH_DELAY * 5, 400.0, any_host);

        fleet.verify().unwrap_or_else(|e| panic!("seed {seed}: {e}"));
    }
}

/// A fleet with slow links on which loan requests overtake each other, since borrowers time out and
/// send new requests.
fn overtaken(seed: u64) -> Fleet {
    let mut fleet = Fleet::new(4, 400, 160, seed);
    fleet.loss = 0.2;
    fleet.delay = Duration::from_millis(25);
    fleet.loan_timeout = Some(Duration::from_millis(60));
    fleet.apply_members(Time::ZERO);
    fleet.drive(Time::ZERO, GROWTH_DELAY * 3, 0.0, any_host);
    fleet.drive(GROWTH_DELAY * 3, GROWTH_DELAY * 5, 2_000.0, |random| {
        if random.random_bool(0.9) { 1 } else { random.random_range(2..=4) }
    });
    fleet
}

#[test]
fn asks_that_are_overtaken_end_no_loan() {
    for seed in 0..20 {
        let fleet = overtaken(seed);

        fleet.verify().unwrap_or_else(|e| panic!("seed {seed}: {e}"));
    }
}

/// A lender that had its full share of 20 tokens and has just lent all of them for request 2.
fn lender_without_tokens(now: Time) -> Meter {
    let mut meter = Meter::new(GROWTH_DELAY, true);
    meter.set_share(ACCOUNT, micro(100), micro(20), now - GROWTH_DELAY * 2);
    meter.tick(now - GROWTH_DELAY);
    assert_eq!(meter.lend(&token_request(1, 2), now), 20);
    meter
}

fn token_request(host: HostId, sequence: u64) -> TokenRequest {
    TokenRequest { host, account: ACCOUNT, count: 20, version: 1, sequence }
}

#[test]
fn only_a_newer_ask_says_that_a_loan_has_arrived() {
    let (start, later) = (GROWTH_DELAY * 3, GROWTH_DELAY * 3 + Duration::from_millis(50));
    let lent = [("overtaken", 1, 0), ("repeated", 2, 0), ("newer", 3, 4)].map(|case| {
        let mut meter = lender_without_tokens(start);
        let at_once = meter.lend(&token_request(1, case.1), start);
        (case, at_once, meter.lend(&token_request(2, 1), later))
    });

    for ((name, _, expected), at_once, lent) in lent {
        assert_eq!(at_once, 0, "{name}");
        assert!(lent >= expected && (expected > 0 || lent == 0), "{name}: {lent}");
    }
}

#[test]
fn the_check_catches_a_limiter_that_counts_alone() {
    let mut fleet = Fleet::new(4, 100, 40, 1);
    for host in fleet.hosts.values_mut() {
        host.has_whole_rate = true;
    }
    fleet.apply_members(Time::ZERO);

    fleet.drive(GROWTH_DELAY, GROWTH_DELAY * 3, 500.0, any_host);

    assert!(fleet.verify().is_err());
}
