//! This module holds the declared state for the mode in which operators replace the whole configuration as
//! one document. The document with the highest version is in force.
//!
//! [`Documents`] is a deterministic state machine behind the replicated log, like
//! [`ControlState`](crate::ControlState) for the mode of single declarations. The bytes of the document are
//! kept unchanged, so that a read returns exactly what was sent under that version.

mod lists;
mod packed;
mod zones;

use std::collections::BTreeMap;

use bytes::Bytes;
use prost::Message as _;
use thiserror::Error;

pub use self::lists::KeptList;
use self::lists::Lists;
pub use self::packed::Packed;
pub use self::packed::UnpackError;
pub use self::zones::EvacuatedZones;
pub use self::zones::ZoneChange;
pub use self::zones::ZoneRow;
pub use self::zones::ZoneState;

/// How many of the latest versions of a model's weights are remembered. Newer versions may be named before
/// the targets have loaded older ones, and an order for an older version may still be carried out.
pub const KEPT_VERSIONS: usize = 4;

/// A command of the machine.
#[derive(Clone, PartialEq, Eq, Hash, prost::Message)]
pub struct Change {
    /// What changes.
    #[prost(oneof = "Kind", tags = "1, 2, 3, 4, 5")]
    pub kind: Option<Kind>,
}

/// What a command changes.
#[derive(Clone, PartialEq, Eq, Hash, prost::Oneof)]
pub enum Kind {
    /// A whole uncompressed document, as earlier releases proposed it. A log may still contain one.
    #[prost(message, tag = "1")]
    Document(Document),
    /// A version of a model's weights.
    #[prost(message, tag = "2")]
    Weights(Weights),
    /// A whole compressed document. The proposer has checked it.
    #[prost(message, tag = "3")]
    Packed(Packed),
    /// The list of a version's pieces. No engine is ordered to load a version before its list is kept.
    #[prost(message, tag = "4")]
    List(KeptList),
    /// An evacuation of an availability zone, or its withdrawal. Earlier releases can't read it.
    #[prost(message, tag = "5")]
    Zone(ZoneChange),
}

/// A whole configuration.
#[derive(Clone, PartialEq, Eq, Hash, prost::Message)]
pub struct Document {
    /// The version, or 0 if there is no document yet.
    #[prost(uint64, tag = "1")]
    pub version: u64,
    /// The bytes as the operator sent them.
    #[prost(bytes = "bytes", tag = "2")]
    pub body: Bytes,
}

/// A version of a model's weights that targets shall load.
#[derive(Clone, PartialEq, Eq, Hash, prost::Message)]
pub struct Weights {
    /// The model.
    #[prost(string, tag = "1")]
    pub model: String,
    /// The version.
    #[prost(uint64, tag = "2")]
    pub version: u64,
}

/// The effect of a command.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// The change is in force now.
    InForce,
    /// The state already had a version at least as high, or the same list. Nothing changed.
    Superseded,
    /// The proposer did not know a change that the command would undo. Nothing changed.
    Outdated,
    /// This version of the program can't read the command.
    Unreadable,
}

/// The state: the newest document, the latest versions of each model's weights with the lists of their
/// pieces, and the evacuated zones.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Documents {
    document: Document,
    /// The latest [`KEPT_VERSIONS`] versions of each model, in ascending order.
    weights: BTreeMap<String, Vec<u64>>,
    lists: Lists,
    zones: EvacuatedZones,
}

#[derive(Clone, PartialEq, prost::Message)]
struct DocumentsSnapshot {
    #[prost(message, required, tag = "1")]
    document: Document,
    #[prost(message, repeated, tag = "2")]
    weights: Vec<Weights>,
    #[prost(message, repeated, tag = "3")]
    lists: Vec<KeptList>,
    /// Absent in a snapshot of an earlier release, which applies no evacuations.
    #[prost(message, optional, tag = "4")]
    zones: Option<ZoneState>,
}

