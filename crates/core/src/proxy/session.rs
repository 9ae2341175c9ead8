//! What a session has set and prepared, and how a connection is brought to match it.
//!
//! Sessions share the few connections to targets. A connection carries what earlier sessions left
//! on it; before a statement runs, the connection is brought to the session's values, and the
//! prepared statement that it needs is prepared there under a name that depends on its shape only.
//! Values that the session has not set must not be set on the connection, which only a reset of
//! the connection undoes.

use super::statement::Shape;
use std::collections::{BTreeMap, BTreeSet};

/// Values by name.
pub type Values = BTreeMap<String, String>;

/// State of one caller's session.
#[derive(Debug, Clone, Default)]
pub struct Session {
    /// Values that the session has set.
    pub values: Values,
    /// Prepared statements by the session's name.
    pub prepared: BTreeMap<String, Shape>,
}

/// What a connection to a target holds.
#[derive(Debug, Clone, Default)]
pub struct ConnectionState {
    /// Values set there.
    pub values: Values,
    /// Shapes prepared there.
    pub prepared: BTreeSet<Shape>,
}

/// One step that brings a connection to a session's state.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Step {
    /// Drop all values and prepared statements.
    Reset,
    /// Set a value.
    Set(String, String),
    /// Prepare a shape.
    Prepare(Shape),
}

impl ConnectionState {
    /// Steps that make the connection hold `values` and, where one is needed, `shape`.
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

    /// Notes that the target has confirmed a step.
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
