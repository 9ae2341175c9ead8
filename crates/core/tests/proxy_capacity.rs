//! Learned limits of targets that differ: hosts that read from three targets of a model, without a
//! network.

use bergamotvale_core::id::Time;
use bergamotvale_core::proxy::capacity::{Capacity, Fraction};
use bergamotvale_core::proxy::directory::TargetName;
use bergamotvale_core::proxy::floor::Position;
use bergamotvale_core::proxy::select::{Candidate, avoided, choose, set_group_times};
use std::collections::BTreeMap;
use std::time::Duration;

const SLOTS: u32 = 4;
const KIND: &str = "rate-lookup";
const NAMES: [&str; 3] = ["a", "b", "c"];

fn ms(millis: u64) -> Time {
    Duration::from_millis(millis)
}

fn group() -> Vec<TargetName> {
    NAMES.iter().map(|name| (*name).to_owned()).collect()
}

/// How a target of the model behaves.
#[derive(Debug, Clone, Copy)]
struct Behaviour {
    /// Duration of a read without load.
    time: u64,
    /// Part of the duration that each concurrent read adds, in percent.
    percent_per_read: u64,
    /// Share of reads that fail, in percent.
    failing_percent: u64,
}

const HEALTHY: Behaviour = Behaviour { time: 24, percent_per_read: 0, failing_percent: 0 };

/// One host: what it has learned, and its reads by target.
#[derive(Default)]
struct Host {
    capacity: Capacity,
    in_flight: BTreeMap<TargetName, u32>,
    statement_time: BTreeMap<TargetName, Duration>,
    /// Reads that were sent to another target than the one of the lowest cost.
    probes: u64,
}

struct Read {
    end: u64,
    host: usize,
    target: TargetName,
    took: u64,
    fails: bool,
}

struct Model {
    hosts: Vec<Host>,
    targets: BTreeMap<TargetName, Behaviour>,
    running: Vec<Read>,
    now: u64,
    random: u64,
    /// Milliseconds between two reads of a host.
    interval: u64,
}

impl Model {
    fn new(hosts: usize, interval: u64, behaviours: [Behaviour; 3]) -> Model {
        Model {
            hosts: (0..hosts).map(|_| Host::default()).collect(),
            targets: group().into_iter().zip(behaviours).collect(),
            running: Vec::new(),
            now: 0,
            random: 7,
            interval,
        }
    }

    /// Next number of a linear congruential generator, below `bound`.
    fn random(&mut self, bound: u64) -> u64 {
        self.random = self.random.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
        (self.random >> 33) % bound
    }

    /// Runs for `millis`, and returns the number of reads that each target got.
    fn run(&mut self, millis: u64) -> BTreeMap<TargetName, u64> {
        let mut counts: BTreeMap<TargetName, u64> =
            group().into_iter().map(|name| (name, 0)).collect();
        for _ in 0..millis {
            self.now += 1;
            self.end_reads();
            for host in 0..self.hosts.len() {
                if (self.now + host as u64).is_multiple_of(self.interval) {
                    let target = self.begin_read(host);
                    *counts.entry(target).or_default() += 1;
                }
            }
        }
        counts
    }

    fn end_reads(&mut self) {
        let now = self.now;
        let (ended, running) = self.running.drain(..).partition(|read| read.end <= now);
        self.running = running;
        let ended: Vec<Read> = ended;
        for read in ended {
            let host = &mut self.hosts[read.host];
            *host.in_flight.entry(read.target.clone()).or_default() -= 1;
            if read.fails {
                host.capacity.record_failure(&read.target, ms(now));
                continue;
            }
            host.capacity.record_time(&read.target, &group(), KIND, ms(read.took), ms(now));
            let mean = host.statement_time.entry(read.target).or_insert(ms(20));
            *mean = (*mean * 15 + ms(read.took)) / 16;
        }
    }

    fn begin_read(&mut self, host: usize) -> TargetName {
        let now = ms(self.now);
        let target = self.hosts[host].choose(now);
        let behaviour = self.targets[&target];
        let concurrent = self.running.iter().filter(|read| read.target == target).count() as u64;
        let mut took = behaviour.time * (100 + behaviour.percent_per_read * concurrent) / 100;
        took = took * (70 + self.random(61)) / 100;
        if concurrent >= u64::from(SLOTS) {
            took = took * (concurrent + 1) / u64::from(SLOTS);
        }
        let fails = self.random(100) < behaviour.failing_percent;
        *self.hosts[host].in_flight.entry(target.clone()).or_default() += 1;
        let end = self.now + took.max(1);
        self.running.push(Read { end, host, target: target.clone(), took, fails });
        target
    }

