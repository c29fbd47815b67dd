//! Parsers of single values; each error message continues the sentence "VALUE …".

use std::{fmt::Display, ops::RangeInclusive, str::FromStr, time::Duration};

use goldcrestvale_gateway::settings::Mode;
use log::LevelFilter;

use crate::logging::{Format, Output};

/// The result of parsing one value.
pub(super) type Result<T> = std::result::Result<T, String>;

/// Maximum duration of a setting, in milliseconds.
const MAX_MILLIS: u64 = 24 * 60 * 60 * 1_000;

pub(super) fn from_str<T>(value: &str) -> Result<T>
where
    T: FromStr,
    T::Err: Display,
{
    value.parse().map_err(|e| format!("is not valid: {e}"))
}

pub(super) fn number<T>(value: &str, range: RangeInclusive<T>) -> Result<T>
where
    T: FromStr + PartialOrd + Display,
{
    let number: T = value.parse().map_err(|_| "is not an integer in the valid range".to_owned())?;
    if range.contains(&number) {
        return Ok(number);
    }
    Err(format!("is not from {} to {}", range.start(), range.end()))
}

pub(super) fn millis(value: &str) -> Result<Duration> {
    number(value, 1..=MAX_MILLIS).map(Duration::from_millis)
}

pub(super) fn text(value: &str) -> Result<String> {
    if value.is_empty() {
        return Err("is empty".to_owned());
    }
    Ok(value.to_owned())
}

pub(super) fn level(value: &str) -> Result<LevelFilter> {
    value.parse().map_err(|_| "is not a level".to_owned())
}

pub(super) fn output(value: &str) -> Result<Output> {
    match value {
        "stdout" => Ok(Output::Stdout),
        "stderr" => Ok(Output::Stderr),
        _ => Err("is not an output".to_owned()),
    }
}

/// Parses a number from 0 to 1,000, with or without a fraction.
pub(super) fn ratio(value: &str) -> Result<f64> {
    match value.parse() {
        Ok(ratio) if (0.0..=1_000.0).contains(&ratio) => Ok(ratio),
        _ => Err("is not a number from 0 to 1000".to_owned()),
    }
}

/// Parses a number of retries, with or without a fraction.
pub(super) fn retries(value: &str) -> Result<f64> {
    match value.parse() {
        Ok(retries) if (0.0..=1_000_000.0).contains(&retries) => Ok(retries),
        _ => Err("is not a number from 0 to 1000000".to_owned()),
    }
}

/// Parses a size in megabytes, with or without a fraction, into bytes.
pub(super) fn megabytes(value: &str) -> Result<u64> {
    match value.parse::<f64>() {
        Ok(size) if (64.0..=1_000_000.0).contains(&size) => Ok((size * 1e6) as u64),
        _ => Err("is not a number from 64 to 1000000".to_owned()),
    }
}

pub(super) fn boolean(value: &str) -> Result<bool> {
    value.parse().map_err(|_| "is not true or false".to_owned())
}

pub(super) fn mode(value: &str) -> Result<Mode> {
    match value {
        "auto" => Ok(Mode::Auto),
        "off" => Ok(Mode::Off),
        _ => Err("is neither auto nor off".to_owned()),
    }
}

/// Parses a duration in seconds, with or without a fraction.
pub(super) fn seconds(value: &str) -> Result<Duration> {
    match value.parse() {
        Ok(seconds) if (0.001..=86_400.0).contains(&seconds) => {
            Ok(Duration::from_secs_f64(seconds))
        }
        _ => Err("is not a number of seconds from 0.001 to 86400".to_owned()),
    }
}

pub(super) fn format(value: &str) -> Result<Format> {
    match value {
        "text" => Ok(Format::Text),
        "json" => Ok(Format::Json),
        _ => Err("is not a format".to_owned()),
    }
}
