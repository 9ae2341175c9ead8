//! Rates after restarts of hosts: shares that are usable at once, initial tokens and refunded
//! tokens.

use bergamotvale_core::id::{AccountId, HostId, Time};
use bergamotvale_core::rate::bucket::{Amount, MICRO};
use bergamotvale_core::rate::meter::{Decision, Meter};
use bergamotvale_core::rate::rate_share;
use std::collections::BTreeSet;
use std::time::Duration;

const ACCOUNT: AccountId = 7;
const RATE: u32 = 120;
const BURST: u32 = 120;
const HOSTS: HostId = 4;
const GROWTH_DELAY: Duration = Duration::from_millis(1260);
/// Initial tokens of each host.
const INITIAL_TOKENS: Amount = 6 * MICRO;

fn ms(millis: u64) -> Time {
    Duration::from_millis(millis)
}

fn shares(host: HostId) -> (Amount, Amount) {
    let members: BTreeSet<HostId> = (1..=HOSTS).collect();
    rate_share(ACCOUNT, (RATE, BURST), &members, host, 4)
}

/// A restarted host that had the same share before.
fn restarted(host: HostId, now: Time) -> Meter {
    let (rate, burst) = shares(host);
    let mut meter = Meter::new(GROWTH_DELAY, false);
    meter.open_share(ACCOUNT, rate, burst, INITIAL_TOKENS, now);
    meter
}

fn admits(meter: &mut Meter, now: Time) -> bool {
    meter.request(ACCOUNT, now) == Decision::Admit
}

/// Guards against refusals after all hosts and their callers restart at once.
#[test]
fn hosts_that_come_back_serve_at_once() {
    for host in 1..=HOSTS {
        let mut meter = restarted(host, ms(0));
        let admitted = (0..20).filter(|_| admits(&mut meter, ms(0))).count();
        assert_eq!(admitted, 6, "host {host}");
        // Each host has a quarter of the rate: one token per 1/30 s.
        assert!(admits(&mut meter, ms(40)), "host {host}");
    }
}

/// Guards against admission above the permitted excess when all hosts restart twice within one
/// window while an account is under overload.
#[test]
fn two_restarts_in_one_window_stay_within_what_is_permitted() {
    let mut admitted = 0;
    for host in 1..=HOSTS {
        // The host starts with its burst spent and restarts twice in the window. It has the initial
        // tokens at the start of each of the three periods.
        for (from, until) in [(0, 1500), (2000, 3000), (3500, 5000)] {
            let mut meter = restarted(host, ms(from));
            admitted += (from..until).filter(|at| admits(&mut meter, ms(*at))).count();
        }
    }
    let window = 5.0;
    let permitted = (f64::from(RATE) * window + f64::from(BURST)) * 1.1 + 20.0;
    assert!(admitted as f64 <= permitted, "{admitted} of {permitted}");
}

#[test]
fn a_host_that_is_new_waits_until_the_others_have_made_room() {
    let (rate, burst) = shares(1);
    let mut meter = Meter::new(GROWTH_DELAY, false);
    meter.set_share(ACCOUNT, rate, burst, ms(0));
    assert!(!admits(&mut meter, ms(1200)));
    meter.tick(GROWTH_DELAY);
    assert!(admits(&mut meter, GROWTH_DELAY + ms(100)));
}

#[test]
fn a_part_that_grows_after_the_start_waits_like_any_other() {
    let mut meter = restarted(1, ms(0));
    let (rate, burst) = shares(1);
    meter.open_share(ACCOUNT, 2 * rate, 2 * burst, INITIAL_TOKENS, ms(10));
    meter.tick(ms(20));
    assert_eq!(meter.share(ACCOUNT), (rate, burst));
    meter.tick(ms(10) + GROWTH_DELAY);
    assert_eq!(meter.share(ACCOUNT), (2 * rate, 2 * burst));
}

/// Guards against tokens lost to requests that reached no target, as when the primary fails while
/// queues are full.
#[test]
fn a_token_that_is_put_back_serves_another_request() {
    let mut meter = restarted(1, ms(0));
    while admits(&mut meter, ms(0)) {}
    meter.refund(ACCOUNT, ms(0));
    assert!(admits(&mut meter, ms(0)));
    assert!(!admits(&mut meter, ms(0)));
}

#[test]
fn tokens_put_back_do_not_exceed_the_part_of_the_burst() {
    let mut meter = restarted(1, ms(0));
    for _ in 0..1000 {
        meter.refund(ACCOUNT, ms(0));
    }
    let (_, burst) = shares(1);
    let admitted = (0..1000).filter(|_| admits(&mut meter, ms(0))).count();
    assert_eq!(admitted as u64, burst / MICRO);
}
