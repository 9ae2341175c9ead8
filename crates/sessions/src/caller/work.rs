//! Runs statements outside transactions, and selects the target that a statement is sent to.
//!
//! A read goes to the target with the lowest expected cost whose log has reached the read's floor,
//! or to the primary. It is retried on other targets until its deadline. A write goes to the
//! primary, and is retried only if the target cannot have run it.

use crate::boot_clock;
use crate::event::Event;
use crate::forward;
use crate::forward::protocol::Load;
use crate::pool::connection::{Bounds, Failure, is_clean};
use crate::pool::target::Target;
use crate::pool::{Checkout, ConnectionRequest, acquire};
use crate::state::{Host, Primary, Unavailable};
use bergamotvale_core::id::Time;
use bergamotvale_core::proxy::answer::{Code, Effect, Outcome, Sent, response_code};
use bergamotvale_core::proxy::capacity::Fraction;
use bergamotvale_core::proxy::catalog::Consistency;
use bergamotvale_core::proxy::directory::{Directory, Entry, TargetName, of_service};
use bergamotvale_core::proxy::evidence::View;
use bergamotvale_core::proxy::floor::{Observation, Position};
use bergamotvale_core::proxy::home::Homes;
use bergamotvale_core::proxy::select::{self, Candidate};
use bergamotvale_core::proxy::session::Values;
use bergamotvale_core::proxy::statement::Shape;
use bergamotvale_platform::line::{self, Answer, End};
use bergamotvale_platform::text;
use serde::{Deserialize, Serialize};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// Subtracted from a route's staleness bound, to cover the time from the choice of the floor until
/// the first byte is sent.
const FLOOR_MARGIN: Duration = Duration::from_millis(60);
/// Expected round trip to a target in the host's failure domain, without the statement's own time.
const SAME_DOMAIN_ROUND_TRIP: Duration = Duration::from_micros(800);
/// Expected round trip to a target across failure domains.
const CROSS_DOMAIN_ROUND_TRIP: Duration = Duration::from_millis(4);
/// Time after which an attempt of a read is given up and retried on another target. At the primary
/// an attempt may take until the statement's deadline.
const READ_ATTEMPT_TIMEOUT: Duration = Duration::from_millis(450);
/// Time that a statement waits for an expired lease to be renewed. It is short because a
/// partitioned host cannot renew it, and callers can use another host.
const MAX_LEASE_WAIT: Duration = Duration::from_millis(250);
/// Interval at which a waiting statement checks whether its group has a usable primary again.
const PRIMARY_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// The session and route that a statement runs under.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Context {
    /// Database name of the route; the times of its reads are compared among targets.
    pub database: String,
    /// Service that the route leads to.
    pub service: String,
    /// Freshness that reads on the route require.
    pub consistency: Consistency,
    /// Priority in the queue for connections; 0 is served first.
    pub priority: u32,
    /// Name of the client account that is sent to targets; `-` on a public route without a known
    /// key.
    pub account: String,
    /// Regions whose targets may serve the operation.
    pub homes: Homes,
    /// Log position of the session's newest commit to this service.
    pub last_commit: Option<Position>,
}

impl Context {
    /// Returns a request for a connection to `destination` on behalf of the session's account.
    pub fn request(
        &self,
        destination: &Destination,
        deadline: Instant,
        max_wait: Duration,
    ) -> ConnectionRequest<'_> {
        ConnectionRequest {
            account: &self.account,
            priority: self.priority,
            deadline,
            max_wait,
            is_last_resort: destination.is_last_resort,
        }
    }
}

/// A statement ready to be sent.
#[derive(Debug, Clone)]
pub struct Task {
    /// Id that the caller gave it; log events name it as the request.
    pub id: String,
    /// Text to send. A prepared statement is executed under the name of its shape.
    pub text: String,
    /// Shape that has to be prepared on the connection first, for a prepared statement.
    pub shape: Option<Shape>,
    /// Time by which the target has to answer.
    pub deadline: Instant,
    /// Expected wait for a connection above which the statement is refused at once.
    pub max_wait: Duration,
}

