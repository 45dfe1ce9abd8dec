//! `filbertstack publish` makes the manifest of a folder of weights and adds it to the catalogue.

use std::fs;

use filbertstack_core::time::parse_size;
use filbertstack_entry::operators::PublishRequest;
use filbertstack_weights::Manifest;
use filbertstack_weights::manifest::manifest_name;
use serde_json::json;

use super::Failure;
use super::print_answer;
use crate::client::Client;
use crate::client::ClientError;
use crate::flags;

/// The default size of a chunk, in bytes.
const DEFAULT_CHUNK_SIZE: u64 = 4 << 20;

pub fn run(flags: flags::Publish) -> Result<(), Failure> {
    let client = Client::new(flags.entry, flags.key_file)?;
    let size = flags
        .chunk_size
        .as_deref()
        .map(parse_size)
        .transpose()?
        .unwrap_or(DEFAULT_CHUNK_SIZE);
    let manifest = Manifest::from_dir(&flags.dir, u32::try_from(size)?)?;
    let encoded = manifest.encode();
    let file = flags.dir.join(manifest_name(manifest.root()));
    let written = fs::write(&file, &encoded);
    written.map_err(|source| ClientError::File { file, source })?;
    let request = PublishRequest {
        root: manifest.root(),
        model: flags.model,
        weights: manifest.size(),
        manifest: encoded.len() as u64,
        chunks: u32::try_from(manifest.chunks().len())?,
        origin: flags.origin,
        store: flags.store.unwrap_or_default(),
    };
    let mut answer = client.post("publish", &request)?;
    if (200..300).contains(&answer.status) {
        answer.body = json!({ "version": request.root, "chunks": request.chunks });
    }
    print_answer(&answer, flags.json, |_| request.root.to_string())
}
