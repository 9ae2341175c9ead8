//! Runs single statements at targets.

use crate::connection::{Bounds, Failure, is_clean};
use crate::event::Event;
use crate::pool::{Checkout, ConnectionRequest, acquire};
use crate::state::{Host, Primary, Unavailable};
use bergamotvale_core::id::Time;
use bergamotvale_core::proxy::answer::{Code, Effect, Outcome, Sent, response_code};
use bergamotvale_core::proxy::catalog::Consistency;
use bergamotvale_core::proxy::directory::{Entry, TargetName, of_service};
use bergamotvale_core::proxy::evidence::View;
use bergamotvale_core::proxy::floor::{Observation, Position};
use bergamotvale_core::proxy::select::{self, Candidate};
use bergamotvale_core::proxy::session::Values;
use bergamotvale_core::proxy::statement::Shape;
use bergamotvale_platform::line::{self, Answer, End};
use bergamotvale_platform::text;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// Taken off a route's staleness bound: the time between choosing the floor and the first byte.
const FLOOR_MARGIN: Duration = Duration::from_millis(60);
/// Time of an exchange without work within the failure domain.
const NEAR: Duration = Duration::from_micros(800);
/// The same between failure domains.
const FAR: Duration = Duration::from_millis(4);
/// Silence after which a read is tried on another target.
const READ_TRY: Duration = Duration::from_millis(450);
/// Time for which a lease that lapsed is waited for; a host that has lost touch is no use.
const LEASE_PATIENCE: Duration = Duration::from_millis(250);
/// Time between looks at whether a group has its primary back.
const PRIMARY_LOOK: Duration = Duration::from_millis(100);

/// What a statement needs to know of its session and route.
#[derive(Debug, Clone)]
pub struct Context {
    /// Service that it runs at.
    pub service: String,
    /// Freshness of its reads.
    pub consistency: Consistency,
    /// 0 goes first.
    pub priority: u32,
    /// Name of the client account, as targets are told.
    pub account: String,
    /// The session's last commit.
    pub last_commit: Option<Position>,
}

impl Context {
    /// The request for a connection.
    pub fn request(&self, deadline: Instant, max_wait: Duration) -> ConnectionRequest<'_> {
        ConnectionRequest { account: &self.account, priority: self.priority, deadline, max_wait }
    }
}

/// A statement ready to be sent.
#[derive(Debug, Clone)]
pub struct Task {
    /// Its id.
    pub id: String,
    /// Its text; prepared statements go by the name of their shape.
    pub text: String,
    /// Shape that has to be prepared.
    pub shape: Option<Shape>,
    /// Time by which it has to be answered.
    pub deadline: Instant,
    /// Time that it may be expected to wait for a connection.
    pub max_wait: Duration,
}

/// A statement that was not answered with success.
#[derive(Debug, Clone)]
pub struct Refused {
    /// What the caller is told.
    pub code: Code,
    /// Why, for the log.
    pub reason: &'static str,
    /// The target that was tried last.
    pub target: TargetName,
}

impl Refused {
    /// Of a statement that reached no target.
    pub fn new(code: Code, reason: &'static str) -> Refused {
        Refused { code, reason, target: String::new() }
    }

    /// The same refusal after a try at `target`.
    pub fn with_target(mut self, target: &TargetName) -> Refused {
        self.target.clone_from(target);
        self
    }
}

/// Word for a failure in logs.
pub fn word(failure: Failure) -> &'static str {
    match failure {
        Failure::Refused(_) => "target_refused",
        Failure::Lost => "connection_lost",
        Failure::Late => "no_answer_in_time",
        Failure::Superseded => "superseded",
        Failure::Full => "queue_full",
    }
}

/// Outcome of a failure for the choice of the answer.
pub fn outcome(failure: Failure) -> Outcome {
    match failure {
        Failure::Refused(code) => Outcome::Error(code),
        Failure::Lost | Failure::Late | Failure::Superseded => Outcome::NoResponse,
        Failure::Full => Outcome::NotAttempted,
    }
}