/// Why a statement was not answered with success.
#[derive(Debug, Clone)]
pub struct Refusal {
    /// Error code for the caller.
    pub code: Code,
    /// Reason for logs and metrics.
    pub reason: &'static str,
    /// Target of the last attempt; empty if no target was tried.
    pub target: TargetName,
}

impl Refusal {
    /// Creates a refusal of a statement that was sent to no target.
    pub fn new(code: Code, reason: &'static str) -> Refusal {
        Refusal { code, reason, target: String::new() }
    }

    /// Sets the target of the last attempt.
    pub fn with_target(mut self, target: &TargetName) -> Refusal {
        self.target.clone_from(target);
        self
    }
}

/// Label of a failure in logs and metrics.
pub fn failure_label(failure: Failure) -> &'static str {
    match failure {
        Failure::Refused(_) => "target_refused",
        Failure::Lost => "connection_lost",
        Failure::Late => "no_answer_in_time",
        Failure::Superseded => "superseded",
        Failure::Full => "queue_full",
    }
}

/// Outcome that the caller's error code is derived from.
pub fn failure_outcome(failure: Failure) -> Outcome {
    match failure {
        Failure::Refused(code) => Outcome::Error(code),
        Failure::Lost | Failure::Late | Failure::Superseded => Outcome::NoResponse,
        Failure::Full => Outcome::NotAttempted,
    }
}

/// Target selected for a statement.
#[derive(Debug, Clone)]
pub struct Destination {
    /// Directory entry of the target.
    pub entry: Entry,
    /// Lowest log position that the read accepts; `None` at the primary.
    pub floor: Option<Position>,
    /// The primary and its fence, if the statement is only valid there.
    pub primary: Option<Primary>,
    /// Whether this host runs the statement because no owner of the target's connections can.
    pub is_last_resort: bool,
}

/// Lowest log position that a read under this context accepts.
///
/// `None` if the route reads at the primary, or if no observation is recent enough for its bound.
pub fn floor(host: &Host, context: &Context) -> Option<Position> {
    let bound = match context.consistency {
        Consistency::Primary => return None,
        Consistency::Bounded(bound) | Consistency::ReadYourWrites(bound) => bound,
    };
    let histories = host.histories.borrow();
    let history = histories.get(&context.service)?;
    let bounded = history.bounded_floor(host.now(), bound.saturating_sub(FLOOR_MARGIN))?;
    let session_floor = match context.consistency {
        Consistency::ReadYourWrites(_) => context.last_commit.map(|p| history.session_floor(p)),
        _ => None,
    };
    Some(session_floor.map_or(bounded, |floor| floor.max(bounded)))
}

/// Chooses a target for a read among those that are not in `tried`.
///
/// Without a floor only the primary can serve the read.
pub fn choose_destination(
    host: &Host,
    context: &Context,
    tried: &[TargetName],
) -> Result<Destination, Unavailable> {
    let Some(floor) = floor(host, context) else {
        return primary_destination(host, context);
    };
    let directory = host.directory.borrow();
    let primary = host.records.borrow().get(&context.service).map(|s| s.record.primary.clone());
    let mut candidates: Vec<Candidate> = of_service(&directory, &context.service)
        .filter(|entry| is_eligible(host, context, entry))
        .map(|entry| candidate(host, context, entry, primary.as_ref()))
        .collect();
    if candidates.is_empty() {
        return Err(no_target(host, context, &directory));
    }
    let probed = apply_limits(host, &mut candidates, floor, tried);
    let probed = candidates.iter().find(|c| probed.as_ref() == Some(&c.name));
    let chosen = probed
        .or_else(|| select::choose(&candidates, floor, tried))
        .ok_or(Unavailable::Unreachable)?;
    let entry = directory.get(&chosen.name).cloned().ok_or(Unavailable::Unreachable)?;
    Ok(Destination { entry, floor: Some(floor), primary: None, is_last_resort: false })
}

/// Whether a read may be sent to a target.
fn is_eligible(host: &Host, context: &Context, entry: &Entry) -> bool {
    let is_at_home = context.homes.check(host.region(entry)).is_ok();
    is_at_home && is_usable(host, entry) && !host.evacuation.is_evacuated(entry)
}

