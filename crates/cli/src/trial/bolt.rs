//! A bolt is logged, read elsewhere and logged again.

use super::Outcome;
use super::story::{Bolt, HOSTS, LOOM, ORDERS, Story, first_number};
use bergamotvale_core::session::Token;
use std::time::Duration;

/// How far both replicas are behind while the first bolt is logged.
const BOTH_LAG: Duration = Duration::from_millis(300);
/// How far one replica is behind while the bolt is read.
const ONE_LAG: Duration = Duration::from_secs(4);
/// Reads on each host.
const READS: usize = 20;

/// A bolt is acknowledged only once a majority of the targets holds it.
pub(super) async fn log(story: &mut Story) -> Outcome {
    for replica in story.replicas(ORDERS) {
        story.system.groups[ORDERS].target(replica).set_lag(BOTH_LAG);
    }
    let (bolt, result) = story.log(0, ORDERS).await;
    let holders = match &result {
        Ok(answer) => holders(story, answer.session.as_ref()),
        Err(_) => 0,
    };
    story.catch_up(ORDERS);
    result.map_err(|failure| format!("bolt {bolt} on host 1: {failure}"))?;
    if holders < 2 {
        return Err(format!("bolt {bolt} was acknowledged with {holders} of 3 targets holding it"));
    }
    Ok(format!("bolt {bolt} on host 1, acknowledged with {holders} of 3 targets holding it"))
}

/// Targets whose log holds the position that `token` names.
fn holders(story: &Story, token: Option<&Token>) -> usize {
    let service = story.service_id(ORDERS);
    let Some(position) = token.and_then(|token| token.position(service)) else { return 0 };
    let holds = |target: &&bergamotvale_standin::group::Target| {
        let mut log = target.log_positions().into_iter();
        log.any(|entry| (entry.term, entry.index) == (position.term as i64, position.index as i64))
    };
    story.system.groups[ORDERS].targets().iter().filter(holds).count()
}

/// A session reads its bolt on every other host while a replica lacks it.
pub(super) async fn read_elsewhere(story: &mut Story) -> Outcome {
    let lagging = *story.replicas(ORDERS).last().ok_or("there is no replica")?;
    story.system.groups[ORDERS].target(lagging).set_lag(ONE_LAG);
    let outcome = read_on_all_hosts(story, lagging).await;
    story.catch_up(ORDERS);
    outcome
}

async fn read_on_all_hosts(story: &mut Story, lagging: usize) -> Outcome {
    let (bolt, result) = story.log(0, ORDERS).await;
    let answer = result.map_err(|failure| format!("bolt {bolt} on host 1: {failure}"))?;
    let token = answer.session.ok_or("the answer carries no session token")?;
    let mut by_replicas = 0;
    for round in 0..READS * (HOSTS - 1) {
        let host = 1 + round % (HOSTS - 1);
        let request = story.count_request(LOOM, ORDERS, bolt).with_session(&token);
        let answer = story.system.caller(host).send(&request).await;
        let answer = answer.map_err(|failure| format!("read on host {}: {failure}", host + 1))?;
        if first_number(&answer) != Some(1) {
            let served = answer.target.map(|target| target.number).unwrap_or_default();
            let host = host + 1;
            return Err(format!("host {host} answered from target {served} without bolt {bolt}"));
        }
        by_replicas += usize::from(answer.target.is_some_and(|target| target.is_replica));
    }
    if story.rows(ORDERS, lagging, bolt)? != 0 {
        return Err(format!("target {lagging} did not lag, so that nothing was shown"));
    }
    let reads = READS * (HOSTS - 1);
    Ok(format!(
        "bolt {bolt} in {reads} of {reads} reads on hosts 2 to 4 ({by_replicas} from a replica), \
         target {lagging} still without it"
    ))
}

/// A write with the same idempotency key gets the first outcome and leaves one row.
pub(super) async fn repeat(story: &mut Story) -> Outcome {
    let (bolt, result) = story.log(0, ORDERS).await;
    result.map_err(|failure| format!("bolt {bolt} on host 1: {failure}"))?;
    let request = story.log_request(ORDERS, bolt);
    let again = story.system.caller(2).send(&request).await;
    let again = again.map_err(|failure| format!("bolt {bolt} again on host 3: {failure}"))?;
    if !again.replayed {
        return Err(format!("bolt {bolt} again on host 3 was not answered as a repeat"));
    }
    story.wait_until_same(ORDERS).await?;
    verify_single(story, bolt)?;
    Ok(format!("bolt {bolt} again on host 3: the first outcome, one row on each target"))
}

fn verify_single(story: &Story, bolt: Bolt) -> Result<(), String> {
    for target in 0..story.system.groups[ORDERS].targets().len() {
        let rows = story.rows(ORDERS, target, bolt)?;
        if rows != 1 {
            return Err(format!("bolt {bolt} has {rows} rows on target {target}"));
        }
    }
    Ok(())
}
