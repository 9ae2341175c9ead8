//! Rates under uneven demand: accounts of different sizes, whose few connections land on any of many
//! hosts, ask for nearly their rate with a wave, or for several times their rate.

mod meters;

use bergamotvale_core::id::{HostId, Time};
use bergamotvale_core::invariant::admission;
use bergamotvale_core::peer::TokenRequest;
use bergamotvale_core::rate;
use bergamotvale_core::rate::meter::{Decision, Meter, micro};
use meters::{ACCOUNT, Fleet, STEP};
use rand::RngExt;
use rand::rngs::SmallRng;
use std::collections::BTreeSet;
use std::time::Duration;

const HOSTS: HostId = 24;
const HOLDERS: usize = 4;
/// Mean demand as a fraction of the rate, amplitude of its wave and period of the wave.
const USE: f64 = 0.85;
const WAVE: f64 = 0.27;
const PERIOD: Duration = Duration::from_secs(11);
/// One-way delay; the simulated link varies it from half to twice.
const DELAY: Duration = Duration::from_micros(1500);
const START: Time = Duration::from_secs(10);
const END: Time = Duration::from_secs(76);
/// Rates of a small, a medium and a large account; the burst is the demand of a second.
const RATES: [u32; 4] = [4, 8, 16, 80];
const CONNECTIONS: usize = 5;
const SEEDS: u64 = 4;
/// Seeds of each overload; with four, and a rate of 80 too, all runs pass but take a minute.
const OVERLOAD_SEEDS: u64 = 2;
const OVERLOAD_RATE: u32 = 40;
/// Largest share of refusals beyond those of one bucket.
const MAX_EXCESS: f64 = 0.02;

/// Part of the permitted overage that is divided among the hosts, in percent, and permitted slack.
const DIVIDED_OVERAGE: u32 = 5;
const SLACK: u32 = 20;
/// Loads as multiples of the rate, and least part of the rate that is admitted in any [`SPAN`].
const LOADS: [f64; 4] = [1.2, 1.6, 2.5, 5.0];
const MIN_PART: f64 = 0.97;
const SPAN: Duration = Duration::from_secs(10);
const WINDOW: Duration = Duration::from_secs(5);
const OFFER_STEP: Duration = Duration::from_millis(100);
const OVERLOAD_END: Time = Duration::from_secs(40);
const WARM_UP: Duration = Duration::from_secs(5);
const RESTART_INTERVAL: Duration = Duration::from_millis(1800);

#[derive(Debug, Default)]
struct Figures {
    offered: u32,
    refused: u32,
    /// Refusals of one bucket that is offered the same requests.
    central: u32,
    /// Refusals while one bucket charged with the same admissions had a token.
    wrongly: u32,
    /// Of those: without waiting, at a host that is no holder, and while some holder would lend.
    at_once: u32,
    at_no_holder: u32,
    while_lendable: u32,
}

/// Whole tokens that the holders would lend now.
fn lendable(fleet: &Fleet, now: Time) -> u32 {
    let request =
        TokenRequest { host: 0, account: ACCOUNT, count: 1000, version: 1, sequence: 1 << 40 };
    fleet.hosts.values().map(|host| host.meter.clone().lend(&request, now)).sum()
}

