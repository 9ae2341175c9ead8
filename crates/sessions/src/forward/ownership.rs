//! The owners of connections, by this host's copy of the members and its view of their liveness.

use crate::pool::target::name_hash;
use crate::pool::usable_connections;
use crate::state::Host;
use bergamotvale_core::id::HostId;
use bergamotvale_core::proxy::directory::Entry;
use bergamotvale_core::proxy::ownership::{Owners, is_forwarded};
use bergamotvale_core::rendezvous::Subject;
use std::rc::Rc;

/// Owners of an account's connections that an attempt is sent to in turn.
const MAX_OWNERS_TRIED: usize = 2;

/// Owners of an account's connections that are looked at, as some may be avoided.
const MAX_OWNERS_KNOWN: usize = 6;

/// Whether operations at targets of the service are forwarded.
fn is_in_force(host: &Host, service: &str) -> bool {
    let members = host.lease.borrow().members().len();
    let accounts = host.catalog.borrow().accounts.len();
    is_forwarded(usable_connections(host, service), members, accounts)
}

/// Returns the owners of an account's connections to the target, the preferred one first. `None` if
/// operations at the target are not forwarded.
pub fn owners(host: &Host, entry: &Entry, account: &str) -> Option<Vec<HostId>> {
    if !is_in_force(host, &entry.service) {
        return None;
    }
    let subject = Subject::Owner(name_hash(&format!("{} {account}", entry.name)));
    let owners = owners_of_domain(host, &entry.domain);
    let mut ranked =
        owners.ranked(subject, connections(host, entry), MAX_OWNERS_KNOWN, |id| is_alive(host, id));
    // A host that failed a hop is left out after the ranking: whether it counts as alive has to be
    // the same for all hosts as far as possible, since it determines the parts.
    ranked.retain(|id| !host.forward.avoids(*id) && is_permitted(host, entry, *id));
    ranked.truncate(MAX_OWNERS_TRIED);
    Some(ranked)
}

/// Whether an operation at the target may be passed to a host: it is in the target's region, which
/// the choice of the target has found to be a home, or in this host's own.
fn is_permitted(host: &Host, entry: &Entry, id: HostId) -> bool {
    let lease = host.lease.borrow();
    let regions = &host.settings.regions;
    let region = lease.members().get(&id).and_then(|member| regions.get(&member.domain));
    region == regions.get(&entry.domain) || region == Some(&host.settings.region)
}

/// Returns the number of connections to the target that this host may open as an owner. `None` if
/// operations at the target are not forwarded.
pub fn part(host: &Host, entry: &Entry) -> Option<u64> {
    if !is_in_force(host, &entry.service) {
        return None;
    }
    let owners = owners_of_domain(host, &entry.domain);
    Some(owners.part_of(host.id, connections(host, entry), |id| is_alive(host, id)))
}

/// Usable connections of a target, and the subject under which they are divided.
fn connections(host: &Host, entry: &Entry) -> (u64, Subject) {
    let usable = usable_connections(host, &entry.service);
    (usable, Subject::Connection(name_hash(&entry.name)))
}

/// Whether a host has sent a heartbeat recently; this one counts as alive.
pub fn is_alive(host: &Host, id: HostId) -> bool {
    let is_recent = |at| host.now().saturating_sub(at) <= host.peer_timeout();
    id == host.id || host.peers.last_received(id).is_some_and(is_recent)
}

fn owners_of_domain(host: &Host, domain: &str) -> Rc<Owners> {
    let revision = host.lease.borrow().revision();
    let mut known = host.forward.owners.borrow_mut();
    if let Some((at, owners)) = known.get(domain)
        && *at == revision
    {
        return owners.clone();
    }
    let owners =
        Rc::new(Owners::new(host.lease.borrow().members(), domain, &host.settings.regions));
    known.insert(domain.to_owned(), (revision, owners.clone()));
    owners
}
