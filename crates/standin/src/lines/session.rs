//! A connection to a target and its session state.

use super::group::{EXECUTION_TIME, Target, Values};
use crate::sync::lock;
use bergamotvale_core::proxy::answer::Code;
use bergamotvale_core::proxy::directory::Role;
use bergamotvale_core::proxy::floor::Position;
use bergamotvale_core::proxy::statement::{Access, Shape};
use bergamotvale_platform::counterpart::line::{Command, TargetServerCodec, ToTarget, decode};
use bergamotvale_platform::counterpart::line::{done, error, status_row};
use bergamotvale_platform::line::{self, HOST_STATEMENT_ID, State};
use bytes::{Bytes, BytesMut};
use std::collections::BTreeMap;
use std::sync::Arc;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio_util::codec::Decoder;

/// An open transaction and its uncommitted writes.
#[derive(Debug)]
struct Transaction {
    read_only: bool,
    writes: Vec<(String, String)>,
}

/// Session state of one connection.
#[derive(Debug)]
struct Session {
    target: Arc<Target>,
    account: String,
    values: Values,
    prepared: BTreeMap<String, Shape>,
    transaction: Option<Transaction>,
}

/// Accepts connections on a separate thread and serves them on the current runtime.
pub(super) fn accept(target: Arc<Target>) {
    let runtime = tokio::runtime::Handle::current();
    std::thread::spawn(move || {
        loop {
            while let Some(stream) = target.accept() {
                let target = target.clone();
                runtime.spawn(async move {
                    if let Err(error) = serve(target, stream).await {
                        log::debug!("connection to a stand-in target failed: {error}");
                    }
                });
            }
            runtime.block_on(target.wait_restart());
        }
    });
}

async fn serve(target: Arc<Target>, stream: std::net::TcpStream) -> std::io::Result<()> {
    stream.set_nonblocking(true)?;
    let stream = TcpStream::from_std(stream)?;
    stream.set_nodelay(true)?;
    lock(&target.state).open_connections += 1;
    let disconnects = target.disconnects.notified();
    let result = tokio::select! {
        result = serve_messages(target.clone(), stream) => result,
        () = disconnects => Ok(()),
    };
    lock(&target.state).open_connections -= 1;
    result
}

async fn serve_messages(target: Arc<Target>, mut stream: TcpStream) -> std::io::Result<()> {
    let mut codec = TargetServerCodec::default();
    let mut buffer = BytesMut::new();
    let mut session: Option<Session> = None;
    loop {
        while let Ok(Some(request)) = codec.decode(&mut buffer) {
            let Some(answer) = handle_message(&target, &mut session, decode(request)).await else {
                return Ok(());
            };
            stream.write_all(&answer).await?;
        }
        if stream.read_buf(&mut buffer).await? == 0 {
            return Ok(());
        }
    }
}

/// Handles one message; `None` closes the connection without an answer.
async fn handle_message(
    target: &Arc<Target>,
    session: &mut Option<Session>,
    message: ToTarget,
) -> Option<Bytes> {
    match (message, session) {
        (ToTarget::Connect { service, account, target: name }, session @ None) => {
            let is_match = service == target.service && name.is_none_or(|n| n == target.name);
            if !is_match {
                return Some(line::refusal(Code::Misrouted, &target.name));
            }
            let is_full = {
                let state = lock(&target.state);
                state.open_connections > state.connection_limit
            };
            if is_full {
                return Some(line::refusal(Code::TooManyConnections, &target.name));
            }
            *session = Some(Session {
                target: target.clone(),
                account,
                values: Values::new(),
                prepared: BTreeMap::new(),
                transaction: None,
            });
            let position = lock(&target.state).position();
            Some(Bytes::from(line::ready(State::Idle, Some(position))))
        }
        (ToTarget::Query { id, after, command }, Some(session)) => {
            session.run(&id, after, command).await
        }
        _ => None,
    }
}

impl Session {
    fn state(&self) -> State {
        if self.transaction.is_some() { State::Open } else { State::Idle }
    }

    fn position(&self) -> Position {
        lock(&self.target.state).position()
    }

    fn done(&self, rows: &[String]) -> Option<Bytes> {
        let signature = format!("{}.{}", self.target.name, self.account);
        Some(done(rows, &signature, self.state(), self.position()))
    }

    fn error(&self, code: Code) -> Option<Bytes> {
        Some(error(code, &self.target.name, self.state(), self.position()))
    }