/// Where a read goes.
#[derive(Debug, Clone)]
pub struct Place {
    /// The target.
    pub entry: Entry,
    /// Position that its log must have.
    pub floor: Option<Position>,
    /// The primary that the read rests on, if it does.
    pub primary: Option<Primary>,
}

/// Lowest position that a read under this context may see; none if none is known.
pub fn floor(host: &Host, context: &Context) -> Option<Position> {
    let bound = match context.consistency {
        Consistency::Primary => return None,
        Consistency::Bounded(bound) | Consistency::ReadYourWrites(bound) => bound,
    };
    let histories = host.histories.borrow();
    let history = histories.get(&context.service)?;
    let bounded = history.bounded_floor(host.now(), bound.saturating_sub(FLOOR_MARGIN))?;
    let own = match context.consistency {
        Consistency::ReadYourWrites(_) => context.last_commit.map(|p| history.session_floor(p)),
        _ => None,
    };
    Some(own.map_or(bounded, |own| own.max(bounded)))
}

/// Chooses the target for a read, but for those in `tried`.
pub fn place(host: &Host, context: &Context, tried: &[TargetName]) -> Result<Place, Unavailable> {
    let Some(floor) = floor(host, context) else {
        return primary_place(host, &context.service);
    };
    let directory = host.directory.borrow();
    let leader = host.records.borrow().get(&context.service).map(|s| s.record.primary.clone());
    let candidates: Vec<Candidate> = of_service(&directory, &context.service)
        .filter(|entry| !entry.is_leaving)
        .filter(|entry| host.targets.view(&entry.name) != View::Lost)
        .map(|entry| candidate(host, context, entry, leader.as_ref()))
        .collect();
    let chosen = select::choose(&candidates, floor, tried).ok_or(Unavailable::Unreachable)?;
    let entry = directory.get(&chosen.name).cloned().ok_or(Unavailable::Unreachable)?;
    Ok(Place { entry, floor: Some(floor), primary: None })
}

fn primary_place(host: &Host, service: &str) -> Result<Place, Unavailable> {
    let primary = host.primary(service)?;
    let entry =
        host.directory.borrow().get(&primary.target).cloned().ok_or(Unavailable::Unreachable)?;
    Ok(Place { entry, floor: None, primary: Some(primary) })
}

fn candidate(
    host: &Host,
    context: &Context,
    entry: &Entry,
    leader: Option<&TargetName>,
) -> Candidate {
    let target = host.targets.get(&entry.name);
    let pool = target.pool.borrow();
    Candidate {
        name: entry.name.clone(),
        round_trip: if entry.domain == host.settings.domain { NEAR } else { FAR },
        in_flight: target.in_flight.get(),
        slots: entry.slots,
        statement_time: target.work(),
        has_connection: pool.has_idle(&context.account),
        can_connect: pool.has_room(),
        position: target.position(),
        is_primary: leader == Some(&entry.name),
    }
}

/// Waits until this host may use the group's primary, at most until `until`.
///
/// A lease that has lapsed is waited for only shortly: callers ask other hosts.
pub async fn wait_primary(
    host: &Host,
    service: &str,
    deadline: Instant,
) -> Result<Place, Unavailable> {
    wait_for(host, deadline, || primary_place(host, service)).await
}

async fn wait_for(
    host: &Host,
    deadline: Instant,
    place: impl Fn() -> Result<Place, Unavailable>,
) -> Result<Place, Unavailable> {
    let began = Instant::now();
    loop {
        let absence = match place() {
            Ok(place) => return Ok(place),
            Err(absence) => absence,
        };
        let limit = match absence {
            Unavailable::Promoting | Unavailable::Unreachable => deadline,
            Unavailable::NoLease => deadline.min(began + LEASE_PATIENCE),
        };
        if Instant::now() >= limit {
            return Err(absence);
        }
        host.wait_for_change(limit.min(Instant::now() + PRIMARY_LOOK)).await;
    }
}

