//! Tests the digest of requests.

use filbertstack_core::ContentDigest;

/// Guards against a digest that differs between processes: they compare their digests.
#[test]
fn repeats_of_a_request_share_a_digest() {
    let digest = ContentDigest::of_request("/rewrite/2?x=1", Some("studio"), b"body");
    insta::assert_snapshot!(digest, @"ad48d68435068264c4f82c556f68c696");
    assert_eq!(
        digest,
        ContentDigest::of_request("/rewrite/2?x=1", Some("studio"), b"body")
    );
    assert_eq!(ContentDigest::from_slice(digest.as_bytes()), Some(digest));
}

/// Guards against requests that are taken for the same because their parts only join to the same bytes.
#[test]
fn different_requests_have_different_digests() {
    let digests = [
        ContentDigest::of_request("/a", Some("b"), b"c"),
        ContentDigest::of_request("/a", Some("bc"), b""),
        ContentDigest::of_request("/ab", None, b"c"),
        ContentDigest::of_request("/a", Some("b"), b"d"),
        ContentDigest::of_request("/a", None, b"bc"),
    ];
    for (n, digest) in digests.iter().enumerate() {
        assert!(!digests[..n].contains(digest), "{n}");
    }
}
