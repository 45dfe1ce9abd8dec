//! The catalogue holds the published versions of models, by manifest digest.

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
    /// The URL of the same files at the weight store, or empty if the store has none.
    pub store: Arc<str>,
}

/// The published versions.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Catalogue {
    versions: BTreeMap<Digest, Version>,
}

impl Catalogue {
    /// Returns the version whose manifest has the digest `root`.
    pub fn get(&self, root: &Digest) -> Option<&Version> {
        self.versions.get(root)
    }

    /// Returns the versions by manifest digest.
    pub fn iter(&self) -> impl Iterator<Item = (&Digest, &Version)> {
        self.versions.iter()
    }

    /// Returns the number of versions.
    pub fn len(&self) -> usize {
        self.versions.len()
    }

    /// Returns whether no version is published.
    pub fn is_empty(&self) -> bool {
        self.versions.is_empty()
    }

    /// Returns the command that publishes the version `root` as it is now.
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

    /// Adds a version, or changes the URLs of its files. Returns `Ok(false)` if nothing changed.
    pub(crate) fn publish(&mut self, publish: Publish) -> Result<bool, Reason> {
        let (root, version) = parse_version(publish)?;
        if let Some(known) = self.versions.get_mut(&root) {
            if !same_facts(known, &version) {
                return Err(mismatch(&root));
            }
            let relocated = (&known.origin, &known.store) != (&version.origin, &version.store);
            known.origin = version.origin;
            known.store = version.store;
            return Ok(relocated);
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

    /// Removes a version. Returns whether it was published.
    pub(crate) fn retire(&mut self, root: &Digest) -> bool {
        self.versions.remove(root).is_some()
    }
}

fn parse_version(publish: Publish) -> Result<(Digest, Version), Reason> {
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
        origin: parse_url("origin", publish.origin)?,
        store: parse_url("store", publish.store)?,
    };
    Ok((root, version))
}

fn parse_url(what: &str, url: String) -> Result<Arc<str>, Reason> {
    let is_http = url.is_empty() || url.starts_with("http://");
    let printable = url.len() <= MAX_URL && url.bytes().all(|byte| byte.is_ascii_graphic());
    if is_http && printable {
        return Ok(url.into());
    }
    let text = format!("{what}: give an http:// URL of at most {MAX_URL} bytes");
    Err(Reason::malformed(text))
}

/// Compares all facts but the operator: the first publisher's name stays, whoever publishes the same
/// version again.
fn same_facts(a: &Version, b: &Version) -> bool {
    (&a.model, a.weights, a.manifest, a.chunks) == (&b.model, b.weights, b.manifest, b.chunks)
}

fn mismatch(root: &Digest) -> Reason {
    let what = format!(
        "version {root} is published with another model or other sizes: publish under the model \
         it was made for"
    );
    Reason::new(Fault::Differs, "", what)
}
