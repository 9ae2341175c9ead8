//! Reads the rows of every target after a run, directly and not through the hosts.

use crate::bench::history::{OpRows, TargetRows};
use crate::error::{Error, Result};
use crate::system::System;
use bergamotvale_standin::group::{Group, Value};
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Time allowed for replication to catch up once all faults are healed.
const CATCH_UP_TIMEOUT: Duration = Duration::from_secs(20);
const CATCH_UP_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Counts the rows of each operation; duplicates of a write show as a count above one.
const SELECT_ROWS_BY_OP: &str = "SELECT op, MIN(account), COUNT(*) FROM bolts GROUP BY op";

/// Waits until all targets of each group have applied the same log, then reads their rows.
///
/// Fails if the targets of a group still differ after `CATCH_UP_TIMEOUT`.
pub async fn read(system: &System) -> Result<Vec<TargetRows>> {
    let mut final_rows = Vec::new();
    for (service, group) in system.groups.iter().enumerate() {
        catch_up(service, group).await?;
        for target in group.targets() {
            let rows =
                target.query(SELECT_ROWS_BY_OP).map_err(|error| Error::Start(error.to_string()))?;
            let rows = rows.iter().filter_map(|row| op_rows(row)).collect::<BTreeMap<_, _>>();
            final_rows.push(TargetRows { service, target: target.number(), rows });
        }
    }
    Ok(final_rows)
}

async fn catch_up(service: usize, group: &Group) -> Result<()> {
    let deadline = Instant::now() + CATCH_UP_TIMEOUT;
    while !is_caught_up(group) {
        if Instant::now() > deadline {
            let reason = format!("targets of service {service} still differ after the run");
            return Err(Error::Verdict(reason));
        }
        tokio::time::sleep(CATCH_UP_POLL_INTERVAL).await;
    }
    Ok(())
}

/// Whether the logs of all targets end at the same position and every target has applied its log.
pub fn is_caught_up(group: &Group) -> bool {
    let log_ends: Vec<_> =
        group.targets().iter().map(|target| target.log_positions().last().copied()).collect();
    let have_same_end = log_ends.windows(2).all(|pair| pair[0] == pair[1]);
    let have_applied = group
        .targets()
        .iter()
        .zip(&log_ends)
        .all(|(target, end)| end.is_some_and(|end| target.applied_index() >= end.index));
    have_same_end && have_applied
}

fn op_rows(row: &[Value]) -> Option<(u64, OpRows)> {
    let number = |column: usize| integer(row.get(column)?);
    let rows = OpRows { account: usize::try_from(number(1)?).ok()?, count: number(2)? };
    Some((number(0)?, rows))
}

fn integer(value: &Value) -> Option<u64> {
    match value {
        Value::Integer(number) => u64::try_from(*number).ok(),
        _ => None,
    }
}
