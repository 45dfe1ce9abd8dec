//! Tests the mode of whole documents, in which the highest version is in force.

use bytes::Bytes;
use filbertstack_control::document::Change;
use filbertstack_control::document::Document;
use filbertstack_control::document::Documents;
use filbertstack_control::document::Effect;
use filbertstack_control::document::KeptList;
use filbertstack_control::document::Kind;
use filbertstack_control::document::Packed;
use filbertstack_control::document::Weights;
use proptest::prelude::*;
use prost::Message as _;

fn document_command(version: u64, body: &str) -> Vec<u8> {
    let body = Bytes::copy_from_slice(body.as_bytes());
    let kind = Some(Kind::Document(Document { version, body }));
    Change { kind }.encode_to_vec()
}

fn packed_command(packed: Packed) -> Vec<u8> {
    let kind = Some(Kind::Packed(packed));
    Change { kind }.encode_to_vec()
}

fn pack(version: u64, body: impl Into<Bytes>) -> Packed {
    let body = body.into();
    Packed::pack(&Document { version, body }).expect("compressed")
}

fn weights_command(model: &str, version: u64) -> Vec<u8> {
    let model = model.to_owned();
    let kind = Some(Kind::Weights(Weights { model, version }));
    Change { kind }.encode_to_vec()
}

fn weights(version: u64) -> Weights {
    Weights {
        model: "m".into(),
        version,
    }
}

fn list(version: u64, pieces: usize, digest: u8) -> KeptList {
    KeptList {
        weights: weights(version),
        bytes: 49_152,
        digests: vec![digest; pieces * 32].into(),
    }
}

fn keep_list(documents: &mut Documents, list: KeptList) -> Effect {
    let kind = Some(Kind::List(list));
    documents.apply(1, &Change { kind }.encode_to_vec())
}

/// Guards against two operators who send different content under one version. Only the first content takes
/// effect, even if the other is sent again.
#[test]
fn other_content_under_the_same_version_changes_nothing() {
    let mut documents = Documents::default();
    assert_eq!(
        documents.apply(1, &document_command(7, "first")),
        Effect::InForce
    );
    assert_eq!(
        documents.apply(1, &document_command(7, "second")),
        Effect::Superseded
    );
    assert_eq!(
        documents.apply(1, &document_command(6, "older")),
        Effect::Superseded
    );
    assert_eq!(&documents.document().body[..], b"first");
}

/// Guards against long documents that, sent often, fill the voters' links and the memory of the log.
#[test]
fn long_document_is_compressed_in_the_log() {
    let route = |n: u32| {
        format!(
            r#"{{"name":"r-{n}","host":"h-{n}.example","pathPrefix":"/p-{n}/","kind":"streaming","timeoutMs":6000,"service":"drafting"}}"#
        )
    };
    let body = (0..1_800).map(route).collect::<Vec<_>>().join(",");
    let packed = packed_command(pack(3, body.clone()));
    assert!(
        packed.len() * 10 < body.len(),
        "{} of {}",
        packed.len(),
        body.len()
    );
    let mut documents = Documents::default();
    assert_eq!(documents.apply(1, &packed), Effect::InForce);
    assert_eq!(documents.document().body, body);
    let mut restarted = Documents::default();
    restarted
        .restore(&documents.snapshot())
        .expect("its own snapshot");
    assert_eq!(restarted, documents);
}

/// Guards against a replica that stops at invalid packed bytes, or applies half of a document.
#[test]
fn invalid_packed_bytes_change_nothing() {
    let mut documents = Documents::default();
    documents.apply(1, &document_command(1, "a"));
    let intact = pack(2, "a document".repeat(100));
    let cut = Packed {
        body: intact.body.slice(..intact.body.len() / 2),
        ..intact
    };
    assert_eq!(documents.apply(1, &packed_command(cut)), Effect::Unreadable);
    let long = pack(2, vec![0; 64 << 20]);
    assert_eq!(
        documents.apply(1, &packed_command(long)),
        Effect::Unreadable
    );
    assert_eq!(&documents.document().body[..], b"a");
    assert_eq!(
        documents.apply(1, &packed_command(pack(1, "other"))),
        Effect::Superseded
    );
}

