//! Session tokens: the log positions that a caller has seen, carried by the caller.
//!
//! For each service a token contains the position that the next read must cover. It grants no
//! rights: a forged token can only make a read wait for a position. It contains only acknowledged
//! positions, so a failover cannot lose an entry that a session waits for.

use crate::error::{Error, Result};
use crate::id::ServiceId;
use crate::log::Position;
use std::collections::BTreeMap;
use std::fmt;
use std::str::FromStr;

/// Format version, which is the first field of every token.
const FORMAT: &str = "1";
/// Maximum number of services in a token.
pub const MAX_SERVICES: usize = 64;
/// Maximum length of a token's text in bytes.
pub const MAX_TEXT_BYTES: usize = 4096;

/// The position that a session has seen, for each service.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Token {
    positions: BTreeMap<ServiceId, Position>,
}

impl Token {
    /// Creates a token without positions.
    pub fn new() -> Token {
        Token::default()
    }

    /// Merges `position` of `service` into the token, as [`Token::observe`] does.
    pub fn with_position(mut self, service: ServiceId, position: Position) -> Token {
        self.observe(service, position);
        self
    }

    /// Position that a read of `service` must cover, if any.
    pub fn position(&self, service: ServiceId) -> Option<Position> {
        self.positions.get(&service).copied()
    }

    /// Merges an acknowledged position: the higher one is kept.
    pub fn observe(&mut self, service: ServiceId, position: Position) {
        let known = self.positions.entry(service).or_insert(position);
        *known = position.max(*known);
    }

    /// Merges another token: for each service the higher position is kept.
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
