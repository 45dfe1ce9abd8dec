//! Times are whole milliseconds that callers pass to the decision code, which never reads a clock.

use std::fmt;
use std::ops::Add;
use std::ops::Sub;
use std::str::FromStr;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::error::ValueError;

/// A duration, or a point in time since the start of the process, in milliseconds.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Millis(pub u64);

impl Millis {
    /// A duration of zero.
    pub const ZERO: Self = Self(0);

    /// Creates a duration of `n` seconds.
    pub const fn secs(n: u64) -> Self {
        Self(n * 1000)
    }

    /// Returns the duration from `earlier` to `self`, or zero if `earlier` is later.
    #[must_use]
    pub const fn since(self, earlier: Self) -> Self {
        Self(self.0.saturating_sub(earlier.0))
    }

    /// Returns the duration in seconds, rounded up, as the `Retry-After` header needs it.
    pub const fn ceil_secs(self) -> u64 {
        self.0.div_ceil(1000)
    }
}

impl Add for Millis {
    type Output = Self;

    fn add(self, other: Self) -> Self {
        Self(self.0.saturating_add(other.0))
    }
}

impl Sub for Millis {
    type Output = Self;

    fn sub(self, other: Self) -> Self {
        self.since(other)
    }
}

impl From<Millis> for Duration {
    fn from(duration: Millis) -> Self {
        Self::from_millis(duration.0)
    }
}

impl From<Duration> for Millis {
    fn from(duration: Duration) -> Self {
        Self(u64::try_from(duration.as_millis()).unwrap_or(u64::MAX))
    }
}

impl FromStr for Millis {
    type Err = ValueError;

    fn from_str(text: &str) -> Result<Self, ValueError> {
        let invalid = || ValueError::Duration { text: text.into() };
        let digits_end = text
            .find(|c: char| !c.is_ascii_digit())
            .ok_or_else(invalid)?;
        let (number, unit) = text.split_at(digits_end);
        let number: u64 = number.parse().map_err(|_| invalid())?;
        let scale = match unit.trim() {
            "ms" => 1,
            "s" => 1_000,
            "m" => 60_000,
            "h" => 3_600_000,
            _ => return Err(invalid()),
        };
        number.checked_mul(scale).map(Self).ok_or_else(invalid)
    }
}

impl fmt::Display for Millis {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.0 > 0 && self.0.is_multiple_of(1000) {
            return write!(f, "{}s", self.0 / 1000);
        }
        write!(f, "{}ms", self.0)
    }
}

/// Parses a size such as `8GiB` and returns it in bytes.
///
/// # Errors
/// Returns [`ValueError::Size`], whose message describes a valid size.
pub fn parse_size(text: &str) -> Result<u64, ValueError> {
    let invalid = || ValueError::Size { text: text.into() };
    let digits_end = text
        .find(|c: char| !c.is_ascii_digit())
        .ok_or_else(invalid)?;
    let (number, unit) = text.split_at(digits_end);
    let number: u64 = number.parse().map_err(|_| invalid())?;
    let shift = match unit.trim() {
        "B" => 0,
        "KiB" => 10,
        "MiB" => 20,
        "GiB" => 30,
        "TiB" => 40,
        _ => return Err(invalid()),
    };
    number.checked_mul(1 << shift).ok_or_else(invalid)
}

/// Formats a size in the form that [`parse_size`] reads, in the largest unit that divides it evenly.
pub fn render_size(bytes: u64) -> String {
    const UNITS: [(u32, &str); 4] = [(40, "TiB"), (30, "GiB"), (20, "MiB"), (10, "KiB")];
    let divides = |shift: u32| bytes > 0 && bytes.trailing_zeros() >= shift;
    UNITS
        .into_iter()
        .find(|(shift, _)| divides(*shift))
        .map_or_else(
            || format!("{bytes}B"),
            |(shift, unit)| format!("{}{unit}", bytes >> shift),
        )
}
