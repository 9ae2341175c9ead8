//! A primary dies, and another is cut off while it is offered writes.

use super::Outcome;
use super::story::{Bolt, HOSTS, ORDERS, STOCK, Story};
use crate::client::caller::{Client, Failure};
use bergamotvale_core::refusal::Ran;
use std::time::{Duration, Instant};
use tokio::task::JoinSet;

/// Longest failover gap.
const GAP_CEILING: Duration = Duration::from_secs(7);
/// Time that writers go on without success before they give up.
const PATIENCE: Duration = Duration::from_secs(15);
/// Time for which writers run before the primary dies.
const BEFORE: Duration = Duration::from_millis(400);
/// Time between two writes of a writer.
const WRITE_PAUSE: Duration = Duration::from_millis(20);
/// Time between two looks at the targets.
const LOOK_PERIOD: Duration = Duration::from_millis(5);
/// Bolts that a writer may log.
const BOLTS_PER_WRITER: Bolt = 10_000;

/// One bolt of a writer: when it was first sent, when it was known, and what was known.
struct Record {
    bolt: Bolt,
    sent: Instant,
    ended: Instant,
    refused: Option<Ran>,
}

/// Kills the primary of orders while all hosts are written to; prints the gap.
pub(super) async fn kill_primary(story: &mut Story) -> Outcome {
    let primary = story.system.primary(ORDERS).ok_or("orders has no primary")?;
    let (killed, known) = tokio::sync::watch::channel(None);
    let mut writers = JoinSet::new();
    for host in 0..HOSTS {
        let client = story.system.caller(host);
        let requests = writer_requests(story, host);
        writers.spawn(write(client, requests, known.clone()));
    }
    tokio::time::sleep(BEFORE).await;
    let begun = Instant::now();
    story.system.groups[ORDERS].target(primary).kill();
    killed.send_replace(Some(Instant::now()));
    let records: Vec<Record> = writers.join_all().await.into_iter().flatten().collect();
    let restarted = story.system.groups[ORDERS].target(primary).restart();
    restarted.map_err(|error| error.to_string())?;
    for record in &records {
        story.note(ORDERS, record.bolt, record.refused);
    }
    let gap = gap(&records, begun)?;
    if gap > GAP_CEILING {
        return Err(format!("no bolt was logged for {:.2} s", gap.as_secs_f64()));
    }
    story.account_for_bolts().await?;
    let new = story.system.primary(ORDERS).ok_or("orders has no primary afterwards")?;
    let acknowledged = records.iter().filter(|record| record.refused.is_none()).count();
    Ok(format!(
        "target {primary} of orders dead, target {new} took over, gap {:.2} s; {acknowledged} \
         bolts logged, each on all targets once",
        gap.as_secs_f64()
    ))
}

/// From the last good write before the fault to the first that was sent after it.
fn gap(records: &[Record], fault: Instant) -> Result<Duration, String> {
    let good = || records.iter().filter(|record| record.refused.is_none());
    let before = good().map(|record| record.ended).filter(|ended| *ended <= fault).max();
    let before = before.ok_or("no bolt was logged before the primary died")?;
    let after = good().filter(|record| record.sent > fault).map(|record| record.ended).min();
    let after = after.ok_or("no bolt was logged after the primary died")?;
    Ok(after - before)
}

/// Requests of a writer's bolts, in order.
type Requests = Box<dyn FnMut() -> (Bolt, crate::client::caller::Request) + Send>;

fn writer_requests(story: &mut Story, host: usize) -> Requests {
    let base = story.new_bolt() * BOLTS_PER_WRITER + host as Bolt;
    let template = story.log_request(ORDERS, base);
    let mut next = 0;
    Box::new(move || {
        let bolt = base + next * HOSTS as Bolt;
        next += 1;
        let mut request = template.clone().with_idempotency_key(&format!("bolt-{bolt}"));
        let service = "orders".to_owned();
        request.operation =
            crate::client::caller::Operation::Write(service, super::story::insert(bolt));
        (bolt, request)
    })
}

