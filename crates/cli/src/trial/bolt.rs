//! Steps that write a row, read it on other hosts and repeat the write.

use super::Outcome;
use super::walkthrough::{Bolt, HOSTS, LOOM, ORDERS, Walkthrough, first_number};
use bergamotvale_core::session::Token;
use std::time::Duration;

/// Replication lag of both replicas during the first write.
const WRITE_LAG: Duration = Duration::from_millis(300);
/// Replication lag of one replica during the reads.
const READ_LAG: Duration = Duration::from_secs(4);
/// Number of reads on each host.
const READS_PER_HOST: usize = 20;

/// Checks that a write is acknowledged only once a majority of the targets has it in its log.
pub(super) async fn log(walkthrough: &mut Walkthrough) -> Outcome {
    for replica in walkthrough.replicas(ORDERS) {
        walkthrough.system.groups[ORDERS].target(replica).set_lag(WRITE_LAG);
    }
    let (bolt, result) = walkthrough.log(0, ORDERS).await;
    let holder_count = match &result {
        Ok(response) => count_holders(walkthrough, response.session.as_ref()),
        Err(_) => 0,
    };
    walkthrough.reset_lag(ORDERS);
    result.map_err(|failure| format!("bolt {bolt} on host 1: {failure}"))?;
    if holder_count < 2 {
        return Err(format!(
            "bolt {bolt} was acknowledged with {holder_count} of 3 targets holding it"
        ));
    }
    Ok(format!("bolt {bolt} on host 1, acknowledged with {holder_count} of 3 targets holding it"))
}

/// Counts the targets whose log contains the position that `token` names.
fn count_holders(walkthrough: &Walkthrough, token: Option<&Token>) -> usize {
    let service = walkthrough.service_id(ORDERS);
    let Some(position) = token.and_then(|token| token.position(service)) else { return 0 };
    let holds = |target: &&bergamotvale_standin::group::Target| {
        let mut log = target.log_positions().into_iter();
        log.any(|entry| (entry.term, entry.index) == (position.term as i64, position.index as i64))
    };
    walkthrough.system.groups[ORDERS].targets().iter().filter(holds).count()
}

/// Checks that a session reads its write on every other host while one replica lags behind it.
pub(super) async fn read_elsewhere(walkthrough: &mut Walkthrough) -> Outcome {
    let lagging = *walkthrough.replicas(ORDERS).last().ok_or("there is no replica")?;
    walkthrough.system.groups[ORDERS].target(lagging).set_lag(READ_LAG);
    let outcome = read_on_all_hosts(walkthrough, lagging).await;
    walkthrough.reset_lag(ORDERS);
    outcome
}

async fn read_on_all_hosts(walkthrough: &mut Walkthrough, lagging: usize) -> Outcome {
    let (bolt, result) = walkthrough.log(0, ORDERS).await;
    let response = result.map_err(|failure| format!("bolt {bolt} on host 1: {failure}"))?;
    let token = response.session.ok_or("the response contains no session token")?;
    let mut by_replicas = 0;
    for round in 0..READS_PER_HOST * (HOSTS - 1) {
        let host = 1 + round % (HOSTS - 1);
        let request = walkthrough.count_request(LOOM, ORDERS, bolt).with_session(&token);
        let response = walkthrough.system.caller(host).send(&request).await;
        let response =
            response.map_err(|failure| format!("read on host {}: {failure}", host + 1))?;
        if first_number(&response) != Some(1) {
            let target = response.target.map(|target| target.number).unwrap_or_default();
            let host = host + 1;
            return Err(format!(
                "host {host} returned a result of target {target} without bolt {bolt}"
            ));
        }
        by_replicas += usize::from(response.target.is_some_and(|target| target.is_replica));
    }
    if walkthrough.count_rows(ORDERS, lagging, bolt)? != 0 {
        return Err(format!("target {lagging} did not lag, so the reads prove nothing"));
    }
    let reads = READS_PER_HOST * (HOSTS - 1);
    Ok(format!(
        "bolt {bolt} in {reads} of {reads} reads on hosts 2 to 4 ({by_replicas} from a replica), \
         target {lagging} still without it"
    ))
}

/// Checks that a repeated idempotency key returns the first outcome and adds no second row.
pub(super) async fn repeat(walkthrough: &mut Walkthrough) -> Outcome {
    let (bolt, result) = walkthrough.log(0, ORDERS).await;
    result.map_err(|failure| format!("bolt {bolt} on host 1: {failure}"))?;
    let request = walkthrough.log_request(ORDERS, bolt);
    let repeated = walkthrough.system.caller(2).send(&request).await;
    let repeated = repeated.map_err(|failure| format!("bolt {bolt} again on host 3: {failure}"))?;
    if !repeated.replayed {
        return Err(format!("bolt {bolt} again on host 3: the response is not marked as replayed"));
    }
    walkthrough.wait_until_caught_up(ORDERS).await?;
    verify_single_row(walkthrough, bolt)?;
    Ok(format!("bolt {bolt} again on host 3: the first outcome, one row on each target"))
}

/// Verifies that each target has exactly one row of `bolt`.
fn verify_single_row(walkthrough: &Walkthrough, bolt: Bolt) -> Result<(), String> {
    for target in 0..walkthrough.system.groups[ORDERS].targets().len() {
        let rows = walkthrough.count_rows(ORDERS, target, bolt)?;
        if rows != 1 {
            return Err(format!("bolt {bolt} has {rows} rows on target {target}"));
        }
    }
    Ok(())
}
