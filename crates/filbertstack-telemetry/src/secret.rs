//! Secrets that cannot end up in a log or a trace by accident.

use std::convert::Infallible;
use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

/// What a secret shows of itself.
const REDACTED: &str = "[secret]";

/// A key or token. `Debug` and `Display` show a placeholder, and it is no `Serialize`; only
/// [`Secret::expose`] gives the text.
#[derive(Clone)]
pub struct Secret(Arc<str>);

impl Secret {
    /// Keeps `text` from being shown.
    pub fn new(text: impl Into<Arc<str>>) -> Self {
        Self(text.into())
    }

    /// The text, for the one place that sends or compares it.
    pub fn expose(&self) -> &str {
        &self.0
    }

    /// Compares in a time that depends on the lengths alone, so that a caller cannot find a key
    /// byte by byte from how long a refusal takes.
    pub fn matches(&self, given: &str) -> bool {
        let (own, given) = (self.0.as_bytes(), given.as_bytes());
        let differences = own.iter().zip(given).fold(0, |sum, (a, b)| sum | (a ^ b));
        own.len() == given.len() && std::hint::black_box(differences) == 0
    }
}

impl FromStr for Secret {
    type Err = Infallible;

    fn from_str(text: &str) -> Result<Self, Infallible> {
        Ok(Self::new(text))
    }
}

impl fmt::Debug for Secret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(REDACTED)
    }
}

impl fmt::Display for Secret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(REDACTED)
    }
}