fn is_usable(host: &Host, entry: &Entry) -> bool {
    !entry.is_leaving && host.targets.view(&entry.name) != View::Lost
}

/// Why no target of the service is eligible for a read.
fn no_target(host: &Host, context: &Context, directory: &Directory) -> Unavailable {
    let usable = || of_service(directory, &context.service).filter(|e| is_usable(host, e));
    let checks: Vec<_> = usable().map(|e| context.homes.check(host.region(e))).collect();
    if let Some(Err(owner)) = checks.iter().find(|check| check.is_err())
        && checks.iter().all(Result::is_err)
    {
        return Unavailable::NotAtHome(*owner);
    }
    let is_evacuated = usable().any(|entry| host.evacuation.is_evacuated(entry));
    if is_evacuated { Unavailable::Evacuated } else { Unavailable::Unreachable }
}

/// Whether a statement may still be sent to a destination that was chosen earlier: its domain may
/// have been evacuated while the statement waited for a connection.
pub fn may_send(host: &Host, destination: &Destination) -> bool {
    match destination.primary {
        Some(_) => !host.evacuation.is_closed(&destination.entry),
        None => !host.evacuation.is_evacuated(&destination.entry),
    }
}

fn primary_destination(host: &Host, context: &Context) -> Result<Destination, Unavailable> {
    let primary = host.primary(&context.service)?;
    let entry =
        host.directory.borrow().get(&primary.target).cloned().ok_or(Unavailable::Unreachable)?;
    context.homes.check(host.region(&entry)).map_err(Unavailable::NotAtHome)?;
    Ok(Destination { entry, floor: None, primary: Some(primary), is_last_resort: false })
}

fn candidate(
    host: &Host,
    context: &Context,
    entry: &Entry,
    primary: Option<&TargetName>,
) -> Candidate {
    let target = host.targets.get(&entry.name);
    let pool = target.pool.borrow();
    let candidate = Candidate {
        name: entry.name.clone(),
        round_trip: if entry.domain == host.settings.domain {
            SAME_DOMAIN_ROUND_TRIP
        } else {
            CROSS_DOMAIN_ROUND_TRIP
        },
        in_flight: target.in_flight.get(),
        slots: entry.slots,
        statement_time: target.statement_time(),
        limit: Fraction::FULL,
        group_time: target.statement_time(),
        has_connection: pool.has_idle(&context.account),
        can_connect: pool.can_connect(),
        position: target.position(),
        is_primary: primary == Some(&entry.name),
    };
    let owners = forward::ownership::owners(host, entry, &context.account).unwrap_or_default();
    match owners.first() {
        Some(owner) if *owner != host.id => {
            let load = host.forward.expected_load(&entry.name, *owner, &context.account);
            with_load(candidate, load)
        }
        _ => candidate,
    }
}

/// Returns the candidate with the load that the owner of its connections has reported.
fn with_load(candidate: Candidate, load: Load) -> Candidate {
    let is_reported = load.statement_time > Duration::ZERO;
    let statement_time = if is_reported { load.statement_time } else { candidate.statement_time };
    Candidate {
        in_flight: load.in_flight,
        statement_time,
        has_connection: load.has_connection,
        can_connect: true,
        ..candidate
    }
}

/// Sets the learned limits of a read's candidates. Returns the target that the read should probe, if
/// it is the read's first attempt and a probe is due.
fn apply_limits(
    host: &Host,
    candidates: &mut [Candidate],
    floor: Position,
    tried: &[TargetName],
) -> Option<TargetName> {
    if !host.settings.learned_limits {
        return None;
    }
    let names: Vec<TargetName> = candidates.iter().map(|c| c.name.clone()).collect();
    let now = boot_clock::now();
    let mut capacity = host.targets.capacity.borrow_mut();
    let changes = capacity.adjust(&names, now);
    for candidate in candidates.iter_mut() {
        candidate.limit = capacity.limit(&candidate.name);
    }
    select::set_group_times(candidates);
    for change in changes {
        let is_full = !change.limit.is_reduced();
        host.metrics.count(if is_full { "limits_restored" } else { "limits_reduced" });
        host.journal.write(&Event::TargetLimit {
            target: &change.target,
            limit_permille: change.limit.permille(),
        });
        if let Some(candidate) = candidates.iter_mut().find(|c| c.name == change.target && is_full)
        {
            // Its mean is that of the slow times before; few new samples would reach it.
            candidate.statement_time = candidate.group_time;
            host.targets.get(&change.target).set_statement_time(candidate.group_time);
        }
    }
    if !tried.is_empty() {
        return None;
    }
    let probed = capacity.count_read(&select::avoided(candidates, floor), now)?;
    host.metrics.count("limit_probes");
    Some(probed)
}

