//! The life cycle of a version on an instance, as a typestate.
//!
//! The states are `Absent -> Fetching -> Verified -> Loading -> Serving -> Draining -> Absent`. A
//! version becomes [`Verified`] only by reading and verifying every chunk of its manifest, and
//! [`Serving`] only when the engine reports the root digest of a verified version. The state is not
//! stored: an agent that is killed between verifying and loading starts at [`Absent`] again.

use std::fs;
use std::fs::File;
use std::io::Read;
use std::io::Write;
use std::marker::PhantomData;
use std::path::Path;
use std::path::PathBuf;
use std::sync::Arc;

use thiserror::Error;

use filbertstack_core::Digest;

use crate::manifest::Chunk;
use crate::manifest::Manifest;
use crate::store::Pin;
use crate::store::Store;
use crate::store::StoreError;

/// The state of a version that only has its chunks pinned in the store.
#[derive(Debug)]
pub struct Absent;

/// The state of a version whose chunks are being fetched.
#[derive(Debug)]
pub struct Fetching;

/// The state of a version whose chunks were all read and verified.
#[derive(Debug)]
pub struct Verified;

/// The state of a version that the engine was ordered to load.
#[derive(Debug)]
pub struct Loading;

/// The state of a version that the engine serves.
#[derive(Debug)]
pub struct Serving;

/// The state of a version that finishes its requests and takes no new ones.
#[derive(Debug)]
pub struct Draining;

/// The reason why a version cannot change its state.
#[derive(Debug, Error)]
pub enum VersionError {
    /// Chunks are missing or damaged.
    #[error("version {version} lacks {} of its chunks: fetch them and verify again", missing.len())]
    Missing {
        /// The root digest of the version.
        version: Digest,
        /// The positions of the chunks in the manifest.
        missing: Vec<u32>,
    },
    /// The engine reports another version than the one ordered.
    #[error("the engine was to load {wanted} and reports {got}: order it again or restart it")]
    Mismatch {
        /// The version that the engine was ordered to load.
        wanted: Digest,
        /// The version that the engine reports.
        got: Digest,
    },
    /// The store failed.
    #[error(transparent)]
    Store(#[from] StoreError),
    /// The files for the engine could not be written.
    #[error("{path} cannot be written ({error}): check the folder's space and permissions")]
    Write {
        /// The path.
        path: PathBuf,
        /// The error of the operating system.
        error: std::io::Error,
    },
}

/// A failed change of state, with the version in its resulting state.
#[derive(Debug)]
pub struct FailedTransition<S> {
    /// The version in its resulting state.
    pub version: Version<S>,
    /// The reason.
    pub error: VersionError,
}

/// A version on this instance in state `S`; its chunks are pinned while this value exists.
#[derive(Debug)]
pub struct Version<S> {
    data: Box<VersionData>,
    state: PhantomData<S>,
}

#[derive(Debug)]
struct VersionData {
    manifest: Arc<Manifest>,
    store: Arc<Store>,
    _pin: Pin,
}

impl<S> Version<S> {
    /// Returns the digest that names the version.
    pub fn root(&self) -> Digest {
        self.data.manifest.root()
    }

    /// Returns the manifest of the version.
    pub fn manifest(&self) -> &Arc<Manifest> {
        &self.data.manifest
    }

    fn into_state<T>(self) -> Version<T> {
        Version {
            data: self.data,
            state: PhantomData,
        }
    }
}

impl Version<Absent> {
    /// Declares a version and pins its chunks.
    ///
    /// # Errors
    /// Returns [`StoreError::Full`] if the version does not fit beside those declared already.
    pub fn declare(manifest: Arc<Manifest>, store: Arc<Store>) -> Result<Self, StoreError> {
        let pin = store.pin(&manifest)?;
        let data = Box::new(VersionData {
            manifest,
            store,
            _pin: pin,
        });
        Ok(Self {
            data,
            state: PhantomData,
        })
    }

    /// Enters the state in which the chunks are fetched.
    pub fn fetch(self) -> Version<Fetching> {
        self.into_state()
    }
}

impl Version<Fetching> {
    /// Returns the positions of the chunks that the store does not hold, without reading the chunks.
    pub fn missing(&self) -> Vec<u32> {
        let data = &self.data;
        let lacks = |chunk: Digest| !data.store.has(chunk);
        let locations = data.manifest.locations();
        locations
            .filter(|location| lacks(location.chunk.digest))
            .map(|location| location.index)
            .collect()
    }

