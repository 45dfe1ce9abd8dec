//! The weights in an engine's memory and the orders that change them.

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
    /// The version's name, reported back as it was given.
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
    /// The adapter's name, which requests give as their model.
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

/// The part of the work that an engine does.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Role {
    /// Prefill and decode.
    #[default]
    Both,
    /// Prefill only: fills the cache for export and generates no token.
    Prefill,
    /// Decode.
    Decode,
}

/// Where the engine stands with its weights.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Phase {
    /// No weights.
    #[default]
    Empty,
    /// Reading weights; answers nothing.
    Loading,
    /// Answering.
    Serving,
    /// The last load failed.
    Failed,
}

/// What `GET /admin/state` answers.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineState {
    /// The phase.
    pub state: Phase,
    /// The model ordered last.
    pub model: Option<String>,
    /// The version as the order named it.
    pub digest: Option<String>,
    /// What [`weights_digest`](crate::answer::weights_digest) gave for the files that were read.
    pub weights: Option<Digest>,
    /// The adapters and their weights.
    pub adapters: BTreeMap<String, Digest>,
    /// The highest fencing number seen.
    pub fence: u64,
    /// The role.
    pub role: Role,
    /// Why the last load failed.
    pub reason: Option<String>,
}

impl EngineState {
    /// The digest that a request for `model` is answered with, if it can be.
    pub fn answers(&self, model: &str) -> Option<Digest> {
        let base = self.weights.filter(|_| self.state == Phase::Serving)?;
        if self.model.as_deref() == Some(model) {
            return Some(base);
        }
        let adapter = self.adapters.get(model)?;
        Some(adapted(&base, adapter))
    }
}

/// The digest that stands for a model with an adapter on top.
pub fn adapted(base: &Digest, adapter: &Digest) -> Digest {
    let both = [base.as_bytes(), adapter.as_bytes()].concat();
    Digest::of(&both)
}
