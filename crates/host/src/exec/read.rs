//! Executes single read-only statements on the best target that is fresh enough, and streams long
//! results.

use super::exchange::position;
use super::exchange::{self, Error};
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

const SET_READ_ONLY: &str = "SET default_transaction_read_only = on";
const POSITION_QUERY: &str = "SELECT * FROM group_position()";
/// Bytes of a result that are collected before they are passed on; a longer result is streamed in
/// chunks of about this size.
const CHUNK_BYTES: usize = 256 * 1024;

/// The remaining rows of a long result, with the leased connection that delivers them.
pub struct ResultStream {
    lease: Lease,
    stream: Pin<Box<RowStream>>,
    deadline: Time,
    bytes_left: usize,
}

/// Result of one attempt: the first rows, and the stream of the remaining ones if there are more.
struct Fetched {
    rows: Rows,
    rest: Option<ResultStream>,
}

/// Reads on the best target that is fresh enough. A long result is returned as its first rows and
/// the stream of the remaining ones.
pub async fn run(host: &Arc<Host>, job: Job) -> Result<(Answer, Option<ResultStream>), Refusal> {
    let now = host.clock.now();
    let account = job.caller.account();
    host.data.budgets().deposit(job.service, account, now);
    let requirement = requirement(host, &job);
    let mut read =
        Read::new(job.service, account, requirement, job.deadline, host.data.next_seed());
    let mut fetched = None;
    let mut target = (0, Role::Replica);
    let current_views = views(host, &job, now);
    let counts_towards_share =
        route::counts_towards_replica_share(&requirement, &current_views, now);
    let mut event = Event::Candidates(rank(host, &requirement, current_views, now));
    loop {
        let action = read.on(event, &mut host.data.budgets(), host.clock.now());
        event = match action {
            Action::Choose(at) => {
                tokio::time::sleep_until(host.clock.instant(at).into()).await;
                let now = host.clock.now();
                Event::Candidates(rank(host, &requirement, views(host, &job, now), now))
            }
            Action::Attempt(id, reason) => {
                if let Some(reason) = reason {
                    host.metric.count_retry(reason);
                }
                target = (id, role(host, &job, id));
                match attempt(host, &job, id, &read).await {
                    Ok((report, attempt_result)) => {
                        fetched = Some(attempt_result);
                        Event::Answered(target.1, report)
                    }
                    Err(event) => event,
                }
            }
            Action::Serve(position) => {
                let fetched = fetched.ok_or_else(missing_result)?;
                if counts_towards_share {
                    host.metric.count(&format!("read.share.{}", target.1));
                }
                return Ok(build_answer(host, job, target, position, fetched));
            }
            Action::Refuse(refusal) => return Err(refusal),
        };
    }
}

fn build_answer(
    host: &Host,
    job: Job,
    (target, role): (TargetId, Role),
    position: Option<bergamotvale_core::log::Position>,
    fetched: Fetched,
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
    (Answer { rows: fetched.rows, token, target, primary, replayed: false }, fetched.rest)
}

fn requirement(host: &Host, job: &Job) -> Requirement {
    let requirement =
        Requirement { token: job.token.position(job.service), freshness: job.freshness };
    if host.settings.policy.defects.contains(&Defect::IgnoreToken) {
        return Requirement { token: None, freshness: Freshness::MaxAge(Duration::MAX) };
    }
    requirement
}

fn rank(
    host: &Host,
    requirement: &Requirement,
    mut views: BTreeMap<TargetId, View>,
    now: Time,
) -> Vec<TargetId> {
    if host.settings.policy.reads == Reads::Primary {
        views.retain(|_, view| view.role == Role::Primary);
    }
    let own_domain = host.settings.failure_domain;
    route::candidates(
        requirement,
        &views,
        own_domain,
        &Bounds::default(),
        now,
        host.data.next_seed(),
    )
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
    let health_by_target = match host.settings.policy.ejection {
        true => host.data.update_health(job.service, &replicas, now),
        false => BTreeMap::new(),
    };
    let views = known.iter().filter_map(|(id, seen)| {
        let target = service.targets.get(id)?;
        let health = health_by_target.get(id).copied().unwrap_or_default();
        let view = View {
            role: effective_role(seen.status.role, Some(*id) == primary),
            applied: seen.status.applied,
            age: seen.status.age,
            observed: seen.at,
            in_flight: host.data.in_flight((job.service, *id)),
            failure_domain: target.failure_domain,
            ejected: health.ejected,
            suspect: health.suspect,
            draining: target.state == TargetState::Draining,
        };
        Some((*id, view))
    });
    views.collect()
}

/// Role that reads assume for a target. One that reports itself primary but was superseded in a
/// later term counts as rebuilding, so that no read goes to it.
fn effective_role(role: Role, is_primary: bool) -> Role {
    match role {
        Role::Primary if !is_primary => Role::Rebuilding,
        role => role,
    }
}

