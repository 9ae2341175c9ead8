//! Converts steps to the edits that implement them, and lists the differences between documents.

use super::{Fault, Issued, Operation, Record};
use crate::config::{Document, Edit, TargetState};
use crate::id::{AccountId, ServiceId, TargetId};
use crate::key;

impl Record {
    /// Returns the edits of the configuration for a step; empty if their effect is already present.
    pub fn edits(&self, document: &Document, operation: &Operation) -> Result<Vec<Edit>, Fault> {
        let edit = match operation {
            Operation::SetTarget(service, target, state) => {
                target_edit(document, *service, *target, *state)?
            }
            Operation::SetRate(account, rate, burst) => {
                rate_edit(document, *account, *rate, *burst)?
            }
            Operation::IssueKey(account) => self.issued.as_ref().and_then(|issued| {
                let Issued { key_id, salt, digest } = issued.clone();
                key::issue(document, key_id, *account, salt, digest)
            }),
            Operation::WithdrawKey(id) if key::is_active(document, *id) => {
                key::withdraw(document, *id)
            }
            _ => None,
        };
        Ok(edit.into_iter().collect())
    }
}

fn target_edit(
    document: &Document,
    service: ServiceId,
    target: TargetId,
    state: TargetState,
) -> Result<Option<Edit>, Fault> {
    let mut next = document
        .services
        .get(&service)
        .cloned()
        .ok_or_else(|| Fault::NoService(service.to_string()))?;
    let entry = next.targets.get_mut(&target).ok_or(Fault::NoTarget(target))?;
    if entry.state == state {
        return Ok(None);
    }
    entry.state = state;
    Ok(Some(Edit::PutService(service, next)))
}

fn rate_edit(
    document: &Document,
    account: AccountId,
    rate: u32,
    burst: u32,
) -> Result<Option<Edit>, Fault> {
    let mut next = document
        .accounts
        .get(&account)
        .cloned()
        .ok_or_else(|| Fault::NoAccount(account.to_string()))?;
    if (next.rate, next.burst) == (rate, burst) {
        return Ok(None);
    }
    next.rate = rate;
    next.burst = burst;
    Ok(Some(Edit::PutAccount(account, next)))
}

/// Lists the objects that differ between two documents, as text for operators; shows no digests.
pub fn differences(old: &Document, new: &Document) -> Vec<String> {
    let mut found = Vec::new();
    let mut compare = |kind: &str, name: String, same: bool| {
        if !same {
            found.push(format!("{kind} {name}"));
        }
    };
    for id in old.services.keys().chain(new.services.keys()) {
        compare("service", id.to_string(), old.services.get(id) == new.services.get(id));
    }
    for id in old.accounts.keys().chain(new.accounts.keys()) {
        compare("client account", id.to_string(), old.accounts.get(id) == new.accounts.get(id));
    }
    for id in old.keys.keys().chain(new.keys.keys()) {
        compare("key", id.to_string(), old.keys.get(id) == new.keys.get(id));
    }
    for name in old.routes.keys().chain(new.routes.keys()) {
        compare("route", name.clone(), old.routes.get(name) == new.routes.get(name));
    }
    found.sort();
    found.dedup();
    found
}
