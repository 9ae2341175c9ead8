//! The one write transaction that a primary runs at a time.
//!
//! Others wait in order of arrival; the connection limit bounds their number.

use std::collections::VecDeque;
use std::sync::{Arc, Condvar, Mutex};

use super::control::{Control, LOOK_PERIOD};
use super::database::{Database, Outcome};
use super::log::{Statement, Term};
use super::sqlstate::Result;
use crate::sync::{lock, wait};

/// Working copy of a primary's data, and who may use it.
pub(crate) struct Writer {
    /// The copy.
    pub(crate) database: Mutex<Database>,
    queue: Mutex<Queue>,
    released: Condvar,
}

#[derive(Default)]
struct Queue {
    waiting: VecDeque<u64>,
    sequence: u64,
}

/// A write transaction; dropped before its commit it is rolled back.
pub(crate) struct Transaction {
    /// The copy that it works in.
    pub(crate) writer: Arc<Writer>,
    /// Term of the primary when it began.
    pub(crate) term: Term,
    /// Statements that succeeded so far.
    pub(crate) statements: Vec<Statement>,
    ticket: u64,
}

impl Writer {
    /// A writer over a copy of the committed data.
    pub(crate) fn new(database: Database) -> Self {
        let database = Mutex::new(database);
        Writer { database, queue: Mutex::default(), released: Condvar::new() }
    }

    /// Waits for the turn and begins; `check` may refuse until then.
    pub(crate) fn begin(
        self: &Arc<Self>,
        term: Term,
        control: &Control,
        check: impl Fn() -> Result<()>,
    ) -> Result<Transaction> {
        let ticket = self.enqueue();
        let statements = Vec::new();
        let transaction = Transaction { writer: self.clone(), term, statements, ticket };
        self.wait(ticket, control)?;
        check()?;
        lock(&self.database).control("BEGIN")?;
        Ok(transaction)
    }

    fn enqueue(&self) -> u64 {
        let mut queue = lock(&self.queue);
        queue.sequence += 1;
        let ticket = queue.sequence;
        queue.waiting.push_back(ticket);
        ticket
    }

    fn wait(&self, ticket: u64, control: &Control) -> Result<()> {
        let mut queue = lock(&self.queue);
        while queue.waiting.front() != Some(&ticket) {
            control.check()?;
            queue = wait(&self.released, queue, LOOK_PERIOD);
        }
        Ok(())
    }

    fn release(&self, ticket: u64) {
        let mut queue = lock(&self.queue);
        queue.waiting.retain(|waiting| *waiting != ticket);
        self.released.notify_all();
    }
}

impl Transaction {
    /// Runs a statement in the transaction.
    pub(crate) fn run(
        &mut self,
        sql: &str,
        params: &[rusqlite::types::Value],
        control: &Arc<Control>,
    ) -> Result<Outcome> {
        let outcome = lock(&self.writer.database).run(sql, params, control)?;
        if outcome.wrote {
            self.statements.push(Statement { sql: sql.to_owned(), params: params.to_vec() });
        }
        Ok(outcome)
    }

    fn holds_turn(&self) -> bool {
        lock(&self.writer.queue).waiting.front() == Some(&self.ticket)
    }
}

impl Drop for Transaction {
    fn drop(&mut self) {
        if self.holds_turn() {
            let database = lock(&self.writer.database);
            if database.in_transaction()
                && let Err(error) = database.control("ROLLBACK")
            {
                log::error!("rollback: {error}");
            }
        }
        self.writer.release(self.ticket);
    }
}
