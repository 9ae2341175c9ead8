//! One caller's session, from the opening message to the end of its connection.
//!
//! A session reads statements one at a time and replies to each. It keeps the caller's values,
//! prepared statements and open transaction, so that any connection to a target can serve it.
//!
//! [`work`] runs single statements, [`transaction`] those of an open transaction; [`quota`] limits
//! the rates of client accounts; [`reader`] reads messages within the bounds of
//! [`overload`](crate::overload).

pub mod quota;
mod reader;
pub mod transaction;
pub mod work;

use crate::evacuation::{EVACUATED, RETRY_DELAY};
use crate::event::{Event, millis};
use crate::overload::Place;
use crate::state::Host;
use bergamotvale_core::id::Time;
use bergamotvale_core::proxy::answer::Code;
use bergamotvale_core::proxy::budget::{Bound, SMALL_BYTES};
use bergamotvale_core::proxy::catalog::{Account, Catalog, Consistency, Denial};
use bergamotvale_core::proxy::floor::Position;
use bergamotvale_core::proxy::session::Session;
use bergamotvale_core::proxy::statement::{Access, Shape, Statement};
use bergamotvale_platform::line::{self, Answer, End, Request, State};
use bergamotvale_platform::text;
use bytes::Bytes;
use reader::{ReadError, Reader};
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::time::Instant;
use transaction::Transaction;
use work::{Context, Refusal, Task};

/// Time that a caller has, once connected, to send the message that opens its session.
const OPEN_TIMEOUT: Duration = Duration::from_secs(5);
/// Time that sending a reply to a caller may take before its connection is closed.
const SEND_TIMEOUT: Duration = Duration::from_secs(10);
/// Time that a caller has to close its connection after the host has closed it.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(250);
/// Size of the buffer for bytes that a caller sends after that.
const DISCARD_CHUNK_BYTES: usize = 512;
/// Account name sent to targets for a caller without a known key, on a public route.
const NO_ACCOUNT: &str = "-";
/// Reason of refusals by a host that is stopping.
pub const STOPPING: &str = "stopping";
/// Margin before the end of a statement's timeout at which the host replies, so that the reply
/// reaches the caller in time.
const ANSWER_MARGIN: Duration = Duration::from_millis(30);

/// State of a session's transaction.
enum Phase {
    /// No transaction is open.
    Idle,
    Open(Box<Transaction>),
    /// Rolled back, and the caller has not ended it yet; `is_reported` tells whether an error reply
    /// has told the caller.
    Failed {
        is_reported: bool,
    },
}

/// An open session.
struct Caller {
    host: Rc<Host>,
    writer: OwnedWriteHalf,
    database: String,
    key: String,
    session: Session,
    phase: Phase,
    /// Service and log position of the session's newest commit.
    last_commit: Option<(String, Position)>,
    /// Context of the open transaction, or of the last operation.
    context: Option<Context>,
    statement_timeout: Duration,
    latency_target: Duration,
    /// Whether the session ends after the present reply, because the host is stopping.
    is_ending: bool,
    place: Rc<Place>,
}

/// Encoded reply to a statement.
type Reply = Bytes;

/// Serves one caller's connection until it closes, then rolls back its open transaction.
pub async fn serve(host: Rc<Host>, stream: TcpStream, place: Rc<Place>) {
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!("caller disconnected before its session was opened: {error}");
        return;
    }
    let _open = OpenSession::new(&host);
    let (reader, writer) = stream.into_split();
    let mut reader = Reader::new(reader);
    let writer = match open(&host, &mut reader, writer, place.clone()).await {
        Ok(mut caller) => {
            place.set_in_session(true);
            caller.run(&mut reader).await;
            caller.end_session().await
        }
        Err(writer) => writer,
    };
    place.set_in_session(false);
    close(reader.into_inner(), writer).await;
}

/// Counts a connection among the open sessions until it is dropped.
struct OpenSession(Rc<Host>);

impl OpenSession {
    fn new(host: &Rc<Host>) -> OpenSession {
        host.sessions.set(host.sessions.get() + 1);
        OpenSession(host.clone())
    }
}

