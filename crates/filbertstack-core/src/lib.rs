//! Words that every other crate shares: names, labels, selectors, digests, declarations, settings.
//!
//! Nothing here talks to a network or reads a clock. A declaration file is read with
//! [`declare::Declarations::parse`]; a settings file with [`ini::Document::parse`] and the
//! `settings` modules of the crates that own the keys.

pub mod declare;
pub mod digest;
pub mod error;
pub mod ini;
pub mod labels;
pub mod names;
pub mod render;
pub mod selector;
pub mod serving;
pub mod settings;
pub mod time;

pub use declare::Declarations;
pub use digest::Digest;
pub use error::ValueError;
pub use labels::Labels;
pub use selector::Selector;
pub use time::Millis;
