//! Step that withdraws a key while its callers are connected to every host.

use super::Outcome;
use super::walkthrough::{HOSTS, ORDERS, TABLET, Walkthrough, insert_statement};
use crate::client::caller::{Client, Failure, Operation, Request};
use bergamotvale_core::id::KeyId;
use bergamotvale_core::refusal::Reason;
use std::time::{Duration, Instant};

/// Longest time for which a host may still accept a withdrawn key.
const MAX_WITHDRAWAL_DELAY: Duration = Duration::from_secs(2);
/// Time after [`MAX_WITHDRAWAL_DELAY`] for which the key is still checked.
const EXTRA_CHECK_TIME: Duration = Duration::from_millis(500);
/// Time between two requests with the key to a host.
const CHECK_INTERVAL: Duration = Duration::from_millis(10);

/// Responses of one host to requests with the key.
struct Observation {
    /// Time at which the last accepted request was sent.
    last_accepted: Option<Instant>,
    last_refusal: Option<Reason>,
}

/// Checks that every host refuses the key soon after its withdrawal on one host, also on open
/// connections, and that a transaction which was open under the key is not committed.
pub(super) async fn withdraw(walkthrough: &mut Walkthrough) -> Outcome {
    let clients = connect_to_all(walkthrough).await?;
    let open = begin_transaction(walkthrough, &clients[2]).await?;
    let key = TABLET as KeyId + 1;
    let withdrawal = walkthrough.system.operator(0).withdraw_key(key).await;
    withdrawal.map_err(|error| format!("withdrawal on host 1: {error}"))?;
    let accepted = Instant::now();
    let request = walkthrough.count_request(TABLET, ORDERS, 1);
    let checks = clients.iter().map(|client| check_key(client, &request, accepted));
    let observations = futures::future::join_all(checks).await;
    let mut slowest = Duration::ZERO;
    for (host, observation) in observations.iter().enumerate() {
        slowest = slowest.max(verify_refused(host, observation, accepted)?);
    }
    verify_rolled_back(walkthrough, &clients[1], open).await?;
    Ok(format!(
        "key {key} refused on all hosts {:.2} s after its withdrawal, on connections that were \
         open before; its open transaction ended",
        slowest.as_secs_f64()
    ))
}

/// Returns a client for each host, with an open connection on which the key was accepted.
async fn connect_to_all(walkthrough: &Walkthrough) -> Result<Vec<Client>, String> {
    let mut clients = Vec::new();
    for host in 0..HOSTS {
        let client = walkthrough.system.caller(host);
        let request = walkthrough.count_request(TABLET, ORDERS, 1);
        let result = client.send(&request).await;
        result.map_err(|failure| format!("key not accepted on host {}: {failure}", host + 1))?;
        clients.push(client);
    }
    Ok(clients)
}

/// Begins a transaction under the key and inserts a bolt in it; returns the ids of both.
async fn begin_transaction(
    walkthrough: &mut Walkthrough,
    client: &Client,
) -> Result<(String, u64), String> {
    let describe = |failure: Failure| format!("transaction under the key: {failure}");
    let service = walkthrough.service_name(ORDERS).to_owned();
    let begun = client.send(&walkthrough.request(TABLET, Operation::Begin(service))).await;
    let id = begun
        .map_err(describe)?
        .transaction
        .ok_or("the response to begin contains no transaction")?;
    let bolt = walkthrough.new_bolt();
    let run = walkthrough.request(TABLET, Operation::Run(id.clone(), insert_statement(bolt)));
    client.send(&run).await.map_err(describe)?;
    Ok((id, bolt))
}

/// Sends requests with the key to one host until well after [`MAX_WITHDRAWAL_DELAY`].
async fn check_key(client: &Client, request: &Request, accepted: Instant) -> Observation {
    let mut observation = Observation { last_accepted: None, last_refusal: None };
    while accepted.elapsed() < MAX_WITHDRAWAL_DELAY + EXTRA_CHECK_TIME {
        let sent = Instant::now();
        match client.send(request).await {
            Ok(_) => observation.last_accepted = Some(sent),
            Err(Failure::Refused(problem)) => observation.last_refusal = problem.known_reason(),
            Err(_) => {}
        }
        tokio::time::sleep(CHECK_INTERVAL).await;
    }
    observation
}

/// Returns for how long a host still accepted the key after its withdrawal. Fails if that was too
/// long or the last refusal has another reason.
fn verify_refused(
    host: usize,
    observation: &Observation,
    accepted: Instant,
) -> Result<Duration, String> {
    let host = host + 1;
    let delay = observation.last_accepted.map_or(Duration::ZERO, |sent| sent - accepted);
    if delay > MAX_WITHDRAWAL_DELAY {
        return Err(format!("host {host} still accepts the key {delay:.2?} after its withdrawal"));
    }
    match observation.last_refusal {
        Some(Reason::KeyWithdrawn) => Ok(delay),
        other => Err(format!("host {host} refuses the key as {other:?}, not as withdrawn")),
    }
}

/// Verifies that the transaction which was open under the key can't be committed and left no row.
async fn verify_rolled_back(
    walkthrough: &Walkthrough,
    client: &Client,
    open: (String, u64),
) -> Result<(), String> {
    let (id, bolt) = open;
    let commit = walkthrough.request(TABLET, Operation::Commit(id));
    if client.send(&commit).await.is_ok() {
        return Err("a transaction was committed under the withdrawn key".to_owned());
    }
    for target in 0..walkthrough.system.groups[ORDERS].targets().len() {
        if walkthrough.count_rows(ORDERS, target, bolt)? > 0 {
            return Err(format!("bolt {bolt} of the open transaction is on target {target}"));
        }
    }
    Ok(())
}
