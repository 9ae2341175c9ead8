//! Pattern: a client account asks for more than its rate for long, evenly or over a few hosts, while
//! hosts come, go and restart. It should get its rate and no more.

mod meters;

use bergamotvale_core::id::{HostId, Time};
use meters::Fleet;
use rand::RngExt;
use rand::rngs::SmallRng;
use std::time::Duration;

const RATE: u32 = 40;
const BURST: u32 = 40;
/// Part of the permitted overage that is divided among the hosts, in percent of rate and burst.
const DIVIDED_OVERAGE: u32 = 5;
const HOLDERS: usize = 4;
/// Tokens of a restarted host: a quarter of the permitted excess in a window, over four hosts.
const INITIAL_TOKENS: u32 = 2;
/// Loads as multiples of the rate.
const LOADS: [f64; 4] = [1.2, 1.6, 2.5, 5.0];
const SEEDS: u64 = 5;
const START: Time = Duration::from_secs(10);
const END: Time = Duration::from_secs(60);
/// Time under load before hosts restart and admissions are counted.
const WARM_UP: Duration = Duration::from_secs(5);
/// Time in which a host is down, and time from one restart to the next.
const DOWN: Duration = Duration::from_millis(800);
const CYCLE: Duration = Duration::from_secs(10);
/// Time between changes of the fleet.
const STEP: Duration = Duration::from_millis(100);
/// Span in which the account gets [`MIN_PART`] of its rate, and window of the limit.
const SPAN: Duration = Duration::from_secs(10);
const WINDOW: Duration = Duration::from_secs(5);
const MIN_PART: f64 = 0.97;
/// Most admissions in a window: rate and burst, a tenth of both, and twenty.
const MAX_IN_WINDOW: usize = (RATE as usize * 5 + BURST as usize) * 11 / 10 + 20;

fn fleet(hosts: HostId, seed: u64) -> Fleet {
    let widen = |amount: u32| amount + amount * DIVIDED_OVERAGE / 100;
    let mut fleet = Fleet::new(hosts, widen(RATE), widen(BURST), seed);
    fleet.max_holders = HOLDERS;
    fleet.apply_members(Time::ZERO);
    fleet
}

/// Number of requests that were offered in each step of a run, from `START` on.
type Offers = Vec<u32>;

fn admitted_within(fleet: &Fleet, from: Time, length: Duration) -> usize {
    let first = fleet.admitted.partition_point(|at| *at < from);
    fleet.admitted[first..].partition_point(|at| *at < from + length)
}

/// Least part that was admitted in any span of what the account asked for, up to its rate.
fn least_part(fleet: &Fleet, offers: &Offers) -> f64 {
    let steps = usize::try_from(SPAN.as_millis() / STEP.as_millis()).expect("a few steps");
    let part = |(index, span): (usize, &[u32])| {
        let from = START + STEP * u32::try_from(index).expect("a few steps");
        let asked = f64::from(span.iter().sum::<u32>());
        let owed = asked.min(f64::from(RATE) * SPAN.as_secs_f64());
        admitted_within(fleet, from, SPAN) as f64 / owed
    };
    offers.windows(steps).enumerate().map(part).fold(f64::INFINITY, f64::min)
}

fn most_in_window(fleet: &Fleet) -> usize {
    let counts = fleet.admitted.iter().map(|at| admitted_within(fleet, *at, WINDOW));
    counts.max().unwrap_or_default()
}

/// Drives the fleet while its hosts restart one after the other; callers use only the first
/// `reached` hosts, and those that are up.
fn drive_with_restarts(fleet: &mut Fleet, hosts: HostId, reached: HostId, load: f64) -> Offers {
    let any = move |random: &mut SmallRng| random.random_range(1..=reached);
    fleet.drive(START - WARM_UP, START, f64::from(RATE) * load, any);
    let mut offers = Offers::new();
    let mut now = START;
    let mut down = None;
    while now < END {
        let turn = (now - START).as_millis() / CYCLE.as_millis();
        let host = 1 + HostId::try_from(turn).expect("a few turns") % hosts;
        let is_down = (now - START).as_millis() % CYCLE.as_millis() < DOWN.as_millis();
        if is_down && down.is_none() {
            fleet.hosts.remove(&host);
            down = Some(host);
        } else if let Some(host) = down.filter(|_| !is_down) {
            fleet.restart(host, INITIAL_TOKENS, now);
            down = None;
        }
        let up = move |random: &mut SmallRng| {
            let host = random.random_range(1..=reached);
            if Some(host) == down { 1 + host % hosts } else { host }
        };
        let before = fleet.offered;
        fleet.drive(now, now + STEP, f64::from(RATE) * load, up);
        offers.push(fleet.offered - before);
        now += STEP;
    }
    offers
}

fn check(hosts: HostId, reached: HostId) {
    for (load, seed) in LOADS.iter().flat_map(|load| (1..=SEEDS).map(move |seed| (load, seed))) {
        let mut fleet = fleet(hosts, seed);

        let offers = drive_with_restarts(&mut fleet, hosts, reached, *load);

        let part = least_part(&fleet, &offers);
        let most = most_in_window(&fleet);
        assert!(part >= MIN_PART, "{hosts} hosts, load {load}, seed {seed}: {part} of the rate");
        assert!(most <= MAX_IN_WINDOW, "{hosts} hosts, load {load}, seed {seed}: {most} admitted");
    }
}

#[test]
fn an_account_over_its_rate_gets_it_evenly() {
    check(4, 4);
}

#[test]
fn an_account_over_its_rate_gets_it_at_one_host() {
    check(4, 1);
}

#[test]
fn an_account_over_its_rate_gets_it_over_a_few_hosts_of_many() {
    check(34, 5);
}