/// Records the time of a read that a target executed, to compare it with other targets.
fn record_read_time(host: &Host, context: &Context, target: &Target, took: Duration) {
    if !host.settings.learned_limits {
        return;
    }
    let directory = host.directory.borrow();
    let group: Vec<TargetName> =
        of_service(&directory, &context.service).map(|entry| entry.name.clone()).collect();
    let mut capacity = host.targets.capacity.borrow_mut();
    capacity.record_time(&target.name, &group, &context.database, took, boot_clock::now());
}

/// Waits until this host may use the group's primary, at most until `deadline`, and for an expired
/// lease at most `MAX_LEASE_WAIT`.
pub async fn wait_primary(
    host: &Host,
    context: &Context,
    deadline: Instant,
) -> Result<Destination, Unavailable> {
    wait_for(host, deadline, || primary_destination(host, context)).await
}

async fn wait_for(
    host: &Host,
    deadline: Instant,
    find: impl Fn() -> Result<Destination, Unavailable>,
) -> Result<Destination, Unavailable> {
    let began = Instant::now();
    loop {
        let unavailable = match find() {
            Ok(destination) => return Ok(destination),
            Err(unavailable) => unavailable,
        };
        let wait_deadline = match unavailable {
            Unavailable::Promoting | Unavailable::Unreachable => deadline,
            Unavailable::NoLease => deadline.min(began + MAX_LEASE_WAIT),
            Unavailable::Evacuated | Unavailable::NotAtHome(_) => began,
        };
        if Instant::now() >= wait_deadline {
            return Err(unavailable);
        }
        host.wait_for_change(wait_deadline.min(Instant::now() + PRIMARY_POLL_INTERVAL)).await;
    }
}

/// Waits until there is a target for a read, at most until `deadline`, and for an expired lease at
/// most `MAX_LEASE_WAIT`.
pub async fn wait_destination(
    host: &Host,
    context: &Context,
    tried: &[TargetName],
    deadline: Instant,
) -> Result<Destination, Unavailable> {
    wait_for(host, deadline, || choose_destination(host, context, tried)).await
}

/// Records the log position in an answer of the primary to a request sent at `sent`. The primary's
/// fence must still be current under this host's lease.
pub fn record_observation(host: &Host, service: &str, sent: Time, answer: &Answer) {
    let Some(position) = answer.position else { return };
    let mut histories = host.histories.borrow_mut();
    let history = histories.entry(service.to_owned()).or_default();
    history.observe(host.now(), Observation { at: sent, position });
}

/// Runs a read outside a transaction, and retries it on other targets until its deadline.
pub async fn read(
    host: &Rc<Host>,
    context: &Context,
    values: &Values,
    task: &Task,
) -> Result<Answer, Refusal> {
    let mut tried = Vec::new();
    let mut last_refusal = Refusal::new(Code::Busy, "no_target");
    loop {
        let destination = match wait_destination(host, context, &tried, task.deadline).await {
            Ok(destination) => destination,
            Err(_) if !tried.is_empty() => return Err(last_refusal),
            Err(unavailable) => return Err(Refusal::new(Code::Busy, unavailable.label())),
        };
        match forward::read(host, context, values, task, &destination).await {
            Ok(answer) => return Ok(answer),
            Err(failure) => {
                let code =
                    response_code(Effect::None, false, Sent::Maybe, failure_outcome(failure));
                last_refusal =
                    Refusal::new(code, failure_label(failure)).with_target(&destination.entry.name);
                let is_queue_full = failure == Failure::Full && destination.primary.is_some();
                if !may_retry(failure) || is_queue_full || Instant::now() >= task.deadline {
                    return Err(last_refusal);
                }
                host.metrics.count("read_retries");
                host.journal.write(&Event::Retried {
                    request: &task.id,
                    target: &destination.entry.name,
                    reason: failure_label(failure),
                });
                if destination.primary.is_none() {
                    tried.push(destination.entry.name);
                } else {
                    host.wait_for_change(Instant::now() + Duration::from_millis(10)).await;
                }
            }
        }
    }
}