impl Drop for OpenSession {
    fn drop(&mut self) {
        self.0.sessions.set(self.0.sessions.get() - 1);
    }
}

/// Counts and logs that a connection is closed, or a session refused, at a bound.
pub(crate) fn record_bound(host: &Host, database: &str, bound: Bound) {
    host.metrics.count(&format!("bound_{}", bound.label()));
    host.journal.write(&Event::SessionClosed { database, reason: bound.label() });
}

/// Closes a caller's connection so that it still receives what was sent to it.
///
/// Closing a connection with unread bytes resets it, which may destroy a reply on its way. So the
/// host ends its own direction first and discards what the caller sends until it closes too, or
/// until [`CLOSE_TIMEOUT`].
async fn close(mut reader: OwnedReadHalf, mut writer: OwnedWriteHalf) {
    if let Err(error) = writer.shutdown().await {
        log::debug!("the caller's connection is gone: {error}");
        return;
    }
    let discard = async {
        let mut bytes = [0; DISCARD_CHUNK_BYTES];
        while reader.read(&mut bytes).await.is_ok_and(|count| count > 0) {}
    };
    if tokio::time::timeout(CLOSE_TIMEOUT, discard).await.is_err() {
        log::debug!("the caller does not close its connection");
    }
}

/// Reads the opening message and authorizes the caller. Returns the connection if the session was
/// refused or the connection failed.
async fn open(
    host: &Rc<Host>,
    reader: &mut Reader,
    mut writer: OwnedWriteHalf,
    place: Rc<Place>,
) -> Result<Caller, OwnedWriteHalf> {
    let first = match tokio::time::timeout(OPEN_TIMEOUT, reader.next(host)).await {
        Ok(Some(first)) => first,
        Ok(None) => return Err(writer),
        Err(_) => {
            record_bound(host, "", Bound::MessageTime);
            return Err(writer);
        }
    };
    let (database, key) = match first {
        Ok(Request::Connect { database, key }) => (database, key),
        Err(ReadError::Bound(bound)) => {
            record_bound(host, "", bound);
            drop(writer.write_all(&bound_refusal(bound)).await);
            return Err(writer);
        }
        _ => {
            let refusal = line::refusal(Code::Malformed, "the session was not opened");
            drop(writer.write_all(&refusal).await);
            return Err(writer);
        }
    };
    let denial = match host.catalog.borrow().clone() {
        // Without a configuration the host knows no routes or keys, so it must not report one as
        // unknown.
        catalog if catalog.version == 0 => Some((Code::Busy, "the host is not configured yet")),
        _ if !host.stop.takes_sessions() => Some((Code::Busy, STOPPING)),
        catalog => catalog.authorize(&database, &key).err().map(denial_code),
    };
    if let Some((code, reason)) = denial {
        host.metrics.count(&format!("sessions_refused_{code}"));
        host.journal.write(&Event::SessionClosed { database: &database, reason });
        drop(writer.write_all(&line::refusal(code, reason)).await);
        return Err(writer);
    }
    if writer.write_all(line::ready(State::Idle, None).as_bytes()).await.is_err() {
        return Err(writer);
    }
    Ok(Caller {
        host: host.clone(),
        writer,
        database,
        key,
        session: Session::default(),
        phase: Phase::Idle,
        last_commit: None,
        context: None,
        statement_timeout: Duration::ZERO,
        latency_target: Duration::ZERO,
        is_ending: false,
        place,
    })
}

/// Encodes the refusal of a message that was not read to its end, and thus not run.
fn bound_refusal(bound: Bound) -> Bytes {
    let code = match bound {
        Bound::MessageSize => Code::Malformed,
        _ => Code::Busy,
    };
    line::refusal(code, bound.label())
}

fn denial_code(denial: Denial) -> (Code, &'static str) {
    match denial {
        Denial::UnknownDatabase => (Code::UnknownDatabase, "no such database"),
        Denial::UnknownKey => (Code::UnknownKey, "no client account holds this key"),
    }
}

