//! Cases of draining targets and hosts and of restoring drained targets.

mod fleet;
mod plan;

datatest_stable::harness! {
    { test = plan::run, root = "tests/cases/drain", pattern = r"^(?!spread_).*\.yaml$" },
    { test = fleet::script::run, root = "tests/cases/drain", pattern = r"^spread_.*\.yaml$" },
}
