//! An open transaction of a session, pinned to one connection from its first statement on.
//!
//! Nothing is sent when the caller opens the transaction; the first statement selects the target.
//! Until a commit is sent, closing the connection rolls everything back, so a transaction that
//! cannot continue is reported as rolled back.

use crate::caller::work::{
    self, Context, Destination, Refusal, Task, WriteError, failure_label, failure_outcome,
};
use crate::evacuation::EVACUATED;
use crate::forward::client::Link;
use crate::forward::protocol::{RemoteTask, Request};
use crate::forward::{self, Hop, HopError, Place};
use crate::pool::connection::{Bounds, Failure, is_clean};
use crate::pool::{Checkout, acquire};
use crate::state::{Host, WorkGuard};
use bergamotvale_core::proxy::answer::{Code, Effect, Outcome, Sent, response_code};
use bergamotvale_core::proxy::catalog::Consistency;
use bergamotvale_core::proxy::floor::Position;
use bergamotvale_core::proxy::session::Values;
use bergamotvale_platform::line::{self, Answer, End, State};
use bergamotvale_platform::text;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// Time that an open transaction at the previous primary has to end during a planned promotion
/// before the host rolls it back. Also bounds the wait for the answer to a rollback.
const HANDOVER_TIMEOUT: Duration = Duration::from_millis(600);
/// Retry delay after a failed attempt to begin a transaction at the primary.
const BEGIN_RETRY_DELAY: Duration = Duration::from_millis(15);

/// A transaction that the caller has opened and not ended.
pub struct Transaction {
    read_only: bool,
    /// `None` before the first statement, and after the connection was closed.
    pinned: Option<Pinned>,
    /// When the last statement ended, or the transaction was opened; starts the idle timeout.
    pub idle_since: Instant,
    handover_deadline: Option<Instant>,
}

/// The connection that a transaction is pinned to.
struct Pinned {
    place: Pin,
    destination: Destination,
    /// Registers the transaction as work at the primary, so that a promotion waits for its end.
    _work_guard: Option<WorkGuard>,
}

/// Where the connection is.
enum Pin {
    /// One of this host's connections to the target.
    Local(Checkout),
    /// At the owner of the account's connections, which keeps one for as long as this link is open.
    Remote(Box<Link>),
}

impl Transaction {
    /// Creates a transaction that has not been begun at a target.
    pub fn new(read_only: bool) -> Transaction {
        Transaction { read_only, pinned: None, idle_since: Instant::now(), handover_deadline: None }
    }

    /// Time by which the transaction has to end because its primary is being replaced or its
    /// target's failure domain is evacuated; `None` if neither is the case.
    pub fn end_deadline(&mut self, host: &Host, service: &str) -> Option<Instant> {
        let pinned = self.pinned.as_ref()?;
        let evacuation = host.evacuation.deadline(&pinned.destination.entry);
        let handover = self.handover_deadline(host, service);
        [evacuation, handover].into_iter().flatten().min()
    }

    /// Whether the domain of the pinned target is evacuated, and nothing may be sent to it any more.
    fn is_evacuated(&self, host: &Host) -> bool {
        let pinned = self.pinned.as_ref();
        pinned.is_some_and(|pinned| host.evacuation.is_closed(&pinned.destination.entry))
    }

    /// Time by which the transaction has to end because its primary is being replaced.
    ///
    /// `None` while the primary's fence is current. Now if the transaction can no longer continue;
    /// otherwise `HANDOVER_TIMEOUT` after the planned promotion was first seen here.
    fn handover_deadline(&mut self, host: &Host, service: &str) -> Option<Instant> {
        let primary = self.pinned.as_ref()?.destination.primary.as_ref()?;
        if host.fence(service) == primary.fence {
            return None;
        }
        if !self.may_continue(host, service) {
            return Some(Instant::now());
        }
        Some(*self.handover_deadline.get_or_insert_with(|| Instant::now() + HANDOVER_TIMEOUT))
    }

    /// Whether the pinned target may still be used: the primary's fence is current or a planned
    /// promotion is one fence ahead, and this host holds the lease.
    fn may_continue(&self, host: &Host, service: &str) -> bool {
        let Some(primary) =
            self.pinned.as_ref().and_then(|pinned| pinned.destination.primary.as_ref())
        else {
            return true;
        };
        let fence = host.fence(service);
        let is_handed_over = fence == primary.fence + 1 && host.has_planned_promotion(service);
        (fence == primary.fence || is_handed_over) && host.holds_lease()
    }