impl Caller {
    /// Serves the session until it ends, at the latest when a stopping host ends all work.
    async fn run(&mut self, reader: &mut Reader) {
        let host = self.host.clone();
        let place = self.place.clone();
        let work_end = host.stop.work_end.wait();
        tokio::pin!(work_end);
        while !self.is_ending {
            let next = tokio::select! {
                biased;
                request = self.next_request(reader) => request,
                bound = place.closed() => return record_bound(&host, &self.database, bound),
                () = &mut work_end => return,
            };
            let request = match next {
                Some(Ok(request)) => request,
                Some(Err(ReadError::Bound(bound))) => {
                    record_bound(&host, &self.database, bound);
                    drop(self.writer.write_all(&bound_refusal(bound)).await);
                    return;
                }
                Some(Err(ReadError::Failed(error))) => {
                    log::debug!("closing a caller's session after an unreadable message: {error}");
                    let refusal = line::refusal(Code::Malformed, "the message cannot be read");
                    drop(self.writer.write_all(&refusal).await);
                    return;
                }
                None => return,
            };
            let reply = match request {
                Request::Query { id, text } => {
                    let arrived = host.now();
                    tokio::select! {
                        biased;
                        reply = self.run_query(&id, &text, arrived) => reply,
                        () = &mut work_end => self.cut_off(&id, &text, arrived),
                    }
                }
                Request::Quit => return,
                Request::Connect { .. } | Request::Malformed => {
                    line::error(Code::Malformed, "not a statement", self.state())
                }
            };
            if !self.send_reply(&reply).await {
                return;
            }
            reader.finish_message();
        }
    }

    /// Sends a reply; false if the connection failed or the caller did not read it in time.
    async fn send_reply(&mut self, reply: &Reply) -> bool {
        let _held = (reply.len() > SMALL_BYTES)
            .then(|| self.host.overload.hold_reply(&self.place, reply.len(), self.host.now()));
        let sent = tokio::time::timeout(SEND_TIMEOUT, self.writer.write_all(reply));
        let bound = tokio::select! {
            biased;
            sent = sent => match sent {
                Ok(sent) => return sent.is_ok(),
                Err(_) => Bound::ReplyTime,
            },
            bound = self.place.closed() => bound,
        };
        record_bound(&self.host, &self.database, bound);
        false
    }

    /// Rolls the open transaction back, and returns the connection.
    async fn end_session(mut self) -> OwnedWriteHalf {
        if let Phase::Open(transaction) = std::mem::replace(&mut self.phase, Phase::Idle)
            && let Some(context) = &self.context
        {
            transaction.rollback(&self.host, context).await;
        }
        self.writer
    }

    /// Reads the next message.
    ///
    /// Returns `None` if the caller disconnected, or if the session is idle and the host is
    /// stopping. Ends the open transaction when its deadline passes.
    async fn next_request(&mut self, reader: &mut Reader) -> Option<Result<Request, ReadError>> {
        loop {
            let host = self.host.clone();
            let is_idle = matches!(self.phase, Phase::Idle);
            let deadline = self.transaction_deadline();
            tokio::select! {
                biased;
                request = reader.next(&host) => return request,
                () = host.stop.idle_close.wait(), if is_idle => return None,
                () = sleep_until(deadline), if deadline.is_some() => {
                    if deadline.is_some_and(|deadline| deadline <= Instant::now()) {
                        self.end_transaction().await;
                    }
                }
                () = host.changed.notified(), if deadline.is_some() => {}
            }
        }
    }

    /// Time at which the host ends the open transaction unless the caller sends a statement: its
    /// idle timeout, or the deadline of a planned promotion or an evacuation if that is earlier.
    fn transaction_deadline(&mut self) -> Option<Instant> {
        let Phase::Open(transaction) = &mut self.phase else { return None };
        let timeout = self.host.catalog.borrow().transaction_idle_timeout;
        let idle_deadline = transaction.idle_since + timeout;
        let service = self.context.as_ref().map_or("", |context| context.service.as_str());
        let end = transaction.end_deadline(&self.host, service);
        Some(end.map_or(idle_deadline, |end| end.min(idle_deadline)))
    }

