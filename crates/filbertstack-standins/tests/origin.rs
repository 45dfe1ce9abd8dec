//! Tests an origin and a weight store over loopback: ranges, counters, the shared rate and faults.

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
fn files_and_ranges_have_the_same_etag() {
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
    let stats_body = get(&origin.addr(), "/stats").json();
    assert_eq!(stats_body["bytes"], 4100);
}

#[test]
fn ranges_outside_the_file_are_416_and_paths_outside_the_directory_404() {
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
fn range_headers_parse() {
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

// An operator replaces a file while a client downloads it. The client requests the rest with the entity
// tag of the old file. With `If-Match` it must get a refusal and with `If-Range` the whole new file, never a
// range of the new file that it would join to the old one.
#[test]
fn a_replaced_file_refuses_the_old_etag() {
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
fn each_fault_affects_the_next_answer_only() {
    let dir = weights("abcd");
    let origin = origin(&dir);
    let whole = get(&origin.addr(), FILE).bytes();
    let set_faults = |faults| origin.set_faults(faults);

    set_faults(FileFaults {
        corrupt: 1,
        ..FileFaults::default()
    });
    let bad = get(&origin.addr(), FILE).bytes();
    assert_eq!(bad.iter().zip(&whole).filter(|(a, b)| a != b).count(), 1);
    assert_eq!(get(&origin.addr(), FILE).bytes(), whole);

    set_faults(FileFaults {
        shift: 1,
        ..FileFaults::default()
    });
    let part = get_with(&origin.addr(), FILE, &[("Range", "bytes=0-9")]);
    assert_eq!(part.header("Content-Range"), Some("bytes 0-9/4096"));
    assert_eq!(part.bytes(), whole[1..11]);

    set_faults(FileFaults {
        cut: 1,
        ..FileFaults::default()
    });
    let url = format!("http://{}{FILE}", origin.addr());
    let cut = agent().get(&url).call().unwrap().into_body().read_to_vec();
    assert!(cut.is_err(), "a cut answer must not look whole");

    set_faults(FileFaults {
        refuse: 1,
        ..FileFaults::default()
    });
    assert_eq!(get(&origin.addr(), FILE).status(), 503);
    assert_eq!(get(&origin.addr(), FILE).bytes(), whole);
}

// The connection stalls in the middle of an answer: the client gets the first half and nothing more, so
// that a client without a timeout of its own would wait for ever.
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
fn a_store_accepts_uploads() {
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

// Two clients share a rate of 1000 bytes a second with a burst of 500 bytes. Whatever the order of their
// requests, they must wait in full for all bytes beyond the burst.
#[test]
fn concurrent_takes_share_the_rate() {
    let mut bucket = Bucket::new(1000, 500);
    let now = Duration::from_secs(10);
    assert_eq!(bucket.take(now, 500), Duration::ZERO);
    assert_eq!(bucket.take(now, 100), Duration::from_millis(100));
    assert_eq!(bucket.take(now, 100), Duration::from_millis(200));
    let later = now + Duration::from_millis(150);
    assert_eq!(bucket.take(later, 100), Duration::from_millis(150));
    // An idle period fills the bucket up to the burst and no further.
    let after_pause = now + Duration::from_secs(100);
    assert_eq!(bucket.take(after_pause, 500), Duration::ZERO);
    assert_eq!(bucket.take(after_pause, 1), Duration::from_millis(1));
}

// The rate is one byte a second after a burst of one block. The client gets the burst. The next block
// would come after 17 minutes, so that no more bytes are counted when the client disconnects.
#[test]
fn answers_are_rate_limited() {
    let dir = weights("abcd");
    let mut config = OriginConfig::new(dir.path());
    config.rate = Some(Rate {
        bytes: 1,
        burst: 1024,
    });
    let origin = Origin::start(config).unwrap();
    let mut body = get(&origin.addr(), FILE).into_reader();
    let mut block = [0; 1024];
    body.read_exact(&mut block).unwrap();
    drop(body);
    assert_eq!(origin.stats().bytes, 1024);
}