fn run(rate: u32, load: f64, wave: f64, seed: u64, slack: u32) -> (Fleet, Figures) {
    let mut fleet = Fleet::new(HOSTS, rate, rate, seed);
    fleet.max_holders = HOLDERS;
    fleet.allowance = rate::fragment_allowance(slack, HOLDERS);
    fleet.delay = DELAY;
    fleet.apply_members(Time::ZERO);
    fleet.drive(Time::ZERO, START, 0.0, |_| 1);
    let holders: BTreeSet<HostId> = rate::holders(ACCOUNT, rate, &fleet.members, HOLDERS);
    let connections: Vec<HostId> =
        (0..CONNECTIONS).map(|_| fleet.random.random_range(1..=HOSTS)).collect();
    let mut central = admission::Bucket::new(rate, rate);
    let mut figures = Figures::default();
    let mut now = START;
    while now < END {
        let wrongly = fleet.wrongly_refused;
        fleet.step(now);
        record(&mut figures, &fleet, wrongly, now, false, None);
        let angle = now.as_secs_f64() / PERIOD.as_secs_f64() * std::f64::consts::TAU;
        let mean = f64::from(rate) * load * (1.0 + wave * angle.sin()) * STEP.as_secs_f64();
        if fleet.random.random_bool(mean.min(1.0)) {
            let host = connections[fleet.random.random_range(0..CONNECTIONS)];
            figures.central += u32::from(!central.admit(now));
            let wrongly = fleet.wrongly_refused;
            fleet.offer(host, now);
            record(&mut figures, &fleet, wrongly, now, true, Some(holders.contains(&host)));
        }
        now += STEP;
    }
    figures.offered = fleet.offered;
    figures.refused = fleet.refused;
    figures.wrongly = fleet.wrongly_refused;
    (fleet, figures)
}

fn record(
    figures: &mut Figures,
    fleet: &Fleet,
    before: u32,
    now: Time,
    at_once: bool,
    holder: Option<bool>,
) {
    let more = fleet.wrongly_refused - before;
    if more > 0 {
        figures.at_once += if at_once { more } else { 0 };
        figures.at_no_holder += if holder == Some(false) { more } else { 0 };
        figures.while_lendable += if lendable(fleet, now) > 0 { more } else { 0 };
    }
}

/// Least part, of the rate or of what was offered if that is less, admitted within any 10 s.
fn least_part(fleet: &Fleet, rate: u32, offered: &[u32]) -> f64 {
    let steps = (SPAN.as_millis() / OFFER_STEP.as_millis()) as usize;
    let part = |(index, span): (usize, &[u32])| {
        let from = START + OFFER_STEP * index as u32;
        let owed = f64::from(span.iter().sum::<u32>()).min(f64::from(rate) * SPAN.as_secs_f64());
        admitted_within(fleet, from, SPAN) as f64 / owed
    };
    offered.windows(steps).enumerate().map(part).fold(f64::INFINITY, f64::min)
}

fn admitted_within(fleet: &Fleet, from: Time, length: Duration) -> usize {
    let first = fleet.admitted.partition_point(|at| *at < from);
    fleet.admitted[first..].partition_point(|at| *at < from + length)
}

fn most_in_window(fleet: &Fleet) -> usize {
    fleet.admitted.iter().map(|at| admitted_within(fleet, *at, WINDOW)).max().unwrap_or_default()
}

/// A fleet with the shares that session hosts use: half of the overage, and the allowance.
fn widened_fleet(hosts: HostId, rate: u32, seed: u64) -> Fleet {
    let widened = rate + rate * DIVIDED_OVERAGE / 100;
    let mut fleet = Fleet::new(hosts, widened, widened, seed);
    fleet.max_holders = HOLDERS;
    fleet.allowance = rate::fragment_allowance(SLACK, HOLDERS);
    fleet.delay = DELAY;
    fleet.apply_members(Time::ZERO);
    fleet
}

fn overload(hosts: HostId, reached: HostId, rate: u32, load: f64, seed: u64) -> (Fleet, f64) {
    let mut fleet = widened_fleet(hosts, rate, seed);
    let pick = move |random: &mut SmallRng| random.random_range(1..=reached);
    fleet.drive(START - WARM_UP, START, f64::from(rate) * load, pick);
    let mut offered = Vec::new();
    let mut now = START;
    while now < OVERLOAD_END {
        let before = fleet.offered;
        fleet.drive(now, now + OFFER_STEP, f64::from(rate) * load, pick);
        offered.push(fleet.offered - before);
        now += OFFER_STEP;
    }
    let part = least_part(&fleet, rate, &offered);
    (fleet, part)
}

