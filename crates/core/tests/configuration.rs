//! Cases of distributing a configuration with each fault at each step, and the outcome that its
//! publisher reports.

mod fleet;

datatest_stable::harness! {
    { test = fleet::script::run, root = "tests/cases/configuration", pattern = r"\.yaml$" },
}
