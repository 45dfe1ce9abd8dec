//! Tests the digest of requests.

use filbertstack_core::RequestDigest;

/// Guards against a digest that differs between processes: they compare their digests.
#[test]
fn repeats_of_a_request_share_a_digest() {
    let digest = RequestDigest::of("/rewrite/2?x=1", Some("studio"), b"body");
    insta::assert_snapshot!(digest, @"ad48d68435068264c4f82c556f68c696");
    assert_eq!(
        digest,
        RequestDigest::of("/rewrite/2?x=1", Some("studio"), b"body")
    );
    assert_eq!(RequestDigest::from_slice(digest.as_bytes()), Some(digest));
}

/// Guards against requests that are taken for the same because their parts only join to the same bytes.
#[test]
fn different_requests_have_different_digests() {
    let digests = [
        RequestDigest::of("/a", Some("b"), b"c"),
        RequestDigest::of("/a", Some("bc"), b""),
        RequestDigest::of("/ab", None, b"c"),
        RequestDigest::of("/a", Some("b"), b"d"),
        RequestDigest::of("/a", None, b"bc"),
    ];
    for (n, digest) in digests.iter().enumerate() {
        assert!(!digests[..n].contains(digest), "{n}");
    }
}