    fn limit(&self, host: usize, target: &str) -> u32 {
        self.hosts[host].capacity.limit(target).permille()
    }
}

impl Host {
    fn candidates(&self) -> Vec<Candidate> {
        let time = |name: &TargetName| self.statement_time.get(name).copied().unwrap_or(ms(20));
        let group = group();
        let candidate = |name: &TargetName| Candidate {
            name: name.clone(),
            round_trip: ms(1),
            in_flight: self.in_flight.get(name).copied().unwrap_or_default(),
            slots: SLOTS,
            statement_time: time(name),
            limit: self.capacity.limit(name),
            group_time: time(name),
            has_connection: true,
            can_connect: true,
            position: Position::default(),
            is_primary: false,
        };
        let mut candidates: Vec<Candidate> = group.iter().map(candidate).collect();
        set_group_times(&mut candidates);
        candidates
    }

    fn choose(&mut self, now: Time) -> TargetName {
        let changes = self.capacity.adjust(&group(), now);
        let candidates = self.candidates();
        for change in changes.iter().filter(|change| !change.limit.is_reduced()) {
            self.statement_time.insert(change.target.clone(), candidates[0].group_time);
        }
        let plain =
            choose(&candidates, Position::default(), &[]).expect("three targets").name.clone();
        if let Some(probed) =
            self.capacity.count_read(&avoided(&candidates, Position::default()), now)
        {
            self.probes += u64::from(probed != plain);
            return probed;
        }
        plain
    }
}

fn slow_by(factor: u64) -> Behaviour {
    Behaviour { time: HEALTHY.time * factor, ..HEALTHY }
}

/// Records `count` reads of `took` milliseconds at a target, 100 ms apart from `from`.
fn record(capacity: &mut Capacity, target: &str, kind: &str, took: u64, from: u64, count: u64) {
    for index in 0..count {
        capacity.record_time(target, &group(), kind, ms(took), ms(from + index * 100));
    }
}

/// Adjusts every half second for `seconds`, and returns the time after it.
fn adjust(capacity: &mut Capacity, from: u64, seconds: u64) -> u64 {
    for step in 0..seconds * 2 {
        capacity.adjust(&group(), ms(from + step * 500));
    }
    from + seconds * 1000
}

/// Guards against a choice that differs from that by plain cost while all targets are equal, under
/// little load, much load, and more than the targets' slots.
#[test]
fn equal_targets_keep_their_full_limits() {
    for interval in [100, 20, 10, 7] {
        let mut model = Model::new(4, interval, [HEALTHY; 3]);
        let mut reads = 0;
        for _ in 0..25 {
            reads += model.run(1000).values().sum::<u64>();
            for host in 0..4 {
                assert!(NAMES.iter().all(|name| model.limit(host, name) == 1000));
            }
        }
        let probes: u64 = model.hosts.iter().map(|host| host.probes).sum();
        assert!(probes * 100 <= reads, "{probes} probes of {reads} reads every {interval} ms");
    }
}

/// Guards against a scheme that needs more samples than a host of a large fleet has: two reads of a
/// group each second.
#[test]
fn few_reads_at_each_of_many_hosts_suffice() {
    let mut model = Model::new(24, 500, [slow_by(8), HEALTHY, HEALTHY]);
    model.run(60_000);
    let counts = model.run(60_000);
    let total: u64 = counts.values().sum();
    assert!(counts["a"] * 6 <= total, "{counts:?}");
    model.targets.insert("a".to_owned(), HEALTHY);
    model.run(60_000);
    let reduced = (0..24).filter(|host| model.limit(*host, "a") < 1000).count();
    assert!(reduced <= 6, "{reduced} of 24 hosts still hold a reduced limit");
}

#[test]
fn a_target_slow_by_two_gets_half_of_its_load() {
    let mut model = Model::new(2, 6, [slow_by(2), HEALTHY, HEALTHY]);
    model.run(10_000);
    let counts = model.run(20_000);
    assert!(counts["a"] * 2 <= counts["b"] + 1, "{counts:?}");
    assert!(counts["a"] > 0, "the slow target is never tried: {counts:?}");
    for host in 0..2 {
        let limit = model.limit(host, "a");
        assert!((300..800).contains(&limit), "limit {limit}");
        assert_eq!((model.limit(host, "b"), model.limit(host, "c")), (1000, 1000));
    }
}

