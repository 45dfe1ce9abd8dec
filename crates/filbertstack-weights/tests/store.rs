//! Tests the chunk store: verification, eviction, pins, damage on disk and restarts.

mod support;

use std::fs;
use std::path::PathBuf;
use std::sync::Arc;

use bytes::Bytes;

use filbertstack_core::Digest;
use filbertstack_weights::Store;
use filbertstack_weights::store::PutOutcome;
use filbertstack_weights::store::StoreError;

use support::Sample;
use support::peer::flip;
use support::sample;

fn fill(store: &Store, sample: &Sample) {
    for (location, bytes) in sample.manifest.locations().zip(&sample.bytes) {
        store.put(location.chunk.digest, bytes.clone()).unwrap();
    }
}

fn chunk_path(dir: &tempfile::TempDir, digest: Digest) -> PathBuf {
    dir.path().join("chunks").join(digest.to_string())
}

#[test]
fn bytes_of_another_chunk_are_not_stored() {
    let store = Store::memory(1000);
    let digest = Digest::of(b"right");
    let error = store.put(digest, Bytes::from_static(b"wrong")).unwrap_err();
    assert!(matches!(error, StoreError::Corrupt { .. }), "{error}");
    assert!(store.get(digest).unwrap().is_none());
    assert_eq!(
        store.put(digest, "right".into()).unwrap(),
        PutOutcome::Stored
    );
    assert_eq!(store.put(digest, "right".into()).unwrap(), PutOutcome::Held);
    assert_eq!(store.get(digest).unwrap().unwrap(), "right");
}

// The disk flips a bit of a stored chunk. Unnoticed, peers would receive it and mark this instance as
// faulty, and the engine would load it. The next read must detect and remove it, and the store must
// accept the correct chunk again.
#[test]
fn damage_on_disk_is_detected_and_never_served() {
    let dir = tempfile::tempdir().unwrap();
    let store = Store::open(dir.path(), 1000).unwrap();
    let bytes = Bytes::from_static(b"weights");
    let digest = Digest::of(&bytes);
    store.put(digest, bytes.clone()).unwrap();
    fs::write(chunk_path(&dir, digest), flip(&bytes)).unwrap();
    let error = store.get(digest).unwrap_err();
    assert!(matches!(error, StoreError::Damaged { .. }), "{error}");
    assert!(!store.has(digest) && store.get(digest).unwrap().is_none());
    assert_eq!(store.usage().damaged, 1);
    assert_eq!(
        store.put(digest, bytes.clone()).unwrap(),
        PutOutcome::Stored
    );
    assert_eq!(store.get(digest).unwrap().unwrap(), bytes);
}

#[test]
fn a_chunk_file_that_vanished_is_missing() {
    let dir = tempfile::tempdir().unwrap();
    let store = Store::open(dir.path(), 1000).unwrap();
    let digest = Digest::of(b"weights");
    store.put(digest, "weights".into()).unwrap();
    fs::remove_file(chunk_path(&dir, digest)).unwrap();
    assert!(store.get(digest).unwrap().is_none());
    assert!(!store.has(digest));
}

#[test]
fn the_least_recently_used_chunk_is_evicted_first() {
    let store = Store::memory(10);
    let digests = ["aaaa", "bbbb", "cccc"].map(|text| (Digest::of(text.as_bytes()), text));
    store.put(digests[0].0, digests[0].1.into()).unwrap();
    store.put(digests[1].0, digests[1].1.into()).unwrap();
    store.get(digests[0].0).unwrap();
    store.put(digests[2].0, digests[2].1.into()).unwrap();
    assert_eq!(
        digests.map(|(digest, _)| store.has(digest)),
        [true, false, true]
    );
    assert_eq!(store.usage().evicted, 1);
    assert!(store.usage().bytes <= 10);
}

// A second version is declared while the first is served and the store is full. Without pins, copying
// the second would evict chunks of the first, which peers and a restarting engine still need.
#[test]
fn pinned_chunks_are_never_evicted() {
    let (one, two) = (sample(1), sample(2));
    let store = Arc::new(Store::memory(900));
    let pin = store.pin(&one.manifest).unwrap();
    fill(&store, &one);
    let refused = store.pin(&two.manifest).unwrap_err();
    assert!(matches!(refused, StoreError::Full { .. }), "{refused}");
    let own = two.manifest.location(12).unwrap().chunk;
    store.put(own.digest, two.bytes[12].clone()).unwrap();
    let next = two.manifest.location(6).unwrap().chunk;
    store.put(next.digest, two.bytes[6].clone()).unwrap();
    assert!(
        one.manifest
            .chunks()
            .iter()
            .all(|chunk| store.has(chunk.digest))
    );
    assert!(store.usage().bytes <= 900);
    drop(pin);
    let _pin = store.pin(&two.manifest).unwrap();
    fill(&store, &two);
    assert!(
        two.manifest
            .chunks()
            .iter()
            .all(|chunk| store.has(chunk.digest))
    );
    assert!(store.usage().bytes <= 900);
}

#[test]
fn a_chunk_of_two_versions_is_held_once() {
    let (one, two) = (sample(1), sample(2));
    let store = Arc::new(Store::memory(1300));
    let first = store.pin(&one.manifest).unwrap();
    let _second = store.pin(&two.manifest).unwrap();
    assert_eq!(store.usage().pinned, 300 + 2 * 500);
    fill(&store, &one);
    fill(&store, &two);
    assert_eq!(store.usage().bytes, 300 + 2 * 500);
    drop(first);
    assert_eq!(store.usage().pinned, 800);
}

#[test]
fn a_restart_keeps_good_chunks_and_drops_half_written_ones() {
    let dir = tempfile::tempdir().unwrap();
    let one = sample(1);
    fill(&Store::open(dir.path(), 10_000).unwrap(), &one);
    fs::write(dir.path().join("parts/77"), b"half a chunk").unwrap();
    fs::write(dir.path().join("chunks/note"), b"no digest").unwrap();
    let store = Store::open(dir.path(), 10_000).unwrap();
    for (location, bytes) in one.manifest.locations().zip(&one.bytes) {
        assert_eq!(
            store.get(location.chunk.digest).unwrap().as_ref(),
            Some(bytes)
        );
    }
    assert_eq!(fs::read_dir(dir.path().join("parts")).unwrap().count(), 0);
    // A smaller limit after the restart evicts at once.
    let small = Store::open(dir.path(), 100).unwrap();
    assert!(small.usage().bytes <= 100);
}
