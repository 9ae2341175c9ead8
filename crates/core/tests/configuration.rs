//! Distribution of a configuration: every fault at every step, with what is said of it.

mod fleet;

datatest_stable::harness! {
    { test = fleet::script::run, root = "tests/cases/configuration", pattern = r"\.yaml$" },
}
