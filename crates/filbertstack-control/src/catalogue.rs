//! The catalogue: the published versions of models, by manifest digest.

use std::collections::BTreeMap;
use std::sync::Arc;

use filbertstack_core::Digest;
use filbertstack_core::names::ModelName;

use crate::command::Publish;
use crate::limits::MAX_ID;
use crate::limits::MAX_URL;
use crate::limits::MAX_VERSIONS;
use crate::outcome::Fault;
use crate::outcome::Reason;

/// The facts of one published version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Version {
    /// The model.
    pub model: ModelName,
    /// The size of the weights in bytes.
    pub weights: u64,
    /// The size of the manifest in bytes.
    pub manifest: u64,
    /// The number of chunks.
    pub chunks: u32,
    /// Who published it.
    pub operator: String,
    /// The URL below which the origin has the files and the manifest.
    pub origin: Arc<str>,
    /// The same at the weight store; empty if it has none.
    pub store: Arc<str>,
}

/// The published versions.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Catalogue {
    versions: BTreeMap<Digest, Version>,
}

impl Catalogue {
    /// The version under `root`.
    pub fn get(&self, root: &Digest) -> Option<&Version> {
        self.versions.get(root)
    }

    /// The versions by digest.
    pub fn iter(&self) -> impl Iterator<Item = (&Digest, &Version)> {
        self.versions.iter()
    }

    /// How many there are.
    pub fn len(&self) -> usize {
        self.versions.len()
    }

    /// Whether there is none.
    pub fn is_empty(&self) -> bool {
        self.versions.is_empty()
    }

    /// The version under `root` as it was published.
    pub fn published(&self, root: &Digest) -> Option<Publish> {
        let version = self.versions.get(root)?;
        Some(Publish {
            root: root.to_vec(),
            model: version.model.to_string(),
            weights: version.weights,
            manifest: version.manifest,
            chunks: version.chunks,
            operator: version.operator.clone(),
            origin: version.origin.to_string(),
            store: version.store.to_string(),
        })
    }

    /// Adds a version, or changes where its files lie; `Ok(false)` if all that stands already.
    pub(crate) fn publish(&mut self, publish: Publish) -> Result<bool, Reason> {
        let (root, version) = read(publish)?;
        if let Some(known) = self.versions.get_mut(&root) {
            if !same_facts(known, &version) {
                return Err(differs(&root));
            }
            let moved = (&known.origin, &known.store) != (&version.origin, &version.store);
            known.origin = version.origin;
            known.store = version.store;
            return Ok(moved);
        }
        if self.versions.len() >= MAX_VERSIONS {
            return Err(Reason::new(
                Fault::TooLarge,
                "",
                format!("{MAX_VERSIONS} versions are published: retire some first"),
            ));
        }
        self.versions.insert(root, version);
        Ok(true)
    }

    /// Removes a version; whether it was there.
    pub(crate) fn retire(&mut self, root: &Digest) -> bool {
        self.versions.remove(root).is_some()
    }
}

fn read(publish: Publish) -> Result<(Digest, Version), Reason> {
    let root = Digest::from_slice(&publish.root)
        .ok_or_else(|| Reason::malformed("the manifest's digest is not 32 bytes"))?;
    let model = publish
        .model
        .parse()
        .map_err(|error| Reason::malformed(format!("model: {error}")))?;
    if publish.operator.len() > MAX_ID {
        return Err(Reason::malformed("the operator's name is too long"));
    }
    let version = Version {
        model,
        weights: publish.weights,
        manifest: publish.manifest,
        chunks: publish.chunks,
        operator: publish.operator,
        origin: read_url("origin", publish.origin)?,
        store: read_url("store", publish.store)?,
    };
    Ok((root, version))
}

fn read_url(what: &str, url: String) -> Result<Arc<str>, Reason> {
    let http = url.is_empty() || url.starts_with("http://");
    let plain = url.len() <= MAX_URL && url.bytes().all(|byte| byte.is_ascii_graphic());
    if http && plain {
        return Ok(url.into());
    }
    let text = format!("{what}: give an http:// URL of at most {MAX_URL} bytes");
    Err(Reason::malformed(text))
}

/// The first publisher's name stays; who else publishes the same bytes changes nothing.
fn same_facts(a: &Version, b: &Version) -> bool {
    (&a.model, a.weights, a.manifest, a.chunks) == (&b.model, b.weights, b.manifest, b.chunks)
}

fn differs(root: &Digest) -> Reason {
    let what = format!(
        "version {root} is published with another model or other sizes: publish under the model \
         it was made for"
    );
    Reason::new(Fault::Differs, "", what)
}