/// Waits until a read has a target, at most until `until`.
pub async fn wait_place(
    host: &Host,
    context: &Context,
    tried: &[TargetName],
    deadline: Instant,
) -> Result<Place, Unavailable> {
    wait_for(host, deadline, || place(host, context, tried)).await
}

/// Notes what an answer of the leased primary, to a question sent at `sent`, says of its log.
pub fn record_observation(host: &Host, service: &str, sent: Time, answer: &Answer) {
    let Some(position) = answer.position else { return };
    let mut histories = host.histories.borrow_mut();
    let history = histories.entry(service.to_owned()).or_default();
    history.observe(host.now(), Observation { at: sent, position });
}

/// Runs a read that belongs to no transaction.
pub async fn read(
    host: &Rc<Host>,
    context: &Context,
    values: &Values,
    task: &Task,
) -> Result<Answer, Refused> {
    let mut tried = Vec::new();
    let mut last = Refused::new(Code::Busy, "no_target");
    loop {
        let place = match wait_place(host, context, &tried, task.deadline).await {
            Ok(place) => place,
            Err(_) if !tried.is_empty() => return Err(last),
            Err(absence) => return Err(Refused::new(Code::Busy, absence.label())),
        };
        match read_at(host, context, values, task, &place).await {
            Ok(answer) => return Ok(answer),
            Err(failure) => {
                let code = response_code(Effect::None, false, Sent::Maybe, outcome(failure));
                last = Refused::new(code, word(failure)).with_target(&place.entry.name);
                let is_full = failure == Failure::Full && place.primary.is_some();
                if !may_retry(failure) || is_full || Instant::now() >= task.deadline {
                    return Err(last);
                }
                host.metrics.count("read_retries");
                host.journal.write(&Event::Retried {
                    request: &task.id,
                    target: &place.entry.name,
                    reason: word(failure),
                });
                if place.primary.is_none() {
                    tried.push(place.entry.name);
                } else {
                    host.wait_for_change(Instant::now() + Duration::from_millis(10)).await;
                }
            }
        }
    }
}

/// Whether a read that failed so may run elsewhere.
fn may_retry(failure: Failure) -> bool {
    match failure {
        Failure::Refused(code) => code.is_not_run(),
        Failure::Lost | Failure::Late | Failure::Superseded | Failure::Full => true,
    }
}