    async fn run(
        &mut self,
        id: &str,
        after: Option<Position>,
        command: Option<Command>,
    ) -> Option<Bytes> {
        if id != HOST_STATEMENT_ID {
            lock(&self.target.state).last_statement = Some(std::time::Instant::now());
        }
        if after.is_some_and(|after| self.position() < after) {
            return self.error(Code::Lagging);
        }
        let Some(command) = command else { return self.error(Code::Malformed) };
        match command {
            Command::Read(_) | Command::Write(..) | Command::Execute(..)
                if id == HOST_STATEMENT_ID =>
            {
                self.error(Code::Malformed)
            }
            Command::Begin { read_only } => self.begin(read_only),
            Command::Commit => self.commit().await,
            Command::Rollback => {
                self.transaction = None;
                self.done(&[])
            }
            Command::Read(item) => self.read(&item).await,
            Command::Write(item, data) => self.write(item, data).await,
            Command::Execute(name, item, data) => match self.prepared.get(&name) {
                None => self.error(Code::UnknownStatement),
                Some(shape) if shape.access == Access::Read => self.read(&item).await,
                Some(_) => self.write(item, data).await,
            },
            Command::Set(name, value) => {
                self.values.insert(name, value);
                self.done(&[])
            }
            Command::Prepare(name, shape) => {
                self.prepared.insert(name, shape);
                self.done(&[])
            }
            Command::Reset => {
                self.values.clear();
                self.prepared.clear();
                self.done(&[])
            }
            Command::Status => self.status(),
            Command::Demote(term) => {
                self.demote(term);
                self.status()
            }
            Command::Pause(term) => {
                self.target.pause(term);
                self.status()
            }
        }
    }

    fn status(&self) -> Option<Bytes> {
        let row = {
            let state = lock(&self.target.state);
            status_row(state.role, state.term, state.position(), 0, state.open_connections)
        };
        self.done(&[row])
    }

    fn demote(&self, term: u64) {
        let mut state = lock(&self.target.state);
        if state.term < term {
            state.role = Role::Replica;
        }
    }

    fn begin(&mut self, read_only: bool) -> Option<Bytes> {
        if !read_only && !self.target.is_primary() {
            return self.error(Code::ReadOnly);
        }
        self.transaction = Some(Transaction { read_only, writes: Vec::new() });
        self.done(&[])
    }

    async fn read(&self, item: &str) -> Option<Bytes> {
        let Some(_slot) = self.target.acquire_slot().await else { return self.error(Code::Busy) };
        tokio::time::sleep(EXECUTION_TIME).await;
        // Rows include the session values, so that tests detect a session with another one's state.
        let values: Vec<String> = self.values.iter().map(|(k, v)| format!("{k}={v}")).collect();
        let own = self.transaction.iter().flat_map(|t| t.writes.iter().rev());
        let written = own.filter(|(name, _)| name == item).map(|(_, data)| data.clone()).next();
        let data = written.or_else(|| self.target.read(item)).unwrap_or_default();
        self.done(&[format!("{data}|{}", values.join(","))])
    }

    async fn write(&mut self, item: String, data: String) -> Option<Bytes> {
        let target = self.target.clone();
        let Some(_slot) = target.acquire_slot().await else { return self.error(Code::Busy) };
        tokio::time::sleep(target.write_time()).await;
        if !self.target.is_primary() || self.transaction.as_ref().is_some_and(|t| t.read_only) {
            return self.error(Code::ReadOnly);
        }
        if let Some(transaction) = &mut self.transaction {
            transaction.writes.push((item, data));
            return self.done(&[]);
        }
        self.apply(vec![(item, data)]).await
    }

    async fn commit(&mut self) -> Option<Bytes> {
        let target = self.target.clone();
        let Some(_slot) = target.acquire_slot().await else { return self.error(Code::Busy) };
        tokio::time::sleep(target.write_time()).await;
        match self.transaction.take() {
            None => self.error(Code::Malformed),
            Some(transaction) if transaction.writes.is_empty() => self.done(&[]),
            Some(transaction) => self.apply(transaction.writes).await,
        }
    }

    /// Commits writes; `None` drops the answer after the commit has taken effect.
    async fn apply(&self, writes: Vec<(String, String)>) -> Option<Bytes> {
        if self.target.commit(writes).is_none() {
            return self.error(Code::ReadOnly);
        }
        self.target.wait_replicated().await;
        if lock(&self.target.state).drops_commit_responses {
            return None;
        }
        self.done(&[])
    }
}
