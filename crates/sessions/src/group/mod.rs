//! Database groups: who leads them, and what replaces a primary.

pub mod promote;
pub mod roster;
pub mod survey;
