//! Forwarding of attempts to the hosts that own a target's connections.
//!
//! Where it is in force, see [`bergamotvale_core::proxy::ownership`], the host that has a caller's
//! session sends each attempt to the owner of the account's connections. An attempt that cannot
//! have been sent goes to the next owner, and at last runs on this host. [`client`] and [`server`]
//! are the two ends of a hop, [`protocol`] their messages.

pub mod client;
pub mod ownership;
pub mod protocol;
pub mod server;

use crate::boot_clock;
use crate::caller::work::{self, Context, Destination, Task, WriteError};
use crate::event::Event;
use crate::pool::connection::Failure;
use crate::pool::update_limit;
use crate::state::Host;
use bergamotvale_core::id::{HostId, Time};
use bergamotvale_core::proxy::answer::Sent;
use bergamotvale_core::proxy::directory::{Entry, TargetName};
use bergamotvale_core::proxy::ownership::Owners;
use bergamotvale_core::proxy::revision::Revision;
use bergamotvale_core::proxy::session::Values;
use bergamotvale_platform::line::{Answer, End};
use bytes::Bytes;
use client::{Bounds, Link};
use protocol::{Attempt, Load, Outcome, RemoteTask, Reply, Request};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// Time for which a host that failed a hop gets no other attempts. Its heartbeats show only later
/// that it is silent. Doubles with each failure until a hop succeeds.
const AVOID_TIME: Duration = Duration::from_secs(1);
/// Upper bound of that time; a host that returns is used again within it.
const MAX_AVOID_TIME: Duration = Duration::from_secs(8);
/// Age from which a reported queue says nothing of the present.
const MAX_LOAD_AGE: Duration = Duration::from_millis(250);
/// Wait after an owner that does not count the target as the primary, which it or this host learns
/// from the next change.
const DISAGREEMENT_DELAY: Duration = Duration::from_millis(50);

/// A host that has failed its last hop.
#[derive(Debug, Clone, Copy)]
struct Avoided {
    until: Instant,
    /// Time for which it is avoided.
    time: Duration,
}

/// State of hops to and from other hosts.
#[derive(Debug, Default)]
pub struct Forward {
    /// Attempts and transactions of other hosts at this one.
    pub active: Cell<usize>,
    /// Owners of targets by failure domain, and the revision that they were derived from.
    pub(super) owners: RefCell<BTreeMap<String, (Revision, Rc<Owners>)>>,
    idle: RefCell<BTreeMap<HostId, Vec<Link>>>,
    avoided: RefCell<BTreeMap<HostId, Avoided>>,
    /// Newest load of a target at one of its owners.
    loads: RefCell<BTreeMap<(TargetName, HostId), (Time, Load)>>,
    /// Whether an account had an idle connection to a target after its last attempt there.
    connected: RefCell<BTreeMap<TargetName, BTreeMap<String, bool>>>,
    /// Attempts to a target that have been sent to its owners and have no reply.
    pending: RefCell<BTreeMap<TargetName, u32>>,
}

impl Forward {
    fn take_idle(&self, owner: HostId) -> Option<Link> {
        self.idle.borrow_mut().get_mut(&owner)?.pop()
    }

    fn keep_idle(&self, link: Link, max: usize) {
        let mut idle = self.idle.borrow_mut();
        let links = idle.entry(link.owner).or_default();
        if links.len() < max {
            links.push(link);
        }
    }

    /// Whether a host has failed a hop a short time ago.
    pub fn avoids(&self, owner: HostId) -> bool {
        self.avoided.borrow().get(&owner).is_some_and(|avoided| Instant::now() < avoided.until)
    }

    /// Stops sending attempts to a host for a short time, and closes the connections to it.
    fn avoid(&self, owner: HostId) {
        let now = Instant::now();
        let mut avoided = self.avoided.borrow_mut();
        let time = match avoided.get(&owner) {
            // Other attempts that were under way show the same failure.
            Some(known) if now < known.until => known.time,
            Some(known) => MAX_AVOID_TIME.min(known.time * 2),
            None => AVOID_TIME,
        };
        avoided.insert(owner, Avoided { until: now + time, time });
        self.idle.borrow_mut().remove(&owner);
    }

