//! Withdrawal of a key: every fault at every step, with a bound on how long the key works.

mod fleet;

datatest_stable::harness! {
    { test = fleet::script::run, root = "tests/cases/key_withdrawal", pattern = r"\.yaml$" },
}