#[test]
fn a_target_slow_by_eight_gets_little_more_than_probes() {
    let mut model = Model::new(2, 6, [slow_by(8), HEALTHY, HEALTHY]);
    model.run(10_000);
    let counts = model.run(20_000);
    let total: u64 = counts.values().sum();
    assert!(counts["a"] * 10 <= total, "{counts:?}");
    assert!(counts["a"] > 0, "{counts:?}");
    assert!(model.limit(0, "a") < 300 && model.limit(1, "a") < 300);
}

/// Guards against a limit that counts the slots of a target as its capacity.
#[test]
fn a_target_that_is_slow_before_it_is_full_gets_less() {
    let steep = Behaviour { percent_per_read: 100, ..HEALTHY };
    let mut model = Model::new(2, 6, [steep, HEALTHY, HEALTHY]);
    model.run(10_000);
    let counts = model.run(20_000);
    assert!(counts["a"] < counts["b"] && counts["a"] < counts["c"], "{counts:?}");
    assert!(counts["a"] > 0, "{counts:?}");
}

/// Guards against a target that stays without work after its recovery since nothing measures it.
#[test]
fn a_target_that_recovers_gets_its_full_limit_back() {
    for broken in [slow_by(8), Behaviour { failing_percent: 60, ..HEALTHY }] {
        let mut model = Model::new(2, 12, [broken, HEALTHY, HEALTHY]);
        model.run(20_000);
        assert!(model.limit(0, "a") < 1000 && model.limit(1, "a") < 1000, "{broken:?}");
        model.targets.insert("a".to_owned(), HEALTHY);
        model.run(30_000);
        assert_eq!((model.limit(0, "a"), model.limit(1, "a")), (1000, 1000), "{broken:?}");
    }
}

/// Guards against a target that was dark for some seconds and gets little work long after, at a host
/// with few reads: the failures of that time are dropped after a few successes.
#[test]
fn a_target_that_was_dark_is_used_again_soon() {
    let dark = Behaviour { failing_percent: 100, ..HEALTHY };
    let mut model = Model::new(4, 100, [HEALTHY; 3]);
    model.run(10_000);
    model.targets.insert("a".to_owned(), dark);
    model.run(6000);
    assert!((0..4).any(|host| model.limit(host, "a") < 1000), "the dark target is not noticed");
    model.targets.insert("a".to_owned(), HEALTHY);
    model.run(12_000);
    for host in 0..4 {
        assert_eq!(model.limit(host, "a"), 1000, "host {host}");
    }
}

/// Guards against a target that attracts reads since it fails them fast.
#[test]
fn a_target_that_fails_a_part_gets_fewer_reads() {
    let failing = Behaviour { failing_percent: 40, time: 4, ..HEALTHY };
    let mut model = Model::new(2, 12, [failing, HEALTHY, HEALTHY]);
    model.run(10_000);
    let counts = model.run(20_000);
    assert!(model.limit(0, "a") < 600, "limit {}", model.limit(0, "a"));
    assert!(counts["a"] * 3 <= counts["b"] + counts["c"], "{counts:?}");
    assert!(counts["a"] > 0, "{counts:?}");
}

/// A target that lies about its health, or is dark, fails all reads. Its own probes say nothing
/// here: only the outcomes of requests count.
#[test]
fn a_target_that_fails_all_gets_only_probes() {
    let failing = Behaviour { failing_percent: 100, ..HEALTHY };
    let mut model = Model::new(2, 12, [failing, HEALTHY, HEALTHY]);
    model.run(10_000);
    let counts = model.run(20_000);
    let total: u64 = counts.values().sum();
    assert!(counts["a"] * 12 <= total, "{counts:?}");
    assert!(counts["a"] > 0, "{counts:?}");
}

/// Guards against a decision from one slow read, as at 118 hosts.
#[test]
fn too_few_samples_change_nothing() {
    let mut capacity = Capacity::default();
    record(&mut capacity, "a", KIND, 400, 0, 5);
    record(&mut capacity, "b", KIND, 24, 0, 20);
    adjust(&mut capacity, 2000, 10);
    assert_eq!(capacity.limit("a"), Fraction::FULL);
    record(&mut capacity, "c", KIND, 400, 12_000, 20);
    adjust(&mut capacity, 14_000, 5);
    assert!(capacity.limit("c").is_reduced(), "enough samples decide");
}