    fn add_pending(&self, target: &TargetName) {
        *self.pending.borrow_mut().entry(target.clone()).or_default() += 1;
    }

    fn remove_pending(&self, target: &TargetName) {
        if let Some(count) = self.pending.borrow_mut().get_mut(target) {
            *count = count.saturating_sub(1);
        }
    }

    /// Returns the load that the selection of a target counts with, for an account with the owner
    /// `owner`. Without a recent report it has the attempts of this host only.
    pub fn expected_load(&self, target: &TargetName, owner: HostId, account: &str) -> Load {
        let pending = self.pending.borrow().get(target).copied().unwrap_or_default();
        let known = self.loads.borrow().get(&(target.clone(), owner)).copied();
        let (at, mut load) = known.unwrap_or_default();
        let is_recent = boot_clock::now().saturating_sub(at) <= MAX_LOAD_AGE;
        let reported = if is_recent { load.in_flight + load.waiting } else { 0 };
        load.in_flight = reported.max(pending);
        load.waiting = 0;
        let connected = self.connected.borrow();
        let accounts = connected.get(target);
        load.has_connection =
            accounts.and_then(|accounts| accounts.get(account)).copied().unwrap_or_default();
        load
    }

    fn record_load(&self, target: &TargetName, owner: HostId, account: &str, load: Load) {
        self.loads.borrow_mut().insert((target.clone(), owner), (boot_clock::now(), load));
        let mut connected = self.connected.borrow_mut();
        let accounts = connected.entry(target.clone()).or_default();
        accounts.insert(account.to_owned(), load.has_connection);
    }
}

/// Counts an attempt as pending until it is dropped.
struct Pending<'a>(&'a Host, &'a TargetName);

impl<'a> Pending<'a> {
    fn new(host: &'a Host, target: &'a TargetName) -> Pending<'a> {
        host.forward.add_pending(target);
        Pending(host, target)
    }
}

impl Drop for Pending<'_> {
    fn drop(&mut self) {
        self.0.forward.remove_pending(self.1);
    }
}

/// Where an attempt runs.
pub enum Place {
    /// On this host, with its own connections.
    Local,
    /// On this host, because no owner can be reached.
    LastResort,
    /// At an owner, over this connection.
    Owner(Box<Link>),
}

/// Returns the place of an attempt at `entry`. Connects to the owners in turn, leaving out those in
/// `refused`.
pub async fn place(host: &Host, entry: &Entry, account: &str, refused: &[HostId]) -> Place {
    let Some(owners) = ownership::owners(host, entry, account) else { return Place::Local };
    // Connections from before forwarding was in force count against the owners.
    update_limit(host, &host.targets.get(&entry.name), entry);
    for owner in owners {
        if refused.contains(&owner) {
            continue;
        }
        if owner == host.id {
            return Place::Local;
        }
        match Link::obtain(host, owner).await {
            Some(link) => return Place::Owner(Box::new(link)),
            None => {
                host.metrics.count("hop_failed_unreachable");
                host.forward.avoid(owner);
            }
        }
    }
    host.metrics.count("hop_last_resort");
    Place::LastResort
}

/// Why a hop brought no answer of the target.
#[derive(Debug, Clone, Copy)]
pub enum HopError {
    /// The owner did not run the attempt; another one may.
    NotRun,
    /// The attempt failed at the owner, or there was no reply. `sent` tells whether bytes of the
    /// statement may have reached the target.
    Failed {
        /// Why.
        failure: WriteError,
        /// Whether bytes of the statement may have reached the target.
        sent: Sent,
    },
}

/// What a hop concerns, for its log line and its bounds.
pub struct Hop<'a> {
    /// Id of the request.
    pub id: &'a str,
    /// Destination as this host has chosen it.
    pub destination: &'a Destination,
    /// Session and route.
    pub context: &'a Context,
    /// Time by which the reply has to arrive.
    pub deadline: Instant,
    /// Whether to give up once the owner is silent, because the statement may be tried elsewhere.
    pub ends_with_owner: bool,
}

