//! One caller's session: reads statements, keeps what the session has set, answers.

use crate::event::{Event, millis};
use crate::quota;
use crate::state::Host;
use crate::transaction::Transaction;
use crate::work::{self, Context, Refused, Task};
use bergamotvale_core::id::Time;
use bergamotvale_core::proxy::answer::Code;
use bergamotvale_core::proxy::catalog::{Account, Catalog, Consistency, Denial};
use bergamotvale_core::proxy::floor::Position;
use bergamotvale_core::proxy::session::Session;
use bergamotvale_core::proxy::statement::{Access, Shape, Statement};
use bergamotvale_platform::line::{self, Answer, CallerCodec, End, Request, State};
use bergamotvale_platform::text;
use bytes::Bytes;
use futures::StreamExt;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::time::Instant;
use tokio_util::codec::FramedRead;

/// Time in which a caller has to open its session after it connected.
const OPEN_LIMIT: Duration = Duration::from_secs(5);
/// Time in which a caller has to take an answer.
const SEND_LIMIT: Duration = Duration::from_secs(10);
/// Account that targets are told on routes that need no key.
const NO_ACCOUNT: &str = "-";
/// Time before a statement's limit at which the host answers, so that the answer is in time.
const ANSWER_MARGIN: Duration = Duration::from_millis(30);

/// The transaction of a session.
enum Phase {
    /// None.
    Idle,
    /// Open.
    Open(Box<Transaction>),
    /// It has failed; `told` says whether the caller knows.
    Failed { told: bool },
}

/// One session.
struct Caller {
    host: Rc<Host>,
    writer: OwnedWriteHalf,
    database: String,
    key: String,
    session: Session,
    phase: Phase,
    last_commit: Option<(String, Position)>,
    /// Context of the open transaction, or of the last operation.
    context: Option<Context>,
    statement_timeout: Duration,
    latency_target: Duration,
}

/// Bytes of the answer to a statement.
type Reply = Bytes;

/// Serves one connection until it ends.
pub async fn serve(host: Rc<Host>, stream: TcpStream) {
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!("a caller's connection is gone before it was served: {error}");
        return;
    }
    host.sessions.set(host.sessions.get() + 1);
    let (reader, writer) = stream.into_split();
    let mut reader = FramedRead::new(reader, CallerCodec::default());
    if let Some(mut caller) = open(&host, &mut reader, writer).await {
        caller.run(&mut reader).await;
        if let Phase::Open(transaction) = std::mem::replace(&mut caller.phase, Phase::Idle) {
            transaction.rollback(&host).await;
        }
    }
    host.sessions.set(host.sessions.get() - 1);
}

async fn open(
    host: &Rc<Host>,
    reader: &mut FramedRead<OwnedReadHalf, CallerCodec>,
    mut writer: OwnedWriteHalf,
) -> Option<Caller> {
    let first = tokio::time::timeout(OPEN_LIMIT, reader.next()).await.ok()??;
    let (database, key) = match first {
        Ok(Request::Connect { database, key }) => (database, key),
        _ => {
            let refusal = line::refusal(Code::Malformed, "the session was not opened");
            drop(writer.write_all(&refusal).await);
            return None;
        }
    };
    let refused = match host.catalog.borrow().clone() {
        // Without a configuration nothing is known of routes and keys, and nothing is said of them.
        catalog if catalog.version == 0 => Some((Code::Busy, "the host is not configured yet")),
        catalog => catalog.authorize(&database, &key).err().map(denial_code),
    };
    if let Some((code, reason)) = refused {
        host.metrics.count(&format!("sessions_refused_{code}"));
        host.journal.write(&Event::SessionClosed { database: &database, reason });
        drop(writer.write_all(&line::refusal(code, reason)).await);
        return None;
    }
    writer.write_all(line::ready(State::Idle, None).as_bytes()).await.ok()?;
    Some(Caller {
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
    })
}

fn denial_code(denial: Denial) -> (Code, &'static str) {
    match denial {
        Denial::UnknownDatabase => (Code::UnknownDatabase, "no such database"),
        Denial::UnknownKey => (Code::UnknownKey, "no client account holds this key"),
    }
}

impl Caller {
    async fn run(&mut self, reader: &mut FramedRead<OwnedReadHalf, CallerCodec>) {
        loop {
            let request = match self.next(reader).await {
                Some(Ok(request)) => request,
                Some(Err(error)) => {
                    log::debug!("a caller's session ends: {error}");
                    let refusal = line::refusal(Code::Malformed, "the message cannot be read");
                    drop(self.writer.write_all(&refusal).await);
                    return;
                }
                None => return,
            };
            let reply = match request {
                Request::Query { id, text } => self.answer(&id, &text).await,
                Request::Quit => return,
                Request::Connect { .. } | Request::Malformed => {
                    line::error(Code::Malformed, "not a statement", self.state())
                }
            };
            let sent = tokio::time::timeout(SEND_LIMIT, self.writer.write_all(&reply)).await;
            if !matches!(sent, Ok(Ok(()))) {
                return;
            }
        }
    }

