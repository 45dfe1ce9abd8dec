//! Errors of values read from text.

use thiserror::Error;

/// A value that does not read as what it should be.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum ValueError {
    /// A name has a wrong character or length.
    #[error(
        "'{text}' is not a name: use 1 to 63 letters, digits, '.', '_' or '-', \
         starting with a letter or digit"
    )]
    Name {
        /// The text, cut to the longest name.
        text: String,
    },
    /// A list of labels does not read.
    #[error("'{text}' is not a label: write key=value, separated by commas")]
    Label {
        /// The part that does not read.
        text: String,
    },
    /// A label key stands twice.
    #[error("the label key '{key}' is given twice: keep one of them")]
    LabelTwice {
        /// The key.
        key: String,
    },
    /// A selector does not read.
    #[error(
        "'{text}' is not a requirement: write key=value, key!=value, key in (a, b), \
         key notin (a, b), key or !key, separated by commas"
    )]
    Requirement {
        /// The part that does not read.
        text: String,
    },
    /// A digest does not read.
    #[error("'{text}' is not a digest: give the 64 hexadecimal digits that 'publish' printed")]
    Digest {
        /// The text, cut to 80 characters.
        text: String,
    },
    /// A duration does not read.
    #[error("'{text}' is not a duration: write a whole number with ms, s, m or h, such as 500ms")]
    Duration {
        /// The text.
        text: String,
    },
    /// A size does not read.
    #[error("'{text}' is not a size: write a whole number with B, KiB, MiB, GiB or TiB")]
    Size {
        /// The text.
        text: String,
    },
    /// A count does not read.
    #[error("'{text}' is not a count: write a whole number up to 4294967295")]
    Count {
        /// The text.
        text: String,
    },
    /// An address does not read.
    #[error("'{text}' is not an address: write IP:port, such as 10.0.0.1:9080")]
    Address {
        /// The text.
        text: String,
    },
    /// A value is none of those allowed.
    #[error("'{text}' is none of the values allowed here: use {allowed}")]
    Choice {
        /// The text.
        text: String,
        /// The values allowed.
        allowed: &'static str,
    },
}
