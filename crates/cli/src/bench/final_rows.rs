//! What the targets hold after a run, past every host.

use crate::bench::history::{Mark, Remains};
use crate::error::{Error, Result};
use crate::system::System;
use bergamotvale_standin::group::{Group, Value};
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Time that replication may take to catch up once all faults are healed.
const CATCH_UP_TIMEOUT: Duration = Duration::from_secs(20);
/// Time between two looks whether it has.
const CATCH_UP_PERIOD: Duration = Duration::from_millis(50);
/// Rows by the operation that left them.
const COUNT: &str = "SELECT op, MIN(account), COUNT(*) FROM bolts GROUP BY op";

/// Waits until every target of every group holds the same log, then reads all rows.
pub async fn read(system: &System) -> Result<Vec<Remains>> {
    let mut remains = Vec::new();
    for (service, group) in system.groups.iter().enumerate() {
        catch_up(service, group).await?;
        for target in group.targets() {
            let rows = target.query(COUNT).map_err(|error| Error::Start(error.to_string()))?;
            let rows = rows.iter().filter_map(|row| mark(row)).collect::<BTreeMap<_, _>>();
            remains.push(Remains { service, target: target.number(), rows });
        }
    }
    Ok(remains)
}

async fn catch_up(service: usize, group: &Group) -> Result<()> {
    let deadline = Instant::now() + CATCH_UP_TIMEOUT;
    while !is_caught_up(group) {
        if Instant::now() > deadline {
            let reason = format!("targets of service {service} still differ after the run");
            return Err(Error::Verdict(reason));
        }
        tokio::time::sleep(CATCH_UP_PERIOD).await;
    }
    Ok(())
}

/// Whether every target holds and has applied the same log.
pub fn is_caught_up(group: &Group) -> bool {
    let ends: Vec<_> =
        group.targets().iter().map(|target| target.log_positions().last().copied()).collect();
    let is_same = ends.windows(2).all(|pair| pair[0] == pair[1]);
    let is_applied = group
        .targets()
        .iter()
        .zip(&ends)
        .all(|(target, end)| end.is_some_and(|end| target.applied_index() >= end.index));
    is_same && is_applied
}

fn mark(row: &[Value]) -> Option<(u64, Mark)> {
    let number = |place: usize| integer(row.get(place)?);
    let mark = Mark { account: usize::try_from(number(1)?).ok()?, count: number(2)? };
    Some((number(0)?, mark))
}

fn integer(value: &Value) -> Option<u64> {
    match value {
        Value::Integer(number) => u64::try_from(*number).ok(),
        _ => None,
    }
}