    /// The next message; ends idle sessions of a host that stops, and transactions that may not
    /// rest any longer.
    async fn next(
        &mut self,
        reader: &mut FramedRead<OwnedReadHalf, CallerCodec>,
    ) -> Option<bergamotvale_platform::Result<Request>> {
        loop {
            let host = self.host.clone();
            let is_idle = matches!(self.phase, Phase::Idle);
            let limit = self.transaction_limit();
            tokio::select! {
                biased;
                request = reader.next() => return request,
                () = host.peers.idle_close.wait(), if is_idle => return None,
                () = sleep_until(limit), if limit.is_some() => {
                    if limit.is_some_and(|limit| limit <= Instant::now()) {
                        self.end_transaction().await;
                    }
                }
                () = host.changed.notified(), if limit.is_some() => {}
            }
        }
    }

    /// Time at which the open transaction is ended unless the caller goes on.
    fn transaction_limit(&mut self) -> Option<Instant> {
        let Phase::Open(transaction) = &mut self.phase else { return None };
        let rest = self.host.catalog.borrow().transaction_idle_timeout;
        let idle = transaction.rested_since + rest;
        let service = self.context.as_ref().map_or("", |context| context.service.as_str());
        let ends = transaction.ends_at(&self.host, service);
        Some(ends.map_or(idle, |ends| ends.min(idle)))
    }

    async fn end_transaction(&mut self) {
        let phase = std::mem::replace(&mut self.phase, Phase::Failed { told: false });
        if let Phase::Open(transaction) = phase {
            self.host.metrics.count("transactions_ended_by_host");
            // Without waiting: the caller may ask again at once.
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

    async fn answer(&mut self, id: &str, text: &str) -> Reply {
        let arrived = self.host.now();
        let Some(statement) = text::parse_statement(text) else {
            return line::error(Code::Malformed, "not a statement", self.state());
        };
        match statement {
            _ if matches!(self.phase, Phase::Failed { .. }) => self.answer_failed(&statement),
            Statement::Set { name, value } => {
                self.session.values.insert(name, value);
                line::done(self.state())
            }
            Statement::Prepare { name, shape } => {
                self.session.prepared.insert(name, shape);
                line::done(self.state())
            }
            Statement::Deallocate { name } => match self.session.prepared.remove(&name) {
                Some(_) => line::done(self.state()),
                None => line::error(Code::UnknownStatement, &name, self.state()),
            },
            Statement::Begin { read_only } => self.begin(id, read_only, arrived).await,
            Statement::Rollback => self.rollback().await,
            Statement::Commit => self.commit(id, text, arrived).await,
            Statement::Read => self.statement(id, text.to_owned(), Access::Read, arrived).await,
            Statement::Write => self.statement(id, text.to_owned(), Access::Write, arrived).await,
            Statement::Execute { name, arguments } => {
                self.execute(id, &name, &arguments, arrived).await
            }
        }
    }

    fn answer_failed(&mut self, statement: &Statement) -> Reply {
        let told = matches!(self.phase, Phase::Failed { told: true });
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
                self.phase = Phase::Failed { told: true };
                let code = if told { Code::Malformed } else { Code::Aborted };
                line::error(code, "the transaction was rolled back", State::Failed)
            }
        }
    }

    /// Finds route and account for a new operation and takes a token of the account's rate.
    async fn admit(&mut self, id: &str, arrived: Time) -> Result<(), Reply> {
        let catalog = self.host.catalog.borrow().clone();
        let account = match self.contextualize(&catalog) {
            Ok(account) => account,
            Err(denial) => {
                let (code, reason) = denial_code(denial);
                return Err(self.refuse(id, &Refused::new(code, reason), arrived, State::Idle));
            }
        };
        if let Some(account) = account
            && let Err(after) = quota::admit(&self.host, &account).await
        {
            self.host.metrics.count("refused_rate");
            let refused = Refused::new(Code::Busy, "rate");
            self.log_refusal(id, &refused, arrived);
            let detail = format!("over the rate; retry after {} ms", millis(after));
            return Err(line::error(Code::Busy, &detail, State::Idle));
        }
        Ok(())
    }

    fn contextualize(&mut self, catalog: &Catalog) -> Result<Option<Account>, Denial> {
        let grant = catalog.authorize(&self.database, &self.key)?;
        let service = &grant.route.service;
        let last_commit = match &self.last_commit {
            Some((known, position)) if known == service => Some(*position),
            _ => None,
        };
        self.statement_timeout = grant.route.statement_timeout;
        self.latency_target = grant.route.latency_target;
        self.context = Some(Context {
            service: service.clone(),
            consistency: grant.route.consistency,
            priority: grant.route.priority,
            account: grant.account.map_or(NO_ACCOUNT, |a| a.name.as_str()).to_owned(),
            last_commit,
        });
        Ok(grant.account.cloned())
    }