    /// Runs a statement in the transaction, and begins it at a target first if needed.
    pub async fn run(
        &mut self,
        host: &Rc<Host>,
        context: &Context,
        values: &Values,
        task: &Task,
    ) -> Result<Answer, Refusal> {
        self.begin(host, context, values, task).await?;
        let result = self.exchange(host, context, values, task, Effect::None).await;
        self.idle_since = Instant::now();
        result
    }

    /// Commits, and returns the connection to the pool if the target has ended the transaction.
    pub async fn commit(
        &mut self,
        host: &Rc<Host>,
        context: &Context,
        values: &Values,
        task: &Task,
    ) -> Result<Answer, Refusal> {
        self.begin(host, context, values, task).await?;
        let answer = self.exchange(host, context, values, task, Effect::Lasting).await?;
        self.finish(host, &answer);
        Ok(answer)
    }

    /// Returns the connection to the pool if the target has ended the transaction with `answer`.
    pub fn finish(&mut self, host: &Host, answer: &Answer) {
        match self.pinned.take().map(|pinned| pinned.place) {
            Some(Pin::Local(checkout)) if is_clean(answer) => checkout.release(),
            Some(Pin::Remote(link)) if is_clean(answer) => link.release(host),
            _ => {}
        }
    }

    /// Rolls back. If the target does not answer, the connection is closed, which rolls back too.
    pub async fn rollback(mut self, host: &Host, context: &Context) {
        if self.is_evacuated(host) {
            return;
        }
        let Some(Pinned { place, destination, _work_guard }) = self.pinned.take() else { return };
        let deadline = Instant::now() + HANDOVER_TIMEOUT;
        match place {
            Pin::Local(mut checkout) => {
                let target = checkout.target.clone();
                let message = line::query(line::HOST_STATEMENT_ID, text::ROLLBACK);
                let bounds = Bounds { deadline, fence: None };
                let answer = checkout.connection().exchange(host, &target, &message, bounds).await;
                if answer.is_ok_and(|answer| is_clean(&answer)) {
                    checkout.release();
                }
            }
            Pin::Remote(mut link) => {
                let destination = Destination { primary: None, ..destination };
                let hop = Hop {
                    id: line::HOST_STATEMENT_ID,
                    destination: &destination,
                    context,
                    deadline,
                    ends_with_owner: true,
                };
                if hop.call(host, &mut link, &Request::Rollback).await.is_ok() {
                    link.release(host);
                }
            }
        }
    }

    /// Begins the transaction at a target unless it is pinned already, and retries until the task's
    /// deadline.
    async fn begin(
        &mut self,
        host: &Rc<Host>,
        context: &Context,
        values: &Values,
        task: &Task,
    ) -> Result<(), Refusal> {
        let mut tried = Vec::new();
        let mut last_refusal = Refusal::new(Code::Aborted, "no_target");
        while self.pinned.is_none() {
            let destination = if self.read_only && context.consistency != Consistency::Primary {
                work::wait_destination(host, context, &tried, task.deadline).await
            } else {
                work::wait_primary(host, context, task.deadline).await
            };
            let destination = match destination {
                Ok(destination) => destination,
                Err(_) if !tried.is_empty() => return Err(last_refusal),
                Err(unavailable) => return Err(Refusal::new(Code::Aborted, unavailable.label())),
            };
            let name = destination.entry.name.clone();
            let uses_primary = destination.primary.is_some();
            match self.begin_at(host, context, values, task, destination).await {
                Ok(pinned) => self.pinned = Some(pinned),
                Err(failure) => {
                    last_refusal =
                        Refusal::new(Code::Aborted, failure_label(failure)).with_target(&name);
                    let is_queue_full = failure == Failure::Full && uses_primary;
                    if is_queue_full || Instant::now() + BEGIN_RETRY_DELAY >= task.deadline {
                        return Err(last_refusal);
                    }
                    host.metrics.count("begin_retries");
                    if uses_primary {
                        if failure == Failure::Refused(Code::ReadOnly) {
                            host.targets.get(&name).record_deposed();
                        }
                        host.wait_for_change(Instant::now() + BEGIN_RETRY_DELAY).await;
                    } else {
                        tried.push(name);
                    }
                }
            }
        }
        Ok(())
    }

