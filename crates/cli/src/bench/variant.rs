//! Simplified policies that a run is compared with.

use bergamotvale_host::settings::{Connections, Failover, Policy, Rates, Reads, Slots};

/// A named change to the policy of every host.
#[derive(Debug, Clone, Copy)]
pub struct Variant {
    /// Name in scenario files and reports.
    pub name: &'static str,
    /// Description in reports.
    pub about: &'static str,
    /// Applies the change to a policy.
    pub edit: fn(&mut Policy),
}

/// The policy of the scenario without changes.
pub const UNCHANGED: Variant =
    Variant { name: "bergamotvale", about: "the policy of the scenario", edit: |_| {} };

/// The simplified policies, each without one of the project's mechanisms.
pub const BASELINES: [Variant; 5] = [
    Variant {
        name: "static_limits",
        about: "rates and connections in fixed equal shares, slots by arrival",
        edit: |policy| {
            policy.rates = Rates::Static;
            policy.connections = Connections::Static;
            policy.slots = Slots::Arrival;
        },
    },
    Variant {
        name: "primary_reads",
        about: "every read on the primary",
        edit: |policy| policy.reads = Reads::Primary,
    },
    Variant {
        name: "fixed_timeouts",
        about: "one try within the caller's timeout, nothing sent again",
        edit: |policy| policy.retries = false,
    },
    Variant {
        name: "single_word",
        about: "any one host's word deposes a primary",
        edit: |policy| policy.failover = Failover::Single,
    },
    Variant {
        name: "no_ejection",
        about: "targets that fail their work are not passed over",
        edit: |policy| policy.ejection = false,
    },
];

/// The baseline of this name; none if it is unknown.
pub fn find_baseline(name: &str) -> Option<Variant> {
    BASELINES.into_iter().find(|variant| variant.name == name)
}