    /// Rolls the open transaction back. The reply to the next statement tells the caller.
    async fn end_transaction(&mut self) {
        let phase = std::mem::replace(&mut self.phase, Phase::Failed { is_reported: false });
        if let Phase::Open(transaction) = phase {
            self.host.metrics.count("transactions_ended_by_host");
            // Dropping the transaction closes its connection, which rolls it back. The host does
            // not wait for the target, because the caller may send a statement at any time.
            drop(transaction);
        }
    }

    fn state(&self) -> State {
        match self.phase {
            Phase::Idle => State::Idle,
            Phase::Open(_) => State::Open,
            Phase::Failed { .. } => State::Failed,
        }
    }

    /// Runs one statement of the caller and returns the reply.
    async fn run_query(&mut self, id: &str, text: &str, arrived: Time) -> Reply {
        let Some(statement) = text::parse_statement(text) else {
            return line::error(Code::Malformed, "not a statement", self.state());
        };
        match statement {
            _ if matches!(self.phase, Phase::Failed { .. }) => self.reply_after_failure(&statement),
            Statement::Set { name, value } => {
                if let Err(bound) = self.may_store(&name, value.len()) {
                    return self.bound_reply(id, bound, arrived);
                }
                self.session.set_value(name, value);
                self.record_state();
                line::done(self.state())
            }
            Statement::Prepare { name, shape } => {
                if let Err(bound) = self.may_store(&name, shape.text.len()) {
                    return self.bound_reply(id, bound, arrived);
                }
                self.session.prepare(name, shape);
                self.record_state();
                line::done(self.state())
            }
            Statement::Deallocate { name } => {
                if !self.session.deallocate(&name) {
                    return line::error(Code::UnknownStatement, &name, self.state());
                }
                self.record_state();
                line::done(self.state())
            }
            Statement::Begin { read_only } => self.begin(id, read_only, arrived).await,
            Statement::Rollback => self.rollback().await,
            Statement::Commit => self.commit(id, text, arrived).await,
            Statement::Read => self.run_text(id, text.to_owned(), Access::Read, arrived).await,
            Statement::Write => self.run_text(id, text.to_owned(), Access::Write, arrived).await,
            Statement::Execute { name, arguments } => {
                self.execute(id, &name, &arguments, arrived).await
            }
        }
    }

    /// Whether the session may store another value or statement. All sessions together may exceed
    /// their bound only until the largest ones are closed; a session that holds more than its share
    /// is refused.
    fn may_store(&self, name: &str, text_bytes: usize) -> Result<(), Bound> {
        let limits = &self.host.overload.limits;
        let bytes = self.session.bytes_with(name, text_bytes);
        if bytes > limits.session_state_bytes
            || self.session.entries() >= limits.session_state_entries
        {
            return Err(Bound::SessionState);
        }
        let total = self.host.overload.state_bytes() + bytes - self.session.bytes();
        if total > limits.state_bytes && bytes > limits.fair_state_bytes() {
            return Err(Bound::HostState);
        }
        Ok(())
    }

    /// Records the size of what the session stores, and closes the sessions that store the most if
    /// all of them store too much.
    fn record_state(&self) {
        self.host.overload.record_state(&self.place, self.session.bytes(), self.host.now());
    }

    /// Refuses a statement at a bound. Nothing was sent or stored for it.
    fn bound_reply(&self, id: &str, bound: Bound, arrived: Time) -> Reply {
        self.host.metrics.count(&format!("bound_{}", bound.label()));
        self.refusal_reply(id, &Refusal::new(Code::Busy, bound.label()), arrived, self.state())
    }

    /// Replies to a statement that is still at work when a stopping host ends all work.
    ///
    /// Only a commit or a write of its own can have had a lasting effect. Closing the connection
    /// rolls an open transaction back.
    fn cut_off(&mut self, id: &str, text: &str, arrived: Time) -> Reply {
        self.is_ending = true;
        let is_read = match text::parse_statement(text) {
            Some(Statement::Read | Statement::Begin { .. }) => true,
            Some(Statement::Execute { name, .. }) => {
                let shape = self.session.prepared.get(&name);
                shape.is_some_and(|shape| shape.access == Access::Read)
            }
            _ => false,
        };
        let (code, state) = match self.phase {
            Phase::Open(_) => (Code::Aborted, State::Failed),
            _ if is_read => (Code::Busy, State::Idle),
            _ => (Code::Unknown, State::Idle),
        };
        self.phase = Phase::Idle;
        self.refusal_reply(id, &Refusal::new(code, STOPPING), arrived, state)
    }