    /// Attempts to begin the transaction at one target, at the owner of the account's connections
    /// if there is one.
    async fn begin_at(
        &self,
        host: &Rc<Host>,
        context: &Context,
        values: &Values,
        task: &Task,
        destination: Destination,
    ) -> Result<Pinned, Failure> {
        let mut refused = Vec::new();
        loop {
            let place = forward::place(host, &destination.entry, &context.account, &refused).await;
            let mut link = match place {
                Place::Owner(link) => link,
                Place::Local => {
                    let begun = self.pin(host, context, values, task, destination).await;
                    return begun.map(|(pinned, _)| pinned);
                }
                Place::LastResort => {
                    let destination = Destination { is_last_resort: true, ..destination };
                    let begun = self.pin(host, context, values, task, destination).await;
                    return begun.map(|(pinned, _)| pinned);
                }
            };
            let service = context.service.as_str();
            let fence = destination.primary.as_ref().map(|p| (service, p.fence));
            let work_guard = fence.map(|(service, fence)| host.register_work(service, fence));
            let deadline = task.deadline;
            let attempt = forward::attempt(context, values, task, &destination, deadline);
            let request = Request::Begin { attempt, read_only: self.read_only };
            let hop = Hop {
                id: &task.id,
                destination: &destination,
                context,
                deadline,
                ends_with_owner: true,
            };
            let sent = host.now();
            match hop.call(host, &mut link, &request).await {
                Ok(answer) => {
                    if let Some((service, fence)) = fence
                        && host.is_current(service, fence)
                    {
                        work::record_observation(host, service, sent, &answer);
                    }
                    let place = Pin::Remote(link);
                    return Ok(Pinned { place, destination, _work_guard: work_guard });
                }
                Err(HopError::NotRun) => {
                    refused.push(link.owner);
                    link.release(host);
                }
                Err(HopError::Failed { failure, .. }) => {
                    let failure = failure.exchange_failure();
                    forward::wait_after_disagreement(host, failure, deadline).await;
                    return Err(failure);
                }
            }
        }
    }

    /// Attempts to begin the transaction at one target, with this host's own connections. Returns
    /// the position of the target's log.
    pub async fn begin_local(
        &mut self,
        host: &Rc<Host>,
        context: &Context,
        values: &Values,
        task: &Task,
        destination: Destination,
    ) -> Result<Option<Position>, Failure> {
        let (pinned, position) = self.pin(host, context, values, task, destination).await?;
        self.pinned = Some(pinned);
        Ok(position)
    }

    /// Begins the transaction on one of this host's connections.
    async fn pin(
        &self,
        host: &Rc<Host>,
        context: &Context,
        values: &Values,
        task: &Task,
        destination: Destination,
    ) -> Result<(Pinned, Option<Position>), Failure> {
        let service = context.service.as_str();
        let request = context.request(&destination, task.deadline, task.max_wait);
        let mut checkout = acquire(host, &destination.entry, request).await?;
        if !work::may_send(host, &destination) {
            checkout.release();
            return Err(Failure::Superseded);
        }
        let fence = destination.primary.as_ref().map(|p| (service, p.fence));
        let work_guard = fence.map(|(service, fence)| host.register_work(service, fence));
        let bounds = Bounds { deadline: task.deadline, fence };
        let target = checkout.target.clone();
        let shape = task.shape.as_ref();
        checkout.connection().apply_session(host, &target, values, shape, bounds).await?;
        if let Some((service, fence)) = fence
            && !host.is_current(service, fence)
        {
            checkout.release();
            return Err(Failure::Superseded);
        }
        let floor = if fence.is_some() { None } else { work::floor(host, context) };
        if (fence.is_none() && floor.is_none()) || !work::may_send(host, &destination) {
            checkout.release();
            return Err(Failure::Superseded);
        }
        let begin = text::with_floor(floor, text::begin(self.read_only));
        let message = line::query(line::HOST_STATEMENT_ID, &begin);
        let sent = host.now();
        let answer = checkout.connection().exchange(host, &target, &message, bounds).await?;
        if answer.end != End::Done || answer.state != State::Open {
            if is_clean(&answer) {
                checkout.release();
            }
            return Err(match answer.end {
                End::Error(code) => Failure::Refused(code),
                _ => Failure::Lost,
            });
        }
        if let Some((service, fence)) = fence
            && host.is_current(service, fence)
        {
            work::record_observation(host, service, sent, &answer);
        }
        let place = Pin::Local(checkout);
        Ok((Pinned { place, destination, _work_guard: work_guard }, answer.position))
    }

