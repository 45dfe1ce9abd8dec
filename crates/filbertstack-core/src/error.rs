//! Errors of values that are parsed from text.

use thiserror::Error;

/// A text cannot be parsed as a value of the expected type.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum ValueError {
    /// A name contains an invalid character or has an invalid length.
    #[error(
        "'{text}' is not a name: use 1 to 63 letters, digits, '.', '_' or '-', \
         starting with a letter or digit"
    )]
    Name {
        /// The text, truncated to the maximum length of a name.
        text: String,
    },
    /// A list of labels contains a part that is not `key=value`.
    #[error("'{text}' is not a label: write key=value, separated by commas")]
    Label {
        /// The part that cannot be parsed.
        text: String,
    },
    /// A label key occurs twice.
    #[error("the label key '{key}' is given twice: keep one of them")]
    DuplicateLabel {
        /// The duplicate key.
        key: String,
    },
    /// A selector contains a part that is not a requirement.
    #[error(
        "'{text}' is not a requirement: write key=value, key!=value, key in (a, b), \
         key notin (a, b), key or !key, separated by commas"
    )]
    Requirement {
        /// The part that cannot be parsed.
        text: String,
    },
    /// A digest cannot be parsed.
    #[error("'{text}' is not a digest: give the 64 hexadecimal digits that 'publish' printed")]
    Digest {
        /// The text, truncated to 80 characters.
        text: String,
    },
    /// A duration cannot be parsed.
    #[error("'{text}' is not a duration: write a whole number with ms, s, m or h, such as 500ms")]
    Duration {
        /// The text that was given.
        text: String,
    },
    /// A size cannot be parsed.
    #[error("'{text}' is not a size: write a whole number with B, KiB, MiB, GiB or TiB")]
    Size {
        /// The text that was given.
        text: String,
    },
    /// A count cannot be parsed.
    #[error("'{text}' is not a count: write a whole number up to 4294967295")]
    Count {
        /// The text that was given.
        text: String,
    },
    /// An address cannot be parsed.
    #[error("'{text}' is not an address: write IP:port, such as 10.0.0.1:9080")]
    Address {
        /// The text that was given.
        text: String,
    },
    /// A value is not one of the allowed ones.
    #[error("'{text}' is none of the values allowed here: use {allowed}")]
    Choice {
        /// The text that was given.
        text: String,
        /// The allowed values, as the error message lists them.
        allowed: &'static str,
    },
}
