//! A key is withdrawn while its callers are connected to every host.

use super::Outcome;
use super::story::{HOSTS, ORDERS, Story, TABLET, insert};
use crate::client::caller::{Client, Failure, Operation, Request};
use bergamotvale_core::id::KeyId;
use bergamotvale_core::refusal::Reason;
use std::time::{Duration, Instant};

/// Time after which a withdrawn key works nowhere.
const LIMIT: Duration = Duration::from_secs(2);
/// Time for which the key is tried after that.
const AFTERWARDS: Duration = Duration::from_millis(500);
/// Time between two tries on a host.
const TRY_PAUSE: Duration = Duration::from_millis(10);

/// What a host said about the key.
struct Seen {
    last_good: Option<Instant>,
    last_refusal: Option<Reason>,
}

pub(super) async fn withdraw(story: &mut Story) -> Outcome {
    let clients = kept_alive(story).await?;
    let open = begin(story, &clients[2]).await?;
    let key = TABLET as KeyId + 1;
    let withdrawal = story.system.operator(0).withdraw_key(key).await;
    withdrawal.map_err(|error| format!("withdrawal on host 1: {error}"))?;
    let accepted = Instant::now();
    let request = story.count_request(TABLET, ORDERS, 1);
    let tries = clients.iter().map(|client| try_key(client, &request, accepted));
    let seen = futures::future::join_all(tries).await;
    let mut slowest = Duration::ZERO;
    for (host, seen) in seen.iter().enumerate() {
        slowest = slowest.max(verify(host, seen, accepted)?);
    }
    verify_ended(story, &clients[1], open).await?;
    Ok(format!(
        "key {key} refused on all hosts {:.2} s after its withdrawal, on connections that were \
         open before; its open transaction ended",
        slowest.as_secs_f64()
    ))
}

/// A client for each host with a connection on which the key has just worked.
async fn kept_alive(story: &Story) -> Result<Vec<Client>, String> {
    let mut clients = Vec::new();
    for host in 0..HOSTS {
        let client = story.system.caller(host);
        let request = story.count_request(TABLET, ORDERS, 1);
        let result = client.send(&request).await;
        result.map_err(|failure| format!("the key before on host {}: {failure}", host + 1))?;
        clients.push(client);
    }
    Ok(clients)
}

/// Begins a transaction under the key and writes a bolt in it.
async fn begin(story: &mut Story, client: &Client) -> Result<(String, u64), String> {
    let named = |failure: Failure| format!("transaction under the key: {failure}");
    let service = story.service_name(ORDERS).to_owned();
    let begun = client.send(&story.request(TABLET, Operation::Begin(service))).await;
    let id = begun.map_err(named)?.transaction.ok_or("begin answered no transaction")?;
    let bolt = story.new_bolt();
    let run = story.request(TABLET, Operation::Run(id.clone(), insert(bolt)));
    client.send(&run).await.map_err(named)?;
    Ok((id, bolt))
}

/// Uses the key on one host until well after the limit.
async fn try_key(client: &Client, request: &Request, accepted: Instant) -> Seen {
    let mut seen = Seen { last_good: None, last_refusal: None };
    while accepted.elapsed() < LIMIT + AFTERWARDS {
        let sent = Instant::now();
        match client.send(request).await {
            Ok(_) => seen.last_good = Some(sent),
            Err(Failure::Refused(problem)) => seen.last_refusal = problem.known_reason(),
            Err(_) => {}
        }
        tokio::time::sleep(TRY_PAUSE).await;
    }
    seen
}

/// Time for which the key still worked on a host.
fn verify(host: usize, seen: &Seen, accepted: Instant) -> Result<Duration, String> {
    let host = host + 1;
    let worked = seen.last_good.map_or(Duration::ZERO, |good| good - accepted);
    if worked > LIMIT {
        return Err(format!("host {host} still accepts the key {worked:.2?} after its withdrawal"));
    }
    match seen.last_refusal {
        Some(Reason::KeyWithdrawn) => Ok(worked),
        other => Err(format!("host {host} refuses the key as {other:?}, not as withdrawn")),
    }
}

/// The transaction that was open under the key can't be committed and left nothing.
async fn verify_ended(story: &Story, client: &Client, open: (String, u64)) -> Result<(), String> {
    let (id, bolt) = open;
    let commit = story.request(TABLET, Operation::Commit(id));
    if client.send(&commit).await.is_ok() {
        return Err("a transaction was committed under the withdrawn key".to_owned());
    }
    for target in 0..story.system.groups[ORDERS].targets().len() {
        if story.rows(ORDERS, target, bolt)? > 0 {
            return Err(format!("bolt {bolt} of the open transaction is on target {target}"));
        }
    }
    Ok(())
}