    /// Reads and verifies every chunk.
    ///
    /// # Errors
    /// Returns the version in state [`Fetching`] with the missing chunks. Damaged chunks are removed from
    /// the store and count as missing.
    pub fn verify(self) -> Result<Version<Verified>, FailedTransition<Fetching>> {
        let missing = unreadable_chunks(&self.data);
        if missing.is_empty() {
            return Ok(self.into_state());
        }
        let version = self.root();
        let error = VersionError::Missing { version, missing };
        Err(FailedTransition {
            version: self,
            error,
        })
    }
}

/// Returns whether the next bytes of a file are those of `chunk`.
fn next_chunk_matches(file: &mut File, chunk: &Chunk) -> bool {
    let mut bytes = vec![0; chunk.size as usize];
    file.read_exact(&mut bytes).is_ok() && Digest::of(&bytes) == chunk.digest
}

fn unreadable_chunks(data: &VersionData) -> Vec<u32> {
    let reads = |digest| matches!(data.store.get(digest), Ok(Some(_)));
    let locations = data.manifest.locations();
    locations
        .filter(|location| !reads(location.chunk.digest))
        .map(|location| location.index)
        .collect()
}

impl Version<Verified> {
    /// Writes the version's files below `dir/<root>` for an engine that loads from a folder.
    ///
    /// Each chunk is verified again when it is read. The folder gets its final name only when it is
    /// complete, so that an engine never finds a part of it. If the folder exists and is correct, it is not
    /// written again: an engine may still carry out an earlier order that got no answer, or that of an
    /// agent that was killed. If the files were replaced meanwhile, the engine would list only some of them
    /// (in a test, none of two) and answer from partial weights.
    ///
    /// # Errors
    /// Returns [`VersionError::Missing`] if a chunk was damaged after the verification;
    /// [`Version::refetch`] then goes back to fetching. Returns [`VersionError::Write`] if a file cannot be
    /// written, and [`VersionError::Store`] if the store's disk fails.
    pub fn write_to(&self, dir: &Path) -> Result<PathBuf, VersionError> {
        let path = dir.join(self.root().to_string());
        if self.is_written(&path) {
            return Ok(path);
        }
        let part = dir.join(format!(".{}.part", self.root()));
        let written = self.write_files(&part);
        if written.is_err() {
            let _ = fs::remove_dir_all(&part);
        }
        written?;
        let failed = |error| write_error(&path, error);
        if path.exists() {
            fs::remove_dir_all(&path).map_err(failed)?;
        }
        fs::rename(&part, &path).map_err(failed)?;
        Ok(path)
    }

    /// Returns whether the files below `path` are complete and match the manifest.
    fn is_written(&self, path: &Path) -> bool {
        let mut locations = self.data.manifest.locations().peekable();
        let mut files = self.data.manifest.files().iter();
        files.all(|file| {
            let Ok(mut written) = File::open(path.join(&*file.name)) else {
                return false;
            };
            while let Some(location) = locations.next_if(|location| location.file.name == file.name)
            {
                if !next_chunk_matches(&mut written, &location.chunk) {
                    return false;
                }
            }
            matches!(written.read(&mut [0]), Ok(0))
        })
    }

    fn write_files(&self, part: &Path) -> Result<(), VersionError> {
        if part.exists() {
            fs::remove_dir_all(part).map_err(|error| write_error(part, error))?;
        }
        let mut locations = self.data.manifest.locations().peekable();
        for file in self.data.manifest.files() {
            let path = part.join(&*file.name);
            let failed = |error| write_error(&path, error);
            let folder = path.parent().unwrap_or(part);
            fs::create_dir_all(folder).map_err(failed)?;
            let mut out = File::create(&path).map_err(failed)?;
            while let Some(location) = locations.next_if(|location| location.file.name == file.name)
            {
                let bytes = self.read_chunk(location.index, location.chunk.digest)?;
                out.write_all(&bytes).map_err(failed)?;
            }
            out.sync_all().map_err(failed)?;
        }
        Ok(())
    }

    fn read_chunk(&self, index: u32, digest: Digest) -> Result<bytes::Bytes, VersionError> {
        let missing = || VersionError::Missing {
            version: self.root(),
            missing: vec![index],
        };
        match self.data.store.get(digest) {
            Ok(Some(bytes)) => Ok(bytes),
            Ok(None) | Err(StoreError::Damaged { .. }) => Err(missing()),
            Err(error) => Err(error.into()),
        }
    }

    /// Goes back to fetching after a chunk was found damaged.
    pub fn refetch(self) -> Version<Fetching> {
        self.into_state()
    }

    /// Records that the engine was ordered to load the version.
    pub fn load(self) -> Version<Loading> {
        self.into_state()
    }
}

fn write_error(path: &Path, error: std::io::Error) -> VersionError {
    let path = path.to_owned();
    VersionError::Write { path, error }
}

impl Version<Loading> {
    /// Records the engine's report that it has loaded `reported`.
    ///
    /// # Errors
    /// Returns the version in state [`Verified`] if the engine reports another digest.
    pub fn serve(self, reported: Digest) -> Result<Version<Serving>, FailedTransition<Verified>> {
        let wanted = self.root();
        if reported == wanted {
            return Ok(self.into_state());
        }
        let error = VersionError::Mismatch {
            wanted,
            got: reported,
        };
        let version = self.fail();
        Err(FailedTransition { version, error })
    }

    /// Records that the engine failed to load the version or took too long.
    pub fn fail(self) -> Version<Verified> {
        self.into_state()
    }
}

impl Version<Serving> {
    /// Returns whether a request routed for `version` may be answered from this version.
    pub fn answers(&self, version: Digest) -> bool {
        self.root() == version
    }

    /// Records that the engine no longer serves this version, because it reports another one or was
    /// restarted.
    pub fn mark_unloaded(self) -> Version<Verified> {
        self.into_state()
    }

    /// Stops taking new requests.
    pub fn drain(self) -> Version<Draining> {
        self.into_state()
    }
}

impl Version<Draining> {
    /// Records that the last request has ended. The engine may unload the version, and dropping the
    /// returned value unpins its chunks.
    pub fn end(self) -> Version<Absent> {
        self.into_state()
    }
}