/// Guards against a fleet that cuts all limits under load, and so serves less.
#[test]
fn all_targets_slow_at_once_is_load() {
    let mut model = Model::new(2, 6, [HEALTHY; 3]);
    model.run(10_000);
    for name in NAMES {
        model.targets.insert(name.to_owned(), slow_by(4));
    }
    for _ in 0..30 {
        model.run(1000);
        let limits = NAMES.map(|name| model.limit(0, name));
        assert!(limits.iter().all(|limit| *limit == 1000), "{limits:?}");
    }
}

#[test]
fn a_new_target_starts_with_its_full_limit() {
    let mut capacity = Capacity::default();
    record(&mut capacity, "a", KIND, 24, 0, 40);
    record(&mut capacity, "b", KIND, 24, 0, 40);
    let now = adjust(&mut capacity, 4000, 2);
    assert_eq!(capacity.limit("c"), Fraction::FULL);
    record(&mut capacity, "c", KIND, 26, now, 8);
    adjust(&mut capacity, now + 800, 5);
    assert_eq!(capacity.limit("c"), Fraction::FULL);
}

/// Guards against a primary that counts as fast since its writes are short, and replicas that count
/// as slow since they get the long reads.
#[test]
fn only_times_of_one_kind_are_compared() {
    let mut capacity = Capacity::default();
    record(&mut capacity, "a", "booking-confirm", 6, 0, 40);
    record(&mut capacity, "b", KIND, 30, 0, 40);
    record(&mut capacity, "c", KIND, 30, 0, 40);
    adjust(&mut capacity, 4000, 10);
    assert!(NAMES.iter().all(|name| capacity.limit(name) == Fraction::FULL));
}

/// Guards against two hosts that move load back and forth, each in answer to the other: the part of
/// the load at a target that degrades with its load stays within a band, second by second.
#[test]
fn two_hosts_do_not_oscillate() {
    let steep = Behaviour { percent_per_read: 60, ..HEALTHY };
    let mut model = Model::new(2, 6, [steep, HEALTHY, HEALTHY]);
    model.run(20_000);
    let mut shares = Vec::new();
    for _ in 0..15 {
        let counts = model.run(2000);
        shares.push(counts["a"] * 100 / counts.values().sum::<u64>());
    }
    let (least, most) = (shares.iter().min().unwrap(), shares.iter().max().unwrap());
    assert!(most - least <= 15, "shares in percent: {shares:?}");
}

/// Guards against two hosts that keep opposite views alive: each avoids the target that the other
/// loads, so that both targets look as slow as each host believes.
#[test]
fn opposite_views_of_two_hosts_converge() {
    let steep = Behaviour { percent_per_read: 30, ..HEALTHY };
    let mut model = Model::new(2, 8, [steep; 3]);
    for (host, slow, fast) in [(0, "a", "b"), (1, "b", "a")] {
        let capacity = &mut model.hosts[host].capacity;
        record(capacity, slow, KIND, 192, 0, 20);
        record(capacity, fast, KIND, 24, 0, 20);
        adjust(capacity, 2000, 4);
        assert!(capacity.limit(slow).is_reduced());
    }
    model.now = 6000;
    model.run(30_000);
    let counts = model.run(20_000);
    let limits = [0, 1].map(|host| NAMES.map(|name| model.limit(host, name)));
    assert!(limits.iter().flatten().all(|limit| *limit == 1000), "{limits:?}");
    let (least, most) = (counts.values().min().unwrap(), counts.values().max().unwrap());
    assert!(most * 2 <= least * 3, "{counts:?}");
}

/// Guards against an event per adjustment, which would fill the log.
#[test]
fn a_change_is_reported_by_factors_of_two() {
    let mut capacity = Capacity::default();
    record(&mut capacity, "a", KIND, 192, 0, 20);
    record(&mut capacity, "b", KIND, 24, 0, 20);
    let mut changes = Vec::new();
    for step in 0..40 {
        changes.extend(capacity.adjust(&group(), ms(2000 + step * 500)));
    }
    assert!((1..=4).contains(&changes.len()), "{changes:?}");
    assert!(changes.iter().all(|change| change.target == "a" && change.limit.is_reduced()));
}
