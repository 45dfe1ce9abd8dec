//! Tests the HTTP source: each failure of the origin has its kind of fault, and no wrong bytes are stored.

mod support;

use std::fs;
use std::io::Read as _;
use std::io::Write as _;
use std::net::TcpListener;
use std::thread;
use std::time::Duration;

use filbertstack_core::Digest;
use filbertstack_weights::Manifest;
use filbertstack_weights::Store;
use filbertstack_weights::fetch::Fault;
use filbertstack_weights::fetch::FetchError;
use filbertstack_weights::fetch::HttpConfig;
use filbertstack_weights::fetch::HttpSource;
use filbertstack_weights::fetch::fetch_into;
use filbertstack_weights::manifest::ChunkLocation;

use support::Sample;
use support::origin::Answer;
use support::origin::Origin;
use support::sample;

/// A server that sends without end ends by itself after so many bytes.
const ENDLESS_CAP: usize = 64 << 20;

const SHORT_TIMEOUTS: HttpConfig = HttpConfig {
    idle_timeout: Duration::from_millis(300),
    window: Duration::from_millis(100),
    min_bytes: 50,
};

/// A configuration with a long idle timeout, so that only the minimum progress can end a fetch.
const LONG_IDLE_TIMEOUT: HttpConfig = HttpConfig {
    idle_timeout: Duration::from_secs(60),
    ..SHORT_TIMEOUTS
};

/// Returns the third chunk of the second file, which is neither at its start nor at its end.
fn location(sample: &Sample) -> ChunkLocation {
    sample.manifest.location(7).unwrap()
}

fn fetch(config: HttpConfig, answer: Answer) -> (Result<(), FetchError>, Store) {
    let sample = sample(1);
    let file = fs::read(sample.dir.path().join("layers/0.bin")).unwrap();
    let origin = Origin::start(file, answer);
    let source = HttpSource::new(&origin.base(), config);
    let store = Store::memory(10_000);
    let fetched = fetch_into(&source, &location(&sample), &store).map(|_| ());
    (fetched, store)
}

#[test]
fn a_good_range_is_stored() {
    let (fetched, store) = fetch(HttpConfig::default(), Answer::Good);
    fetched.unwrap();
    assert!(store.has(location(&sample(1)).chunk.digest));
}

// The origin gives each kind of wrong answer. The fetch must report the matching fault, so that the
// copier can choose another source, and must store nothing.
#[test]
fn each_wrong_answer_reports_its_fault() {
    let after = filbertstack_core::Millis::secs(7);
    let cases = [
        (Answer::WholeFile, Fault::Wrong),
        (Answer::ShiftedRange, Fault::Wrong),
        (Answer::Truncated, Fault::Wrong),
        (Answer::LongerFile, Fault::Stale),
        (Answer::OtherVersion, Fault::Stale),
        (Answer::Corrupt, Fault::Corrupt),
        (Answer::Busy, Fault::Busy { after }),
        (Answer::Missing, Fault::Missing),
    ];
    for (answer, fault) in cases {
        let (fetched, store) = fetch(HttpConfig::default(), answer);
        let error = fetched.unwrap_err();
        assert_eq!(error.fault(), Some(fault), "{answer:?}: {error}");
        assert_eq!(store.usage().bytes, 0);
    }
}

// The origin keeps the connection open and sends one byte every 20 ms. Every read succeeds, so that
// only the minimum progress ends the fetch; the whole chunk would take 80 s.
#[test]
fn a_slow_origin_is_reported_as_stalled() {
    let dir = tempfile::tempdir().unwrap();
    fs::write(dir.path().join("model.bin"), vec![7; 4096]).unwrap();
    let manifest = Manifest::from_dir(dir.path(), 4096).unwrap();
    let origin = Origin::start(vec![7; 4096], Answer::Slow);
    let source = HttpSource::new(&origin.base(), LONG_IDLE_TIMEOUT);
    let location = manifest.location(0).unwrap();
    let error = fetch_into(&source, &location, &Store::memory(10_000)).unwrap_err();
    assert_eq!(error.fault(), Some(Fault::Stalled), "{error}");
}

#[test]
fn a_silent_origin_is_reported_as_stalled() {
    let (fetched, _) = fetch(SHORT_TIMEOUTS, Answer::Silent);
    let error = fetched.unwrap_err();
    assert_eq!(error.fault(), Some(Fault::Stalled), "{error}");
}

#[test]
fn an_unreachable_origin_is_reported_as_down() {
    let sample = sample(1);
    let addr = {
        let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
        listener.local_addr().unwrap()
    };
    let source = HttpSource::new(&format!("http://{addr}"), HttpConfig::default());
    let error = fetch_into(&source, &location(&sample), &Store::memory(1000)).unwrap_err();
    assert_eq!(error.fault(), Some(Fault::Down), "{error}");
}

#[test]
fn a_manifest_is_fetched_by_its_digest() {
    let (one, two) = (sample(1), sample(2));
    let origin = Origin::start(one.manifest.encode().to_vec(), Answer::WholeFile);
    let source = HttpSource::new(&origin.base(), HttpConfig::default());
    let fetched = source
        .fetch_manifest("manifest", one.manifest.root())
        .unwrap();
    assert_eq!(fetched, *one.manifest);
    assert!(
        source
            .fetch_manifest("manifest", two.manifest.root())
            .is_err()
    );
}

/// Guards against a fetch that never ends and keeps a processor: the server sends what is no content without end, and each
/// read of the connection gets bytes in time.
#[test]
fn an_answer_without_end_is_given_up() {
    let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    let forms = [
        (format!("{head}2\r\nok\r\n0\r\n"), "A: b\r\n"),
        (head.to_owned(), "0"),
        (String::new(), "HTTP/1.1 100 Continue\r\n\r\n"),
        ("HTTP/1.1 200 OK\r\n".to_owned(), "A: b\r\n"),
        ("HTTP/1.1 200 OK\r\n\r\n".to_owned(), "x"),
    ];
    for (first, then) in forms {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let addr = listener.local_addr().unwrap();
        let server = thread::spawn(move || {
            let (mut stream, _) = listener.accept().unwrap();
            let _ = stream.read(&mut [0; 4096]);
            let mut sent = stream.write(first.as_bytes()).unwrap();
            let bytes = then.repeat(8 << 10);
            while sent < ENDLESS_CAP {
                let Ok(n) = stream.write(bytes.as_bytes()) else {
                    break;
                };
                sent += n;
            }
            sent
        });
        let source = HttpSource::new(&format!("http://{addr}"), HttpConfig::default());
        let fetched = source.fetch_manifest("file", Digest::of(b"root"));
        assert!(fetched.is_err(), "{then:?}");
        assert!(server.join().unwrap() < ENDLESS_CAP, "{then:?} was read on");
    }
}
