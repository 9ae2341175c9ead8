//! Cases of retry budgets, retry delays, ejection of failing targets and the confirmation delay.

#[allow(dead_code, reason = "not every test uses all of it")]
mod common;

use bergamotvale_core::ack::Lag;
use bergamotvale_core::id::{AccountId, TargetId, Time};
use bergamotvale_core::outlier::{self, Detector};
use bergamotvale_core::random::Source;
use bergamotvale_core::retry::{Budgets, Policy};
use common::{case, position};
use serde::Deserialize;
use std::path::Path;
use std::time::Duration;

const SERVICE: u32 = 1;

type Case = case::Case<Given, TimedEvent>;

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Given {
    #[serde(default)]
    replicas: Vec<TargetId>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct TimedEvent {
    at: u64,
    on: String,
    account: Option<AccountId>,
    target: Option<TargetId>,
    position: Option<String>,
    #[serde(default = "one")]
    times: u32,
}

fn one() -> u32 {
    1
}

struct Fixture {
    budgets: Budgets,
    detector: Detector,
    lag: Lag,
    jitter: Source,
    replicas: Vec<TargetId>,
}

impl Fixture {
    fn new(given: &Given) -> Fixture {
        Fixture {
            budgets: Budgets::new(),
            detector: Detector::new(outlier::Policy::default()),
            lag: Lag::new(),
            jitter: Source::new(7),
            replicas: given.replicas.clone(),
        }
    }

    fn apply(&mut self, event: &TimedEvent, now: Time) -> Option<String> {
        let account = event.account.unwrap_or(1);
        let target = event.target.unwrap_or(1);
        let at = || position(event.position.as_deref().expect("a position"));
        match event.on.as_str() {
            "request" => self.budgets.deposit(SERVICE, account, now),
            "retry" => {
                let allowed = self.budgets.withdraw(SERVICE, account, now);
                return Some(if allowed { "retry" } else { "spent" }.into());
            }
            "delays" => return Some(self.delays(event.times)),
            "succeeded" => self.detector.record_success(target),
            "failed" => self.detector.record_failure(target, now),
            "sweep" => {
                self.detector.sweep(&self.replicas, now);
                let out = self.replicas.iter().filter(|target| self.detector.is_ejected(**target));
                let suspects =
                    self.replicas.iter().filter(|target| self.detector.is_suspect(**target));
                let suspects = suspects.collect::<Vec<_>>();
                let out = format!("out {:?}", out.collect::<Vec<_>>());
                let suffix = format!(", suspect {suspects:?}");
                return Some(if suspects.is_empty() { out } else { out + &suffix });
            }
            "written" => self.lag.record_written(at(), now),
            "confirmed" => self.lag.record_confirmed(at(), now),
            "lag" => return Some(format!("lag {:?}", self.lag.expected_delay(now))),
            other => panic!("unknown event {other}"),
        }
        None
    }

    /// Checks that each delay is in the upper half of its backoff, which is at most `max_delay`.
    fn delays(&mut self, retries: u32) -> String {
        let policy = Policy::default();
        for retry in 1..=retries {
            let backoff = policy.max_delay.min(policy.base_delay * 2u32.pow(retry - 1));
            let delay = policy.retry_delay(retry, self.jitter.bits());
            assert!(delay >= backoff / 2 && delay <= backoff, "retry {retry} after {delay:?}");
        }
        "delays hold".into()
    }
}

fn drive(case: &Case) -> datatest_stable::Result<Vec<String>> {
    let mut fixture = Fixture::new(&case.given);

    let mut results: Vec<String> = Vec::new();
    for event in &case.events {
        let now = Duration::from_millis(event.at);
        for _ in 0..event.times {
            let result = fixture.apply(event, now);
            results.extend(result.filter(|result| results.last() != Some(result)));
        }
    }
    Ok(results)
}

fn run(path: &Path) -> datatest_stable::Result<()> {
    case::check(path, drive)
}

datatest_stable::harness! {
    { test = run, root = "tests/cases/retry", pattern = r"\.yaml$" },
}
