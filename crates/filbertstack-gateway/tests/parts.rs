//! Transfer of documents in parts to hundreds of followers.

use bytes::Bytes;
use filbertstack_control::document::Document;
use filbertstack_control::document::UnpackError;
use filbertstack_gateway::control::parts::Assembly;
use filbertstack_gateway::control::parts::PartError;
use filbertstack_gateway::control::parts::split_document;
use filbertstack_gateway::link::messages::DocumentPart;
use prost::Message as _;
use rand::RngExt as _;
use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;

/// The followers of one voter in a large deployment while another voter is down.
const FOLLOWERS: usize = 40;

/// The bytes that a voter's link of 100 Mbit/s carries in 100 ms.
const BYTES_PER_100_MS: usize = 1_250_000;

/// The bytes that a follower's link of 9.4 Mbit/s carries in the 200 ms between two pulses.
const BYTES_PER_PULSE: usize = 235_000;

fn random_name(rng: &mut ChaCha8Rng, letters: usize) -> String {
    let letter = |_| char::from(rng.random_range(b'a'..=b'z'));
    (0..letters).map(letter).collect()
}

/// Returns a document of many routes, as operators send it.
fn route_document(count: u32) -> Document {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let routes: Vec<String> = (0..count)
        .map(|n| {
            let (host, path) = (random_name(&mut rng, 6), random_name(&mut rng, 8));
            format!(
                r#"{{"name":"r-{n}","host":"{host}.example","pathPrefix":"/{path}/","kind":"streaming","timeoutMs":6000,"goalMs":400,"priority":1,"service":"drafting","maxAttempts":2,"public":false,"sticky":true,"resumable":true,"itlTargetMs":300}}"#
            )
        })
        .collect();
    let body = format!(r#"{{"version":7,"routes":[{}]}}"#, routes.join(","));
    Document {
        version: 7,
        body: body.into(),
    }
}

/// Returns a document that can't be compressed.
fn random_document(bytes: usize) -> Document {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let body: Vec<u8> = (0..bytes).map(|_| rng.random()).collect();
    Document {
        version: 7,
        body: body.into(),
    }
}

fn assemble(parts: Vec<DocumentPart>) -> Result<Option<Document>, PartError> {
    let mut assembly = Assembly::default();
    let mut done = None;
    for part in parts {
        done = assembly.add(part)?;
    }
    Ok(done)
}

/// Guards against a document of many routes that occupies a voter's link until all followers leave.
#[test]
fn a_long_document_reaches_all_followers_before_they_leave() {
    let document = route_document(1_800);
    let parts = split_document(&document).expect("compressed");
    let bytes: usize = parts.iter().map(DocumentPart::encoded_len).sum();
    assert!(
        bytes * FOLLOWERS < 2 * BYTES_PER_100_MS,
        "{bytes} bytes for each follower"
    );
    assert_eq!(assemble(parts).expect("it reads"), Some(document));
}

/// Guards against a long frame that delays the pulses behind it.
#[test]
fn each_part_fits_between_two_pulses() {
    let document = random_document(4 << 20);
    let parts = split_document(&document).expect("compressed");
    let longest = parts.iter().map(DocumentPart::encoded_len).max();
    assert!(longest < Some(BYTES_PER_PULSE), "{longest:?} bytes");
    assert_eq!(assemble(parts).expect("it reads"), Some(document));
}

/// Guards against a follower that changes its voter during a transfer and joins parts of two documents.
#[test]
fn parts_of_two_documents_are_not_joined() {
    let older = split_document(&random_document(100_000)).expect("compressed");
    let newer = split_document(&Document {
        version: 8,
        ..random_document(100_000)
    });
    let newer = newer.expect("compressed");
    let joined = vec![older[0].clone(), newer[1].clone()];
    assert!(matches!(
        assemble(joined),
        Err(PartError::OutOfOrder { .. })
    ));
    let restarted = [&older[..1], &newer[..]].concat();
    let whole = assemble(restarted).expect("it reads");
    assert_eq!(whole.map(|d| d.version), Some(8));
}

/// Guards against a peer whose small parts expand without bound when they are unpacked.
#[test]
fn a_document_that_unpacks_too_long_is_refused() {
    let bomb = Document {
        version: 7,
        body: Bytes::from(vec![0; 64 << 20]),
    };
    let parts = split_document(&bomb).expect("compressed");
    assert!(matches!(
        assemble(parts),
        Err(PartError::Unpack(UnpackError::TooLong { version: 7 }))
    ));
}
