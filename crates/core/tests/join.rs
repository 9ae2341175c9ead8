//! Joining: a host starts, or starts anew at the same address, under every fault.

mod fleet;

datatest_stable::harness! {
    { test = fleet::script::run, root = "tests/cases/join", pattern = r"\.yaml$" },
}