/// Guards against an account that gets less than its rate in some 10 s, or more than permitted in
/// some window, because its callers reach few hosts or most hosts have no share.
#[test]
fn an_account_over_its_rate_gets_it_at_any_number_of_hosts() {
    let mut failures = Vec::new();
    for (hosts, reached) in [(4, 4), (4, 1), (24, 24), (24, 3), (118, 118), (118, 3)] {
        for (load, seed) in LOADS.iter().flat_map(|l| (1..=OVERLOAD_SEEDS).map(move |s| (*l, s))) {
            let rate = OVERLOAD_RATE;
            let (fleet, part) = overload(hosts, reached, rate, load, seed);
            let (most, permitted) = (most_in_window(&fleet), permitted(rate));
            if part < MIN_PART || most > permitted {
                failures.push((hosts, reached, rate, load, seed, part, most));
            }
        }
    }
    assert!(failures.is_empty(), "{failures:?}");
}

fn permitted(rate: u32) -> usize {
    ((rate * 6) * 11 / 10 + SLACK) as usize
}

/// Guards against more admissions than permitted when all hosts restart at once, twice in a window,
/// with full buckets before, while members are removed and added, under overload.
#[test]
fn restarts_and_changes_of_members_admit_no_more_than_permitted() {
    for (rate, seed) in [8, 40].iter().flat_map(|rate| (1..=4).map(move |seed| (*rate, seed))) {
        let mut fleet = widened_fleet(HOSTS, rate, seed);
        let pick = |random: &mut SmallRng| random.random_range(2..=HOSTS);
        let demand = f64::from(rate) * 6.0;
        fleet.drive(Time::ZERO, START, 0.0, pick);
        let initial = (rate * 6 / 10 + SLACK) / 4 / HOLDERS as u32;
        let mut now = START;
        for _ in 0..2 {
            fleet.drive(now, now + RESTART_INTERVAL, demand, pick);
            now += RESTART_INTERVAL;
            for host in 1..=HOSTS {
                fleet.restart(host, initial, now);
            }
        }
        fleet.drive(now, now + WINDOW, demand, pick);
        now += WINDOW;
        for number in 0..4 {
            let host = if number < 2 { 1 } else { 1 + HOSTS };
            if !fleet.members.remove(&host) {
                fleet.members.insert(host);
                fleet.hosts.entry(host).or_insert_with(meters::fresh_host);
            }
            fleet.apply_members(now);
            fleet.drive(now, now + WINDOW, demand, pick);
            now += WINDOW;
        }
        let most = most_in_window(&fleet);
        assert!(most <= permitted(rate), "rate {rate}, seed {seed}: {most}");
    }
}

/// Guards against refusals within the rate because the burst is divided among holders, which costs
/// accounts with small rates most. Without the allowance this fails at rates of 4 to 16.
#[test]
fn an_account_near_its_rate_is_refused_little_more_than_by_one_bucket() {
    for rate in RATES {
        let mut sum = Figures::default();
        for seed in 1..=SEEDS {
            let (_, run) = run(rate, USE, WAVE, seed, SLACK);
            sum.offered += run.offered;
            sum.refused += run.refused;
            sum.central += run.central;
            sum.wrongly += run.wrongly;
            sum.at_once += run.at_once;
            sum.at_no_holder += run.at_no_holder;
            sum.while_lendable += run.while_lendable;
        }
        println!("rate {rate}: {sum:?}");
        let excess = f64::from(sum.refused) - f64::from(sum.central);
        assert!(excess <= MAX_EXCESS * f64::from(sum.offered), "rate {rate}: {sum:?}");
    }
}

/// Guards against callers that are all told to retry after a second, or all at one time, by a host
/// that has no share.
#[test]
fn refused_callers_are_told_successive_times_at_a_host_without_a_share() {
    let mut meter = Meter::new(meters::GROWTH_DELAY, true);
    meter.set_share(ACCOUNT, 0, 0, START);
    meter.set_holder_rate(ACCOUNT, micro(20));
    for count in 1..=20 {
        let after = Duration::from_millis(50) * count;
        assert_eq!(meter.request(ACCOUNT, START), Decision::Refuse(after));
    }
    assert_eq!(meter.request(ACCOUNT, START), Decision::Refuse(Duration::from_secs(1)));
}
