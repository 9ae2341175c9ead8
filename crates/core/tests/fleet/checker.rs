//! What must hold in every run of the fake fleet, stated once.

use super::{Defect, Fleet};
use bergamotvale_core::authority::VALIDITY;
use bergamotvale_core::change::Outcome;
use bergamotvale_core::id::{Epoch, HostId};
use std::collections::BTreeMap;

#[derive(Default)]
pub(crate) struct History {
    epochs: BTreeMap<(HostId, u64), Epoch>,
}

/// Adds every violation of this instant.
pub(crate) fn check(fleet: &mut Fleet) {
    stale_action(fleet);
    reverted(fleet);
    in_force(fleet);
    outcomes(fleet);
}

/// No host acts on an epoch one validity after the next one was accepted.
fn stale_action(fleet: &mut Fleet) {
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

/// No host moves back to a lower epoch.
fn reverted(fleet: &mut Fleet) {
    for (host, node) in &fleet.nodes {
        let epoch = node.replica.row().epoch;
        let known = fleet.history.epochs.entry((*host, node.member.incarnation)).or_default();
        if epoch < *known {
            fleet.violations.push(format!("host {host} went from {known} back to {epoch}"));
        }
        *known = epoch;
    }
}

/// What a host says is in force everywhere is acted on by every host that acts.
fn in_force(fleet: &mut Fleet) {
    let now = fleet.now;
    let at_once = fleet.defects.contains(&Defect::ReportInForceAtOnce);
    let mut reported: Epoch = 0;
    for node in fleet.nodes.values_mut().filter(|node| !node.paused) {
        let epoch = if at_once { node.replica.row().epoch } else { node.adoption.in_force(now).0 };
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

/// What a writer said of its attempt is true.
fn outcomes(fleet: &mut Fleet) {
    for (host, node) in &fleet.nodes {
        for (row, outcome) in node.outcomes.values() {
            let author = row.authors[&row.epoch];
            let taken = fleet.store.accepted.get(&row.epoch).map(|(_, author)| *author);
            let is_own = taken == Some(author);
            let wrong = match outcome {
                Outcome::Accepted => !is_own,
                Outcome::Overtaken | Outcome::NotWritten => is_own,
                Outcome::Unknown => false,
            };
            if wrong {
                let text = format!("host {host} said {outcome} of epoch {}", row.epoch);
                fleet.violations.push(text);
            }
        }
    }
}
