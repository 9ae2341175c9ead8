//! A host drains while requests run on it.

use super::Outcome;
use super::story::{HOSTS, LOOM, ORDERS, Story};
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

/// Place of the host that drains.
const DRAINED: usize = 3;
/// Callers that the balancer first sends to it.
const CALLERS: usize = 4;
/// Time that each of their statements takes on the target.
const STATEMENT_SECONDS: f64 = 0.3;
/// Time for which load runs before and after the drain.
const AROUND: Duration = Duration::from_millis(700);
/// Time before a caller that was refused goes on.
const REFUSED_PAUSE: Duration = Duration::from_millis(50);
/// Time that the plan may take.
const PLAN_TIMEOUT: Duration = Duration::from_secs(20);

/// What callers saw.
#[derive(Default)]
struct Seen {
    answered: usize,
    on_drained: usize,
    cut: Vec<String>,
}

pub(super) async fn host(story: &mut Story) -> Outcome {
    let names = story.system.hosts.iter().map(|host| host.settings.host.to_string());
    let balancer = Balancer::new(names.collect());
    let http = client::http().build().map_err(|error| error.to_string())?;
    let following = balancer.clone().follow(http, story.system.platform.address());
    let following = tokio::spawn(following);
    let ended = Arc::new(AtomicBool::new(false));
    let mut callers = JoinSet::new();
    for _ in 0..CALLERS {
        let clients = (0..HOSTS).map(|host| story.system.caller(host)).collect();
        callers.spawn(call(clients, balancer.clone(), slow_read(story), ended.clone()));
    }
    tokio::time::sleep(AROUND).await;
    let drained = drain(story).await;
    tokio::time::sleep(AROUND).await;
    ended.store(true, Ordering::SeqCst);
    let seen = callers.join_all().await;
    following.abort();
    drained?;
    conclude(&seen)
}

/// Confirms the plan, waits for its end, then ends the host.
async fn drain(story: &mut Story) -> Result<(), String> {
    let operator = story.system.operator(0);
    let host = story.system.hosts[DRAINED].settings.host as HostId;
    let plan = operator.propose(&Intent::DrainHost { host }).await;
    let plan = plan.map_err(|error| format!("plan: {error}"))?;
    operator.confirm(plan.id).await.map_err(|error| format!("confirmation: {error}"))?;
    let ended = operator.wait(plan.id, PLAN_TIMEOUT).await;
    let ended = ended.map_err(|error| format!("plan {}: {error}", plan.id))?;
    story.system.hosts[DRAINED].stop().await;
    match ended.state {
        State::Done => Ok(()),
        state => Err(format!("plan {} ended as {state}", plan.id)),
    }
}

/// A read that takes a while on its target.
fn slow_read(story: &Story) -> Request {
    let sql = format!("SELECT pg_sleep({STATEMENT_SECONDS})");
    let statement = Statement { sql, params: Vec::new() };
    let service = story.service_name(ORDERS).to_owned();
    story.request(LOOM, Operation::Read(service, statement))
}

/// Sends reads one after the other, to the drained host as long as the balancer does.
async fn call(
    clients: Vec<Client>,
    balancer: Balancer,
    request: Request,
    ended: Arc<AtomicBool>,
) -> Seen {
    let mut seen = Seen::default();
    while !ended.load(Ordering::SeqCst) {
        let host = balancer.pick(DRAINED);
        match clients[host].send(&request).await {
            Ok(_) => {
                seen.answered += 1;
                seen.on_drained += usize::from(host == DRAINED);
            }
            // Nothing listens there any more; the balancer tries the next host.
            Err(Failure::Unsent(_)) => {}
            Err(failure) => {
                seen.cut.push(format!("host {}: {failure}", host + 1));
                tokio::time::sleep(REFUSED_PAUSE).await;
            }
        }
    }
    seen
}

fn conclude(seen: &[Seen]) -> Outcome {
    let answered: usize = seen.iter().map(|seen| seen.answered).sum();
    let on_drained: usize = seen.iter().map(|seen| seen.on_drained).sum();
    let cut: Vec<_> = seen.iter().flat_map(|seen| &seen.cut).collect();
    if let Some(first) = cut.first() {
        return Err(format!("{} requests were cut, the first on {first}", cut.len()));
    }
    if on_drained == 0 || on_drained == answered {
        return Err(format!(
            "{on_drained} of {answered} requests ran on host 4: nothing was shown"
        ));
    }
    Ok(format!("host 4 drained: {answered} requests answered, {on_drained} on it, none cut"))
}
