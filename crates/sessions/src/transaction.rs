//! One open transaction of a session: pinned to one connection from its first statement on.
//!
//! Nothing is sent when the caller opens it; the first statement chooses the target. Until a commit
//! was sent, closing the connection rolls everything back, so that a transaction which cannot go on
//! is answered as rolled back.

use crate::connection::{Bounds, Failure, is_clean};
use crate::pool::{Checkout, acquire};
use crate::state::{Host, WorkGuard};
use crate::work::{self, Context, Place, Refused, Task, outcome, word};
use bergamotvale_core::proxy::answer::{Code, Effect, Outcome, Sent, response_code};
use bergamotvale_core::proxy::catalog::Consistency;
use bergamotvale_core::proxy::session::Values;
use bergamotvale_platform::line::{self, Answer, End, State};
use bergamotvale_platform::text;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// Time that open transactions have to end before a planned promotion goes on without them.
const HANDOVER_LIMIT: Duration = Duration::from_millis(600);
/// Pause before a transaction is begun again after a target refused to begin it.
const BEGIN_PAUSE: Duration = Duration::from_millis(15);

/// A transaction that the caller has opened.
pub struct Transaction {
    read_only: bool,
    open: Option<Open>,
    /// Time of the last statement's end.
    pub rested_since: Instant,
    ends_at: Option<Instant>,
}

struct Open {
    checkout: Checkout,
    place: Place,
    /// Keeps promotions from going ahead while this host relies on the old primary.
    _use: Option<WorkGuard>,
}

impl Transaction {
    /// A transaction of which no target knows yet.
    pub fn new(read_only: bool) -> Transaction {
        Transaction { read_only, open: None, rested_since: Instant::now(), ends_at: None }
    }

    /// Time at which it has to end for a planned promotion, if one is under way; in the past if
    /// its primary was replaced already.
    pub fn ends_at(&mut self, host: &Host, service: &str) -> Option<Instant> {
        let primary = self.open.as_ref()?.place.primary.as_ref()?;
        if host.fence(service) == primary.fence {
            return None;
        }
        if !self.may_go_on(host, service) {
            return Some(Instant::now());
        }
        Some(*self.ends_at.get_or_insert_with(|| Instant::now() + HANDOVER_LIMIT))
    }

    /// Whether its target may still be used.
    fn may_go_on(&self, host: &Host, service: &str) -> bool {
        let Some(primary) = self.open.as_ref().and_then(|open| open.place.primary.as_ref()) else {
            return true;
        };
        let fence = host.fence(service);
        let is_handed_over = fence == primary.fence + 1 && host.has_planned_promotion(service);
        (fence == primary.fence || is_handed_over) && host.holds_lease()
    }

    /// Runs a statement of the transaction.
    pub async fn run(
        &mut self,
        host: &Rc<Host>,
        context: &Context,
        values: &Values,
        task: &Task,
    ) -> Result<Answer, Refused> {
        self.begin(host, context, values, task).await?;
        let result = self.exchange(host, context, values, task, Effect::None).await;
        self.rested_since = Instant::now();
        result
    }

    /// Commits. The connection goes back if the target has ended the transaction.
    pub async fn commit(
        &mut self,
        host: &Rc<Host>,
        context: &Context,
        values: &Values,
        task: &Task,
    ) -> Result<Answer, Refused> {
        self.begin(host, context, values, task).await?;
        let answer = self.exchange(host, context, values, task, Effect::Lasting).await?;
        if let Some(open) = self.open.take()
            && is_clean(&answer)
        {
            open.checkout.release();
        }
        Ok(answer)
    }

    /// Rolls back; without an answer of the target the connection is closed, which does the same.
    pub async fn rollback(mut self, host: &Host) {
        let Some(mut open) = self.open.take() else { return };
        let deadline = Instant::now() + HANDOVER_LIMIT;
        let target = open.checkout.target.clone();
        let message = line::query(line::HOST_STATEMENT_ID, text::ROLLBACK);
        let bounds = Bounds { deadline, fence: None };
        let answer = open.checkout.connection().exchange(host, &target, &message, bounds).await;
        if answer.is_ok_and(|answer| is_clean(&answer)) {
            open.checkout.release();
        }
    }

