//! Cases of a host that joins the fleet, new or restarted at the same address, under each fault.

mod fleet;

datatest_stable::harness! {
    { test = fleet::script::run, root = "tests/cases/join", pattern = r"\.yaml$" },
}
