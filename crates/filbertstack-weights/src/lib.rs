//! Weights: what a version is, where its chunks lie, and how they come to an instance verified.
//!
//! A version is an immutable [`Manifest`], named by its root digest. Chunks come from a
//! [`Source`] (a peer, the weight store or the origin), are verified against the manifest and
//! kept in a [`Store`] by digest; the [`Copier`] drives that. A [`version::Version`] walks its life cycle as a typestate, so
//! that nothing is loaded or served that was not verified whole under one digest.
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
pub mod store;
pub mod version;

pub use copy::Copier;
pub use fetch::Source;
pub use manifest::Manifest;
pub use store::Store;
