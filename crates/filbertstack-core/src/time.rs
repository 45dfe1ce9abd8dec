//! Time as the decisions see it: whole milliseconds, passed in and never read.

use std::fmt;
use std::ops::Add;
use std::ops::Sub;
use std::str::FromStr;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::error::ValueError;

/// A span, or a moment since the process began, in milliseconds.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Millis(pub u64);

impl Millis {
    /// No time at all.
    pub const ZERO: Self = Self(0);

    /// `n` seconds.
    pub const fn secs(n: u64) -> Self {
        Self(n * 1000)
    }

    /// The span from `earlier` to `self`, zero if `earlier` is later.
    #[must_use]
    pub const fn since(self, earlier: Self) -> Self {
        Self(self.0.saturating_sub(earlier.0))
    }

    /// The span in seconds, rounded up: the unit of `Retry-After`.
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
    fn from(span: Millis) -> Self {
        Self::from_millis(span.0)
    }
}

impl From<Duration> for Millis {
    fn from(span: Duration) -> Self {
        Self(u64::try_from(span.as_millis()).unwrap_or(u64::MAX))
    }
}

impl FromStr for Millis {
    type Err = ValueError;

    fn from_str(text: &str) -> Result<Self, ValueError> {
        let wrong = || ValueError::Duration { text: text.into() };
        let digits = text.find(|c: char| !c.is_ascii_digit()).ok_or_else(wrong)?;
        let (number, unit) = text.split_at(digits);
        let number: u64 = number.parse().map_err(|_| wrong())?;
        let scale = match unit.trim() {
            "ms" => 1,
            "s" => 1_000,
            "m" => 60_000,
            "h" => 3_600_000,
            _ => return Err(wrong()),
        };
        number.checked_mul(scale).map(Self).ok_or_else(wrong)
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

/// Reads a size such as `8GiB` as bytes.
///
/// # Errors
/// [`ValueError::Size`] says how a size is written.
pub fn parse_size(text: &str) -> Result<u64, ValueError> {
    let wrong = || ValueError::Size { text: text.into() };
    let digits = text.find(|c: char| !c.is_ascii_digit()).ok_or_else(wrong)?;
    let (number, unit) = text.split_at(digits);
    let number: u64 = number.parse().map_err(|_| wrong())?;
    let shift = match unit.trim() {
        "B" => 0,
        "KiB" => 10,
        "MiB" => 20,
        "GiB" => 30,
        "TiB" => 40,
        _ => return Err(wrong()),
    };
    number.checked_mul(1 << shift).ok_or_else(wrong)
}

/// Writes a size as [`parse_size`] reads it, in the largest unit that keeps it whole.
pub fn render_size(bytes: u64) -> String {
    const UNITS: [(u32, &str); 4] = [(40, "TiB"), (30, "GiB"), (20, "MiB"), (10, "KiB")];
    let whole = |shift: u32| bytes > 0 && bytes.trailing_zeros() >= shift;
    UNITS
        .into_iter()
        .find(|(shift, _)| whole(*shift))
        .map_or_else(
            || format!("{bytes}B"),
            |(shift, unit)| format!("{}{unit}", bytes >> shift),
        )
}
