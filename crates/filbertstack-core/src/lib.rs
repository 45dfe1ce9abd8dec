//! This crate defines the types that all other crates share: names, labels, selectors, digests, declarations
//! and settings.
//!
//! The crate uses no network and reads no clock. [`declare::Declarations::parse`] reads a declaration file;
//! [`ini::Document::parse`] reads a settings file, and the `settings` modules of the crates that own the keys
//! interpret it.

pub mod content;
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
pub mod status;
pub mod time;

pub use content::ContentDigest;
pub use declare::Declarations;
pub use digest::Digest;
pub use error::ValueError;
pub use labels::Labels;
pub use selector::Selector;
pub use time::Millis;
