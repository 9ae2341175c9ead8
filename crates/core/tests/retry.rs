//! Retry budgets, delays, ejection of failing targets and the observed confirmation delay.

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

type Case = case::Case<Given, Happening>;

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Given {
    #[serde(default)]
    replicas: Vec<TargetId>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Happening {
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
    group: Detector,
    lag: Lag,
    jitter: Source,
    replicas: Vec<TargetId>,
}

impl Fixture {
    fn new(given: &Given) -> Fixture {
        Fixture {
            budgets: Budgets::new(),
            group: Detector::new(outlier::Policy::default()),
            lag: Lag::new(),
            jitter: Source::new(7),
            replicas: given.replicas.clone(),
        }
    }

    fn apply(&mut self, happening: &Happening, now: Time) -> Option<String> {
        let account = happening.account.unwrap_or(1);
        let target = happening.target.unwrap_or(1);
        let at = || position(happening.position.as_deref().expect("a position"));
        match happening.on.as_str() {
            "request" => self.budgets.deposit(SERVICE, account, now),
            "retry" => {
                let allowed = self.budgets.withdraw(SERVICE, account, now);
                return Some(if allowed { "retry" } else { "spent" }.into());
            }
            "delays" => return Some(self.delays(happening.times)),
            "succeeded" => self.group.record_success(target),
            "failed" => self.group.record_failure(target, now),
            "sweep" => {
                self.group.sweep(&self.replicas, now);
                let out = self.replicas.iter().filter(|target| self.group.is_ejected(**target));
                let suspects =
                    self.replicas.iter().filter(|target| self.group.is_suspect(**target));
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

    /// Each delay lies in the upper half of its step, and no step is over the cap.
    fn delays(&mut self, retries: u32) -> String {
        let policy = Policy::default();
        for retry in 1..=retries {
            let step = policy.max_delay.min(policy.base_delay * 2u32.pow(retry - 1));
            let delay = policy.retry_delay(retry, self.jitter.bits());
            assert!(delay >= step / 2 && delay <= step, "retry {retry} after {delay:?}");
        }
        "delays hold".into()
    }
}

fn drive(case: &Case) -> datatest_stable::Result<Vec<String>> {
    let mut fixture = Fixture::new(&case.given);

    let mut results: Vec<String> = Vec::new();
    for happening in &case.events {
        let now = Duration::from_millis(happening.at);
        for _ in 0..happening.times {
            let result = fixture.apply(happening, now);
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
