//! Single read-only statements.

use super::exchange::position;
use super::exchange::{self, Loss};
use super::{Answer, Job, permit, value};
use crate::settings::{Defect, Reads};
use crate::shared::Host;
use crate::target::Lease;
use bergamotvale_core::config::TargetState;
use bergamotvale_core::id::{TargetId, Time};
use bergamotvale_core::read::{Action, Event, Read};
use bergamotvale_core::refusal::{Reason, Refusal};
use bergamotvale_core::route::{self, Bounds, Requirement, Role, View};
use bergamotvale_core::sqlstate::Failure;
use bergamotvale_core::statement::{Freshness, Rows};
use futures::StreamExt;
use std::collections::BTreeMap;
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;
use tokio_postgres::RowStream;

const READ_ONLY: &str = "SET default_transaction_read_only = on";
const POSITION: &str = "SELECT * FROM group_position()";
/// Bytes of a result that are gathered before the rest is streamed.
const STREAM_AFTER: usize = 256 * 1024;

/// The rest of a long result, with the connection that it comes over.
pub struct ResultStream {
    lease: Lease,
    stream: Pin<Box<RowStream>>,
    deadline: Time,
    left: usize,
}

/// What one try brought.
struct Served {
    rows: Rows,
    rest: Option<ResultStream>,
}

/// Reads on the best target that is fresh enough; a long result comes with its rest.
pub async fn run(host: &Arc<Host>, job: Job) -> Result<(Answer, Option<ResultStream>), Refusal> {
    let now = host.clock.now();
    let account = job.caller.account();
    host.data.budgets().deposit(job.service, account, now);
    let demand = demand(host, &job);
    let mut read = Read::new(job.service, account, demand, job.deadline, host.data.seed());
    let mut served = None;
    let mut target = (0, Role::Replica);
    let seen = views(host, &job, now);
    let shared = route::counts_towards_replica_share(&demand, &seen, now);
    let mut event = Event::Candidates(rank(host, &demand, seen, now));
    loop {
        let action = read.on(event, &mut host.data.budgets(), host.clock.now());
        event = match action {
            Action::Choose(at) => {
                tokio::time::sleep_until(host.clock.instant(at).into()).await;
                let now = host.clock.now();
                Event::Candidates(rank(host, &demand, views(host, &job, now), now))
            }
            Action::Attempt(id, reason) => {
                if let Some(reason) = reason {
                    host.metric.count_retry(reason);
                }
                target = (id, role(host, &job, id));
                match attempt(host, &job, id, &read).await {
                    Ok((answer, found)) => {
                        served = Some(found);
                        Event::Answered(target.1, answer)
                    }
                    Err(event) => event,
                }
            }
            Action::Serve(position) => {
                let served = served.ok_or_else(internal)?;
                if shared {
                    host.metric.count(&format!("read.share.{}", target.1));
                }
                return Ok(serve(host, job, target, position, served));
            }
            Action::Refuse(refusal) => return Err(refusal),
        };
    }
}

fn serve(
    host: &Host,
    job: Job,
    (target, role): (TargetId, Role),
    position: Option<bergamotvale_core::log::Position>,
    served: Served,
) -> (Answer, Option<ResultStream>) {
    let mut token = job.token;
    if let Some(position) = position {
        token.observe(job.service, position);
    }
    host.metric.count(&format!("read.{role}"));
    if job.freshness != Freshness::Session {
        host.metric.count(&format!("read.aged.{role}"));
    }
    let primary = role == Role::Primary;
    (Answer { rows: served.rows, token, target, primary, replayed: false }, served.rest)
}

fn demand(host: &Host, job: &Job) -> Requirement {
    let demand = Requirement { token: job.token.position(job.service), freshness: job.freshness };
    if host.settings.policy.defects.contains(&Defect::IgnoreToken) {
        return Requirement { token: None, freshness: Freshness::MaxAge(Duration::MAX) };
    }
    demand
}

fn rank(
    host: &Host,
    demand: &Requirement,
    mut views: BTreeMap<TargetId, View>,
    now: Time,
) -> Vec<TargetId> {
    if host.settings.policy.reads == Reads::Primary {
        views.retain(|_, view| view.role == Role::Primary);
    }
    let home = host.settings.failure_domain;
    route::candidates(demand, &views, home, &Bounds::default(), now, host.data.seed())
}

fn role(host: &Host, job: &Job, target: TargetId) -> Role {
    if host.pools.primary(job.service) == Some(target) { Role::Primary } else { Role::Replica }
}

fn views(host: &Host, job: &Job, now: Time) -> BTreeMap<TargetId, View> {
    let document = host.document();
    let Some(service) = document.services.get(&job.service) else { return BTreeMap::new() };
    let primary = host.pools.primary(job.service);
    let known = host.pools.views(job.service);
    let replicas: Vec<_> = known.keys().copied().filter(|id| Some(*id) != primary).collect();
    let standings = match host.settings.policy.ejection {
        true => host.data.update_health(job.service, &replicas, now),
        false => BTreeMap::new(),
    };
    let views = known.iter().filter_map(|(id, seen)| {
        let target = service.targets.get(id)?;
        let standing = standings.get(id).copied().unwrap_or_default();
        let view = View {
            role: present_role(seen.status.role, Some(*id) == primary),
            applied: seen.status.applied,
            age: seen.status.age,
            observed: seen.at,
            in_flight: host.data.in_flight((job.service, *id)),
            failure_domain: target.failure_domain,
            ejected: standing.ejected,
            suspect: standing.suspect,
            draining: target.state == TargetState::Draining,
        };
        Some((*id, view))
    });
    views.collect()
}