/// Logs bolt after bolt, each until it is acknowledged; ends with the first sent after the kill.
async fn write(
    client: Client,
    mut requests: Requests,
    killed: tokio::sync::watch::Receiver<Option<Instant>>,
) -> Vec<Record> {
    let mut records = Vec::new();
    let begun = Instant::now();
    while begun.elapsed() < PATIENCE {
        let (bolt, request) = requests();
        let sent = Instant::now();
        let mut refused = client.send(&request).await.err().map(|failure| failure.ran());
        let mut was_unknown = refused == Some(Ran::Unknown);
        while refused.is_some() && begun.elapsed() < PATIENCE {
            tokio::time::sleep(WRITE_PAUSE).await;
            refused = client.send(&request).await.err().map(|failure| failure.ran());
            was_unknown |= refused == Some(Ran::Unknown);
        }
        if refused.is_some() && was_unknown {
            refused = Some(Ran::Unknown);
        }
        records.push(Record { bolt, sent, ended: Instant::now(), refused });
        let is_after = killed.borrow().is_some_and(|killed| sent > killed);
        if is_after && refused.is_none() {
            break;
        }
        tokio::time::sleep(WRITE_PAUSE).await;
    }
    records
}

/// Cuts all targets of stock off from each other while callers still reach them, and offers
/// writes on every host: none may be acknowledged, and whoever is promoted has its term on a
/// majority of the targets first.
pub(super) async fn fence(story: &mut Story) -> Outcome {
    let old = story.system.primary(STOCK).ok_or("stock has no primary")?;
    let others: Vec<usize> = (0..story.system.groups[STOCK].targets().len()).collect();
    for target in story.system.groups[STOCK].targets() {
        target.partition(&others);
    }
    let (promoted, offered) = tokio::join!(wait_for_promotion(story, old), offer_writes(story));
    for target in story.system.groups[STOCK].targets() {
        target.heal();
    }
    for (bolt, refused) in &offered {
        story.note(STOCK, *bolt, *refused);
    }
    let acknowledged = offered.iter().filter(|(_, refused)| refused.is_none()).count();
    if acknowledged > 0 {
        return Err(format!(
            "{acknowledged} bolts were acknowledged by a primary that was cut off"
        ));
    }
    let (new, granted) = promoted?;
    if granted < 2 {
        return Err(format!("target {new} was promoted with its term on {granted} of 3 targets"));
    }
    log_after(story).await?;
    story.account_for_bolts().await?;
    Ok(format!(
        "stock cut apart: {} bolts offered, none acknowledged; target {new} promoted with its \
         term on {granted} of 3 targets; healed, a bolt is logged",
        offered.len()
    ))
}

/// The promoted target and on how many targets its term stood at that moment.
async fn wait_for_promotion(story: &Story, old: usize) -> Result<(usize, usize), String> {
    let targets = story.system.groups[STOCK].targets();
    let first_term = targets[old].accepted_term();
    let begun = Instant::now();
    while begun.elapsed() < GAP_CEILING {
        let is_new = |target: &&bergamotvale_standin::group::Target| {
            target.is_primary() && target.accepted_term() > first_term
        };
        if let Some(new) = targets.iter().find(is_new) {
            let term = new.accepted_term();
            let granted = targets.iter().filter(|target| target.accepted_term() >= term).count();
            return Ok((new.number(), granted));
        }
        tokio::time::sleep(LOOK_PERIOD).await;
    }
    Err(format!("no target was promoted within {GAP_CEILING:?}"))
}

/// Offers a bolt on every host at once; answers with what their callers know.
async fn offer_writes(story: &Story) -> Vec<(Bolt, Option<Ran>)> {
    // Numbers above any that the story gives out.
    let bolts = (0..HOSTS as Bolt).map(|host| Bolt::from(u32::MAX) + host);
    let offers = bolts.enumerate().map(|(host, bolt)| async move {
        let request = story.log_request(STOCK, bolt);
        let result = story.system.caller(host).send(&request).await;
        (bolt, result.err().map(|failure| failure.ran()))
    });
    futures::future::join_all(offers).await
}

/// Logs a bolt once the links are healed.
async fn log_after(story: &mut Story) -> Result<(), String> {
    let begun = Instant::now();
    loop {
        let (bolt, result) = story.log(1, STOCK).await;
        let failure: Failure = match result {
            Ok(_) => return Ok(()),
            Err(failure) => failure,
        };
        if begun.elapsed() > GAP_CEILING {
            return Err(format!("bolt {bolt} after the links were healed: {failure}"));
        }
        tokio::time::sleep(WRITE_PAUSE).await;
    }
}