    /// Refuses a statement that might not end before the host stops, and ends the session. Nothing
    /// was sent for it; an open transaction is rolled back.
    fn refuse_for_stop(&mut self, id: &str, code: Code, arrived: Time, state: State) -> Reply {
        self.is_ending = true;
        self.phase = Phase::Idle;
        self.refusal_reply(id, &Refusal::new(code, STOPPING), arrived, state)
    }

    /// Replies to a statement in a failed transaction: only commit and rollback end it.
    fn reply_after_failure(&mut self, statement: &Statement) -> Reply {
        let is_reported = matches!(self.phase, Phase::Failed { is_reported: true });
        match statement {
            Statement::Rollback => {
                self.phase = Phase::Idle;
                line::done(State::Idle)
            }
            Statement::Commit => {
                self.phase = Phase::Idle;
                line::error(Code::Aborted, "the transaction was rolled back", State::Idle)
            }
            _ => {
                self.phase = Phase::Failed { is_reported: true };
                let code = if is_reported { Code::Malformed } else { Code::Aborted };
                line::error(code, "the transaction was rolled back", State::Failed)
            }
        }
    }

    /// Finds the route and account of a new operation, and takes a token of the account's rate.
    ///
    /// The error is the reply to the caller.
    async fn admit(&mut self, id: &str, arrived: Time) -> Result<(), Reply> {
        let catalog = self.host.catalog.borrow().clone();
        let account = match self.update_context(&catalog) {
            Ok(account) => account,
            Err(denial) => {
                let (code, reason) = denial_code(denial);
                return Err(self.refusal_reply(
                    id,
                    &Refusal::new(code, reason),
                    arrived,
                    State::Idle,
                ));
            }
        };
        if !self.host.stop.takes_statement(self.statement_timeout) {
            return Err(self.refuse_for_stop(id, Code::Busy, arrived, State::Idle));
        }
        if let Some(account) = account
            && let Err(after) = quota::admit(&self.host, &account).await
        {
            self.host.metrics.count("refused_rate");
            let refusal = Refusal::new(Code::Busy, "rate");
            self.log_refusal(id, &refusal, arrived);
            let detail = format!("over the rate; retry after {} ms", millis(after));
            return Err(line::error(Code::Busy, &detail, State::Idle));
        }
        Ok(())
    }

    /// Sets the context and timeouts from the current configuration. Returns the client account,
    /// `None` on a public route without a known key.
    fn update_context(&mut self, catalog: &Catalog) -> Result<Option<Account>, Denial> {
        let grant = catalog.authorize(&self.database, &self.key)?;
        let service = &grant.route.service;
        let last_commit = match &self.last_commit {
            Some((known, position)) if known == service => Some(*position),
            _ => None,
        };
        self.statement_timeout = grant.route.statement_timeout;
        self.latency_target = grant.route.latency_target;
        self.context = Some(Context {
            database: self.database.clone(),
            service: service.clone(),
            consistency: grant.route.consistency,
            priority: grant.route.priority,
            account: grant.account.map_or(NO_ACCOUNT, |a| a.name.as_str()).to_owned(),
            homes: grant.homes(),
            last_commit,
        });
        Ok(grant.account.cloned())
    }

    async fn begin(&mut self, id: &str, read_only: bool, arrived: Time) -> Reply {
        if matches!(self.phase, Phase::Open(_)) {
            return line::error(Code::Malformed, "a transaction is open", State::Open);
        }
        if !self.host.stop.takes_sessions() {
            return self.refuse_for_stop(id, Code::Busy, arrived, State::Idle);
        }
        if let Err(reply) = self.admit(id, arrived).await {
            return reply;
        }
        self.phase = Phase::Open(Box::new(Transaction::new(read_only)));
        line::done(State::Open)
    }

