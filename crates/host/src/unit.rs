//! Formats of values with units in settings: durations such as `250ms`, sizes such as `64KiB`.

use serde::{Deserialize, Deserializer, Serializer};
use serde_with::{DeserializeAs, SerializeAs};
use std::time::Duration;

/// Suffixes of sizes with their number of bytes, largest first; `B` is a suffix of all others and
/// must come last.
const SIZE_SUFFIXES: [(&str, usize); 4] =
    [("GiB", 1 << 30), ("MiB", 1 << 20), ("KiB", 1 << 10), ("B", 1)];

/// Serializes a [`Duration`] as text with a unit.
pub struct Span;

impl SerializeAs<Duration> for Span {
    fn serialize_as<S: Serializer>(source: &Duration, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(&humantime::format_duration(*source))
    }
}

impl<'de> DeserializeAs<'de, Duration> for Span {
    fn deserialize_as<D: Deserializer<'de>>(deserializer: D) -> Result<Duration, D::Error> {
        let text = String::deserialize(deserializer)?;
        humantime::parse_duration(&text)
            .map_err(|e| serde::de::Error::custom(format!("`{text}` is no time with a unit: {e}")))
    }
}

/// Serializes a number of bytes as text with a unit.
pub struct Size;

impl SerializeAs<usize> for Size {
    fn serialize_as<S: Serializer>(source: &usize, serializer: S) -> Result<S::Ok, S::Error> {
        let (suffix, bytes) = SIZE_SUFFIXES
            .iter()
            .find(|(_, bytes)| source.is_multiple_of(*bytes))
            .expect("one byte divides any size");
        serializer.collect_str(&format_args!("{}{suffix}", source / bytes))
    }
}

impl<'de> DeserializeAs<'de, usize> for Size {
    fn deserialize_as<D: Deserializer<'de>>(deserializer: D) -> Result<usize, D::Error> {
        let text = String::deserialize(deserializer)?;
        parse_size(&text).ok_or_else(|| {
            serde::de::Error::custom(format!("`{text}` is no size with a unit, such as 64KiB"))
        })
    }
}

fn parse_size(text: &str) -> Option<usize> {
    let (suffix, bytes) = SIZE_SUFFIXES.iter().find(|(suffix, _)| text.ends_with(suffix))?;
    let number = text.strip_suffix(suffix)?.trim_end();
    number.parse::<usize>().ok()?.checked_mul(*bytes)
}