    async fn begin(
        &mut self,
        host: &Rc<Host>,
        context: &Context,
        values: &Values,
        task: &Task,
    ) -> Result<(), Refused> {
        let mut tried = Vec::new();
        let mut last = Refused::new(Code::Aborted, "no_target");
        while self.open.is_none() {
            let place = if self.read_only && context.consistency != Consistency::Primary {
                work::wait_place(host, context, &tried, task.deadline).await
            } else {
                work::wait_primary(host, &context.service, task.deadline).await
            };
            let place = match place {
                Ok(place) => place,
                Err(_) if !tried.is_empty() => return Err(last),
                Err(absence) => return Err(Refused::new(Code::Aborted, absence.label())),
            };
            let name = place.entry.name.clone();
            let rests_on_primary = place.primary.is_some();
            match self.begin_at(host, context, values, task, place).await {
                Ok(open) => self.open = Some(open),
                Err(failure) => {
                    last = Refused::new(Code::Aborted, word(failure)).with_target(&name);
                    let is_full = failure == Failure::Full && rests_on_primary;
                    if is_full || Instant::now() + BEGIN_PAUSE >= task.deadline {
                        return Err(last);
                    }
                    host.metrics.count("begin_retries");
                    if rests_on_primary {
                        if failure == Failure::Refused(Code::ReadOnly) {
                            host.targets.get(&name).depose();
                        }
                        host.wait_for_change(Instant::now() + BEGIN_PAUSE).await;
                    } else {
                        tried.push(name);
                    }
                }
            }
        }
        Ok(())
    }

    async fn begin_at(
        &self,
        host: &Rc<Host>,
        context: &Context,
        values: &Values,
        task: &Task,
        place: Place,
    ) -> Result<Open, Failure> {
        let service = context.service.as_str();
        let request = context.request(task.deadline, task.max_wait);
        let mut checkout = acquire(host, &place.entry, request).await?;
        let fence = place.primary.as_ref().map(|p| (service, p.fence));
        let guard = fence.map(|(service, fence)| host.register_work(service, fence));
        let bounds = Bounds { deadline: task.deadline, fence };
        let target = checkout.target.clone();
        let shape = task.shape.as_ref();
        checkout.connection().match_session(host, &target, values, shape, bounds).await?;
        if let Some((service, fence)) = fence
            && !host.is_current(service, fence)
        {
            checkout.release();
            return Err(Failure::Superseded);
        }
        let floor = if fence.is_some() { None } else { work::floor(host, context) };
        if fence.is_none() && floor.is_none() {
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
        Ok(Open { checkout, place, _use: guard })
    }

    /// Sends one statement on the pinned connection; on failure the connection is closed.
    async fn exchange(
        &mut self,
        host: &Rc<Host>,
        context: &Context,
        values: &Values,
        task: &Task,
        effect: Effect,
    ) -> Result<Answer, Refused> {
        let service = context.service.as_str();
        if !self.may_go_on(host, service) {
            self.open = None;
            return Err(Refused::new(Code::Aborted, "superseded"));
        }
        let Some(open) = &mut self.open else {
            return Err(Refused::new(Code::Aborted, "superseded"));
        };
        let target = open.checkout.target.clone();
        let fence = open.place.primary.as_ref().map(|p| (service, p.fence));
        let bounds = Bounds { deadline: task.deadline, fence };
        let connection = open.checkout.connection();
        let shape = task.shape.as_ref();
        if let Err(failure) = connection.match_session(host, &target, values, shape, bounds).await {
            self.open = None;
            return Err(Refused::new(Code::Aborted, word(failure)).with_target(&target.name));
        }
        let message = line::query(&task.id, &task.text);
        let result = connection.exchange(host, &target, &message, bounds).await;
        let may_go_on = self.may_go_on(host, service);
        let failure = match result {
            Ok(answer) if effect == Effect::Lasting && answer.end == End::Done && !may_go_on => {
                self.open = None;
                let code = response_code(effect, true, Sent::Maybe, Outcome::Unverified);
                return Err(Refused::new(code, "lease_lapsed").with_target(&target.name));
            }
            Ok(answer) => return Ok(answer),
            Err(failure) => failure,
        };
        self.open = None;
        let code = response_code(effect, true, Sent::Maybe, outcome(failure));
        Err(Refused::new(code, word(failure)).with_target(&target.name))
    }
}
