//! Plain ways of deciding, to compare against.

use bergamotvale_host::settings::{Connections, Failover, Policy, Rates, Reads, Slots};

/// A variant: a name and what it changes in the policy of every host.
#[derive(Debug, Clone, Copy)]
pub struct Variant {
    /// Its name.
    pub name: &'static str,
    /// What it does, for people.
    pub about: &'static str,
    /// Changes the policy.
    pub edit: fn(&mut Policy),
}

/// What the project stands for.
pub const FULL: Variant =
    Variant { name: "bergamotvale", about: "the policy of the scenario", edit: |_| {} };

/// The plain variants.
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

/// The baseline of this name.
pub fn named(name: &str) -> Option<Variant> {
    BASELINES.into_iter().find(|variant| variant.name == name)
}
