//! The state of an engine's weights and the orders that change it.

use std::collections::BTreeMap;
use std::path::PathBuf;

use filbertstack_core::Digest;
use serde::Deserialize;
use serde::Serialize;

/// An order to load a version; the body of `POST /admin/load`.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct LoadOrder {
    /// The model's name in requests.
    pub model: String,
    /// The version's name, which the engine reports unchanged.
    pub digest: String,
    /// The directory of the weights.
    pub dir: PathBuf,
    /// The fencing number.
    #[serde(default)]
    pub fence: u64,
}

/// An order to load an adapter beside the model; the body of `POST /admin/adapter`.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct AdapterOrder {
    /// The adapter's name, which requests use as their model.
    pub name: String,
    /// The directory of the adapter's weights.
    pub dir: PathBuf,
    /// The fencing number.
    #[serde(default)]
    pub fence: u64,
}

/// An order to unload; the body of `POST /admin/unload`.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
pub struct UnloadOrder {
    /// The fencing number.
    #[serde(default)]
    pub fence: u64,
}

/// An order to change the role; the body of `POST /admin/role`.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct RoleOrder {
    /// The new role.
    pub role: Role,
    /// The fencing number.
    #[serde(default)]
    pub fence: u64,
}

/// The phases of inference that an engine carries out.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Role {
    /// The engine prefills and decodes.
    #[default]
    Both,
    /// The engine only prefills: it fills the cache for export and generates no token.
    Prefill,
    /// The engine decodes.
    Decode,
}

/// The phase of the engine's weights.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Phase {
    /// The engine has no weights.
    #[default]
    Empty,
    /// The engine reads weights and answers no request.
    Loading,
    /// The engine answers requests.
    Serving,
    /// The last load failed.
    Failed,
}

/// The state that `GET /admin/state` reports.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineState {
    /// The phase.
    pub state: Phase,
    /// The model of the last load order.
    pub model: Option<String>,
    /// The version's name as the order gave it.
    pub digest: Option<String>,
    /// The digest of the files that were read; see [`weights_digest`](crate::answer::weights_digest).
    pub weights: Option<Digest>,
    /// The adapters by name, with the digests of their weights.
    pub adapters: BTreeMap<String, Digest>,
    /// The highest fencing number seen.
    pub fence: u64,
    /// The role.
    pub role: Role,
    /// The reason why the last load failed.
    pub reason: Option<String>,
}

impl EngineState {
    /// Returns the digest from which a request for `model` is answered, or `None` if it cannot be answered.
    pub fn answer_digest(&self, model: &str) -> Option<Digest> {
        let base = self.weights.filter(|_| self.state == Phase::Serving)?;
        if self.model.as_deref() == Some(model) {
            return Some(base);
        }
        let adapter = self.adapters.get(model)?;
        Some(adapted_digest(&base, adapter))
    }
}

/// Returns the digest of a model combined with an adapter.
pub fn adapted_digest(base: &Digest, adapter: &Digest) -> Digest {
    let both = [base.as_bytes(), adapter.as_bytes()].concat();
    Digest::of(&both)
}
