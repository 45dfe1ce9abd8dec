//! Fakes for the tests: a small version, a peer, and an HTTP server with range requests.

#![allow(dead_code, reason = "each suite uses its own part of the fakes")]

pub mod origin;
pub mod peer;

use std::fs;
use std::sync::Arc;

use bytes::Bytes;
use tempfile::TempDir;

use filbertstack_weights::Manifest;

/// The chunk size of the versions in the tests, in bytes.
pub const CHUNK: u32 = 64;

/// A version with its folder and the bytes of its chunks.
pub struct Sample {
    pub dir: TempDir,
    pub manifest: Arc<Manifest>,
    pub bytes: Vec<Bytes>,
}

/// Creates a version of two files. The first file is the same for all seeds, the second differs by
/// `seed`.
pub fn sample(seed: u8) -> Sample {
    let dir = tempfile::tempdir().unwrap();
    fs::create_dir(dir.path().join("layers")).unwrap();
    let common = pattern(300, 7);
    let own = pattern(500, seed);
    fs::write(dir.path().join("config.json"), &common).unwrap();
    fs::write(dir.path().join("layers/0.bin"), &own).unwrap();
    let manifest = Manifest::from_dir(dir.path(), CHUNK).unwrap();
    let cut = |part: &[u8]| -> Vec<Bytes> {
        let parts = part.chunks(CHUNK as usize);
        parts.map(Bytes::copy_from_slice).collect()
    };
    let bytes = [cut(&common), cut(&own)].concat();
    let manifest = Arc::new(manifest);
    Sample {
        dir,
        manifest,
        bytes,
    }
}

fn pattern(len: usize, seed: u8) -> Vec<u8> {
    (0..251)
        .cycle()
        .map(|byte: u8| byte ^ seed)
        .take(len)
        .collect()
}