impl Hop<'_> {
    /// Sends a request to the owner at the other end of the link. The link must not be used after
    /// an error, except after [`HopError::NotRun`].
    pub async fn call(
        &self,
        host: &Host,
        link: &mut Link,
        request: &Request,
    ) -> Result<Answer, HopError> {
        let target = &self.destination.entry.name;
        let fence =
            self.destination.primary.as_ref().map(|p| (self.context.service.as_str(), p.fence));
        let bounds =
            Bounds { deadline: self.deadline, fence, ends_with_owner: self.ends_with_owner };
        host.metrics.count("hops");
        let began = Instant::now();
        let pending = Pending::new(host, target);
        let result = link.call(host, request, bounds).await;
        drop(pending);
        host.metrics.time("hop", began.elapsed());
        match result {
            Ok((reply, body)) => {
                host.forward.avoided.borrow_mut().remove(&link.owner);
                self.receive(host, link, &reply, body)
            }
            Err(failure) => {
                if failure != Failure::Superseded {
                    host.forward.avoid(link.owner);
                }
                let reason = match failure {
                    Failure::Late => "hop_late",
                    Failure::Superseded => "superseded",
                    _ => "hop_lost",
                };
                self.record_failure(host, link.owner, reason);
                Err(HopError::Failed { failure: failure.into(), sent: Sent::Maybe })
            }
        }
    }

    fn receive(
        &self,
        host: &Host,
        link: &Link,
        reply: &Reply,
        body: Bytes,
    ) -> Result<Answer, HopError> {
        let name = &self.destination.entry.name;
        let target = host.targets.get(name);
        host.forward.record_load(name, link.owner, &self.context.account, reply.load);
        if reply.load.is_lost {
            // Makes this host probe the target, so that its view of a primary is its own.
            target.record_connection_failure();
        }
        match reply.outcome {
            Outcome::Answered { end, state, position } => {
                if let Some(position) = position {
                    target.record_position(position);
                }
                Ok(Answer { body, end, state, position })
            }
            Outcome::Done { position } => {
                let state = bergamotvale_platform::line::State::Open;
                Ok(Answer { body, end: End::Done, state, position })
            }
            Outcome::Failed { failure, sent } => {
                Err(HopError::Failed { failure: failure.into(), sent })
            }
            Outcome::Unverified => {
                Err(HopError::Failed { failure: WriteError::Unverified, sent: Sent::Maybe })
            }
            Outcome::NotRun(reason) => {
                self.record_failure(host, link.owner, reason.label());
                if reason == protocol::Reason::Stopping {
                    host.forward.avoid(link.owner);
                }
                Err(HopError::NotRun)
            }
        }
    }

    fn record_failure(&self, host: &Host, owner: HostId, reason: &'static str) {
        host.metrics.count(&format!("hop_failed_{reason}"));
        let address = host.lease.borrow().members().get(&owner).map(|member| member.address.ip());
        host.journal.write(&Event::HopFailed {
            request: self.id,
            target: &self.destination.entry.name,
            from: &host.settings.listen.peers.ip().to_string(),
            to: &address.map(|address| address.to_string()).unwrap_or_default(),
            reason,
        });
    }
}

/// Returns the attempt that is sent to an owner.
pub fn attempt(
    context: &Context,
    values: &Values,
    task: &Task,
    destination: &Destination,
    deadline: Instant,
) -> Attempt {
    Attempt {
        target: destination.entry.name.clone(),
        fence: destination.primary.as_ref().map(|primary| primary.fence),
        context: context.clone(),
        values: values.clone(),
        task: RemoteTask::new(task, deadline),
    }
}

/// Waits for a change after an owner that knows another primary than this host.
pub async fn wait_after_disagreement(host: &Host, failure: Failure, deadline: Instant) {
    if failure == Failure::Superseded {
        host.wait_for_change(deadline.min(Instant::now() + DISAGREEMENT_DELAY)).await;
    }
}

