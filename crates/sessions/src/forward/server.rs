//! Serves the attempts and transactions that other hosts forward to this one as the owner of a
//! target's connections. It runs them under its own lease, fence and floor, and never forwards.

use super::client::TCP_USER_TIMEOUT;
use super::protocol::{self, Attempt, Load, Outcome, Reason, Reply, Request};
use crate::caller::transaction::Transaction;
use crate::caller::work::{self, Context, Destination, WriteError, failure_label};
use crate::event::Event;
use crate::pool::connection::Failure;
use crate::pool::update_limit;
use crate::run::ACCEPT_RETRY_DELAY;
use crate::state::Host;
use bergamotvale_core::proxy::answer::{Code, Effect, Sent};
use bergamotvale_core::proxy::directory::TargetName;
use bergamotvale_core::proxy::evidence::View;
use bergamotvale_platform::line::Answer;
use bytes::Bytes;
use futures::{SinkExt, StreamExt};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;
use tokio::time::Instant;
use tokio_util::codec::{Framed, LengthDelimitedCodec};

/// Time after which a connection without a request is closed.
pub const IDLE_TIMEOUT: Duration = Duration::from_secs(40);
/// Time that sending a reply may take before the connection is closed.
const SEND_TIMEOUT: Duration = Duration::from_secs(5);

