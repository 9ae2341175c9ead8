//! Cases of plan steps: concurrent runners, lost answers, failed runners and stale versions.

mod fleet;
mod plan;

datatest_stable::harness! {
    { test = plan::run, root = "tests/cases/plan_step", pattern = r"\.yaml$" },
}
