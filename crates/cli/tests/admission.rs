//! Checks `admission::excess`, which judges the hosts' rate limits, against a count over all
//! windows, and against an ideal limiter, for which it must find no excess.

use bergamotvale_cli::bench::admission::{self, Interval};
use bergamotvale_core::invariant::admission::Bucket;
use proptest::prelude::*;
use std::time::Duration;

/// The reference implementation: counts the requests of each window separately.
fn excess_of_all_windows(intervals: &[Interval], rate: f64, burst: f64) -> f64 {
    let mut worst = 0.0_f64;
    for first in intervals {
        for last in intervals.iter().filter(|last| last.ended >= first.sent) {
            let lies_within =
                |interval: &&Interval| interval.sent >= first.sent && interval.ended <= last.ended;
            let count = intervals.iter().filter(lies_within).count() as f64;
            let length = (last.ended - first.sent).as_secs_f64();
            worst = worst.max(count - burst - rate * length);
        }
    }
    worst
}

fn interval() -> impl Strategy<Value = Interval> {
    (0..3_000_u64, 0..400_u64).prop_map(|(sent, length)| Interval {
        sent: Duration::from_millis(sent),
        ended: Duration::from_millis(sent + length),
    })
}

proptest! {
    #[test]
    fn oracle_agrees_with_all_windows(
        intervals in proptest::collection::vec(interval(), 0..60),
        rate in 1..40_u32,
        burst in 1..10_u32,
    ) {
        let (rate, burst) = (f64::from(rate), f64::from(burst));

        let fast = admission::excess(&intervals, rate, burst);

        let reference = excess_of_all_windows(&intervals, rate, burst);
        prop_assert!((fast - reference).abs() < 1e-6, "excess is {fast}, expected {reference}");
    }

    #[test]
    fn ideal_limiter_keeps_the_rate(
        mut times in proptest::collection::vec(0..3_000_u64, 0..200),
        rate in 1..40_u32,
        burst in 1..10_u32,
    ) {
        times.sort_unstable();
        let mut bucket = Bucket::new(f64::from(rate), f64::from(burst));
        let sent = times.into_iter().map(Duration::from_millis);

        let admitted: Vec<_> = sent.filter(|time| bucket.admit(*time)).collect();

        let intervals: Vec<_> = admitted.iter().map(|t| Interval { sent: *t, ended: *t }).collect();
        prop_assert_eq!(admission::excess(&intervals, f64::from(rate), f64::from(burst)), 0.0);
    }
}
