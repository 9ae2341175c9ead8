//! Home regions: outside them no target may serve the operations of a route or client account.

use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;

/// Names of regions.
pub type Regions = BTreeSet<String>;

/// What excludes a target by its home regions.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Owner {
    /// The route has homes elsewhere.
    Route,
    /// The client account has homes elsewhere.
    Account,
}

/// Home regions that apply to an operation; an empty set permits every region.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Homes {
    /// Those of the route.
    pub route: Regions,
    /// Those of the client account.
    pub account: Regions,
}

impl Homes {
    /// Whether a target in `region` may serve the operation; the error names what excludes it, the
    /// route first. A target whose region is not known is in no home.
    pub fn check(&self, region: Option<&str>) -> Result<(), Owner> {
        let permits = |homes: &Regions| {
            homes.is_empty() || region.is_some_and(|region| homes.contains(region))
        };
        if !permits(&self.route) {
            return Err(Owner::Route);
        }
        if permits(&self.account) { Ok(()) } else { Err(Owner::Account) }
    }
}