#[test]
fn invalid_command_bytes_change_nothing() {
    let mut documents = Documents::default();
    documents.apply(1, &document_command(1, "a"));
    assert_eq!(documents.apply(1, &[0xff; 9]), Effect::Unreadable);
    assert_eq!(documents.document().version, 1);
    assert!(documents.restore(&[0xff; 9]).is_err());
    assert_eq!(documents.document().version, 1);
}

/// Guards against an agent that regards an older version as unknown although an engine may still load it.
#[test]
fn older_weights_versions_survive_a_restart() {
    let mut documents = Documents::default();
    for version in [2, 3, 5, 5, 4, 9, 10, 12] {
        documents.apply(1, &weights_command("m", version));
    }
    let snapshot_bytes = documents.snapshot();
    let mut restarted = Documents::default();
    restarted
        .restore(&snapshot_bytes)
        .expect("its own snapshot");
    let named: Vec<u64> = restarted.weights().map(|w| w.version).collect();
    assert_eq!(named, [5, 9, 10, 12]);
    assert_eq!(restarted, documents);
}

/// Guards against losing a list of pieces when all processes restart. Without it, nothing can recognize the
/// version that an engine holds.
#[test]
fn piece_lists_survive_a_restart() {
    let mut documents = Documents::default();
    for version in [1, 2, 4] {
        let kept = keep_list(&mut documents, list(version, 48, 7));
        assert_eq!(kept, Effect::InForce);
    }
    let mut restarted = Documents::default();
    restarted
        .restore(&documents.snapshot())
        .expect("its own snapshot");
    assert_eq!(restarted, documents);
    let latest = |upto| {
        restarted
            .kept_list(&weights(upto))
            .map(|l| l.weights.version)
    };
    assert_eq!(
        [0, 1, 3, 4, u64::MAX].map(latest),
        [None, Some(1), Some(2), Some(4), Some(4)]
    );
}

/// Guards against a corrupt list from the origin that is never replaced.
#[test]
fn new_list_replaces_an_earlier_one() {
    let mut documents = Documents::default();
    keep_list(&mut documents, list(2, 48, 1));
    assert_eq!(keep_list(&mut documents, list(2, 48, 2)), Effect::InForce);
    assert_eq!(
        keep_list(&mut documents, list(2, 48, 2)),
        Effect::Superseded
    );
    assert_eq!(documents.kept_list(&weights(2)), Some(&list(2, 48, 2)));
}

/// Guards against lists of thousands of pieces that fill the voters' memory: the oldest are dropped.
#[test]
fn oldest_lists_are_dropped_over_the_limit() {
    let mut documents = Documents::default();
    for version in 1..=40 {
        keep_list(&mut documents, list(version, 128, 1));
    }
    assert!(documents.snapshot().len() < 70 << 10);
    assert_eq!(documents.kept_list(&weights(24)), None);
    assert_eq!(documents.kept_list(&weights(25)), Some(&list(25, 128, 1)));
    for version in 41..=43 {
        keep_list(&mut documents, list(version, 16_384, 1));
    }
    assert_eq!(documents.kept_list(&weights(41)), None);
    assert!(documents.kept_list(&weights(42)).is_some());
}

proptest! {
    /// Compares with the simplest oracle: the highest version so far, with its first body. Snapshots are
    /// taken and restored at random moments, as in a restart.
    #[test]
    fn highest_version_is_in_force(
        steps in prop::collection::vec((0_u64..12, 0_u8..4, any::<bool>()), 1..200),
    ) {
        let mut documents = Documents::default();
        let (mut version, mut body) = (0, String::new());
        let mut weights = 0;
        for (n, (number, kind, snapshot)) in steps.into_iter().enumerate() {
            let text = format!("body {n}");
            let (effect, newer) = if kind == 0 {
                let newer = number > weights;
                weights = weights.max(number);
                (documents.apply(1, &weights_command("m", number)), newer)
            } else {
                let newer = number > version;
                if newer {
                    (version, body) = (number, text.clone());
                }
                (documents.apply(1, &document_command(number, &text)), newer)
            };
            prop_assert_eq!(effect == Effect::InForce, newer);
            if snapshot {
                let snapshot_bytes = documents.snapshot();
                documents = Documents::default();
                documents.restore(&snapshot_bytes).expect("its own snapshot");
            }
            prop_assert_eq!(documents.document().version, version);
            prop_assert_eq!(&documents.document().body[..], body.as_bytes());
            let named = documents.weights().map(|w| w.version).max().unwrap_or(0);
            prop_assert_eq!(named, weights);
        }
    }
}
