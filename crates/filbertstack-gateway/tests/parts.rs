//! Documents on their way to hundreds of followers.

use bytes::Bytes;
use filbertstack_control::document::Document;
use filbertstack_control::document::UnpackError;
use filbertstack_gateway::control::parts::Assembly;
use filbertstack_gateway::control::parts::PartError;
use filbertstack_gateway::control::parts::split;
use filbertstack_gateway::link::messages::DocumentPart;
use prost::Message as _;
use rand::RngExt as _;
use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;

/// Followers of one voter while another of a large deployment is lost.
const FOLLOWERS: usize = 40;

/// The bytes that a voter's link carries in a tenth of a second, at 100 Mbit/s.
const TENTH: usize = 1_250_000;

/// The bytes that a follower's link carries between two signs of life, at 9.4 Mbit/s and 200 ms.
const PULSE: usize = 235_000;

fn name(rng: &mut ChaCha8Rng, letters: usize) -> String {
    let letter = |_| char::from(rng.random_range(b'a'..=b'z'));
    (0..letters).map(letter).collect()
}

/// A document of many routes, as operators send it.
fn routes(count: u32) -> Document {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let routes: Vec<String> = (0..count)
        .map(|n| {
            let (host, path) = (name(&mut rng, 6), name(&mut rng, 8));
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

/// A document that can't be compressed.
fn noise(bytes: usize) -> Document {
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
        done = assembly.take(part)?;
    }
    Ok(done)
}

/// Guards against a voter's link that a document of many routes fills until all followers leave.
#[test]
fn a_long_document_reaches_all_followers_before_they_miss_their_voter() {
    let document = routes(1_800);
    let parts = split(&document).expect("compressed");
    let bytes: usize = parts.iter().map(DocumentPart::encoded_len).sum();
    assert!(bytes * FOLLOWERS < 2 * TENTH, "{bytes} bytes to each");
    assert_eq!(assemble(parts).expect("it reads"), Some(document));
}

/// Guards against one long frame that holds up the signs of life behind it.
#[test]
fn parts_leave_room_for_other_news() {
    let document = noise(4 << 20);
    let parts = split(&document).expect("compressed");
    let longest = parts.iter().map(DocumentPart::encoded_len).max();
    assert!(longest < Some(PULSE), "{longest:?} bytes");
    assert_eq!(assemble(parts).expect("it reads"), Some(document));
}

/// Guards against two documents joined into one where a follower changes its voter halfway.
#[test]
fn parts_of_two_documents_are_not_joined() {
    let older = split(&noise(100_000)).expect("compressed");
    let newer = split(&Document {
        version: 8,
        ..noise(100_000)
    });
    let newer = newer.expect("compressed");
    let joined = vec![older[0].clone(), newer[1].clone()];
    assert!(matches!(assemble(joined), Err(PartError::OutOfTurn { .. })));
    let began_anew = [&older[..1], &newer[..]].concat();
    let whole = assemble(began_anew).expect("it reads");
    assert_eq!(whole.map(|d| d.version), Some(8));
}

/// Guards against a peer whose parts grow without bound once they are unpacked.
#[test]
fn a_document_too_long_is_refused() {
    let bomb = Document {
        version: 7,
        body: Bytes::from(vec![0; 64 << 20]),
    };
    let parts = split(&bomb).expect("compressed");
    assert!(matches!(
        assemble(parts),
        Err(PartError::Unpack(UnpackError::TooLong { version: 7 }))
    ));
}
