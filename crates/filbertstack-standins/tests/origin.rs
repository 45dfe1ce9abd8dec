//! An origin and a weight store over loopback: ranges, counts, the shared rate and faults.

mod common;

use std::fs;
use std::io::Read;
use std::time::Duration;

use filbertstack_standins::FileFaults;
use filbertstack_standins::Origin;
use filbertstack_standins::OriginConfig;
use filbertstack_standins::Rate;
use filbertstack_standins::Store;
use filbertstack_standins::bucket::Bucket;
use filbertstack_standins::files::parse_range;

use common::agent;
use common::get;
use common::get_with;
use common::put;
use common::weights;

const FILE: &str = "/weights.bin";

fn origin(dir: &tempfile::TempDir) -> Origin {
    Origin::start(OriginConfig::new(dir.path())).unwrap()
}

#[test]
fn serves_whole_files_and_ranges_with_one_etag() {
    let dir = weights("abcd");
    let origin = origin(&dir);
    let whole = get(&origin.addr(), FILE);
    let tag = whole.header("ETag").unwrap().to_owned();
    let whole = whole.bytes();
    assert_eq!(whole.len(), 4096);
    let part = get_with(&origin.addr(), FILE, &[("Range", "bytes=10-13")]);
    assert_eq!(part.status(), 206);
    assert_eq!(part.header("Content-Range"), Some("bytes 10-13/4096"));
    assert_eq!(part.header("ETag"), Some(tag.as_str()));
    assert_eq!(part.bytes(), whole[10..14]);
    let stats = origin.stats();
    assert_eq!((stats.requests, stats.bytes), (2, 4100));
    assert_eq!(stats.paths[FILE].bytes, 4100);
    let told = get(&origin.addr(), "/stats").json();
    assert_eq!(told["bytes"], 4100);
}

#[test]
fn a_range_outside_the_file_is_416_and_a_path_upwards_is_404() {
    let dir = weights("abcd");
    let origin = origin(&dir);
    let part = get_with(&origin.addr(), FILE, &[("Range", "bytes=4096-")]);
    assert_eq!(part.status(), 416);
    assert_eq!(part.header("Content-Range"), Some("bytes */4096"));
    for path in ["/none", "/", "/a/../../weights.bin", "/%2e%2e/weights.bin"] {
        assert_eq!(get(&origin.addr(), path).status(), 404, "{path}");
    }
}

#[test]
fn ranges_read_as_http_has_them() {
    let cases = [
        ("bytes=0-0", Some(0..1)),
        ("bytes=2-", Some(2..10)),
        ("bytes=-3", Some(7..10)),
        ("bytes=5-99", Some(5..10)),
        ("bytes=9-5", None),
        ("bytes=10-", None),
        ("bytes=-0", None),
        ("chunks=0-1", None),
        ("bytes=a-b", None),
    ];
    for (text, range) in cases {
        assert_eq!(parse_range(text, 10), range, "{text}");
    }
}

// An operator replaces a file while a copy of it is in flight. The reader asks for the rest with
// the tag of the version that it began; it must get a refusal, not bytes of the new version.
#[test]
fn a_file_that_changed_refuses_the_old_tag() {
    let dir = weights("abcd");
    let origin = origin(&dir);
    let first = get_with(&origin.addr(), FILE, &[("Range", "bytes=0-99")]);
    let tag = first.header("ETag").unwrap().to_owned();
    fs::write(dir.path().join("next"), vec![7; 5000]).unwrap();
    fs::rename(dir.path().join("next"), dir.path().join("weights.bin")).unwrap();
    let range = ("Range", "bytes=100-199");
    let rest = get_with(&origin.addr(), FILE, &[range, ("If-Match", &tag)]);
    assert_eq!(rest.status(), 412);
    let rest = get_with(&origin.addr(), FILE, &[range, ("If-Range", &tag)]);
    assert_eq!((rest.status(), rest.bytes().len()), (200, 5000));
}

