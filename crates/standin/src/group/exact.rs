//! Binary forms of the types whose values are kept as text: numbers, moments, ids, documents.

use bytes::BufMut;

use super::sqlstate::{self, Error, Result};

/// Days from 0000-03-01 to 2000-01-01.
const EPOCH_DAYS: i64 = 730_425;
const MICROS_A_DAY: i64 = 86_400_000_000;
/// Decimal digits in one digit of a binary number.
const GROUP: usize = 4;
const NEGATIVE: u16 = 0x4000;

/// `numeric`.
pub(crate) fn numeric(text: &str) -> Result<Vec<u8>> {
    let (sign, digits) = match text.strip_prefix('-') {
        Some(digits) => (NEGATIVE, digits),
        None => (0, text),
    };
    let (whole, fraction) = digits.split_once('.').unwrap_or((digits, ""));
    let width = whole.len().next_multiple_of(GROUP);
    let scale = fraction.len();
    let padded = format!("{whole:0>width$}{fraction:0<0$}", scale.next_multiple_of(GROUP));
    let mut groups = Vec::new();
    for at in (0..padded.len()).step_by(GROUP) {
        groups.push(part::<u16>(&padded, at, GROUP)?);
    }
    let mut weight = (width / GROUP) as i16 - 1;
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

/// `date`, from `2024-02-29`.
pub(crate) fn date(text: &str) -> Result<Vec<u8>> {
    Ok((days(text)? as i32).to_be_bytes().to_vec())
}

/// `timestamp` and `timestamptz`, from `2024-02-29 12:30:00.5`, in UTC.
pub(crate) fn timestamp(text: &str) -> Result<Vec<u8>> {
    let (hour, minute) = (part::<i64>(text, 11, 2)?, part::<i64>(text, 14, 2)?);
    let second = part::<i64>(text, 17, 2)?;
    let rest = text.get(19..).unwrap_or_default().trim_end_matches("+00");
    let fraction = format!("{:0<6}", rest.trim_start_matches('.'));
    let micros = part::<i64>(&fraction, 0, 6)? + 1_000_000 * (second + 60 * (minute + 60 * hour));
    Ok((days(text)? * MICROS_A_DAY + micros).to_be_bytes().to_vec())
}

/// `uuid`.
pub(crate) fn uuid(text: &str) -> Result<Vec<u8>> {
    let digits = text.replace('-', "");
    let byte = |at| u8::from_str_radix(digits.get(at..at + 2).unwrap_or(""), 16);
    (0..32).step_by(2).map(|at| byte(at).map_err(|_| invalid(text))).collect()
}

/// `jsonb`: a version and the text.
pub(crate) fn jsonb(text: &str) -> Vec<u8> {
    [&[1], text.as_bytes()].concat()
}

fn days(text: &str) -> Result<i64> {
    let (year, month) = (part::<i64>(text, 0, 4)?, part::<i64>(text, 5, 2)?);
    let day = part::<i64>(text, 8, 2)?;
    // Years begin with March here, so that the leap day comes last.
    let (year, month) = if month > 2 { (year, month - 3) } else { (year - 1, month + 9) };
    let leaps = year / 4 - year / 100 + year / 400;
    Ok(365 * year + leaps + (153 * month + 2) / 5 + day - 1 - EPOCH_DAYS)
}

fn part<T: std::str::FromStr>(text: &str, at: usize, width: usize) -> Result<T> {
    let part = text.get(at..at + width).and_then(|part| part.parse().ok());
    part.ok_or_else(|| invalid(text))
}

fn invalid(text: &str) -> Error {
    Error::new(sqlstate::INVALID_TEXT, format!("invalid input: {text}"))
}
