//! The declared state where operators replace a whole document: the highest version is in force.
//!
//! A deterministic machine behind the replicated log, beside the mode of single declarations in
//! [`ControlState`](crate::ControlState). The document's bytes are kept as they came, so that a
//! read gives back exactly what was sent under that version.

mod lists;
mod packed;

use std::collections::BTreeMap;

use bytes::Bytes;
use prost::Message as _;
use thiserror::Error;

pub use self::lists::List;
use self::lists::Lists;
pub use self::packed::Packed;
pub use self::packed::UnpackError;

/// How many of the latest versions of a model's weights are remembered. Newer ones are named before
/// older ones are in place, and an order of an older one may still be carried out.
pub const KEPT_VERSIONS: usize = 4;

/// A command of the machine.
#[derive(Clone, PartialEq, Eq, Hash, prost::Message)]
pub struct Change {
    /// What changes.
    #[prost(oneof = "Kind", tags = "1, 2, 3, 4")]
    pub kind: Option<Kind>,
}

/// What a command changes.
#[derive(Clone, PartialEq, Eq, Hash, prost::Oneof)]
pub enum Kind {
    /// A whole document as earlier releases proposed it; it may still be in a log.
    #[prost(message, tag = "1")]
    Document(Document),
    /// A version of a model's weights.
    #[prost(message, tag = "2")]
    Weights(Weights),
    /// A whole document, checked by whoever proposes it.
    #[prost(message, tag = "3")]
    Packed(Packed),
    /// The list of a version's pieces. No engine is ordered to load a version before its list is kept.
    #[prost(message, tag = "4")]
    List(List),
}

/// A whole configuration.
#[derive(Clone, PartialEq, Eq, Hash, prost::Message)]
pub struct Document {
    /// Its version; 0 is none yet.
    #[prost(uint64, tag = "1")]
    pub version: u64,
    /// The bytes as the operator sent them.
    #[prost(bytes = "bytes", tag = "2")]
    pub body: Bytes,
}

/// A version of a model's weights that targets are to be brought to.
#[derive(Clone, PartialEq, Eq, Hash, prost::Message)]
pub struct Weights {
    /// The model.
    #[prost(string, tag = "1")]
    pub model: String,
    /// The version.
    #[prost(uint64, tag = "2")]
    pub version: u64,
}

/// What a command led to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// It is in force now.
    InForce,
    /// A version at least as high was there already, or the same list; nothing has changed.
    Superseded,
    /// The command can't be read, by this version of the program at least.
    Unreadable,
}

/// The state: the newest document, and the latest versions of each model's weights with the lists of
/// their pieces.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Documents {
    document: Document,
    /// By model, the latest [`KEPT_VERSIONS`], in their order.
    weights: BTreeMap<String, Vec<u64>>,
    lists: Lists,
}

#[derive(Clone, PartialEq, prost::Message)]
struct Image {
    #[prost(message, required, tag = "1")]
    document: Document,
    #[prost(message, repeated, tag = "2")]
    weights: Vec<Weights>,
    #[prost(message, repeated, tag = "3")]
    lists: Vec<List>,
}

/// Bytes that are no snapshot of this machine.
#[derive(Debug, Error)]
#[error("the snapshot can't be read ({0}); run the version that wrote it")]
pub struct SnapshotError(#[from] prost::DecodeError);

impl Documents {
    /// The newest document; its version is 0 if there is none yet.
    pub fn document(&self) -> &Document {
        &self.document
    }

    /// The latest versions of each model's weights, those of one model in their order.
    pub fn weights(&self) -> impl Iterator<Item = Weights> {
        self.weights.iter().flat_map(|(model, versions)| {
            versions.iter().map(|version| Weights {
                model: model.clone(),
                version: *version,
            })
        })
    }

    /// The list of the pieces of the latest version that is kept, no later than `upto`.
    pub fn list(&self, upto: &Weights) -> Option<&List> {
        self.lists.latest(upto)
    }

    /// Applies one command.
    pub fn apply(&mut self, command: &[u8]) -> Effect {
        let change = Change::decode(command).ok().and_then(|c| c.kind);
        match change {
            Some(Kind::Document(document)) => self.put(document),
            Some(Kind::Weights(weights)) => self.name(weights),
            Some(Kind::Packed(packed)) => self.put_packed(&packed),
            Some(Kind::List(list)) => self.keep(list),
            None => Effect::Unreadable,
        }
    }

    fn keep(&mut self, list: List) -> Effect {
        if self.lists.keep(list) {
            Effect::InForce
        } else {
            Effect::Superseded
        }
    }

    /// A version takes effect only if it is higher. Other content under the version held would
    /// give two callers different routes for one number; a lower one would take back a change.
    fn put(&mut self, document: Document) -> Effect {
        if document.version <= self.document.version {
            return Effect::Superseded;
        }
        self.document = document;
        Effect::InForce
    }

    fn put_packed(&mut self, packed: &Packed) -> Effect {
        if packed.version <= self.document.version {
            return Effect::Superseded;
        }
        packed
            .unpack()
            .map_or(Effect::Unreadable, |document| self.put(document))
    }

    fn name(&mut self, weights: Weights) -> Effect {
        let versions = self.weights.entry(weights.model).or_default();
        let newest = versions.last().copied().unwrap_or(0);
        if weights.version <= newest {
            return Effect::Superseded;
        }
        versions.push(weights.version);
        let oldest = versions.len().saturating_sub(KEPT_VERSIONS);
        versions.drain(..oldest);
        Effect::InForce
    }

    /// The whole state as bytes.
    pub fn snapshot(&self) -> Vec<u8> {
        let image = Image {
            document: self.document.clone(),
            weights: self.weights().collect(),
            lists: self.lists.iter().cloned().collect(),
        };
        image.encode_to_vec()
    }

    /// Replaces the whole state by that of a snapshot.
    ///
    /// # Errors
    /// [`SnapshotError`] if the bytes are none.
    pub fn restore(&mut self, bytes: &[u8]) -> Result<(), SnapshotError> {
        let image = Image::decode(bytes)?;
        self.document = image.document;
        self.weights.clear();
        for weights in image.weights {
            self.name(weights);
        }
        self.lists = image.lists.into_iter().collect();
        Ok(())
    }
}
