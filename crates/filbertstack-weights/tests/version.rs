//! Tests the typestate: only a version that was verified under one digest is loaded and served.

mod support;

use std::fs;
use std::sync::Arc;

use filbertstack_core::Digest;
use filbertstack_weights::Store;
use filbertstack_weights::version::Verified;
use filbertstack_weights::version::Version;
use filbertstack_weights::version::VersionError;

use support::Sample;
use support::peer::flip;
use support::sample;

fn fill(store: &Store, sample: &Sample, count: usize) {
    for (location, bytes) in sample.manifest.locations().zip(&sample.bytes).take(count) {
        store.put(location.chunk.digest, bytes.clone()).unwrap();
    }
}

/// Returns a verified version, of which the store holds every chunk.
fn verified() -> Version<Verified> {
    let sample = sample(1);
    let store = Arc::new(Store::memory(10_000));
    fill(&store, &sample, 13);
    let version = Version::declare(sample.manifest, store).unwrap();
    version.fetch().verify().unwrap()
}

#[test]
fn a_version_with_a_missing_chunk_is_not_verified() {
    let sample = sample(1);
    let store = Arc::new(Store::memory(10_000));
    fill(&store, &sample, 12);
    let version = Version::declare(sample.manifest.clone(), store.clone()).unwrap();
    let fetching = version.fetch();
    assert_eq!(fetching.missing(), [12]);
    let refused = fetching.verify().unwrap_err();
    assert!(matches!(refused.error, VersionError::Missing { ref missing, .. } if *missing == [12]));
    fill(&store, &sample, 13);
    assert!(refused.version.verify().is_ok());
}

// A chunk is damaged on disk after its version was verified and before the files are written for the
// engine. The earlier verification must not be trusted: each chunk is read and verified again.
#[test]
fn damage_before_loading_leads_back_to_fetching() {
    let dir = tempfile::tempdir().unwrap();
    let sample = sample(1);
    let store = Arc::new(Store::open(dir.path(), 10_000).unwrap());
    fill(&store, &sample, 13);
    let version = Version::declare(sample.manifest.clone(), store.clone()).unwrap();
    let verified = version.fetch().verify().unwrap();
    let chunk = sample.manifest.chunks()[3].digest;
    let path = dir.path().join("chunks").join(chunk.to_string());
    fs::write(path, flip(&sample.bytes[3])).unwrap();
    let out = tempfile::tempdir().unwrap();
    let error = verified.write_to(out.path()).unwrap_err();
    assert!(matches!(error, VersionError::Missing { ref missing, .. } if *missing == [3]));
    assert_eq!(fs::read_dir(out.path()).unwrap().count(), 0);
    let fetching = verified.refetch();
    assert_eq!(fetching.missing(), [3]);
    fill(&store, &sample, 13);
    let written = fetching.verify().unwrap().write_to(out.path()).unwrap();
    let file = fs::read(written.join("layers/0.bin")).unwrap();
    assert_eq!(
        file,
        fs::read(sample.dir.path().join("layers/0.bin")).unwrap()
    );
}

#[test]
fn an_engine_that_reports_another_version_does_not_serve() {
    let sample = sample(1);
    let root = sample.manifest.root();
    let store = Arc::new(Store::memory(10_000));
    fill(&store, &sample, 13);
    let version = Version::declare(sample.manifest.clone(), store).unwrap();
    let loading = version.fetch().verify().unwrap().load();
    let refused = loading.serve(Digest::of(b"other")).unwrap_err();
    assert!(matches!(refused.error, VersionError::Mismatch { .. }));
    let serving = refused.version.load().serve(root).unwrap();
    assert!(serving.answers(root) && !serving.answers(Digest::of(b"other")));
    assert_eq!(serving.drain().end().root(), root);
}

// An engine is ordered to load a version and begins to list its files. Its answer comes too late, or the
// agent is killed, so that the order counts as failed and the files are prepared again. If they were
// removed and rewritten meanwhile, the engine would see only some of them, and callers would get answers
// from partial weights under the version's digest.
#[test]
fn intact_files_are_not_rewritten() {
    let verified = verified();
    let out = tempfile::tempdir().unwrap();
    let written = verified.write_to(out.path()).unwrap();
    let whole = fs::read_dir(&written).unwrap().count();
    let seen_by_engine = fs::read_dir(&written).unwrap();
    assert_eq!(verified.write_to(out.path()).unwrap(), written);
    assert_eq!(seen_by_engine.count(), whole);
}

#[test]
fn damaged_files_are_rewritten() {
    let verified = verified();
    let out = tempfile::tempdir().unwrap();
    let file = verified.write_to(out.path()).unwrap().join("layers/0.bin");
    let right = fs::read(&file).unwrap();
    for bad in [
        flip(&right).to_vec(),
        right[1..].to_vec(),
        [&right[..], b"x"].concat(),
    ] {
        fs::write(&file, bad).unwrap();
        verified.write_to(out.path()).unwrap();
        assert_eq!(fs::read(&file).unwrap(), right);
    }
}
