//! Tests how answers that have begun end.

use std::io::Read as _;
use std::io::Write as _;
use std::net::TcpStream;
use std::time::Duration;

use crate::cluster::Cluster;
use crate::cluster::document;
use crate::cluster::get;
use crate::cluster::wait_until;
use crate::engine::Engine;
use crate::engine::stream;

/// The engine pauses for this time after each event of a stream.
const EVENT_PAUSE: Duration = Duration::from_millis(400);

/// A stream of this many events outlasts the time limits of the tests.
const MANY_EVENTS: u64 = 40;

/// Starts an entry with a resumable route, and waits until it serves `engine`.
fn start_streaming(engine: &Engine) -> Cluster {
    let cluster = Cluster::start(1, 0);
    cluster.put_document(&[0], &document(1));
    cluster.register(0, "i-1", "stream", engine.addr);
    wait_until("it is served", || {
        cluster.call(0, &get("/stream/", "probe", "")).status == 200
    });
    cluster
}

/// Sends a request and reads until its first event is there.
fn begin_stream(cluster: &Cluster, request: &str) -> TcpStream {
    let mut caller = TcpStream::connect(cluster.front_addr(0)).expect("the entry listens");
    caller.write_all(request.as_bytes()).expect("sent");
    let mut text = Vec::new();
    let mut byte = [0; 1];
    while !text.ends_with(b"data: piece 1") {
        caller.read_exact(&mut byte).expect("an event");
        text.extend(byte);
    }
    caller
}

fn was_cut(cluster: &Cluster, request: &str, cause: &str) -> bool {
    let logged = cluster.logged(0);
    let mut lines = logged.lines();
    let cut = format!(
        "\"message\":\"answer cut\",\"fields\":{{\"request\":\"{request}\",\"cause\":\"{cause}\""
    );
    lines.any(|line| line.contains(&cut))
}

/// Guards against an answer that ends early without the reason in the log: each way has a name of its own.
#[test]
fn each_way_that_cuts_an_answer_is_logged_by_name() {
    let engine = Engine::paced(
        EVENT_PAUSE,
        Box::new(
            |received| match received.header("x-filbertstack-attempt-id") {
                "probe" => stream(received, 1, 0),
                "lost" => stream(received, 3, 70),
                _ => stream(received, MANY_EVENTS, 0),
            },
        ),
    );
    let mut cluster = start_streaming(&engine);
    cluster.call(0, &get("/stream/", "lost", ""));
    assert!(
        was_cut(&cluster, "lost", "target lost"),
        "{}",
        cluster.logged(0)
    );

    let hasty = get("/stream/", "hasty", "").replace("Deadline-Ms: 5000", "Deadline-Ms: 1500");
    cluster.call(0, &hasty);
    assert!(
        was_cut(&cluster, "hasty", "out of time"),
        "{}",
        cluster.logged(0)
    );

    drop(begin_stream(&cluster, &get("/stream/", "left", "")));
    wait_until("the caller's end is logged", || {
        was_cut(&cluster, "left", "caller gone")
    });

    let mut declared = document(2);
    declared["routes"][2]["timeoutMs"] = serde_json::json!(50_000);
    cluster.put_document(&[0], &declared);
    wait_until("the longer time is in force", || {
        cluster.version(0) == Some(2)
    });
    let patient = get("/stream/", "late", "").replace("Deadline-Ms: 5000", "Deadline-Ms: 50000");
    let _caller = begin_stream(&cluster, &patient);
    assert!(cluster.stop(0), "it exits by itself without an error");
    assert!(
        was_cut(&cluster, "late", "process stopped"),
        "{}",
        cluster.logged(0)
    );
}
