//! A version's life on an instance, as a typestate.
//!
//! `Absent -> Fetching -> Verified -> Loading -> Serving -> Draining -> Absent`. A [`Verified`]
//! version can only come from reading every chunk under its one root digest, and a [`Serving`]
//! one only from a verified one whose engine reported the same digest. Nothing of it outlives the
//! process: an agent that is killed between verifying and loading starts at [`Absent`] again.

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

/// Nothing of the version is wanted yet beyond its room in the store.
#[derive(Debug)]
pub struct Absent;

/// Its chunks are on their way.
#[derive(Debug)]
pub struct Fetching;

/// Every chunk was read and verified.
#[derive(Debug)]
pub struct Verified;

/// The engine has the order to load it.
#[derive(Debug)]
pub struct Loading;

/// The engine answers from it.
#[derive(Debug)]
pub struct Serving;

/// It finishes what it began and takes nothing new.
#[derive(Debug)]
pub struct Draining;

/// A step that could not be taken.
#[derive(Debug, Error)]
pub enum VersionError {
    /// Chunks are missing or were found damaged.
    #[error("version {version} lacks {} of its chunks: fetch them and verify again", missing.len())]
    Missing {
        /// The version.
        version: Digest,
        /// The places of the chunks in the manifest.
        missing: Vec<u32>,
    },
    /// The engine reports another version than the one ordered.
    #[error("the engine was to load {wanted} and reports {got}: order it again or restart it")]
    Mismatch {
        /// The version ordered.
        wanted: Digest,
        /// The version reported.
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
        /// What the system said.
        error: std::io::Error,
    },
}

/// A step that failed, with the version in the state it is in now.
#[derive(Debug)]
pub struct FailedTransition<S> {
    /// The version.
    pub version: Version<S>,
    /// Why.
    pub error: VersionError,
}

/// A version on this instance, in state `S`; its chunks stay pinned while it exists.
#[derive(Debug)]
pub struct Version<S> {
    data: Box<Data>,
    state: PhantomData<S>,
}

#[derive(Debug)]
struct Data {
    manifest: Arc<Manifest>,
    store: Arc<Store>,
    _pin: Pin,
}

impl<S> Version<S> {
    /// The digest that names it.
    pub fn root(&self) -> Digest {
        self.data.manifest.root()
    }

    /// Its manifest.
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
    /// Declares a version: its chunks are pinned from here on.
    ///
    /// # Errors
    /// [`StoreError::Full`] if it does not fit beside what is declared already.
    pub fn declare(manifest: Arc<Manifest>, store: Arc<Store>) -> Result<Self, StoreError> {
        let pin = store.pin(&manifest)?;
        let data = Box::new(Data {
            manifest,
            store,
            _pin: pin,
        });
        Ok(Self {
            data,
            state: PhantomData,
        })
    }

    /// Begins to fetch.
    pub fn fetch(self) -> Version<Fetching> {
        self.into_state()
    }
}

impl Version<Fetching> {
    /// The places of the chunks that the store does not hold, as far as known unread.
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
    /// The version still fetching, with what is missing; a damaged chunk was dropped and is
    /// missing from now on.
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

/// Whether the next bytes of a file are the chunk's.
fn next_chunk_matches(file: &mut File, chunk: &Chunk) -> bool {
    let mut bytes = vec![0; chunk.size as usize];
    file.read_exact(&mut bytes).is_ok() && Digest::of(&bytes) == chunk.digest
}

fn unreadable_chunks(data: &Data) -> Vec<u32> {
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
    /// Each chunk is verified once more as it is read. The folder appears under its name only
    /// when it is whole, so that an engine never finds half of it. Where it is there already and
    /// right, it is left alone: an order that got no answer, or came from a process that was killed,
    /// may be carried out while the next is prepared, and the engine would list a part of the files
    /// (none of two in a test) and answer from them.
    ///
    /// # Errors
    /// [`VersionError::Missing`] if a chunk was damaged since: go back with
    /// [`Version::refetch`]; [`VersionError::Write`].
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

    /// Whether the files below `whole` are the version's.
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

    /// Goes back to fetching, after a chunk was found damaged.
    pub fn refetch(self) -> Version<Fetching> {
        self.into_state()
    }

    /// Gives the engine the order to load.
    pub fn load(self) -> Version<Loading> {
        self.into_state()
    }
}

fn write_error(path: &Path, error: std::io::Error) -> VersionError {
    let path = path.to_owned();
    VersionError::Write { path, error }
}

impl Version<Loading> {
    /// Takes the engine's report that it has loaded `reported`.
    ///
    /// # Errors
    /// The version verified but not loaded, if the engine reports another digest.
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

    /// The engine failed to load, or took too long.
    pub fn fail(self) -> Version<Verified> {
        self.into_state()
    }
}

impl Version<Serving> {
    /// Whether a request routed for `version` may be answered from this one.
    pub fn answers(&self, version: Digest) -> bool {
        self.root() == version
    }

    /// The engine reports another version or was restarted: it no longer answers from this one.
    pub fn mark_unloaded(self) -> Version<Verified> {
        self.into_state()
    }

    /// Takes nothing new from here on.
    pub fn drain(self) -> Version<Draining> {
        self.into_state()
    }
}

impl Version<Draining> {
    /// The last request has ended: the engine may unload, the chunks are unpinned on drop.
    pub fn end(self) -> Version<Absent> {
        self.into_state()
    }
}
