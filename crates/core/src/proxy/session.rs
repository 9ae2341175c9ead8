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
        let needs_reset = self.values.keys().any(|name| !values.contains_key(name));
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