    async fn rollback(&mut self) -> Reply {
        match std::mem::replace(&mut self.phase, Phase::Idle) {
            Phase::Open(transaction) => {
                // An open transaction has the context that it was admitted with.
                if let Some(context) = self.context.clone() {
                    let host = self.host.clone();
                    tokio::task::spawn_local(
                        async move { transaction.rollback(&host, &context).await },
                    );
                }
                line::done(State::Idle)
            }
            _ => line::error(Code::Malformed, "no transaction is open", State::Idle),
        }
    }

    async fn commit(&mut self, id: &str, text: &str, arrived: Time) -> Reply {
        if self.is_key_withdrawn() {
            return self.refuse_withdrawn_key(id, arrived, State::Idle);
        }
        let Phase::Open(mut transaction) = std::mem::replace(&mut self.phase, Phase::Idle) else {
            return line::error(Code::Malformed, "no transaction is open", State::Idle);
        };
        if !self.host.stop.takes_statement(self.statement_timeout) {
            return self.refuse_for_stop(id, Code::Aborted, arrived, State::Idle);
        }
        let Some(context) = self.context.clone() else {
            return line::error(Code::Aborted, "no route", State::Idle);
        };
        let task = self.new_task(id, text.to_owned(), None);
        let values = &self.session.values;
        match transaction.commit(&self.host, &context, values, &task).await {
            Ok(answer) => {
                self.record_commit(&context, &answer);
                self.forward_answer(id, &answer, arrived, State::Idle)
            }
            Err(refusal) => self.refusal_reply(id, &refusal, arrived, State::Idle),
        }
    }

    async fn execute(&mut self, id: &str, name: &str, arguments: &str, arrived: Time) -> Reply {
        let Some(shape) = self.session.prepared.get(name).cloned() else {
            return line::error(Code::UnknownStatement, name, self.state());
        };
        let text = text::execute(&shape, arguments);
        let access = shape.access;
        self.run_statement(id, text, access, Some(shape), arrived).await
    }

    /// Runs a statement that the caller sent as text, not one that it has prepared.
    async fn run_text(&mut self, id: &str, text: String, access: Access, arrived: Time) -> Reply {
        self.run_statement(id, text, access, None, arrived).await
    }

    /// Runs a statement in the open transaction, or on its own if there is none.
    async fn run_statement(
        &mut self,
        id: &str,
        text: String,
        access: Access,
        shape: Option<Shape>,
        arrived: Time,
    ) -> Reply {
        if matches!(self.phase, Phase::Open(_)) {
            return self.run_in_transaction(id, text, shape, arrived).await;
        }
        if let Err(reply) = self.admit(id, arrived).await {
            return reply;
        }
        let Some(context) = self.context.clone() else {
            return line::error(Code::Busy, "no route", State::Idle);
        };
        let task = self.new_task(id, text, shape);
        let values = &self.session.values;
        let result = match access {
            Access::Read => work::read(&self.host, &context, values, &task).await,
            Access::Write => work::write(&self.host, &context, values, &task).await,
        };
        match result {
            Ok(answer) => {
                if access == Access::Write {
                    self.record_commit(&context, &answer);
                }
                self.forward_answer(id, &answer, arrived, State::Idle)
            }
            Err(refusal) => {
                if refusal.target.is_empty() {
                    quota::refund(&self.host, &context.account);
                }
                self.refusal_reply(id, &refusal, arrived, State::Idle)
            }
        }
    }

    async fn run_in_transaction(
        &mut self,
        id: &str,
        text: String,
        shape: Option<Shape>,
        arrived: Time,
    ) -> Reply {
        if self.is_key_withdrawn() {
            return self.refuse_withdrawn_key(id, arrived, State::Failed);
        }
        if !self.host.stop.takes_statement(self.statement_timeout) {
            return self.refuse_for_stop(id, Code::Aborted, arrived, State::Failed);
        }
        let task = self.new_task(id, text, shape);
        let Phase::Open(transaction) = &mut self.phase else {
            return line::error(Code::Malformed, "no transaction is open", State::Idle);
        };
        let Some(context) = &self.context else {
            return line::error(Code::Aborted, "no route", State::Failed);
        };
        let values = &self.session.values;
        match transaction.run(&self.host, context, values, &task).await {
            Ok(answer) => {
                let state = answer.state;
                if state != State::Open {
                    // Dropping the transaction closes its connection, which rolls it back.
                    self.phase = Phase::Failed { is_reported: true };
                }
                self.forward_answer(id, &answer, arrived, self.state())
            }
            Err(refusal) => {
                self.phase = Phase::Failed { is_reported: true };
                self.refusal_reply(id, &refusal, arrived, State::Failed)
            }
        }
    }

