//! Steps that kill one primary, and partition another while writes are sent to it.

use super::Outcome;
use super::walkthrough::{Bolt, HOSTS, ORDERS, STOCK, Walkthrough};
use crate::client::caller::{Client, Failure};
use bergamotvale_core::refusal::Ran;
use std::time::{Duration, Instant};
use tokio::task::JoinSet;

/// Longest failover gap for which a verdict holds, from one acknowledged write to the next.
const MAX_FAILOVER_GAP: Duration = Duration::from_secs(7);
/// Time after which a writer gives up.
const WRITER_TIMEOUT: Duration = Duration::from_secs(15);
/// Duration of the load before the primary is killed.
const LOAD_BEFORE_KILL: Duration = Duration::from_millis(400);
/// Time between two attempts of a writer.
const WRITE_INTERVAL: Duration = Duration::from_millis(20);
const TARGET_POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Size of each writer's range of bolt numbers, of which it uses every [`HOSTS`]th.
const BOLT_NUMBERS_PER_WRITER: Bolt = 10_000;

/// Outcome of one write, which a writer repeats until it is acknowledged.
struct Record {
    bolt: Bolt,
    /// Time of the first attempt.
    sent: Instant,
    /// Time of the last response.
    ended: Instant,
    /// None if the write was acknowledged, else whether it may have run.
    unacknowledged: Option<Ran>,
}

/// Kills the primary of the service `orders` while writers use all hosts.
///
/// Checks that writes succeed again within [`MAX_FAILOVER_GAP`], and that no acknowledged write is
/// lost or duplicated.
pub(super) async fn kill_primary(walkthrough: &mut Walkthrough) -> Outcome {
    let primary = walkthrough.system.primary(ORDERS).ok_or("orders has no primary")?;
    let (killed, kill_time) = tokio::sync::watch::channel(None);
    let mut writers = JoinSet::new();
    for host in 0..HOSTS {
        let client = walkthrough.system.caller(host);
        let next_request = writer_requests(walkthrough, host);
        writers.spawn(run_writer(client, next_request, kill_time.clone()));
    }
    tokio::time::sleep(LOAD_BEFORE_KILL).await;
    let killed_at = Instant::now();
    walkthrough.system.groups[ORDERS].target(primary).kill();
    killed.send_replace(Some(Instant::now()));
    let records: Vec<Record> = writers.join_all().await.into_iter().flatten().collect();
    let restarted = walkthrough.system.groups[ORDERS].target(primary).restart();
    restarted.map_err(|error| error.to_string())?;
    for record in &records {
        walkthrough.record_outcome(ORDERS, record.bolt, record.unacknowledged);
    }
    let gap = failover_gap(&records, killed_at)?;
    if gap > MAX_FAILOVER_GAP {
        return Err(format!("no bolt was logged for {:.2} s", gap.as_secs_f64()));
    }
    walkthrough.check_rows().await?;
    let new = walkthrough.system.primary(ORDERS).ok_or("orders has no primary afterwards")?;
    let acknowledged = records.iter().filter(|record| record.unacknowledged.is_none()).count();
    Ok(format!(
        "target {primary} of orders killed, target {new} took over, gap {:.2} s; {acknowledged} \
         bolts logged, each on all targets once",
        gap.as_secs_f64()
    ))
}

/// Returns the time from the last acknowledgement before the fault to the first one of a write that
/// was sent after it.
fn failover_gap(records: &[Record], fault: Instant) -> Result<Duration, String> {
    let acknowledged = || records.iter().filter(|record| record.unacknowledged.is_none());
    let before = acknowledged().map(|record| record.ended).filter(|ended| *ended <= fault).max();
    let before = before.ok_or("no bolt was logged before the primary was killed")?;
    let after =
        acknowledged().filter(|record| record.sent > fault).map(|record| record.ended).min();
    let after = after.ok_or("no bolt was logged after the primary was killed")?;
    Ok(after - before)
}

/// Returns the next bolt of a writer and the request that logs it.
type NextRequest = Box<dyn FnMut() -> (Bolt, crate::client::caller::Request) + Send>;

fn writer_requests(walkthrough: &mut Walkthrough, host: usize) -> NextRequest {
    let base = walkthrough.new_bolt() * BOLT_NUMBERS_PER_WRITER + host as Bolt;
    let template = walkthrough.log_request(ORDERS, base);
    let mut next = 0;
    Box::new(move || {
        let bolt = base + next * HOSTS as Bolt;
        next += 1;
        let mut request = template.clone().with_idempotency_key(&format!("bolt-{bolt}"));
        let service = "orders".to_owned();
        request.operation = crate::client::caller::Operation::Write(
            service,
            super::walkthrough::insert_statement(bolt),
        );
        (bolt, request)
    })
}

