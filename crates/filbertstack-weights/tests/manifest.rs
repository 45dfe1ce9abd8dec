//! Tests manifests: creation from folders, encoding, and rejection of invalid ones.

mod support;

use std::fs;
use std::os::unix::fs::symlink;
use std::sync::Arc;
use std::sync::LazyLock;

use proptest::prelude::*;
use proptest::test_runner::RngSeed;

use filbertstack_core::Digest;
use filbertstack_weights::Manifest;
use filbertstack_weights::manifest::Chunk;
use filbertstack_weights::manifest::File;
use filbertstack_weights::manifest::MAX_CHUNKS;
use filbertstack_weights::manifest::ManifestError;
use filbertstack_weights::manifest::chunk_size;

use support::CHUNK;
use support::sample;

fn file(name: &str, size: u64) -> File {
    let name = Arc::from(name);
    File { name, size }
}

fn chunk(size: u32) -> Chunk {
    let digest = Digest::of(b"chunk");
    Chunk { digest, size }
}

#[test]
fn a_folder_and_its_encoding_give_one_manifest() {
    let sample = sample(1);
    let names: Vec<_> = sample.manifest.files().iter().map(|f| &*f.name).collect();
    assert_eq!(names, ["config.json", "layers/0.bin"]);
    assert_eq!(sample.manifest.size(), 800);
    // 300 and 500 bytes in chunks of 64, none of which spans two files.
    assert_eq!(sample.manifest.chunks().len(), 5 + 8);
    let encoded = sample.manifest.encode();
    assert_eq!(Digest::of(&encoded), sample.manifest.root());
    let decoded = Manifest::decode(sample.manifest.root(), &encoded).unwrap();
    assert_eq!(decoded, *sample.manifest);
    let again = Manifest::from_dir(sample.dir.path(), CHUNK).unwrap();
    assert_eq!(again.root(), sample.manifest.root());
}

#[test]
fn each_location_covers_the_bytes_of_its_chunk() {
    let sample = sample(1);
    for (location, bytes) in sample.manifest.locations().zip(&sample.bytes) {
        let held = fs::read(sample.dir.path().join(&*location.file.name)).unwrap();
        assert_eq!(held[location.range()], bytes[..]);
        assert_eq!(location.chunk.digest, Digest::of(bytes));
    }
    assert_eq!(sample.manifest.locations().count(), sample.bytes.len());
}

#[test]
fn another_versions_bytes_are_refused() {
    let (one, two) = (sample(1), sample(2));
    let error = Manifest::decode(one.manifest.root(), &two.manifest.encode()).unwrap_err();
    assert!(matches!(error, ManifestError::Digest { .. }), "{error}");
}

// A manifest from a malicious origin contains names of files outside of the version's folder. If one
// were accepted, writing the version for the engine would overwrite other files of the instance.
#[test]
fn names_that_leave_the_folder_are_refused() {
    let names = [
        "../up",
        "a/../../up",
        "/etc/passwd",
        "a//b",
        "",
        ".hidden",
        "a/.b",
        "a b",
        "a\\b",
        "a/",
        "a\0b",
        "é",
    ];
    for name in names {
        let error = Manifest::new(vec![file(name, 1)], vec![chunk(1)]).unwrap_err();
        assert!(
            matches!(error, ManifestError::Name { .. }),
            "{name}: {error}"
        );
    }
    let long = "a".repeat(256);
    assert!(Manifest::new(vec![file(&long, 1)], vec![chunk(1)]).is_err());
}

#[test]
fn files_in_wrong_order_or_twice_are_refused() {
    let two = vec![chunk(1), chunk(1)];
    for names in [["b", "a"], ["a", "a"]] {
        let files = names.map(|name| file(name, 1)).to_vec();
        assert!(Manifest::new(files, two.clone()).is_err());
    }
    let nested = ["a", "a-b", "a/c"].map(|name| file(name, 1)).to_vec();
    assert!(Manifest::new(nested, vec![chunk(1); 3]).is_err());
}

#[test]
fn chunks_that_do_not_fit_the_files_are_refused() {
    for sizes in [&[10][..], &[4, 4], &[4, 5, 1], &[9, 0], &[]] {
        let chunks = sizes.iter().copied().map(chunk).collect();
        assert!(
            Manifest::new(vec![file("a", 9)], chunks).is_err(),
            "{sizes:?}"
        );
    }
    let many = MAX_CHUNKS + 1;
    let error = Manifest::new(vec![file("a", many as u64)], vec![chunk(1); many]).unwrap_err();
    assert!(matches!(error, ManifestError::Chunks), "{error}");
}

#[test]
fn the_largest_manifest_fits_its_bound() {
    let chunks = vec![chunk(64 << 20); MAX_CHUNKS];
    let size = (MAX_CHUNKS as u64) << 26;
    let manifest = Manifest::new(vec![file("a", size)], chunks).unwrap();
    let decoded = Manifest::decode(manifest.root(), &manifest.encode()).unwrap();
    assert_eq!(decoded.root(), manifest.root());
}

#[test]
fn damaged_encodings_are_refused() {
    let sample = sample(1);
    let mut encoded = sample.manifest.encode().to_vec();
    // With an additional unknown field, the same manifest would have a second digest.
    encoded.extend_from_slice(&[0x78, 1]);
    let error = Manifest::decode(Digest::of(&encoded), &encoded).unwrap_err();
    assert!(matches!(error, ManifestError::Malformed { .. }), "{error}");
    encoded.truncate(40);
    assert!(Manifest::decode(Digest::of(&encoded), &encoded).is_err());
}

#[test]
fn folders_that_make_no_version_are_refused() {
    let dir = tempfile::tempdir().unwrap();
    let empty = Manifest::from_dir(dir.path(), CHUNK).unwrap_err();
    assert!(matches!(empty, ManifestError::Empty), "{empty}");
    fs::write(dir.path().join(".cache"), b"x").unwrap();
    fs::write(dir.path().join("a"), b"x").unwrap();
    assert_eq!(
        Manifest::from_dir(dir.path(), CHUNK).unwrap().files().len(),
        1
    );
    assert!(Manifest::from_dir(dir.path(), 0).is_err());
    symlink(dir.path(), dir.path().join("loop")).unwrap();
    let looped = Manifest::from_dir(dir.path(), CHUNK).unwrap_err();
    assert!(matches!(looped, ManifestError::Kind { .. }), "{looped}");
}

#[test]
fn the_chunk_size_follows_the_versions_size() {
    let sizes = [1 << 20, 8 << 30, (8 << 30) + 1, 140 << 30, 4 << 40].map(chunk_size);
    assert_eq!(sizes, [4 << 20, 4 << 20, 8 << 20, 64 << 20, 64 << 20]);
}

static ENCODED: LazyLock<Vec<u8>> = LazyLock::new(|| sample(1).manifest.encode().to_vec());

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(7),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn any_bytes_are_a_manifest_or_an_error(at in 0..700_usize, byte: u8, cut in 0..700_usize) {
        let mut bytes = ENCODED.clone();
        if let Some(old) = bytes.get_mut(at) {
            *old = byte;
        }
        bytes.truncate(cut);
        if let Ok(manifest) = Manifest::decode(Digest::of(&bytes), &bytes) {
            prop_assert_eq!(manifest.encode(), bytes);
        }
    }
}