    /// Runs a statement on the pinned connection; the transaction ends on failure.
    async fn exchange(
        &mut self,
        host: &Rc<Host>,
        context: &Context,
        values: &Values,
        task: &Task,
        effect: Effect,
    ) -> Result<Answer, Refusal> {
        let name = self.pinned.as_ref().map(|pinned| pinned.destination.entry.name.clone());
        if self.is_evacuated(host) {
            self.pinned = None;
            return Err(Refusal::new(Code::Aborted, EVACUATED));
        }
        let name = match name {
            Some(name) if self.may_continue(host, &context.service) => name,
            _ => {
                self.pinned = None;
                return Err(Refusal::new(Code::Aborted, "superseded"));
            }
        };
        let mut sent = Sent::No;
        let refusal = match self.step(host, context, values, task, effect, &mut sent).await {
            Ok(answer) => return Ok(answer),
            Err(WriteError::Unverified) => {
                let code = response_code(effect, true, Sent::Maybe, Outcome::Unverified);
                Refusal::new(code, "lease_lapsed")
            }
            Err(WriteError::Exchange(failure)) if sent == Sent::No => {
                Refusal::new(Code::Aborted, failure_label(failure))
            }
            Err(WriteError::Exchange(failure)) => {
                let code = response_code(effect, true, Sent::Maybe, failure_outcome(failure));
                Refusal::new(code, failure_label(failure))
            }
        };
        Err(refusal.with_target(&name))
    }

    /// Sends a statement on the pinned connection, which is closed on failure. `sent` becomes
    /// [`Sent::Maybe`] once bytes of the statement may have reached the target.
    pub async fn step(
        &mut self,
        host: &Rc<Host>,
        context: &Context,
        values: &Values,
        task: &Task,
        effect: Effect,
        sent: &mut Sent,
    ) -> Result<Answer, WriteError> {
        let may_continue = self.may_continue(host, &context.service);
        let pinned = self.pinned.take().filter(|_| may_continue);
        let mut pinned = pinned.ok_or(Failure::Superseded)?;
        let answer = pinned.run(host, context, values, task, effect, sent).await?;
        self.pinned = Some(pinned);
        let is_committed = effect == Effect::Lasting && answer.end == End::Done;
        if is_committed && !self.may_continue(host, &context.service) {
            self.pinned = None;
            return Err(WriteError::Unverified);
        }
        Ok(answer)
    }
}

impl Pinned {
    /// Runs a statement on the connection, or has its owner run it.
    async fn run(
        &mut self,
        host: &Rc<Host>,
        context: &Context,
        values: &Values,
        task: &Task,
        effect: Effect,
        sent: &mut Sent,
    ) -> Result<Answer, WriteError> {
        let service = context.service.as_str();
        match &mut self.place {
            Pin::Local(checkout) => {
                let target = checkout.target.clone();
                let fence = self.destination.primary.as_ref().map(|p| (service, p.fence));
                let bounds = Bounds { deadline: task.deadline, fence };
                let connection = checkout.connection();
                let shape = task.shape.as_ref();
                connection.apply_session(host, &target, values, shape, bounds).await?;
                // Applying the session took time.
                if host.evacuation.is_closed(&self.destination.entry) {
                    return Err(Failure::Superseded.into());
                }
                let message = line::query(&task.id, &task.text);
                *sent = Sent::Maybe;
                Ok(connection.exchange(host, &target, &message, bounds).await?)
            }
            Pin::Remote(link) => {
                let deadline = task.deadline;
                let request = Request::Statement {
                    values: values.clone(),
                    task: RemoteTask::new(task, deadline),
                    effect,
                };
                let hop = Hop {
                    id: &task.id,
                    destination: &self.destination,
                    context,
                    deadline,
                    ends_with_owner: effect == Effect::None,
                };
                *sent = Sent::Maybe;
                hop.call(host, link, &request).await.map_err(|error| match error {
                    HopError::NotRun => {
                        *sent = Sent::No;
                        Failure::Superseded.into()
                    }
                    HopError::Failed { failure, sent: got } => {
                        *sent = got;
                        failure
                    }
                })
            }
        }
    }
}