/// Logs one bolt after the other and repeats each write until it is acknowledged.
///
/// Ends with the first acknowledged write that was sent after the kill, or at [`WRITER_TIMEOUT`].
/// A write of which any attempt may have run counts as unknown until it is acknowledged.
async fn run_writer(
    client: Client,
    mut next_request: NextRequest,
    kill_time: tokio::sync::watch::Receiver<Option<Instant>>,
) -> Vec<Record> {
    let mut records = Vec::new();
    let begun = Instant::now();
    while begun.elapsed() < WRITER_TIMEOUT {
        let (bolt, request) = next_request();
        let sent = Instant::now();
        let mut unacknowledged = client.send(&request).await.err().map(|failure| failure.ran());
        let mut was_unknown = unacknowledged == Some(Ran::Unknown);
        while unacknowledged.is_some() && begun.elapsed() < WRITER_TIMEOUT {
            tokio::time::sleep(WRITE_INTERVAL).await;
            unacknowledged = client.send(&request).await.err().map(|failure| failure.ran());
            was_unknown |= unacknowledged == Some(Ran::Unknown);
        }
        if unacknowledged.is_some() && was_unknown {
            unacknowledged = Some(Ran::Unknown);
        }
        records.push(Record { bolt, sent, ended: Instant::now(), unacknowledged });
        let is_after_kill = kill_time.borrow().is_some_and(|killed_at| sent > killed_at);
        if is_after_kill && unacknowledged.is_none() {
            break;
        }
        tokio::time::sleep(WRITE_INTERVAL).await;
    }
    records
}

/// Partitions all targets of the service `stock` from each other, while callers still reach them,
/// and sends a write to every host.
///
/// Checks that no write is acknowledged, that a promoted target has its term accepted on a majority
/// of the targets first, and that writes succeed once the partition is healed.
pub(super) async fn fence(walkthrough: &mut Walkthrough) -> Outcome {
    let old = walkthrough.system.primary(STOCK).ok_or("stock has no primary")?;
    let others: Vec<usize> = (0..walkthrough.system.groups[STOCK].targets().len()).collect();
    for target in walkthrough.system.groups[STOCK].targets() {
        target.partition(&others);
    }
    let (promoted, offered) =
        tokio::join!(wait_for_promotion(walkthrough, old), send_writes(walkthrough));
    for target in walkthrough.system.groups[STOCK].targets() {
        target.heal();
    }
    for (bolt, unacknowledged) in &offered {
        walkthrough.record_outcome(STOCK, *bolt, *unacknowledged);
    }
    let acknowledged =
        offered.iter().filter(|(_, unacknowledged)| unacknowledged.is_none()).count();
    if acknowledged > 0 {
        return Err(format!("{acknowledged} bolts were acknowledged by a partitioned primary"));
    }
    let (new, accepted_on) = promoted?;
    if accepted_on < 2 {
        return Err(format!(
            "target {new} was promoted with its term on {accepted_on} of 3 targets"
        ));
    }
    log_after_heal(walkthrough).await?;
    walkthrough.check_rows().await?;
    Ok(format!(
        "stock partitioned: {} bolts offered, none acknowledged; target {new} promoted with its \
         term on {accepted_on} of 3 targets; healed, a bolt is logged",
        offered.len()
    ))
}

/// Waits for a new primary; returns it and the number of targets that had accepted its term then.
async fn wait_for_promotion(
    walkthrough: &Walkthrough,
    old: usize,
) -> Result<(usize, usize), String> {
    let targets = walkthrough.system.groups[STOCK].targets();
    let first_term = targets[old].accepted_term();
    let begun = Instant::now();
    while begun.elapsed() < MAX_FAILOVER_GAP {
        let is_new = |target: &&bergamotvale_standin::group::Target| {
            target.is_primary() && target.accepted_term() > first_term
        };
        if let Some(new) = targets.iter().find(is_new) {
            let term = new.accepted_term();
            let accepted_on =
                targets.iter().filter(|target| target.accepted_term() >= term).count();
            return Ok((new.number(), accepted_on));
        }
        tokio::time::sleep(TARGET_POLL_INTERVAL).await;
    }
    Err(format!("no target was promoted within {MAX_FAILOVER_GAP:?}"))
}

/// Sends a write to every host at once. Returns None for an acknowledged bolt, else whether it may
/// have run.
async fn send_writes(walkthrough: &Walkthrough) -> Vec<(Bolt, Option<Ran>)> {
    // These numbers are above all that the walkthrough assigns.
    let bolts = (0..HOSTS as Bolt).map(|host| Bolt::from(u32::MAX) + host);
    let writes = bolts.enumerate().map(|(host, bolt)| async move {
        let request = walkthrough.log_request(STOCK, bolt);
        let result = walkthrough.system.caller(host).send(&request).await;
        (bolt, result.err().map(|failure| failure.ran()))
    });
    futures::future::join_all(writes).await
}

/// Logs a bolt after the partition is healed, with retries for [`MAX_FAILOVER_GAP`].
async fn log_after_heal(walkthrough: &mut Walkthrough) -> Result<(), String> {
    let begun = Instant::now();
    loop {
        let (bolt, result) = walkthrough.log(1, STOCK).await;
        let failure: Failure = match result {
            Ok(_) => return Ok(()),
            Err(failure) => failure,
        };
        if begun.elapsed() > MAX_FAILOVER_GAP {
            return Err(format!("bolt {bolt} after the partition was healed: {failure}"));
        }
        tokio::time::sleep(WRITE_INTERVAL).await;
    }
}