/// Attempts a read at one target, at the owner of the account's connections if there is one.
pub async fn read(
    host: &Rc<Host>,
    context: &Context,
    values: &Values,
    task: &Task,
    destination: &Destination,
) -> Result<Answer, Failure> {
    let mut refused = Vec::new();
    loop {
        let mut link = match place(host, &destination.entry, &context.account, &refused).await {
            Place::Local => return work::read_at(host, context, values, task, destination).await,
            Place::LastResort => {
                let destination = Destination { is_last_resort: true, ..destination.clone() };
                return work::read_at(host, context, values, task, &destination).await;
            }
            Place::Owner(link) => link,
        };
        let deadline = work::attempt_deadline(task, destination);
        let fence = destination.primary.as_ref().map(|p| (context.service.as_str(), p.fence));
        let _work_guard = fence.map(|(service, fence)| host.register_work(service, fence));
        let request = Request::Read(attempt(context, values, task, destination, deadline));
        let hop = Hop { id: &task.id, destination, context, deadline, ends_with_owner: true };
        let sent = host.now();
        match hop.call(host, &mut link, &request).await {
            Ok(answer) => {
                link.release(host);
                if let Some((service, fence)) = fence {
                    if !host.is_current(service, fence) {
                        return Err(Failure::Superseded);
                    }
                    work::record_observation(host, service, sent, &answer);
                }
                return Ok(answer);
            }
            Err(HopError::NotRun) => {
                refused.push(link.owner);
                link.release(host);
            }
            Err(HopError::Failed { failure, .. }) => {
                let failure = failure.exchange_failure();
                wait_after_disagreement(host, failure, deadline).await;
                return Err(failure);
            }
        }
    }
}

/// Attempts a write at the primary, at the owner of the account's connections if there is one.
/// `progress` becomes [`Sent::Maybe`] before the first byte is sent, and [`Sent::No`] again if the
/// owner replies that nothing has reached the target.
pub async fn write(
    host: &Rc<Host>,
    context: &Context,
    values: &Values,
    task: &Task,
    destination: &Destination,
    progress: &mut Sent,
) -> Result<Answer, WriteError> {
    let mut refused = Vec::new();
    loop {
        let mut link = match place(host, &destination.entry, &context.account, &refused).await {
            Place::Local => {
                return work::write_at(host, context, values, task, destination, progress).await;
            }
            Place::LastResort => {
                let destination = Destination { is_last_resort: true, ..destination.clone() };
                return work::write_at(host, context, values, task, &destination, progress).await;
            }
            Place::Owner(link) => link,
        };
        let Some(primary) = &destination.primary else { return Err(Failure::Superseded.into()) };
        let service = context.service.as_str();
        let _work_guard = host.register_work(service, primary.fence);
        if !host.is_current(service, primary.fence) {
            link.release(host);
            return Err(Failure::Superseded.into());
        }
        let deadline = task.deadline;
        let request = Request::Write(attempt(context, values, task, destination, deadline));
        let hop = Hop { id: &task.id, destination, context, deadline, ends_with_owner: false };
        let sent = host.now();
        *progress = Sent::Maybe;
        match hop.call(host, &mut link, &request).await {
            Ok(answer) => {
                link.release(host);
                if host.is_current(service, primary.fence) {
                    work::record_observation(host, service, sent, &answer);
                } else if answer.end == End::Done && !host.may_acknowledge(service) {
                    return Err(WriteError::Unverified);
                }
                return Ok(answer);
            }
            Err(HopError::NotRun) => {
                *progress = Sent::No;
                refused.push(link.owner);
                link.release(host);
            }
            Err(HopError::Failed { failure, sent }) => {
                *progress = sent;
                if sent == Sent::No {
                    let failure = failure.exchange_failure();
                    wait_after_disagreement(host, failure, deadline).await;
                }
                return Err(failure);
            }
        }
    }
}
