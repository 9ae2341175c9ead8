//! The session token: what a caller has seen, carried by the caller.
//!
//! A token names, per service, the position that the next read must cover. It grants nothing:
//! forging one makes a read wait for a position, no more. It only ever names acknowledged
//! positions, so that no failover can erase what a session waits for.

use crate::error::{Error, Result};
use crate::id::ServiceId;
use crate::log::Position;
use std::collections::BTreeMap;
use std::fmt;
use std::str::FromStr;

/// First field of every token.
const FORMAT: &str = "1";
/// Services that one token may name.
pub const MAX_SERVICES: usize = 64;
/// Bytes of a token's text.
pub const MAX_TEXT_BYTES: usize = 4096;

/// What a session has seen, per service.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Token {
    positions: BTreeMap<ServiceId, Position>,
}

impl Token {
    /// A token that names nothing.
    pub fn new() -> Token {
        Token::default()
    }

    /// The same token with `position` of `service` merged in.
    pub fn with_position(mut self, service: ServiceId, position: Position) -> Token {
        self.observe(service, position);
        self
    }

    /// Position that a read of `service` must cover.
    pub fn position(&self, service: ServiceId) -> Option<Position> {
        self.positions.get(&service).copied()
    }

    /// Merges an acknowledged position by maximum.
    pub fn observe(&mut self, service: ServiceId, position: Position) {
        let known = self.positions.entry(service).or_insert(position);
        *known = position.max(*known);
    }

    /// Merges another token by maximum.
    pub fn merge(&mut self, other: &Token) {
        for (service, position) in &other.positions {
            self.observe(*service, *position);
        }
    }
}

impl fmt::Display for Token {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(FORMAT)?;
        for (service, position) in &self.positions {
            write!(f, ";{service}={position}")?;
        }
        Ok(())
    }
}

impl FromStr for Token {
    type Err = Error;

    fn from_str(text: &str) -> Result<Token> {
        if text.len() > MAX_TEXT_BYTES {
            return Err(Error::MalformedToken);
        }
        let mut fields = text.split(';');
        if fields.next() != Some(FORMAT) {
            return Err(Error::MalformedToken);
        }
        let mut token = Token::new();
        for field in fields {
            let (service, position) = parse_field(field).ok_or(Error::MalformedToken)?;
            token.observe(service, position);
        }
        if token.positions.len() > MAX_SERVICES {
            return Err(Error::MalformedToken);
        }
        Ok(token)
    }
}

fn parse_field(field: &str) -> Option<(ServiceId, Position)> {
    let (service, position) = field.split_once('=')?;
    let (term, index) = position.split_once('.')?;
    let position = Position::new(term.parse().ok()?, index.parse().ok()?);
    Some((service.parse().ok()?, position))
}
