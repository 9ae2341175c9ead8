//! Cases of a graceful stop of a host under each fault.

mod fleet;

datatest_stable::harness! {
    { test = fleet::script::run, root = "tests/cases/stop", pattern = r"\.yaml$" },
}