/// Whether a read may be retried on another target after this failure.
fn may_retry(failure: Failure) -> bool {
    match failure {
        Failure::Refused(code) => code.is_not_run(),
        Failure::Lost | Failure::Late | Failure::Superseded | Failure::Full => true,
    }
}

/// Time by which an attempt of a read has to be answered.
pub fn attempt_deadline(task: &Task, destination: &Destination) -> Instant {
    if destination.primary.is_some() {
        task.deadline
    } else {
        task.deadline.min(Instant::now() + READ_ATTEMPT_TIMEOUT)
    }
}

/// Attempts a read at one target, with this host's own connections.
pub async fn read_at(
    host: &Rc<Host>,
    context: &Context,
    values: &Values,
    task: &Task,
    destination: &Destination,
) -> Result<Answer, Failure> {
    let attempt_deadline = attempt_deadline(task, destination);
    let request = context.request(destination, attempt_deadline, task.max_wait);
    let mut checkout = acquire(host, &destination.entry, request).await?;
    if !may_send(host, destination) {
        checkout.release();
        return Err(Failure::Superseded);
    }
    let fence = destination.primary.as_ref().map(|p| (context.service.as_str(), p.fence));
    let work_guard = fence.map(|(service, fence)| host.register_work(service, fence));
    let bounds = Bounds { deadline: attempt_deadline, fence };
    let target = checkout.target.clone();
    let shape = task.shape.as_ref();
    checkout.connection().apply_session(host, &target, values, shape, bounds).await?;
    // Getting the connection took time, so the floor is computed again, and the fence and the lease
    // are checked again.
    let floor = if destination.primary.is_some() { None } else { floor(host, context) };
    if (destination.primary.is_none() && floor.is_none()) || !may_send(host, destination) {
        checkout.release();
        return Err(Failure::Superseded);
    }
    if let Some((service, fence)) = fence
        && !host.is_current(service, fence)
    {
        checkout.release();
        return Err(Failure::Superseded);
    }
    let message = line::query(&task.id, &text::with_floor(floor, &task.text));
    let sent = host.now();
    let answer = checkout.connection().exchange(host, &target, &message, bounds).await?;
    drop(work_guard);
    if let Some((service, fence)) = fence
        && host.is_current(service, fence)
    {
        record_observation(host, service, sent, &answer);
    }
    let took = host.now().saturating_sub(sent);
    let finished = finish_exchange(host, checkout, answer, sent);
    match finished {
        Ok(_) => record_read_time(host, context, &target, took),
        Err(Failure::Refused(code)) if is_fault_of_target(code) => {
            host.record_target_failure(&target);
        }
        Err(_) => {}
    }
    finished
}

/// Whether an error answer to a read shows that the target does not serve what others may serve.
fn is_fault_of_target(code: Code) -> bool {
    matches!(
        code,
        Code::Busy | Code::Aborted | Code::Misrouted | Code::Unknown | Code::Timeout | Code::Failed
    )
}

/// Releases the connection if it is clean, and turns an error answer into a failure.
fn finish_exchange(
    host: &Host,
    checkout: Checkout,
    answer: Answer,
    sent: Time,
) -> Result<Answer, Failure> {
    let target = checkout.target.clone();
    if is_clean(&answer) {
        checkout.release();
    }
    match answer.end {
        End::Done => {
            target.record_statement_time(host.now().saturating_sub(sent));
            Ok(answer)
        }
        End::Error(code) => {
            host.metrics.count(&format!("target_refused_{code}"));
            Err(Failure::Refused(code))
        }
        End::Ready => Err(Failure::Lost),
    }
}