/// The bytes are not a snapshot of this state machine.
#[derive(Debug, Error)]
#[error("the snapshot can't be read ({0}); run the version that wrote it")]
pub struct SnapshotError(#[from] prost::DecodeError);

impl Documents {
    /// Returns the newest document. Its version is 0 if there is no document yet.
    pub fn document(&self) -> &Document {
        &self.document
    }

    /// Returns the latest versions of each model's weights, those of one model in ascending order.
    pub fn weights(&self) -> impl Iterator<Item = Weights> {
        self.weights.iter().flat_map(|(model, versions)| {
            versions.iter().map(|version| Weights {
                model: model.clone(),
                version: *version,
            })
        })
    }

    /// Returns the list of pieces of the latest version with a kept list that is not later than `upto`.
    pub fn kept_list(&self, upto: &Weights) -> Option<&KeptList> {
        self.lists.latest(upto)
    }

    /// Returns the evacuated zones.
    pub fn zones(&self) -> &EvacuatedZones {
        &self.zones
    }

    /// Applies the command at `index` of the log.
    pub fn apply(&mut self, index: u64, command: &[u8]) -> Effect {
        let change = Change::decode(command).ok().and_then(|c| c.kind);
        match change {
            Some(Kind::Document(document)) => self.replace(document),
            Some(Kind::Weights(weights)) => self.add_version(weights),
            Some(Kind::Packed(packed)) => self.replace_packed(&packed),
            Some(Kind::List(list)) => effect_of(self.lists.keep(list)),
            Some(Kind::Zone(change)) if !change.zone.is_empty() => self.zones.apply(index, change),
            Some(Kind::Zone(_)) | None => Effect::Unreadable,
        }
    }

    /// Replaces the document if the version is higher. Other content under the present version would give
    /// two callers different routes for the same version; a lower version would undo a change.
    fn replace(&mut self, document: Document) -> Effect {
        if document.version <= self.document.version {
            return Effect::Superseded;
        }
        self.document = document;
        Effect::InForce
    }

    fn replace_packed(&mut self, packed: &Packed) -> Effect {
        if packed.version <= self.document.version {
            return Effect::Superseded;
        }
        packed
            .unpack()
            .map_or(Effect::Unreadable, |document| self.replace(document))
    }

    fn add_version(&mut self, weights: Weights) -> Effect {
        let versions = self.weights.entry(weights.model).or_default();
        let newest = versions.last().copied().unwrap_or(0);
        if weights.version <= newest {
            return Effect::Superseded;
        }
        versions.push(weights.version);
        let excess = versions.len().saturating_sub(KEPT_VERSIONS);
        versions.drain(..excess);
        Effect::InForce
    }

    /// Returns the whole state as bytes.
    pub fn snapshot(&self) -> Vec<u8> {
        let snapshot = DocumentsSnapshot {
            document: self.document.clone(),
            weights: self.weights().collect(),
            lists: self.lists.iter().cloned().collect(),
            zones: Some(self.zones.state()),
        };
        snapshot.encode_to_vec()
    }

    /// Replaces the whole state by that of a snapshot. A snapshot of an earlier release knows no evacuations, and
    /// those that are held stay: their callers were told that they hold until they are withdrawn.
    ///
    /// # Errors
    /// Returns a [`SnapshotError`] if the bytes are not a snapshot.
    pub fn restore(&mut self, bytes: &[u8]) -> Result<(), SnapshotError> {
        let snapshot = DocumentsSnapshot::decode(bytes)?;
        self.document = snapshot.document;
        self.weights.clear();
        for weights in snapshot.weights {
            self.add_version(weights);
        }
        self.lists = snapshot.lists.into_iter().collect();
        if let Some(zones) = snapshot.zones {
            self.zones = zones.into();
        }
        Ok(())
    }
}

fn effect_of(changed: bool) -> Effect {
    if changed {
        Effect::InForce
    } else {
        Effect::Superseded
    }
}