/// One attempt on `target`: queries its position and executes the statement in one round trip.
async fn attempt(
    host: &Arc<Host>,
    job: &Job,
    target: TargetId,
    read: &Read,
) -> Result<(route::Report, Fetched), Event> {
    let key = (job.service, target);
    let _in_flight = host.data.track_in_flight(key);
    let account = job.caller.account();
    let deadline = read.statement_deadline(host.clock.now());
    let lease = host.pools.acquire(host, key, account, deadline).await;
    let lease = lease.map_err(|refusal| Event::NoConnection(refusal.reason))?;
    permit::verify(host, &job.caller, job.service).map_err(Event::Denied)?;
    let now = host.clock.now();
    let deadlines = (read.first_response_deadline(now), read.statement_deadline(now));
    let result = execute(host, job, lease, deadlines).await;
    exchange::record_work(host, key, result.as_ref().err());
    result.map_err(event)
}

async fn execute(
    host: &Host,
    job: &Job,
    lease: Lease,
    deadlines: (Time, Time),
) -> Result<(route::Report, Fetched), Error> {
    let client = lease.client();
    let params = value::bind(&job.statement);
    let probe = async {
        let mode = client.batch_execute(SET_READ_ONLY);
        let position = client.query_typed_one(POSITION_QUERY, &[]);
        let (mode, position) = futures::join!(mode, position);
        mode.and(position)
    };
    let rows = client.query_typed_raw(&job.statement.sql, params);
    lease.start_exchange();
    let (position_row, rows) = exchange::run_with_probe(host, deadlines, probe, rows).await?;
    let report = parse_report(&position_row).map_err(|_| Error::ConnectionLost)?;
    let stream = match rows {
        Ok(stream) => stream,
        Err(error) => {
            let failure = Error::from(error);
            if matches!(failure, Error::Failed(..)) {
                lease.finish_exchange();
                lease.release_clean();
            }
            return Err(failure);
        }
    };
    let deadline = job.deadline;
    let bytes_left = host.settings.limits.result;
    let mut rest = ResultStream { lease, stream: Box::pin(stream), deadline, bytes_left };
    match rest.read_rows(host, CHUNK_BYTES, deadlines.1).await {
        Ok((mut rows, true)) => {
            let described = value::describe(rest.lease.client(), &job.statement, &mut rows);
            exchange::with_deadline(host, deadlines.1, described).await?;
            rest.finish();
            Ok((report, Fetched { rows, rest: None }))
        }
        Ok((rows, false)) => Ok((report, Fetched { rows, rest: Some(rest) })),
        Err(failure) => {
            // An error of the target completes its response. After any other failure a part of the
            // response may still be in flight, so the connection must be closed.
            if matches!(failure, Error::Failed(..)) {
                rest.finish();
            }
            Err(failure)
        }
    }
}

impl ResultStream {
    /// Reads rows until they amount to at least `bytes` bytes; also returns whether they were the
    /// last.
    async fn read_rows(
        &mut self,
        host: &Host,
        bytes: usize,
        deadline: Time,
    ) -> Result<(Rows, bool), Error> {
        let mut rows = Rows::default();
        let mut size = 0;
        while size < bytes {
            let row = exchange::with_deadline(host, deadline, async {
                self.stream.next().await.transpose()
            });
            let Some(row) = row.await? else {
                rows.affected = self.stream.rows_affected().unwrap_or(0);
                return Ok((rows, true));
            };
            size += row.raw_size_bytes();
            if size > self.bytes_left {
                let detail = format!("the result is over {} bytes", host.settings.limits.result);
                return Err(Error::Unusable(Refusal::new(Reason::TooLarge, detail)));
            }
            value::push(&mut rows, &row).map_err(unsupported_result)?;
        }
        self.bytes_left -= size;
        Ok((rows, false))
    }

    /// Returns the next rows and whether they were the last, after checking that the caller is
    /// still authorized.
    pub async fn next_rows(&mut self, host: &Host, job: &Job) -> Result<(Rows, bool), Error> {
        permit::verify(host, &job.caller, job.service).map_err(Error::Unusable)?;
        self.read_rows(host, CHUNK_BYTES, self.deadline).await
    }

    /// Releases the connection; to be called only after the last row or an error of the target.
    pub fn finish(self) {
        self.lease.finish_exchange();
        self.lease.release_clean();
    }
}

/// Error for a result with a column type that the interface cannot represent.
pub(super) fn unsupported_result(fault: value::Fault) -> Error {
    Error::Unusable(Refusal::new(Reason::StatementFailed, fault.to_string()))
}

fn parse_report(row: &tokio_postgres::Row) -> crate::Result<route::Report> {
    let age: i64 = row.try_get("age_ms")?;
    Ok(route::Report {
        applied: position(row, "applied_term", "applied_index")?,
        confirmed: position(row, "confirmed_term", "confirmed_index")?,
        age: Duration::from_millis(age.unsigned_abs()),
    })
}

fn event(failure: Error) -> Event {
    match failure {
        Error::Unusable(refusal) => Event::Denied(refusal),
        Error::Failed(code, detail) => Event::Failed(Failure::new(&code), detail),
        Error::ConnectionLost | Error::Conflict | Error::NoTable => Event::ConnectionLost,
        Error::TimedOut => Event::TimedOut,
    }
}

fn missing_result() -> Refusal {
    Refusal::new(Reason::ConnectionLost, "no answer to serve")
}
