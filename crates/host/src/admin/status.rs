//! Status and metrics of a host, for operators: its authority, and the members, services and client
//! accounts as the host knows them.

use crate::shared::Host;
use bergamotvale_core::config::Service;
use bergamotvale_core::id::{ServiceId, TargetId, Time};
use serde_json::{Value, json};

/// Probe intervals without a response after which a target is shown as unhealthy.
const MISSED_PROBES: u32 = 4;

pub(super) fn status(host: &Host) -> Value {
    let now = host.clock.now();
    let document = host.document();
    let authority = host.fleet.authority(now);
    let row = host.fleet.row();
    let (_, in_force) = host.fleet.in_force(now);
    let services = document.services.iter();
    json!({
        "host": host.settings.host,
        "incarnation": host.incarnation,
        "version": row.version,
        "epoch": row.epoch,
        "authority": {
            "held": authority.held,
            "age_ms": authority.age.map(|age| age.as_millis() as u64),
            "by": authority.source.map(|source| source.to_string()),
        },
        "members": members(host, now),
        "services": services.map(|(id, service)| show(host, now, *id, service)).collect::<Vec<_>>(),
        "accounts": accounts(host),
        "change": { "accepted": row.version, "in_force": in_force },
    })
}

/// Counters and gauges, including the counts of calls to the platform.
pub(super) fn metrics(host: &Host) -> Value {
    let mut snapshot = host.metric.snapshot();
    let traffic = host.platform.traffic();
    let counts = [
        ("platform.reads", traffic.reads),
        ("platform.writes", traffic.writes),
        ("platform.failures", traffic.failures),
        ("platform.not_admitted", traffic.refused),
    ];
    for (name, count) in counts {
        snapshot.counters.insert(name.to_owned(), i64::try_from(count).unwrap_or(i64::MAX));
    }
    json!(snapshot)
}

fn members(host: &Host, now: Time) -> Vec<Value> {
    let members = host.fleet.members(now).into_iter();
    members
        .map(|seen| {
            json!({
                "host": seen.member.host,
                "incarnation": seen.member.incarnation,
                "version": seen.version,
                "leaving": seen.member.leaving,
                "last_heard_ms": seen.silence.map(|time| time.as_millis() as u64),
            })
        })
        .collect()
}

fn show(host: &Host, now: Time, id: ServiceId, service: &Service) -> Value {
    let primary = host.failover.primary(id);
    let targets = service.targets.keys().map(|target| show_target(host, now, id, *target, service));
    json!({
        "service": id,
        "name": service.name,
        "primary": primary.map(|(target, _)| target),
        "term": primary.map_or(0, |(_, term)| term),
        "targets": targets.collect::<Vec<_>>(),
    })
}

fn show_target(
    host: &Host,
    now: Time,
    id: ServiceId,
    target: TargetId,
    service: &Service,
) -> Value {
    let views = host.failover.views(id);
    let view = views.get(&target);
    let max_silence = host.settings.policy.probe * MISSED_PROBES;
    let healthy = view.is_some_and(|view| now.saturating_sub(view.at) <= max_silence);
    let primary = host.pools.primary(id);
    let replica_ids = service.targets.keys().copied().filter(|id| Some(*id) != primary);
    let replicas: Vec<TargetId> = replica_ids.collect();
    let ejected =
        host.data.update_health(id, &replicas, now).get(&target).is_some_and(|s| s.ejected);
    json!({
        "target": target,
        "role": view.map(|view| format!("{:?}", view.status.role).to_lowercase()),
        "state": service.targets[&target].state,
        "healthy": healthy,
        "age_ms": view.map(|view| view.status.age.as_millis() as u64),
        "applied": view.map(|view| view.status.applied.to_string()),
        "ejected": ejected,
    })
}

fn accounts(host: &Host) -> Vec<Value> {
    let document = host.document();
    let accounts = document.accounts.iter();
    accounts
        .map(|(id, account)| {
            let (held_rate, held_burst) = host.limiter.share(*id);
            json!({
                "account": id,
                "name": account.name,
                "rate": account.rate,
                "burst": account.burst,
                "held_rate": held_rate,
                "held_burst": held_burst,
            })
        })
        .collect()
}
