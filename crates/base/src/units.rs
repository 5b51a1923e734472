//! `serde_with` adapters for durations and sizes that are written with a unit.

use std::time::Duration;

use serde::de::Error;
use serde::Deserialize;
use serde::Deserializer;
use serde::Serializer;
use serde_with::DeserializeAs;
use serde_with::SerializeAs;

/// Reads and writes a `Duration` as a string with a unit, such as `250ms` or `2s`. Seconds
/// may have decimals.
pub struct Span;

impl SerializeAs<Duration> for Span {
    fn serialize_as<S: Serializer>(source: &Duration, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(&humantime::format_duration(*source))
    }
}

impl<'de> DeserializeAs<'de, Duration> for Span {
    fn deserialize_as<D: Deserializer<'de>>(deserializer: D) -> Result<Duration, D::Error> {
        let text = String::deserialize(deserializer)?;
        let parsed = match parse_secs(&text) {
            Some(duration) => return Ok(duration),
            None => humantime::parse_duration(&text),
        };
        parsed.map_err(|error| {
            D::Error::custom(format!(
                "\"{text}\" is not a duration ({error}); write a number with a unit, \
                 such as \"250ms\" or \"2s\""
            ))
        })
    }
}

/// Parses a number of seconds with decimals, such as `2.5s`; returns none for other texts.
fn parse_secs(text: &str) -> Option<Duration> {
    let number = text.strip_suffix('s')?;
    let digits = number.bytes().all(|c| c.is_ascii_digit() || c == b'.');
    let secs = number.parse().ok().filter(|_| digits)?;
    Duration::try_from_secs_f64(secs).ok()
}

/// Reads and writes a size in bytes as a string with a unit, such as `64KiB`.
pub struct Size;

/// The units of [`Size`] with their sizes in bytes, in descending order.
const SIZE_UNITS: [(&str, usize); 3] = [("MiB", 1 << 20), ("KiB", 1 << 10), ("B", 1)];

impl SerializeAs<usize> for Size {
    fn serialize_as<S: Serializer>(source: &usize, serializer: S) -> Result<S::Ok, S::Error> {
        let unit = SIZE_UNITS
            .iter()
            .find(|(_, factor)| source.is_multiple_of(*factor));
        let (name, factor) = unit.copied().unwrap_or(("B", 1));
        serializer.collect_str(&format_args!("{}{name}", source / factor))
    }
}

impl<'de> DeserializeAs<'de, usize> for Size {
    fn deserialize_as<D: Deserializer<'de>>(deserializer: D) -> Result<usize, D::Error> {
        let text = String::deserialize(deserializer)?;
        parse_size(&text).ok_or_else(|| {
            D::Error::custom(format!(
                "\"{text}\" is not a size; write a whole number with a unit, \
                 such as \"512B\", \"64KiB\" or \"1MiB\""
            ))
        })
    }
}

fn parse_size(text: &str) -> Option<usize> {
    let digits = text.trim_end_matches(|c: char| !c.is_ascii_digit());
    let number: usize = digits.parse().ok()?;
    let unit = text[digits.len()..].trim();
    let (_, factor) = SIZE_UNITS.iter().find(|(name, _)| *name == unit)?;
    number.checked_mul(*factor)
}