#[test]
fn each_fault_strikes_the_next_answers_only() {
    let dir = weights("abcd");
    let origin = origin(&dir);
    let whole = get(&origin.addr(), FILE).bytes();
    let strike = |faults| origin.set_faults(faults);

    strike(FileFaults {
        corrupt: 1,
        ..FileFaults::default()
    });
    let bad = get(&origin.addr(), FILE).bytes();
    assert_eq!(bad.iter().zip(&whole).filter(|(a, b)| a != b).count(), 1);
    assert_eq!(get(&origin.addr(), FILE).bytes(), whole);

    strike(FileFaults {
        shift: 1,
        ..FileFaults::default()
    });
    let part = get_with(&origin.addr(), FILE, &[("Range", "bytes=0-9")]);
    assert_eq!(part.header("Content-Range"), Some("bytes 0-9/4096"));
    assert_eq!(part.bytes(), whole[1..11]);

    strike(FileFaults {
        cut: 1,
        ..FileFaults::default()
    });
    let url = format!("http://{}{FILE}", origin.addr());
    let cut = agent().get(&url).call().unwrap().into_body().read_to_vec();
    assert!(cut.is_err(), "a cut answer must not look whole");

    strike(FileFaults {
        refuse: 1,
        ..FileFaults::default()
    });
    assert_eq!(get(&origin.addr(), FILE).status(), 503);
    assert_eq!(get(&origin.addr(), FILE).bytes(), whole);
}

// The link stalls half way through an answer. The reader holds the first half, and nothing more
// is sent, so that a reader without a bound of its own would wait for ever.
#[test]
fn a_stalled_answer_sends_its_first_half() {
    let dir = weights("abcd");
    let origin = origin(&dir);
    origin.set_faults(FileFaults {
        stall: 1,
        ..FileFaults::default()
    });
    let mut half = vec![0; 2048];
    let mut body = get(&origin.addr(), FILE).into_reader();
    body.read_exact(&mut half).unwrap();
    drop(body);
    assert_eq!(origin.stats().bytes, 2048);
}

#[test]
fn a_store_takes_uploads_whole() {
    let dir = tempfile::tempdir().unwrap();
    let store = Store::start(OriginConfig::new(dir.path())).unwrap();
    assert_eq!(
        put(&store.addr(), "/v1/chunk", &vec![5; 300_000]).status(),
        201
    );
    assert_eq!(get(&store.addr(), "/v1/chunk").bytes(), vec![5; 300_000]);
    assert_eq!(store.stats().uploaded, 300_000);
    assert_eq!(put(&store.addr(), "/../x", b"no").status(), 400);
    let origin = origin(&dir);
    assert_eq!(put(&origin.addr(), "/v1/chunk", b"no").status(), 405);
}

// Two readers take from one link of 1000 bytes a second with a burst of 500. Whatever the order in
// which they ask, all bytes beyond the burst must be waited for in full.
#[test]
fn all_takers_together_keep_to_the_rate() {
    let mut bucket = Bucket::new(1000, 500);
    let now = Duration::from_secs(10);
    assert_eq!(bucket.take(now, 500), Duration::ZERO);
    assert_eq!(bucket.take(now, 100), Duration::from_millis(100));
    assert_eq!(bucket.take(now, 100), Duration::from_millis(200));
    let later = now + Duration::from_millis(150);
    assert_eq!(bucket.take(later, 100), Duration::from_millis(150));
    // A pause fills the bucket to its burst and no further.
    let rested = now + Duration::from_secs(100);
    assert_eq!(bucket.take(rested, 500), Duration::ZERO);
    assert_eq!(bucket.take(rested, 1), Duration::from_millis(1));
}

// The link carries a byte a second after a burst of one piece. A reader gets the burst; the next
// piece would come in 17 minutes, so that nothing more has been counted when the reader hangs up.
#[test]
fn an_answer_waits_for_the_rate() {
    let dir = weights("abcd");
    let mut config = OriginConfig::new(dir.path());
    config.rate = Some(Rate {
        bytes: 1,
        burst: 1024,
    });
    let origin = Origin::start(config).unwrap();
    let mut body = get(&origin.addr(), FILE).into_reader();
    let mut piece = [0; 1024];
    body.read_exact(&mut piece).unwrap();
    drop(body);
    assert_eq!(origin.stats().bytes, 1024);
}
