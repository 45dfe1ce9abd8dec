//! This crate describes versions of weights and copies them to an instance with verification.
//!
//! An immutable [`Manifest`] describes a version; its root digest names the version. The [`Copier`]
//! fetches chunks from a [`Source`] (a peer, the weight store or the origin), verifies them against the
//! manifest and keeps them by digest in a [`Store`]. A [`version::Version`] is a typestate of the life
//! cycle, so that an engine loads and serves only a version whose chunks were all verified under one
//! root digest.
//!
//! ```
//! use std::sync::Arc;
//!
//! use filbertstack_weights::manifest::Manifest;
//! use filbertstack_weights::store::Store;
//! use filbertstack_weights::version::Version;
//!
//! let dir = tempfile::tempdir().unwrap();
//! std::fs::write(dir.path().join("model.bin"), b"weights").unwrap();
//! let manifest = Arc::new(Manifest::from_dir(dir.path(), 4).unwrap());
//! let store = Arc::new(Store::memory(1 << 20));
//! let fetching = Version::declare(manifest.clone(), store.clone()).unwrap().fetch();
//! for want in manifest.locations() {
//!     let bytes = &b"weights"[want.range()];
//!     store.put(want.chunk.digest, bytes.to_vec().into()).unwrap();
//! }
//! let verified = fetching.verify().unwrap();
//! let loading = verified.load();
//! let serving = loading.serve(manifest.root()).unwrap();
//! assert!(serving.answers(manifest.root()));
//! ```

pub mod copy;
pub mod fetch;
pub mod manifest;
pub mod metered;
pub mod store;
pub mod version;

pub use copy::Copier;
pub use fetch::Source;
pub use manifest::Manifest;
pub use store::Store;