/// A target that still takes itself for the primary, in a term that was passed, serves nothing.
fn present_role(role: Role, is_primary: bool) -> Role {
    match role {
        Role::Primary if !is_primary => Role::Rebuilding,
        role => role,
    }
}

/// One try: position and statement in one round trip.
async fn attempt(
    host: &Arc<Host>,
    job: &Job,
    target: TargetId,
    read: &Read,
) -> Result<(route::Report, Served), Event> {
    let key = (job.service, target);
    let _flight = host.data.fly(key);
    let account = job.caller.account();
    let wait_until = read.statement_deadline(host.clock.now());
    let lease = host.pools.acquire(host, key, account, wait_until).await;
    let lease = lease.map_err(|refusal| Event::NoConnection(refusal.reason))?;
    permit::verify(host, &job.caller, job.service).map_err(Event::Denied)?;
    let now = host.clock.now();
    let limits = (read.first_response_deadline(now), read.statement_deadline(now));
    let result = exchange(host, job, lease, limits).await;
    exchange::worked(host, key, result.as_ref().err());
    result.map_err(event)
}

async fn exchange(
    host: &Host,
    job: &Job,
    lease: Lease,
    limits: (Time, Time),
) -> Result<(route::Report, Served), Loss> {
    let client = lease.client();
    let params = value::bind(&job.statement);
    let sign = async {
        let mode = client.batch_execute(READ_ONLY);
        let position = client.query_typed_one(POSITION, &[]);
        let (mode, position) = futures::join!(mode, position);
        mode.and(position)
    };
    let rows = client.query_typed_raw(&job.statement.sql, params);
    lease.start();
    let (before, rows) = exchange::signed(host, limits, sign, rows).await?;
    let answer = answer(&before).map_err(|_| Loss::ConnectionLost)?;
    let stream = match rows {
        Ok(stream) => stream,
        Err(error) => {
            let loss = Loss::from(error);
            if matches!(loss, Loss::Failed(..)) {
                lease.settle();
                lease.release_clean();
            }
            return Err(loss);
        }
    };
    let deadline = job.deadline;
    let left = host.settings.limits.result;
    let mut rest = ResultStream { lease, stream: Box::pin(stream), deadline, left };
    match rest.next(host, STREAM_AFTER, limits.1).await {
        Ok((mut rows, true)) => {
            let described = value::describe(rest.lease.client(), &job.statement, &mut rows);
            exchange::until(host, limits.1, described).await?;
            rest.finish();
            Ok((answer, Served { rows, rest: None }))
        }
        Ok((rows, false)) => Ok((answer, Served { rows, rest: Some(rest) })),
        Err(loss) => {
            // An error of the target ends its answer; any other leaves some of it on its way.
            if matches!(loss, Loss::Failed(..)) {
                rest.finish();
            }
            Err(loss)
        }
    }
}

impl ResultStream {
    /// The next rows, about `bytes` of them, and whether they were the last.
    async fn next(&mut self, host: &Host, bytes: usize, until: Time) -> Result<(Rows, bool), Loss> {
        let mut rows = Rows::default();
        let mut size = 0;
        while size < bytes {
            let row = exchange::until(host, until, async { self.stream.next().await.transpose() });
            let Some(row) = row.await? else {
                rows.affected = self.stream.rows_affected().unwrap_or(0);
                return Ok((rows, true));
            };
            size += row.raw_size_bytes();
            if size > self.left {
                let detail = format!("the result is over {} bytes", host.settings.limits.result);
                return Err(Loss::Unusable(Refusal::new(Reason::TooLarge, detail)));
            }
            value::push(&mut rows, &row).map_err(unusable)?;
        }
        self.left -= size;
        Ok((rows, false))
    }

    /// The next part of the result, and whether it was the last; checks authority first.
    pub async fn next_rows(&mut self, host: &Host, job: &Job) -> Result<(Rows, bool), Loss> {
        permit::verify(host, &job.caller, job.service).map_err(Loss::Unusable)?;
        self.next(host, STREAM_AFTER, self.deadline).await
    }

    /// Gives the connection back after the end of the answer.
    pub fn finish(self) {
        self.lease.settle();
        self.lease.release_clean();
    }
}

/// A result of a type that the interface cannot carry.
pub(super) fn unusable(fault: value::Fault) -> Loss {
    Loss::Unusable(Refusal::new(Reason::StatementFailed, fault.to_string()))
}

fn answer(row: &tokio_postgres::Row) -> crate::Result<route::Report> {
    let age: i64 = row.try_get("age_ms")?;
    Ok(route::Report {
        applied: position(row, "applied_term", "applied_index")?,
        confirmed: position(row, "confirmed_term", "confirmed_index")?,
        age: Duration::from_millis(age.unsigned_abs()),
    })
}

fn event(loss: Loss) -> Event {
    match loss {
        Loss::Unusable(refusal) => Event::Denied(refusal),
        Loss::Failed(code, detail) => Event::Failed(Failure::new(&code), detail),
        Loss::ConnectionLost | Loss::Conflict | Loss::NoTable => Event::ConnectionLost,
        Loss::TimedOut => Event::TimedOut,
    }
}

fn internal() -> Refusal {
    Refusal::new(Reason::ConnectionLost, "no answer to serve")
}