/// Accepts connections of other hosts until the process ends.
pub async fn serve(host: Rc<Host>) {
    let listener = match TcpListener::bind(host.settings.listen.peers).await {
        Ok(listener) => listener,
        Err(error) => {
            // Other hosts then use the next owner.
            return log::error!("cannot listen for operations of other hosts: {error}");
        }
    };
    loop {
        match listener.accept().await {
            Ok((stream, peer)) if is_member(&host, peer) => {
                drop(spawn_local(serve_link(host.clone(), stream, peer)));
            }
            Ok((_, peer)) => {
                host.metrics.count("hop_refused_not_member");
                log::debug!("refusing a connection from {peer}, which is no member");
            }
            Err(error) => {
                log::warn!("cannot accept a connection of another host; retrying: {error}");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

fn is_member(host: &Host, peer: SocketAddr) -> bool {
    let lease = host.lease.borrow();
    lease.members().values().any(|member| member.address.ip() == peer.ip())
}

/// Counts forwarded work while it runs, which a stopping host waits for.
struct Active(Rc<Host>);

impl Active {
    fn new(host: &Rc<Host>) -> Active {
        host.forward.active.set(host.forward.active.get() + 1);
        Active(host.clone())
    }
}

impl Drop for Active {
    fn drop(&mut self) {
        self.0.forward.active.set(self.0.forward.active.get() - 1);
    }
}

/// A transaction of another host's caller.
struct Open {
    transaction: Transaction,
    attempt: Attempt,
    _active: Active,
}

/// What a request concerns.
struct Subject {
    target: TargetName,
    account: String,
}

impl Subject {
    fn new(attempt: &Attempt) -> Subject {
        Subject { target: attempt.target.clone(), account: attempt.context.account.clone() }
    }
}

/// One connection of another host.
struct Server {
    host: Rc<Host>,
    peer: SocketAddr,
    open: Option<Open>,
}

/// Result of a request, with the body of the answer.
type Served = (Outcome, Bytes);

async fn serve_link(host: Rc<Host>, stream: TcpStream, peer: SocketAddr) {
    let configured = stream.set_nodelay(true).and_then(|()| {
        socket2::SockRef::from(&stream).set_tcp_user_timeout(Some(TCP_USER_TIMEOUT))
    });
    if let Err(error) = configured {
        return log::debug!("connection of host {peer} failed: {error}");
    }
    let mut frames = Framed::new(stream, protocol::frames());
    let mut server = Server { host: host.clone(), peer, open: None };
    tokio::select! {
        biased;
        () = server.run(&mut frames) => {}
        // The other host learns from the closed connection that nothing more comes.
        () = host.stop.work_end.wait() => {}
    }
}

impl Server {
    async fn run(&mut self, frames: &mut Framed<TcpStream, LengthDelimitedCodec>) {
        while let Some(request) = self.next_request(frames).await {
            let (reply, body) = self.handle(request).await;
            let frame = match protocol::encode_reply(&reply, &body) {
                Ok(frame) => frame,
                Err(error) => return log::error!("cannot encode a reply to a host: {error}"),
            };
            let sent = tokio::time::timeout(SEND_TIMEOUT, frames.send(frame)).await;
            if !matches!(sent, Ok(Ok(()))) {
                return log::debug!("cannot send a reply to host {}", self.peer);
            }
        }
    }

    /// Reads the next request. `None` if the connection has ended or is to be closed: a transaction
    /// that may not continue is rolled back with it.
    async fn next_request(
        &mut self,
        frames: &mut Framed<TcpStream, LengthDelimitedCodec>,
    ) -> Option<Request> {
        let idle_since = Instant::now();
        loop {
            let deadline = self.deadline(idle_since);
            tokio::select! {
                biased;
                frame = frames.next() => {
                    let request = match frame? {
                        Ok(frame) => protocol::decode_request(&frame),
                        Err(error) => {
                            log::debug!("connection of host {} failed: {error}", self.peer);
                            return None;
                        }
                    };
                    if request.is_none() {
                        self.host.metrics.count("hop_malformed");
                        log::warn!("host {} sent a malformed request", self.peer);
                    }
                    return request;
                }
                () = tokio::time::sleep_until(deadline) => {
                    if self.deadline(idle_since) <= Instant::now() {
                        return None;
                    }
                }
                () = self.host.changed.notified(), if self.open.is_some() => {}
            }
        }
    }

    /// Time at which the connection is closed unless a request arrives. The other host ends an idle
    /// transaction itself; this also holds for one that is frozen.
    fn deadline(&mut self, idle_since: Instant) -> Instant {
        let Some(open) = &mut self.open else { return idle_since + IDLE_TIMEOUT };
        let idle_deadline = idle_since + self.host.catalog.borrow().transaction_idle_timeout;
        let service = open.attempt.context.service.as_str();
        let end = open.transaction.end_deadline(&self.host, service);
        end.map_or(idle_deadline, |end| end.min(idle_deadline))
    }

    async fn handle(&mut self, request: Request) -> (Reply, Bytes) {
        let arrived = Instant::now();
        self.host.metrics.count("hops_served");
        let id = request.id().to_owned();
        let subject = match &request {
            Request::Read(attempt) | Request::Write(attempt) | Request::Begin { attempt, .. } => {
                Some(Subject::new(attempt))
            }
            Request::Statement { .. } | Request::Rollback => {
                self.open.as_ref().map(|open| Subject::new(&open.attempt))
            }
        };
        let (outcome, body) = self.run_request(request, arrived).await;
        let Some(Subject { target, account }) = subject else {
            return (Reply { outcome, load: Load::default() }, body);
        };
        if let Some(reason) = outcome_label(&outcome) {
            self.host.journal.write(&Event::HopFailed {
                request: &id,
                target: &target,
                from: &self.peer.ip().to_string(),
                to: &self.host.settings.listen.peers.ip().to_string(),
                reason,
            });
        }
        let load = load(&self.host, &target, &account);
        (Reply { outcome, load }, body)
    }

    async fn run_request(&mut self, request: Request, arrived: Instant) -> Served {
        match request {
            Request::Read(attempt) => self.read(attempt, arrived).await,
            Request::Write(attempt) => self.write(attempt, arrived).await,
            Request::Begin { attempt, read_only } => self.begin(attempt, read_only, arrived).await,
            Request::Statement { values, task, effect } => {
                let Some(mut open) = self.open.take() else {
                    return failed(Failure::Superseded, Sent::No);
                };
                // The statement might not end before this host stops, so the transaction is rolled
                // back and the statement is not run.
                if !self.host.stop.takes_statement(task.remaining()) {
                    return failed(Failure::Superseded, Sent::No);
                }
                let context: &Context = &open.attempt.context;
                let task = task.into_task(arrived);
                let mut sent = Sent::No;
                let result =
                    open.transaction.step(&self.host, context, &values, &task, effect, &mut sent);
                match result.await {
                    Ok(answer) if effect == Effect::Lasting => {
                        open.transaction.finish(&self.host, &answer);
                        answered(answer)
                    }
                    Ok(answer) => {
                        self.open = Some(open);
                        answered(answer)
                    }
                    Err(error) => write_failed(error, sent),
                }
            }
            Request::Rollback => {
                if let Some(open) = self.open.take() {
                    open.transaction.rollback(&self.host, &open.attempt.context).await;
                }
                (Outcome::Done { position: None }, Bytes::new())
            }
        }
    }

    async fn read(&self, attempt: Attempt, arrived: Instant) -> Served {
        let destination = match accept(&self.host, &attempt) {
            Ok(destination) => destination,
            Err(outcome) => return (outcome, Bytes::new()),
        };
        let _active = Active::new(&self.host);
        let task = attempt.task.into_task(arrived);
        let result =
            work::read_at(&self.host, &attempt.context, &attempt.values, &task, &destination);
        match result.await {
            Ok(answer) => answered(answer),
            Err(failure) => failed(failure, Sent::Maybe),
        }
    }

    async fn write(&self, attempt: Attempt, arrived: Instant) -> Served {
        let destination = match accept(&self.host, &attempt) {
            Ok(destination) => destination,
            Err(outcome) => return (outcome, Bytes::new()),
        };
        let _active = Active::new(&self.host);
        let task = attempt.task.clone().into_task(arrived);
        let mut sent = Sent::No;
        let Attempt { context, values, .. } = &attempt;
        let result = work::write_at(&self.host, context, values, &task, &destination, &mut sent);
        match result.await {
            Ok(answer) => answered(answer),
            Err(error) => {
                record_refusal(&self.host, &attempt.target, error.exchange_failure());
                write_failed(error, sent)
            }
        }
    }

    async fn begin(&mut self, attempt: Attempt, read_only: bool, arrived: Instant) -> Served {
        // The other host has given up the transaction before.
        self.open = None;
        let destination = match accept(&self.host, &attempt) {
            Ok(destination) => destination,
            Err(outcome) => return (outcome, Bytes::new()),
        };
        let active = Active::new(&self.host);
        let task = attempt.task.clone().into_task(arrived);
        let mut transaction = Transaction::new(read_only);
        let Attempt { context, values, .. } = &attempt;
        let begun = transaction.begin_local(&self.host, context, values, &task, destination);
        match begun.await {
            Ok(position) => {
                self.open = Some(Open { transaction, attempt, _active: active });
                (Outcome::Done { position }, Bytes::new())
            }
            Err(failure) => {
                record_refusal(&self.host, &attempt.target, failure);
                failed(failure, Sent::No)
            }
        }
    }
}

/// Checks whether this host runs an attempt, and returns its target by this host's own state.
fn accept(host: &Host, attempt: &Attempt) -> Result<Destination, Outcome> {
    let takes_statement = host.stop.takes_statement(attempt.task.remaining());
    if !host.stop.takes_sessions() || !takes_statement {
        return Err(Outcome::NotRun(Reason::Stopping));
    }
    let service = &attempt.context.service;
    let entry = host.directory.borrow().get(&attempt.target).cloned();
    let entry = entry.filter(|entry| entry.service == *service);
    let entry = entry.ok_or(Outcome::NotRun(Reason::NotOwner))?;
    let target = host.targets.get(&entry.name);
    update_limit(host, &target, &entry);
    if target.pool.borrow().limit() == 0 {
        return Err(Outcome::NotRun(Reason::NotOwner));
    }
    let superseded = Outcome::Failed { failure: Failure::Superseded, sent: Sent::No };
    let primary = match attempt.fence {
        None => None,
        Some(fence) => {
            let primary = host.primary(service).map_err(|_| superseded)?;
            let is_same = primary.target == entry.name && primary.fence == fence;
            Some(if is_same { primary } else { return Err(superseded) })
        }
    };
    Ok(Destination { entry, floor: None, primary, is_last_resort: false })
}

/// Records that a target refuses writes because it is not the primary, as evidence of this host too.
fn record_refusal(host: &Host, target: &TargetName, failure: Failure) {
    if failure == Failure::Refused(Code::ReadOnly) {
        host.targets.get(target).record_deposed();
    }
}

fn answered(answer: Answer) -> Served {
    (Outcome::answered(&answer), answer.body)
}

fn failed(failure: Failure, sent: Sent) -> Served {
    (Outcome::Failed { failure, sent }, Bytes::new())
}

fn write_failed(error: WriteError, sent: Sent) -> Served {
    match error {
        WriteError::Exchange(failure) => failed(failure, sent),
        WriteError::Unverified => (Outcome::Unverified, Bytes::new()),
    }
}

/// Reason for the log; `None` for an answer of the target.
fn outcome_label(outcome: &Outcome) -> Option<&'static str> {
    match outcome {
        Outcome::Answered { .. } | Outcome::Done { .. } => None,
        Outcome::Failed { failure, .. } => Some(failure_label(*failure)),
        Outcome::Unverified => Some("lease_lapsed"),
        Outcome::NotRun(reason) => Some(reason.label()),
    }
}

fn load(host: &Host, target: &TargetName, account: &str) -> Load {
    let target = host.targets.get(target);
    let pool = target.pool.borrow();
    Load {
        in_flight: target.in_flight.get(),
        waiting: pool.waiting_count(),
        statement_time: target.statement_time(),
        has_connection: pool.has_idle(account),
        is_lost: target.view() == View::Lost,
    }
}