    fn is_key_withdrawn(&self) -> bool {
        let catalog = self.host.catalog.borrow();
        matches!(catalog.authorize(&self.database, &self.key), Err(Denial::UnknownKey))
    }

    /// Refuses a statement and rolls the open transaction back because the key was withdrawn.
    ///
    /// The session is in `state` afterwards.
    fn refuse_withdrawn_key(&mut self, id: &str, arrived: Time, state: State) -> Reply {
        self.phase = match state {
            State::Failed => Phase::Failed { is_reported: true },
            _ => Phase::Idle,
        };
        let (code, reason) = denial_code(Denial::UnknownKey);
        self.refusal_reply(id, &Refusal::new(code, reason), arrived, state)
    }

    fn new_task(&self, id: &str, text: String, shape: Option<Shape>) -> Task {
        let timeout = self.statement_timeout.saturating_sub(ANSWER_MARGIN);
        Task {
            id: id.to_owned(),
            text,
            shape,
            deadline: Instant::now() + timeout,
            max_wait: self.latency_target.min(timeout),
        }
    }

    /// Records the log position of the session's own commit, from which its later reads take their
    /// floor.
    fn record_commit(&mut self, context: &Context, answer: &Answer) {
        if answer.end != End::Done || matches!(context.consistency, Consistency::Primary) {
            return;
        }
        if let Some(position) = answer.position {
            self.last_commit = Some((context.service.clone(), position));
        }
    }

    /// Counts and logs a target's answer and encodes it for the caller.
    fn forward_answer(&self, id: &str, answer: &Answer, arrived: Time, state: State) -> Reply {
        match answer.end {
            End::Error(code) => {
                self.log_refusal(id, &Refusal::new(code, "target_refused"), arrived);
            }
            _ => {
                self.host.metrics.count("statements_answered");
                let took = self.host.now().saturating_sub(arrived);
                self.host.metrics.time(self.latency_metric(), took);
            }
        }
        answer.encode(state)
    }

    /// Name of the latency metric for the consistency of the session's route.
    fn latency_metric(&self) -> &'static str {
        match self.context.as_ref().map(|context| context.consistency) {
            Some(Consistency::Primary) | None => "latency_primary",
            Some(Consistency::Bounded(_)) => "latency_bounded",
            Some(Consistency::ReadYourWrites(_)) => "latency_read_your_writes",
        }
    }

    fn refusal_reply(&self, id: &str, refusal: &Refusal, arrived: Time, state: State) -> Reply {
        self.log_refusal(id, refusal, arrived);
        if refusal.reason == EVACUATED {
            let detail = format!("{EVACUATED}; retry after {} ms", millis(RETRY_DELAY));
            return line::error(refusal.code, &detail, state);
        }
        line::error(refusal.code, refusal.reason, state)
    }

    fn log_refusal(&self, id: &str, refusal: &Refusal, arrived: Time) {
        let Refusal { code, reason, target } = refusal;
        self.host.metrics.count(&format!("refused_{code}_{}", reason.replace(' ', "_")));
        self.host.journal.write(&Event::Refused {
            request: id,
            database: &self.database,
            service: self.context.as_ref().map_or("", |context| context.service.as_str()),
            account: self.context.as_ref().map_or("", |context| context.account.as_str()),
            code: *code,
            reason,
            target,
            elapsed_ms: millis(self.host.now().saturating_sub(arrived)),
        });
    }
}

/// Waits until `deadline`, or forever if there is none.
async fn sleep_until(deadline: Option<Instant>) {
    match deadline {
        Some(deadline) => tokio::time::sleep_until(deadline).await,
        None => std::future::pending().await,
    }
}
