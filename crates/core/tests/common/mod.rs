//! What the runners of the data path's cases share.

pub(crate) mod write;

use bergamotvale_core::log::Position;
use serde::de::DeserializeOwned;
use std::path::Path;

/// Reads a case.
pub(crate) fn case<T: DeserializeOwned>(path: &Path) -> datatest_stable::Result<T> {
    let text = std::fs::read_to_string(path)?;
    Ok(serde_yaml_ng::from_str(&text)?)
}

/// Reads `term.index`.
pub(crate) fn position(text: &str) -> Position {
    let (term, index) = text.split_once('.').expect("a position is term.index");
    Position::new(term.parse().expect("a term"), index.parse().expect("an index"))
}