async fn read_at(
    host: &Rc<Host>,
    context: &Context,
    values: &Values,
    task: &Task,
    place: &Place,
) -> Result<Answer, Failure> {
    let try_until = if place.primary.is_some() {
        task.deadline
    } else {
        task.deadline.min(Instant::now() + READ_TRY)
    };
    let request = context.request(try_until, task.max_wait);
    let mut checkout = acquire(host, &place.entry, request).await?;
    let fence = place.primary.as_ref().map(|p| (context.service.as_str(), p.fence));
    let guard = fence.map(|(service, fence)| host.register_work(service, fence));
    let bounds = Bounds { deadline: try_until, fence };
    let target = checkout.target.clone();
    let shape = task.shape.as_ref();
    checkout.connection().match_session(host, &target, values, shape, bounds).await?;
    // Waiting for the connection took time: the floor is that of now, the lease too.
    let floor = if place.primary.is_some() { None } else { floor(host, context) };
    if place.primary.is_none() && floor.is_none() {
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
    drop(guard);
    if let Some((service, fence)) = fence
        && host.is_current(service, fence)
    {
        record_observation(host, service, sent, &answer);
    }
    finish(host, checkout, answer, sent)
}

/// Gives the connection back if it is clean, and tells success from refusal.
fn finish(host: &Host, checkout: Checkout, answer: Answer, sent: Time) -> Result<Answer, Failure> {
    let target = checkout.target.clone();
    if is_clean(&answer) {
        checkout.release();
    }
    match answer.end {
        End::Done => {
            target.note_work(host.now().saturating_sub(sent));
            Ok(answer)
        }
        End::Error(code) => {
            host.metrics.count(&format!("target_refused_{code}"));
            Err(Failure::Refused(code))
        }
        End::Ready => Err(Failure::Lost),
    }
}

/// Runs a write that belongs to no transaction.
pub async fn write(
    host: &Rc<Host>,
    context: &Context,
    values: &Values,
    task: &Task,
) -> Result<Answer, Refused> {
    loop {
        let waited = wait_primary(host, &context.service, task.deadline).await;
        let place = waited.map_err(|absence| Refused::new(Code::Busy, absence.label()))?;
        let mut sent = Sent::No;
        let failure = match write_at(host, context, values, task, &place, &mut sent).await {
            Ok(answer) => return Ok(answer),
            Err(Failed::Exchange(failure)) => failure,
            Err(Failed::Unproven) => {
                let code = response_code(Effect::Lasting, false, sent, Outcome::Unverified);
                return Err(Refused::new(code, "lease_lapsed").with_target(&place.entry.name));
            }
        };
        let not_run = match failure {
            Failure::Refused(code) => code.is_not_run(),
            _ => sent == Sent::No,
        };
        if failure == Failure::Refused(Code::ReadOnly) {
            host.targets.get(&place.entry.name).depose();
        }
        let is_full = failure == Failure::Full;
        if !not_run || is_full || Instant::now() + PRIMARY_LOOK >= task.deadline {
            let code = response_code(Effect::Lasting, false, sent, outcome(failure));
            return Err(Refused::new(code, word(failure)).with_target(&place.entry.name));
        }
        host.metrics.count("write_retries");
        host.wait_for_change(Instant::now() + Duration::from_millis(20)).await;
    }
}

/// Why a write was not answered with success.
#[derive(Debug, Clone, Copy)]
pub enum Failed {
    /// The exchange failed.
    Exchange(Failure),
    /// It succeeded at a target that may no longer have been the primary.
    Unproven,
}

impl From<Failure> for Failed {
    fn from(failure: Failure) -> Failed {
        Failed::Exchange(failure)
    }
}

async fn write_at(
    host: &Rc<Host>,
    context: &Context,
    values: &Values,
    task: &Task,
    place: &Place,
    progress: &mut Sent,
) -> Result<Answer, Failed> {
    let Some(primary) = &place.primary else { return Err(Failure::Superseded.into()) };
    let service = context.service.as_str();
    let request = context.request(task.deadline, task.max_wait);
    let mut checkout = acquire(host, &place.entry, request).await?;
    let _guard = host.register_work(service, primary.fence);
    let bounds = Bounds { deadline: task.deadline, fence: Some((service, primary.fence)) };
    let target = checkout.target.clone();
    let shape = task.shape.as_ref();
    checkout.connection().match_session(host, &target, values, shape, bounds).await?;
    if !host.is_current(service, primary.fence) {
        checkout.release();
        return Err(Failure::Superseded.into());
    }
    let message = line::query(&task.id, &task.text);
    let sent = host.now();
    *progress = Sent::Maybe;
    let answer = checkout.connection().exchange(host, &target, &message, bounds).await?;
    if host.is_current(service, primary.fence) {
        record_observation(host, service, sent, &answer);
    } else if answer.end == End::Done && !may_acknowledge(host, service) {
        return Err(Failed::Unproven);
    }
    Ok(finish(host, checkout, answer, sent)?)
}

/// Whether a commit at a primary that is being replaced may be acknowledged: the promotion waits
/// for this host as long as it holds the lease and the commit is registered as under way.
pub fn may_acknowledge(host: &Host, service: &str) -> bool {
    let under_way = host.records.borrow().get(service).is_some_and(|s| !s.record.established);
    under_way && host.holds_lease()
}