    async fn begin(&mut self, id: &str, read_only: bool, arrived: Time) -> Reply {
        if matches!(self.phase, Phase::Open(_)) {
            return line::error(Code::Malformed, "a transaction is open", State::Open);
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
                let host = self.host.clone();
                tokio::task::spawn_local(async move { transaction.rollback(&host).await });
                line::done(State::Idle)
            }
            _ => line::error(Code::Malformed, "no transaction is open", State::Idle),
        }
    }

    async fn commit(&mut self, id: &str, text: &str, arrived: Time) -> Reply {
        if self.is_key_withdrawn() {
            return self.withdraw(id, arrived, State::Idle);
        }
        let Phase::Open(mut transaction) = std::mem::replace(&mut self.phase, Phase::Idle) else {
            return line::error(Code::Malformed, "no transaction is open", State::Idle);
        };
        let Some(context) = self.context.clone() else {
            return line::error(Code::Aborted, "no route", State::Idle);
        };
        let task = self.task(id, text.to_owned(), None);
        let values = &self.session.values;
        match transaction.commit(&self.host, &context, values, &task).await {
            Ok(answer) => {
                self.note_commit(&context, &answer);
                self.pass_on(id, &answer, arrived, State::Idle)
            }
            Err(refused) => self.refuse(id, &refused, arrived, State::Idle),
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

    async fn statement(&mut self, id: &str, text: String, access: Access, arrived: Time) -> Reply {
        self.run_statement(id, text, access, None, arrived).await
    }

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
        let task = self.task(id, text, shape);
        let values = &self.session.values;
        let result = match access {
            Access::Read => work::read(&self.host, &context, values, &task).await,
            Access::Write => work::write(&self.host, &context, values, &task).await,
        };
        match result {
            Ok(answer) => {
                if access == Access::Write {
                    self.note_commit(&context, &answer);
                }
                self.pass_on(id, &answer, arrived, State::Idle)
            }
            Err(refused) => {
                if refused.target.is_empty() {
                    quota::put_back(&self.host, &context.account);
                }
                self.refuse(id, &refused, arrived, State::Idle)
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
            return self.withdraw(id, arrived, State::Failed);
        }
        let task = self.task(id, text, shape);
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
                    self.phase = Phase::Failed { told: true };
                }
                self.pass_on(id, &answer, arrived, self.state())
            }
            Err(refused) => {
                self.phase = Phase::Failed { told: true };
                self.refuse(id, &refused, arrived, State::Failed)
            }
        }
    }

    fn is_key_withdrawn(&self) -> bool {
        let catalog = self.host.catalog.borrow();
        matches!(catalog.authorize(&self.database, &self.key), Err(Denial::UnknownKey))
    }

    /// Ends the open transaction of a caller whose key was withdrawn.
    fn withdraw(&mut self, id: &str, arrived: Time, state: State) -> Reply {
        self.phase = match state {
            State::Failed => Phase::Failed { told: true },
            _ => Phase::Idle,
        };
        let (code, reason) = denial_code(Denial::UnknownKey);
        self.refuse(id, &Refused::new(code, reason), arrived, state)
    }

    fn task(&self, id: &str, text: String, shape: Option<Shape>) -> Task {
        let limit = self.statement_timeout.saturating_sub(ANSWER_MARGIN);
        Task {
            id: id.to_owned(),
            text,
            shape,
            deadline: Instant::now() + limit,
            max_wait: self.latency_target.min(limit),
        }
    }

    /// Notes where the session's own commits end, for its later reads.
    fn note_commit(&mut self, context: &Context, answer: &Answer) {
        if answer.end != End::Done || matches!(context.consistency, Consistency::Primary) {
            return;
        }
        if let Some(position) = answer.position {
            self.last_commit = Some((context.service.clone(), position));
        }
    }

    fn pass_on(&self, id: &str, answer: &Answer, arrived: Time, state: State) -> Reply {
        match answer.end {
            End::Error(code) => {
                self.log_refusal(id, &Refused::new(code, "target_refused"), arrived);
            }
            _ => {
                self.host.metrics.count("statements_answered");
                let took = self.host.now().saturating_sub(arrived);
                self.host.metrics.time(self.latency_name(), took);
            }
        }
        answer.encode(state)
    }

    /// Name of the times of answers on the session's route.
    fn latency_name(&self) -> &'static str {
        match self.context.as_ref().map(|context| context.consistency) {
            Some(Consistency::Primary) | None => "latency_primary",
            Some(Consistency::Bounded(_)) => "latency_bounded",
            Some(Consistency::ReadYourWrites(_)) => "latency_read_your_writes",
        }
    }

    fn refuse(&self, id: &str, refused: &Refused, arrived: Time, state: State) -> Reply {
        self.log_refusal(id, refused, arrived);
        line::error(refused.code, refused.reason, state)
    }

    fn log_refusal(&self, id: &str, refused: &Refused, arrived: Time) {
        let Refused { code, reason, target } = refused;
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

/// Waits until `limit`, forever without one.
async fn sleep_until(limit: Option<Instant>) {
    match limit {
        Some(limit) => tokio::time::sleep_until(limit).await,
        None => std::future::pending().await,
    }
}