/// Runs a write outside a transaction.
///
/// It is retried until its deadline only if no target can have run it.
pub async fn write(
    host: &Rc<Host>,
    context: &Context,
    values: &Values,
    task: &Task,
) -> Result<Answer, Refusal> {
    loop {
        let waited = wait_primary(host, context, task.deadline).await;
        let destination =
            waited.map_err(|unavailable| Refusal::new(Code::Busy, unavailable.label()))?;
        let mut sent = Sent::No;
        let attempt = forward::write(host, context, values, task, &destination, &mut sent);
        let failure = match attempt.await {
            Ok(answer) => return Ok(answer),
            Err(WriteError::Exchange(failure)) => failure,
            Err(WriteError::Unverified) => {
                let code = response_code(Effect::Lasting, false, sent, Outcome::Unverified);
                return Err(Refusal::new(code, "lease_lapsed").with_target(&destination.entry.name));
            }
        };
        let not_run = match failure {
            Failure::Refused(code) => code.is_not_run(),
            _ => sent == Sent::No,
        };
        if failure == Failure::Refused(Code::ReadOnly) {
            host.targets.get(&destination.entry.name).record_deposed();
        }
        let is_queue_full = failure == Failure::Full;
        if !not_run || is_queue_full || Instant::now() + PRIMARY_POLL_INTERVAL >= task.deadline {
            let code = response_code(Effect::Lasting, false, sent, failure_outcome(failure));
            return Err(
                Refusal::new(code, failure_label(failure)).with_target(&destination.entry.name)
            );
        }
        host.metrics.count("write_retries");
        host.wait_for_change(Instant::now() + Duration::from_millis(20)).await;
    }
}

/// Why an attempt of a write did not succeed.
#[derive(Debug, Clone, Copy)]
pub enum WriteError {
    /// The connection could not be obtained, or the exchange failed.
    Exchange(Failure),
    /// The target reported success, but may no longer have been the primary.
    Unverified,
}

impl WriteError {
    /// Returns the failure; an answer that could not be verified counts as none.
    pub fn exchange_failure(self) -> Failure {
        match self {
            WriteError::Exchange(failure) => failure,
            WriteError::Unverified => Failure::Superseded,
        }
    }
}

impl From<Failure> for WriteError {
    fn from(failure: Failure) -> WriteError {
        WriteError::Exchange(failure)
    }
}

/// Attempts a write at the primary, with this host's own connections. `progress` becomes
/// [`Sent::Maybe`] before the first byte is sent.
pub async fn write_at(
    host: &Rc<Host>,
    context: &Context,
    values: &Values,
    task: &Task,
    destination: &Destination,
    progress: &mut Sent,
) -> Result<Answer, WriteError> {
    let Some(primary) = &destination.primary else { return Err(Failure::Superseded.into()) };
    let service = context.service.as_str();
    let request = context.request(destination, task.deadline, task.max_wait);
    let mut checkout = acquire(host, &destination.entry, request).await?;
    if !may_send(host, destination) {
        checkout.release();
        return Err(Failure::Superseded.into());
    }
    let _work_guard = host.register_work(service, primary.fence);
    let bounds = Bounds { deadline: task.deadline, fence: Some((service, primary.fence)) };
    let target = checkout.target.clone();
    let shape = task.shape.as_ref();
    checkout.connection().apply_session(host, &target, values, shape, bounds).await?;
    if !host.is_current(service, primary.fence) || !may_send(host, destination) {
        checkout.release();
        return Err(Failure::Superseded.into());
    }
    let message = line::query(&task.id, &task.text);
    let sent = host.now();
    *progress = Sent::Maybe;
    let answer = checkout.connection().exchange(host, &target, &message, bounds).await?;
    if host.is_current(service, primary.fence) {
        record_observation(host, service, sent, &answer);
    } else if answer.end == End::Done && !host.may_acknowledge(service) {
        return Err(WriteError::Unverified);
    }
    Ok(finish_exchange(host, checkout, answer, sent)?)
}
