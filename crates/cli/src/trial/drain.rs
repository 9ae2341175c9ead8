//! Step that drains a host while requests run on it.

use super::Outcome;
use super::walkthrough::{HOSTS, LOOM, ORDERS, Walkthrough};
use crate::bench::balancer::Balancer;
use crate::client;
use crate::client::caller::{Client, Failure, Operation, Request};
use bergamotvale_core::id::HostId;
use bergamotvale_core::plan::{Intent, State};
use bergamotvale_core::statement::Statement;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;
use tokio::task::JoinSet;

/// Index of the host that is drained.
const DRAINED_HOST: usize = 3;
/// Number of callers whose requests prefer the drained host.
const CALLERS: usize = 4;
/// Run time of each statement on its target.
const STATEMENT_SECONDS: f64 = 0.3;
/// Duration of the load before the drain, and again after it.
const LOAD_MARGIN: Duration = Duration::from_millis(700);
const RETRY_DELAY: Duration = Duration::from_millis(50);
const PLAN_TIMEOUT: Duration = Duration::from_secs(20);

/// Results of one caller.
#[derive(Default)]
struct Tally {
    succeeded: usize,
    /// Successes on the drained host.
    on_drained: usize,
    /// Errors after the request was sent; a failed connection does not count.
    failures: Vec<String>,
}

/// Checks that no request fails while the host drains and stops.
pub(super) async fn drain_host(walkthrough: &mut Walkthrough) -> Outcome {
    let names = walkthrough.system.hosts.iter().map(|host| host.settings.host.to_string());
    let balancer = Balancer::new(names.collect());
    let http = client::http().build().map_err(|error| error.to_string())?;
    let follower = balancer.clone().follow(http, walkthrough.system.platform.address());
    let follower = tokio::spawn(follower);
    let stop = Arc::new(AtomicBool::new(false));
    let mut callers = JoinSet::new();
    for _ in 0..CALLERS {
        let clients = (0..HOSTS).map(|host| walkthrough.system.caller(host)).collect();
        callers.spawn(send_reads(clients, balancer.clone(), slow_read(walkthrough), stop.clone()));
    }
    tokio::time::sleep(LOAD_MARGIN).await;
    let drained = drain_and_stop(walkthrough).await;
    tokio::time::sleep(LOAD_MARGIN).await;
    stop.store(true, Ordering::SeqCst);
    let tallies = callers.join_all().await;
    follower.abort();
    drained?;
    evaluate(&tallies)
}

/// Proposes and confirms the plan, waits until it is done, then stops the host.
async fn drain_and_stop(walkthrough: &mut Walkthrough) -> Result<(), String> {
    let operator = walkthrough.system.operator(0);
    let host = walkthrough.system.hosts[DRAINED_HOST].settings.host as HostId;
    let plan = operator.propose(&Intent::DrainHost { host }).await;
    let plan = plan.map_err(|error| format!("plan: {error}"))?;
    operator.confirm(plan.id).await.map_err(|error| format!("confirmation: {error}"))?;
    let ended = operator.wait(plan.id, PLAN_TIMEOUT).await;
    let ended = ended.map_err(|error| format!("plan {}: {error}", plan.id))?;
    walkthrough.system.hosts[DRAINED_HOST].stop().await;
    match ended.state {
        State::Done => Ok(()),
        state => Err(format!("plan {} ended as {state}", plan.id)),
    }
}

/// Returns a read that takes [`STATEMENT_SECONDS`] on its target.
fn slow_read(walkthrough: &Walkthrough) -> Request {
    let sql = format!("SELECT pg_sleep({STATEMENT_SECONDS})");
    let statement = Statement { sql, params: Vec::new() };
    let service = walkthrough.service_name(ORDERS).to_owned();
    walkthrough.request(LOOM, Operation::Read(service, statement))
}

/// Sends reads one after the other, to the drained host as long as the balancer allows.
async fn send_reads(
    clients: Vec<Client>,
    balancer: Balancer,
    request: Request,
    stop: Arc<AtomicBool>,
) -> Tally {
    let mut tally = Tally::default();
    while !stop.load(Ordering::SeqCst) {
        let host = balancer.pick(DRAINED_HOST);
        match clients[host].send(&request).await {
            Ok(_) => {
                tally.succeeded += 1;
                tally.on_drained += usize::from(host == DRAINED_HOST);
            }
            // The host no longer listens; the balancer picks another host for the next read.
            Err(Failure::Unsent(_)) => {}
            Err(failure) => {
                tally.failures.push(format!("host {}: {failure}", host + 1));
                tokio::time::sleep(RETRY_DELAY).await;
            }
        }
    }
    tally
}

/// Fails if a request failed, or if the drained host served none or all of the requests.
fn evaluate(tallies: &[Tally]) -> Outcome {
    let succeeded: usize = tallies.iter().map(|tally| tally.succeeded).sum();
    let on_drained: usize = tallies.iter().map(|tally| tally.on_drained).sum();
    let failures: Vec<_> = tallies.iter().flat_map(|tally| &tally.failures).collect();
    if let Some(first) = failures.first() {
        return Err(format!("{} requests failed, the first on {first}", failures.len()));
    }
    if on_drained == 0 || on_drained == succeeded {
        return Err(format!(
            "{on_drained} of {succeeded} requests ran on host 4, so the step proves nothing"
        ));
    }
    Ok(format!("host 4 drained: {succeeded} requests answered, {on_drained} on it, none cut"))
}
