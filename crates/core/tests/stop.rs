//! A graceful stop under every fault.

mod fleet;

datatest_stable::harness! {
    { test = fleet::script::run, root = "tests/cases/stop", pattern = r"\.yaml$" },
}
