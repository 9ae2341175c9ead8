//! State of a session, and the steps that prepare a connection to a target for it.
//!
//! Sessions share a small number of connections to targets, and a connection still holds what
//! earlier sessions set on it. Before a statement runs, the connection gets the session's values,
//! and the prepared statement that it needs is prepared under a name that depends only on its
//! shape. A value that the session has not set must not be set on the connection; only a reset of
//! the connection removes one.

use super::statement::Shape;
use std::collections::{BTreeMap, BTreeSet};

/// Session values by name.
pub type Values = BTreeMap<String, String>;

/// State of one caller's session.
#[derive(Debug, Clone, Default)]
pub struct Session {
    /// Values that the session has set.
    pub values: Values,
    /// Shapes of prepared statements by the name that the session gave them.
    pub prepared: BTreeMap<String, Shape>,
    bytes: usize,
}

/// Memory that a stored entry takes beside its texts.
const ENTRY_BYTES: usize = 128;
/// Number of statements prepared on a connection to a target from which it is reset before another
/// one is prepared. Sessions with many different statements would otherwise fill it.
const MAX_PREPARED: usize = 512;
/// Bytes of the texts of statements prepared on a connection to a target from which it is reset.
const MAX_PREPARED_BYTES: usize = 256 << 10;

impl Session {
    /// Memory that the values and prepared statements take.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Memory that they would take with a further entry, whose text has this length. An entry that
    /// it replaces is counted as well.
    pub fn bytes_with(&self, name: &str, text_bytes: usize) -> usize {
        self.bytes + entry_bytes(name, text_bytes)
    }

    /// Number of values and prepared statements.
    pub fn entries(&self) -> usize {
        self.values.len() + self.prepared.len()
    }

    /// Sets a value.
    pub fn set_value(&mut self, name: String, value: String) {
        self.bytes += entry_bytes(&name, value.len());
        let name_bytes = name.len();
        if let Some(former) = self.values.insert(name, value) {
            self.bytes -= name_bytes + former.len() + ENTRY_BYTES;
        }
    }

    /// Stores a prepared statement.
    pub fn prepare(&mut self, name: String, shape: Shape) {
        self.bytes += entry_bytes(&name, shape.text.len());
        let name_bytes = name.len();
        if let Some(former) = self.prepared.insert(name, shape) {
            self.bytes -= name_bytes + former.text.len() + ENTRY_BYTES;
        }
    }

    /// Removes a prepared statement. Returns whether there was one of this name.
    pub fn deallocate(&mut self, name: &str) -> bool {
        let Some(former) = self.prepared.remove(name) else { return false };
        self.bytes -= entry_bytes(name, former.text.len());
        true
    }
}

fn entry_bytes(name: &str, text_bytes: usize) -> usize {
    name.len() + text_bytes + ENTRY_BYTES
}

/// What a connection to a target holds from the sessions that used it.
#[derive(Debug, Clone, Default)]
pub struct ConnectionState {
    /// Values set on the connection.
    pub values: Values,
    /// Shapes prepared on the connection.
    pub prepared: BTreeSet<Shape>,
}

/// One step that prepares a connection for a session.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Step {
    /// Removes all values and prepared statements.
    Reset,
    /// Sets the value of a name.
    Set(String, String),
    /// Prepares a shape.
    Prepare(Shape),
}

impl ConnectionState {
    /// Returns the steps after which the connection holds exactly `values` and, if given, has
    /// `shape` prepared; empty if it already does.
    pub fn steps(&self, values: &Values, shape: Option<&Shape>) -> Vec<Step> {
        let mut steps = Vec::new();
        let needs_reset = self.values.keys().any(|name| !values.contains_key(name))
            || shape.is_some_and(|shape| !self.prepared.contains(shape) && self.is_full());
        if needs_reset {
            steps.push(Step::Reset);
        }
        for (name, value) in values {
            if needs_reset || self.values.get(name) != Some(value) {
                steps.push(Step::Set(name.clone(), value.clone()));
            }
        }
        if let Some(shape) = shape
            && (needs_reset || !self.prepared.contains(shape))
        {
            steps.push(Step::Prepare(shape.clone()));
        }
        steps
    }

    fn is_full(&self) -> bool {
        let bytes: usize = self.prepared.iter().map(|shape| shape.text.len()).sum();
        self.prepared.len() >= MAX_PREPARED || bytes >= MAX_PREPARED_BYTES
    }

    /// Updates the state after the target has confirmed a step.
    pub fn apply(&mut self, step: &Step) {
        match step {
            Step::Reset => *self = ConnectionState::default(),
            Step::Set(name, value) => {
                self.values.insert(name.clone(), value.clone());
            }
            Step::Prepare(shape) => {
                self.prepared.insert(shape.clone());
            }
        }
    }
}
