//! Binary wire formats of the types whose values are stored as text: `numeric`, dates and times,
//! `uuid` and `jsonb`.

use bytes::BufMut;

use super::sqlstate::{self, Error, Result};

/// Days from 0000-03-01 to 2000-01-01, the epoch of the binary formats.
const EPOCH_OFFSET_DAYS: i64 = 730_425;
const MICROS_PER_DAY: i64 = 86_400_000_000;
/// Decimal digits in one base-10000 digit of a binary `numeric`.
const DIGITS_PER_GROUP: usize = 4;
const NUMERIC_NEGATIVE: u16 = 0x4000;

/// Encodes a `numeric`.
pub(crate) fn numeric(text: &str) -> Result<Vec<u8>> {
    let (sign, digits) = match text.strip_prefix('-') {
        Some(digits) => (NUMERIC_NEGATIVE, digits),
        None => (0, text),
    };
    let (whole, fraction) = digits.split_once('.').unwrap_or((digits, ""));
    let width = whole.len().next_multiple_of(DIGITS_PER_GROUP);
    let scale = fraction.len();
    let padded =
        format!("{whole:0>width$}{fraction:0<0$}", scale.next_multiple_of(DIGITS_PER_GROUP));
    let mut groups = Vec::new();
    for at in (0..padded.len()).step_by(DIGITS_PER_GROUP) {
        groups.push(parse_field::<u16>(&padded, at, DIGITS_PER_GROUP)?);
    }
    let mut weight = (width / DIGITS_PER_GROUP) as i16 - 1;
    while groups.first() == Some(&0) {
        groups.remove(0);
        weight -= 1;
    }
    while groups.last() == Some(&0) {
        groups.pop();
    }
    let mut bytes = Vec::new();
    bytes.put_u16(groups.len() as u16);
    bytes.put_i16(if groups.is_empty() { 0 } else { weight });
    bytes.put_u16(sign);
    bytes.put_u16(scale as u16);
    groups.into_iter().for_each(|group| bytes.put_u16(group));
    Ok(bytes)
}

/// Encodes a `date` such as `2024-02-29`.
pub(crate) fn date(text: &str) -> Result<Vec<u8>> {
    Ok((days_since_epoch(text)? as i32).to_be_bytes().to_vec())
}

/// Encodes a `timestamp` or `timestamptz` such as `2024-02-29 12:30:00.5`, in UTC.
pub(crate) fn timestamp(text: &str) -> Result<Vec<u8>> {
    let (hour, minute) = (parse_field::<i64>(text, 11, 2)?, parse_field::<i64>(text, 14, 2)?);
    let second = parse_field::<i64>(text, 17, 2)?;
    let rest = text.get(19..).unwrap_or_default().trim_end_matches("+00");
    let fraction = format!("{:0<6}", rest.trim_start_matches('.'));
    let micros =
        parse_field::<i64>(&fraction, 0, 6)? + 1_000_000 * (second + 60 * (minute + 60 * hour));
    Ok((days_since_epoch(text)? * MICROS_PER_DAY + micros).to_be_bytes().to_vec())
}

/// Encodes a `uuid`.
pub(crate) fn uuid(text: &str) -> Result<Vec<u8>> {
    let digits = text.replace('-', "");
    let byte = |at| u8::from_str_radix(digits.get(at..at + 2).unwrap_or(""), 16);
    (0..32).step_by(2).map(|at| byte(at).map_err(|_| invalid_input(text))).collect()
}

/// Encodes a `jsonb`: a version byte, then the text.
pub(crate) fn jsonb(text: &str) -> Vec<u8> {
    [&[1], text.as_bytes()].concat()
}

fn days_since_epoch(text: &str) -> Result<i64> {
    let (year, month) = (parse_field::<i64>(text, 0, 4)?, parse_field::<i64>(text, 5, 2)?);
    let day = parse_field::<i64>(text, 8, 2)?;
    // Count years from March, so that the leap day is the last day of a year.
    let (year, month) = if month > 2 { (year, month - 3) } else { (year - 1, month + 9) };
    let leaps = year / 4 - year / 100 + year / 400;
    Ok(365 * year + leaps + (153 * month + 2) / 5 + day - 1 - EPOCH_OFFSET_DAYS)
}

fn parse_field<T: std::str::FromStr>(text: &str, at: usize, width: usize) -> Result<T> {
    let field = text.get(at..at + width).and_then(|digits| digits.parse().ok());
    field.ok_or_else(|| invalid_input(text))
}

fn invalid_input(text: &str) -> Error {
    Error::new(sqlstate::INVALID_TEXT, format!("invalid input: {text}"))
}
