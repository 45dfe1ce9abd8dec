//! A type for secrets that keeps them out of logs and traces.

use std::convert::Infallible;
use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

/// The placeholder that `Debug` and `Display` print.
const REDACTED: &str = "[secret]";

/// A key or token. `Debug` and `Display` print a placeholder, and the type does not implement `Serialize`;
/// only [`Secret::expose`] returns the text.
#[derive(Clone)]
pub struct Secret(Arc<str>);

impl Secret {
    /// Wraps `text` so that it is not printed.
    pub fn new(text: impl Into<Arc<str>>) -> Self {
        Self(text.into())
    }

    /// Returns the text, for code that sends or compares it.
    pub fn expose(&self) -> &str {
        &self.0
    }

    /// Compares the secret with `given`. The duration depends on the lengths alone, so that a caller cannot
    /// determine a key byte by byte from the time that a refusal takes.
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
