//! Invariants of the simulated fleet, checked at every step of every run.

use super::{Defect, Fleet};
use bergamotvale_core::authority::VALIDITY;
use bergamotvale_core::change::Outcome;
use bergamotvale_core::id::{Epoch, HostId};
use std::collections::BTreeMap;

#[derive(Default)]
pub(crate) struct History {
    epochs: BTreeMap<(HostId, u64), Epoch>,
}

/// Records the violations in the present state of the fleet.
pub(crate) fn check(fleet: &mut Fleet) {
    check_stale_epochs(fleet);
    check_reverted_epochs(fleet);
    check_in_force(fleet);
    check_outcomes(fleet);
}

/// Checks that no host acts on an epoch more than one validity after the next one was accepted.
fn check_stale_epochs(fleet: &mut Fleet) {
    let now = fleet.now;
    for (host, node) in fleet.nodes.iter().filter(|(_, node)| node.is_active(now)) {
        let epoch = node.replica.row().epoch;
        if let Some((at, _)) = fleet.store.accepted.get(&(epoch + 1))
            && now - *at > VALIDITY
        {
            let text = format!("{now:?}: host {host} acts on {epoch}, superseded at {at:?}");
            fleet.violations.push(text);
        }
    }
}

/// Checks that no incarnation of a host returns to a lower epoch.
fn check_reverted_epochs(fleet: &mut Fleet) {
    for (host, node) in &fleet.nodes {
        let epoch = node.replica.row().epoch;
        let known = fleet.history.epochs.entry((*host, node.member.incarnation)).or_default();
        if epoch < *known {
            fleet.violations.push(format!("host {host} went from {known} back to {epoch}"));
        }
        *known = epoch;
    }
}

/// Checks that no host acts on an epoch below one that some host reports as in force everywhere.
fn check_in_force(fleet: &mut Fleet) {
    let now = fleet.now;
    let reports_at_once = fleet.defects.contains(&Defect::ReportInForceAtOnce);
    let mut reported: Epoch = 0;
    for node in fleet.nodes.values_mut().filter(|node| !node.paused) {
        let epoch =
            if reports_at_once { node.replica.row().epoch } else { node.adoption.in_force(now).0 };
        reported = reported.max(epoch);
    }
    for (host, node) in fleet.nodes.iter().filter(|(_, node)| node.is_active(now)) {
        let epoch = node.replica.row().epoch;
        if epoch < reported {
            let text = format!("{now:?}: {reported} said in force, host {host} acts on {epoch}");
            fleet.violations.push(text);
        }
    }
}

/// Checks that the outcome that a writer reported for its attempt is true.
fn check_outcomes(fleet: &mut Fleet) {
    for (host, node) in &fleet.nodes {
        for (row, outcome) in node.outcomes.values() {
            let author = row.authors[&row.epoch];
            let accepted_author = fleet.store.accepted.get(&row.epoch).map(|(_, author)| *author);
            let is_own = accepted_author == Some(author);
            let is_false = match outcome {
                Outcome::Accepted => !is_own,
                Outcome::Overtaken | Outcome::NotWritten => is_own,
                Outcome::Unknown => false,
            };
            if is_false {
                let text = format!("host {host} said {outcome} of epoch {}", row.epoch);
                fleet.violations.push(text);
            }
        }
    }
}
