//! Steps of plans: races, lost answers, runners that go away, stale versions.

mod fleet;
mod plan;

datatest_stable::harness! {
    { test = plan::run, root = "tests/cases/plan_step", pattern = r"\.yaml$" },
}
