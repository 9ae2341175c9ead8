//! Helpers that the tests of the core share.

pub(crate) mod case;
pub(crate) mod write;

use bergamotvale_core::log::Position;

/// Parses a position written as `term.index`.
pub(crate) fn position(text: &str) -> Position {
    let (term, index) = text.split_once('.').expect("a position is term.index");
    Position::new(
        term.parse().expect("the term is a number"),
        index.parse().expect("the index is a number"),
    )
}
