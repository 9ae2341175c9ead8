//! What the runners of the data path's cases share.

pub(crate) mod case;
pub(crate) mod write;

use bergamotvale_core::log::Position;

/// Reads `term.index`.
pub(crate) fn position(text: &str) -> Position {
    let (term, index) = text.split_once('.').expect("a position is term.index");
    Position::new(term.parse().expect("a term"), index.parse().expect("an index"))
}
