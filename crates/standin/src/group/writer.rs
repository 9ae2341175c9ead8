//! Write transactions of a primary, which run one at a time.
//!
//! Waiting transactions are queued in order of arrival; the connection limit bounds their number.

use std::collections::VecDeque;
use std::sync::{Arc, Condvar, Mutex};

use super::control::{Control, INTERRUPT_POLL_INTERVAL};
use super::database::{Database, Outcome};
use super::log::{Statement, Term};
use super::sqlstate::Result;
use crate::sync::{lock, wait};

/// Copy of a primary's data in which write transactions run, and the queue for it.
pub(crate) struct Writer {
    /// Committed data plus the changes of the running transaction.
    pub(crate) database: Mutex<Database>,
    queue: Mutex<Queue>,
    released: Condvar,
}

#[derive(Default)]
struct Queue {
    /// Tickets; the first one belongs to the running transaction.
    waiting: VecDeque<u64>,
    sequence: u64,
}

/// A write transaction; dropping it before its commit rolls it back.
pub(crate) struct Transaction {
    pub(crate) writer: Arc<Writer>,
    /// Term of the primary when the transaction began.
    pub(crate) term: Term,
    /// Writes that succeeded so far; they become the log entry.
    pub(crate) statements: Vec<Statement>,
    ticket: u64,
}

impl Writer {
    /// `database` is a copy of the committed data.
    pub(crate) fn new(database: Database) -> Self {
        let database = Mutex::new(database);
        Writer { database, queue: Mutex::default(), released: Condvar::new() }
    }

    /// Waits for the transaction's turn and begins it, unless `check` fails then.
    pub(crate) fn begin(
        self: &Arc<Self>,
        term: Term,
        control: &Control,
        check: impl Fn() -> Result<()>,
    ) -> Result<Transaction> {
        let ticket = self.enqueue();
        let statements = Vec::new();
        let transaction = Transaction { writer: self.clone(), term, statements, ticket };
        self.wait_for_turn(ticket, control)?;
        check()?;
        lock(&self.database).run_transaction_command("BEGIN")?;
        Ok(transaction)
    }

    fn enqueue(&self) -> u64 {
        let mut queue = lock(&self.queue);
        queue.sequence += 1;
        let ticket = queue.sequence;
        queue.waiting.push_back(ticket);
        ticket
    }

    fn wait_for_turn(&self, ticket: u64, control: &Control) -> Result<()> {
        let mut queue = lock(&self.queue);
        while queue.waiting.front() != Some(&ticket) {
            control.check_interrupts()?;
            queue = wait(&self.released, queue, INTERRUPT_POLL_INTERVAL);
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
    pub(crate) fn run(
        &mut self,
        sql: &str,
        params: &[rusqlite::types::Value],
        control: &Arc<Control>,
    ) -> Result<Outcome> {
        let outcome = lock(&self.writer.database).run(sql, params, control)?;
        if outcome.is_write {
            self.statements.push(Statement { sql: sql.to_owned(), params: params.to_vec() });
        }
        Ok(outcome)
    }

    fn is_at_front(&self) -> bool {
        lock(&self.writer.queue).waiting.front() == Some(&self.ticket)
    }
}

impl Drop for Transaction {
    fn drop(&mut self) {
        if self.is_at_front() {
            let database = lock(&self.writer.database);
            if database.in_transaction()
                && let Err(error) = database.run_transaction_command("ROLLBACK")
            {
                log::error!("failed to roll back a write transaction: {error}");
            }
        }
        self.writer.release(self.ticket);
    }
}
