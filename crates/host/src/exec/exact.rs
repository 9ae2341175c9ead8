//! Decodes numerics, dates and timestamps from PostgreSQL's binary format into exact text.
//!
//! The text is the one that PostgreSQL produces with ISO dates and the time zone UTC, so that a
//! caller may send it back as a parameter unchanged.

use super::value::Fault;
use postgres_types::{FromSql, Type};

/// Days from 0000-03-01 to 2000-01-01, in the proleptic Gregorian calendar.
const EPOCH_DAYS: i64 = 730_425;
const DAYS_PER_CYCLE: i64 = 146_097;
const YEARS_PER_CYCLE: i64 = 400;
const MICROS_PER_SECOND: i64 = 1_000_000;
const SECONDS_PER_DAY: i64 = 86_400;
const NEGATIVE: u16 = 0x4000;
const NAN: u16 = 0xC000;
const INFINITY: u16 = 0xD000;
const NEGATIVE_INFINITY: u16 = 0xF000;
/// Decimal digits in one group, a base-10000 digit of the binary format.
const DIGITS_PER_GROUP: usize = 4;

/// Text of a `numeric`, `date`, `timestamp` or `timestamptz` value, without loss of precision.
#[derive(Debug, PartialEq, Eq)]
pub struct Exact(pub String);

impl<'a> FromSql<'a> for Exact {
    fn from_sql(kind: &Type, raw: &'a [u8]) -> Result<Exact, Fault> {
        let text = match *kind {
            Type::NUMERIC => numeric(raw)?,
            Type::DATE => date(i32::from_be_bytes(raw.try_into()?)),
            Type::TIMESTAMP => timestamp(i64::from_be_bytes(raw.try_into()?), ""),
            _ => timestamp(i64::from_be_bytes(raw.try_into()?), "+00"),
        };
        Ok(Exact(text))
    }

    fn accepts(kind: &Type) -> bool {
        [Type::NUMERIC, Type::DATE, Type::TIMESTAMP, Type::TIMESTAMPTZ].contains(kind)
    }
}

fn numeric(raw: &[u8]) -> Result<String, Fault> {
    let (words, rest) = raw.as_chunks::<2>();
    let mut words = words.iter().map(|word| u16::from_be_bytes(*word));
    let (Some(count), Some(weight), Some(sign), Some(scale), true) =
        (words.next(), words.next(), words.next(), words.next(), rest.is_empty())
    else {
        return Err("a numeric is cut".into());
    };
    let digits: Vec<u16> = words.collect();
    if digits.len() != usize::from(count) || digits.iter().any(|digit| *digit > 9999) {
        return Err("a numeric is malformed".into());
    }
    let weight = i64::from(weight.cast_signed());
    Ok(match sign {
        NAN => "NaN".into(),
        INFINITY => "Infinity".into(),
        NEGATIVE_INFINITY => "-Infinity".into(),
        NEGATIVE => format!("-{}", decimal(&digits, weight, usize::from(scale))),
        _ => decimal(&digits, weight, usize::from(scale)),
    })
}

/// Decimal text of `digits` in base 10000, the first of which has the place value 10000^`weight`.
fn decimal(digits: &[u16], weight: i64, scale: usize) -> String {
    let group = |power: i64| {
        let at = usize::try_from(weight - power).ok();
        at.and_then(|at| digits.get(at)).copied().unwrap_or(0)
    };
    let whole: String = (0..=weight).rev().map(|power| format!("{:04}", group(power))).collect();
    let whole = match whole.trim_start_matches('0') {
        "" => "0",
        whole => whole,
    };
    if scale == 0 {
        return whole.to_owned();
    }
    let groups = scale.div_ceil(DIGITS_PER_GROUP);
    let fraction: String =
        (1..).take(groups).map(|power: i64| format!("{:04}", group(-power))).collect();
    format!("{whole}.{}", &fraction[..scale])
}

fn date(days: i32) -> String {
    match days {
        i32::MAX => "infinity".into(),
        i32::MIN => "-infinity".into(),
        days => {
            let (date, era) = calendar(days.into());
            format!("{date}{era}")
        }
    }
}

fn timestamp(micros: i64, zone: &str) -> String {
    match micros {
        i64::MAX => return "infinity".into(),
        i64::MIN => return "-infinity".into(),
        _ => {}
    }
    let (seconds, micros) =
        (micros.div_euclid(MICROS_PER_SECOND), micros.rem_euclid(MICROS_PER_SECOND));
    let (date, era) = calendar(seconds.div_euclid(SECONDS_PER_DAY));
    let second = seconds.rem_euclid(SECONDS_PER_DAY);
    let (hour, minute, second) = (second / 3600, second / 60 % 60, second % 60);
    let fraction = format!(".{micros:06}");
    let fraction = fraction.trim_end_matches('0').trim_end_matches('.');
    format!("{date} {hour:02}:{minute:02}:{second:02}{fraction}{zone}{era}")
}

/// The date `days` after 2000-01-01, and the suffix ` BC` for years before year 1.
fn calendar(days: i64) -> (String, &'static str) {
    let days = days + EPOCH_DAYS;
    let (cycle, day) = (days.div_euclid(DAYS_PER_CYCLE), days.rem_euclid(DAYS_PER_CYCLE));
    let year = (day - day / 1460 + day / 36_524 - day / 146_096) / 365;
    let day = day - (365 * year + year / 4 - year / 100);
    // Years are counted from March, so that the leap day is the last day of a year.
    let month = (5 * day + 2) / 153;
    let day = day - (153 * month + 2) / 5 + 1;
    let (month, year_offset) = if month < 10 { (month + 3, 0) } else { (month - 9, 1) };
    let year = cycle * YEARS_PER_CYCLE + year + year_offset;
    let (year, era) = if year > 0 { (year, "") } else { (1 - year, " BC") };
    (format!("{year:04}-{month:02}-{day:02}"), era)
}
