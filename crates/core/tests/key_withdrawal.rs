//! Cases of a key withdrawal with each fault at each step, and a bound on the time for which hosts
//! still accept the key.

mod fleet;

datatest_stable::harness! {
    { test = fleet::script::run, root = "tests/cases/key_withdrawal", pattern = r"\.yaml$" },
}
