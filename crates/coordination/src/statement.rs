//! What an upstream states of itself in the head of an answer.

#[cfg(test)]
mod tests;

use std::time::Duration;

use crate::dialect::Dialect;

/// What an upstream states of itself in the head of one answer.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Statement {
    /// Limit on the requests that it accepts from all nodes together.
    pub limit: StatedLimit,
    /// Whether it is about to stop and accepts no new requests.
    pub is_leaving: bool,
    /// Time for which it stays cold, if stated.
    pub cold: Option<Duration>,
}

/// Limit on requests that an upstream states in an answer.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum StatedLimit {
    /// The answer states no limit.
    #[default]
    None,
    /// The upstream accepts this rate.
    Rate(RequestRate),
    /// The stated value is no rate. It says nothing about the limit in force.
    Unusable,
}

/// Rate of requests, finite and not negative.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub struct RequestRate(f64);

impl RequestRate {
    /// Returns a rate in requests per second, or `None` if the number is negative or not finite.
    #[must_use]
    pub fn new(per_second: f64) -> Option<Self> {
        let is_valid = per_second.is_finite() && per_second >= 0.0;
        is_valid.then_some(Self(per_second))
    }

    /// Returns the requests per second.
    #[must_use]
    pub fn per_second(self) -> f64 {
        self.0
    }
}

impl Statement {
    /// Reads the statement from the headers of an answer; `values` returns all values of a header.
    pub fn read<'a, V>(dialect: &Dialect, values: impl Fn(&'static str) -> V) -> Self
    where
        V: IntoIterator<Item = &'a [u8]>,
    {
        let values = |name: Option<&'static str>| name.map(&values).into_iter().flatten();
        let mut limit = StatedLimit::None;
        for value in values(dialect.request_limit) {
            limit = limit.strictest(parse_rate(value));
        }
        let is_leaving = values(dialect.leaving).any(|value| value.trim_ascii() == b"1");
        let cold = values(dialect.cold_ms).filter_map(parse_millis).max();
        Self {
            limit,
            is_leaving,
            cold,
        }
    }
}

impl StatedLimit {
    fn strictest(self, other: Self) -> Self {
        match (self, other) {
            (Self::Rate(a), Self::Rate(b)) => Self::Rate(if b < a { b } else { a }),
            (Self::Rate(rate), _) | (_, Self::Rate(rate)) => Self::Rate(rate),
            (Self::Unusable, _) | (_, Self::Unusable) => Self::Unusable,
            (Self::None, Self::None) => Self::None,
        }
    }
}

fn parse_rate(value: &[u8]) -> StatedLimit {
    let rate = parse_number(value).and_then(RequestRate::new);
    rate.map_or(StatedLimit::Unusable, StatedLimit::Rate)
}

/// Longest stated cold time; a longer one is taken as this.
const MAX_COLD: Duration = Duration::from_secs(3600);

fn parse_millis(value: &[u8]) -> Option<Duration> {
    let millis = parse_number(value)?;
    let is_valid = millis.is_finite() && millis >= 0.0;
    let seconds = (millis / 1000.0).min(MAX_COLD.as_secs_f64());
    is_valid.then(|| Duration::from_secs_f64(seconds))
}

fn parse_number(value: &[u8]) -> Option<f64> {
    std::str::from_utf8(value).ok()?.trim().parse().ok()
}
