//! Tests how answers that have begun end.

use std::io::Read as _;
use std::io::Write as _;
use std::net::TcpStream;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;

use serde_json::Value;
use serde_json::json;

use crate::cluster::Cluster;
use crate::cluster::document;
use crate::cluster::get;
use crate::cluster::wait_until;
use crate::engine::Engine;
use crate::engine::answer;
use crate::engine::no_room;
use crate::engine::stream;
use crate::engine::stream_until_close;
use crate::engine::time_left;
use crate::fleet::Fleet;
use crate::model::services;

/// The engine pauses for this time after each event of a stream.
const EVENT_PAUSE: Duration = Duration::from_millis(400);

/// So many streams run at both engines. Each has four places, so that it has room for those of the other: a stream that
/// no further engine could continue moves to a free place only.
const STREAMS: usize = 3;

/// An entry has refreshed its targets within this time of a change.
const REFRESH_DELAY: Duration = Duration::from_millis(300);

/// A caller pauses its reading for this time, which is longer than bytes to other processes may stay unread.
const READ_PAUSE: Duration = Duration::from_secs(4);

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
pub fn begin_stream(cluster: &Cluster, request: &str) -> TcpStream {
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

/// Waits until the log tells that a request's answer was cut for this cause.
fn await_cut(cluster: &Cluster, request: &str, cause: &str) {
    let cut = format!(
        "\"message\":\"answer cut\",\"fields\":{{\"request\":\"{request}\",\"cause\":\"{cause}\""
    );
    wait_until(&cut, || cluster.has_logged(0, &cut));
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
    await_cut(&cluster, "lost", "target lost");

    let hasty = get("/stream/", "hasty", "").replace("Deadline-Ms: 5000", "Deadline-Ms: 1500");
    cluster.call(0, &hasty);
    await_cut(&cluster, "hasty", "out of time");

    drop(begin_stream(&cluster, &get("/stream/", "left", "")));
    await_cut(&cluster, "left", "caller gone");

    cluster.put_document(&[0], &streaming_document(2, &[]));
    wait_until("the longer time is in force", || {
        cluster.version(0) == Some(2)
    });
    let _caller = begin_stream(&cluster, &patient("late"));
    assert!(cluster.stop(0), "it exits by itself without an error");
    await_cut(&cluster, "late", "process stopped");
}

/// Guards against a whole answer that the log tells of as cut.
#[test]
fn a_whole_answer_is_not_logged_as_cut() {
    let engine = Engine::start(Box::new(|received| {
        match received.header("x-filbertstack-attempt-id") {
            "empty" => answer(received, "200 OK", ""),
            "failed" => answer(received, "500 Internal Server Error", ""),
            "closed" => stream_until_close(received, 3, 0),
            _ => stream(received, 3, 0),
        }
    }));
    let cluster = start_streaming(&engine);
    for attempt in ["empty", "failed", "closed", "chunks"] {
        cluster.call(0, &get("/stream/", attempt, ""));
    }
    let ended = "\"message\":\"attempt ended\",\"fields\":{\"request\":\"chunks\"";
    wait_until("the last end is logged", || cluster.has_logged(0, ended));
    let logged = cluster.logged(0);
    assert!(!logged.contains("answer cut"), "{logged}");
}

/// Returns the document of the tests with the given changes to its route for streams, which may take 50 s.
fn streaming_document(version: u64, changes: &[(&str, u64)]) -> Value {
    let mut declared = document(version);
    let route = &mut declared["routes"][2];
    route["timeoutMs"] = json!(50_000);
    for (field, value) in changes {
        route[*field] = json!(value);
    }
    declared
}

/// Returns a request for a stream whose caller has time for it.
pub fn patient(attempt: &str) -> String {
    get("/stream/", attempt, "").replace("Deadline-Ms: 5000", "Deadline-Ms: 50000")
}

/// Asserts that each event came once, in order, and then the end.
pub fn assert_whole(answer: &str, events: u64, logged: &str) {
    let got: Vec<&str> = answer.lines().filter(|l| l.starts_with("data: ")).collect();
    let expected: Vec<String> = (1..=events).map(|n| format!("data: piece {n}")).collect();
    assert_eq!(got, expected, "{answer}\n{logged}");
    assert!(
        answer.ends_with("0\r\n\r\n"),
        "no end: {answer:?}\n{logged}"
    );
}

/// Reads the rest of an answer that has begun.
pub fn read_rest(mut caller: TcpStream) -> String {
    let mut bytes = Vec::new();
    // A reset connection ends the answer with the bytes received before.
    let _ = caller.read_to_end(&mut bytes);
    format!("data: piece 1{}", String::from_utf8_lossy(&bytes))
}

/// Starts an engine that serves version 1, with long streams that no other engine may continue.
fn start_last_attempts() -> Fleet {
    let mut fleet = Fleet::start(0);
    let mut declared = streaming_document(2, &[("maxAttempts", 1)]);
    declared["services"] = services(fleet.origin.start().addr);
    fleet.cluster.put_document(&[0], &declared);
    fleet.add_streaming(EVENT_PAUSE, MANY_EVENTS);
    fleet.name_version(1);
    fleet.await_version(1);
    fleet.await_all_serving();
    fleet
}

/// Guards against a rollout that cuts streams: the engine that is to load runs one that no other may continue.
#[test]
fn a_load_cuts_no_stream_that_has_no_attempt_left() {
    let fleet = start_last_attempts();
    let caller = begin_stream(&fleet.cluster, &patient("a1"));
    fleet.name_version(2);
    let answer = read_rest(caller);
    assert_whole(&answer, MANY_EVENTS, &fleet.cluster.logged(0));
    fleet.await_version(2);
}

/// Guards against an event that is lost or comes twice when a stream moves away from an engine that is to load: both
/// engines send it for a while.
#[test]
fn a_load_moves_streams_and_each_event_comes_once() {
    let mut fleet = Fleet::start(0);
    let mut declared = streaming_document(2, &[]);
    declared["services"] = services(fleet.origin.start().addr);
    fleet.cluster.put_document(&[0], &declared);
    fleet.add_streaming(EVENT_PAUSE, MANY_EVENTS);
    fleet.add_streaming(EVENT_PAUSE, MANY_EVENTS);
    fleet.name_version(1);
    fleet.await_version(1);
    fleet.await_all_serving();
    let callers: Vec<TcpStream> = (0..STREAMS)
        .map(|n| begin_stream(&fleet.cluster, &patient(&format!("a{n}"))))
        .collect();
    fleet.name_version(2);
    let readers = callers
        .into_iter()
        .map(|caller| thread::spawn(|| read_rest(caller)));
    let readers: Vec<JoinHandle<String>> = readers.collect();
    wait_until("all streams end", || {
        fleet.announce_all();
        readers.iter().all(JoinHandle::is_finished)
    });
    for reader in readers {
        let answer = reader.join().expect("it ends");
        assert_whole(&answer, MANY_EVENTS, &fleet.cluster.logged(0));
    }
    let logged = fleet.cluster.logged(0);
    assert!(
        logged.contains("\"message\":\"stream resumed\""),
        "none moved\n{logged}"
    );
    assert!(!logged.contains("answer broke off"), "{logged}");
    fleet.await_version(2);
}

/// Guards against a stream that its engine ends as the wait for an older version is limited: the stream began in
/// time, and no other engine may continue it.
#[test]
fn the_limit_of_an_older_version_cuts_no_stream_that_has_begun() {
    let fleet = start_last_attempts();
    fleet.name_version(2);
    // The limit counts from the next refresh of the targets.
    thread::sleep(REFRESH_DELAY);
    let caller = begin_stream(&fleet.cluster, &patient("a1"));
    let answer = read_rest(caller);
    assert_whole(&answer, MANY_EVENTS, &fleet.cluster.logged(0));
    fleet.await_version(2);
}

/// Guards against an entry that cuts a stream as its target is silent for a while, though no other takes it over:
/// a target that has left the registry serves on.
#[test]
fn a_silent_target_keeps_its_stream_if_no_other_takes_it_over() {
    let engine = Engine::paced(
        Duration::from_millis(2_300),
        Box::new(
            |received| match received.header("x-filbertstack-attempt-id") {
                "probe" => stream(received, 1, 0),
                _ => stream(received, 3, 0),
            },
        ),
    );
    let cluster = start_streaming(&engine);
    cluster.put_document(&[0], &streaming_document(2, &[]));
    wait_until("the longer time is in force", || {
        cluster.version(0) == Some(2)
    });
    let caller = begin_stream(&cluster, &patient("a1"));
    cluster.control(0, "DELETE", "/instances/i-1", "");
    assert_whole(&read_rest(caller), 3, &cluster.logged(0));
}

/// Guards against an entry that gives a slow target up for one that then turns the stream away.
#[test]
fn a_slow_target_keeps_its_stream_if_the_next_turns_it_away() {
    let slow = Engine::paced(
        Duration::from_millis(2_300),
        Box::new(
            |received| match received.header("x-filbertstack-attempt-id") {
                "probe" => stream(received, 1, 0),
                _ => stream(received, 3, 0),
            },
        ),
    );
    let full = Engine::start(Box::new(no_room));
    let cluster = start_streaming(&slow);
    cluster.put_document(&[0], &streaming_document(2, &[("itlTargetMs", 250)]));
    wait_until("the longer time is in force", || {
        cluster.version(0) == Some(2)
    });
    let caller = begin_stream(&cluster, &patient("a1"));
    cluster.register(0, "i-2", "stream", full.addr);
    assert_whole(&read_rest(caller), 3, &cluster.logged(0));
    assert!(!full.received().is_empty(), "the other was asked");
}

/// Guards against a stream that ends with its target while another is about to take over.
#[test]
fn a_target_lost_during_a_takeover_leaves_the_stream_to_the_other() {
    let slow = Engine::paced(
        Duration::from_millis(1_300),
        Box::new(
            |received| match received.header("x-filbertstack-attempt-id") {
                "probe" => stream(received, 1, 0),
                _ => stream(received, 1, 5),
            },
        ),
    );
    let other = Engine::start(Box::new(|received| {
        thread::sleep(Duration::from_millis(600));
        stream(received, 6, 0)
    }));
    let cluster = start_streaming(&slow);
    cluster.put_document(&[0], &streaming_document(2, &[("itlTargetMs", 250)]));
    wait_until("the longer time is in force", || {
        cluster.version(0) == Some(2)
    });
    let caller = begin_stream(&cluster, &patient("a1"));
    cluster.register(0, "i-2", "stream", other.addr);
    assert_whole(&read_rest(caller), 6, &cluster.logged(0));
    let asked = other.received();
    assert_eq!(asked.len(), 1, "{}", cluster.logged(0));
    assert_eq!(asked[0].header("last-event-id"), "1");
}

/// Guards against an entry that gives a slow target up before its first event, for one that turns the request
/// away.
#[test]
fn a_slow_target_keeps_a_request_that_the_next_turns_away() {
    let slow = Engine::start(Box::new(|received| {
        if received.header("x-filbertstack-attempt-id") == "a1" {
            thread::sleep(Duration::from_millis(1_800));
        }
        answer(received, "200 OK", "whole")
    }));
    let full = Engine::start(Box::new(no_room));
    let cluster = Cluster::start(1, 0);
    let mut declared = document(1);
    declared["routes"][0]["goalMs"] = json!(400);
    cluster.put_document(&[0], &declared);
    cluster.register(0, "i-1", "safe", slow.addr);
    cluster.await_service(0, "/safe/");
    let got = thread::scope(|scope| {
        let call = scope.spawn(|| cluster.call(0, &get("/safe/", "a1", "")));
        wait_until("it is sent", || cluster.has_logged(0, "\"request\":\"a1\""));
        cluster.register(0, "i-2", "safe", full.addr);
        call.join().expect("the caller")
    });
    assert_eq!(
        (got.status, got.body.as_str()),
        (200, "whole"),
        "{}",
        cluster.logged(0)
    );
    assert!(!full.received().is_empty(), "the other was asked");
}

/// Guards against a caller that is told of a lost answer when its time is over.
#[test]
fn a_request_out_of_time_is_told_so() {
    let engine = Engine::start(Box::new(|received| {
        if received.header("x-filbertstack-attempt-id") == "late" {
            thread::sleep(Duration::from_millis(2_500));
        }
        answer(received, "200 OK", "ok")
    }));
    let cluster = Cluster::start(1, 0);
    cluster.put_document(&[0], &document(1));
    for service in ["safe", "once"] {
        cluster.register(0, service, service, engine.addr);
        cluster.await_service(0, &format!("/{service}/"));
        let late = get(&format!("/{service}/"), "late", "");
        let got = cluster.call(0, &late.replace("Deadline-Ms: 5000", "Deadline-Ms: 900"));
        assert_eq!(got.status, 504, "{service}: {}", got.body);
    }
}

/// Guards against an engine that works on beyond the time limit of the route, as its caller allows more.
#[test]
fn a_request_gets_no_more_time_than_its_route_allows() {
    let engine = Engine::start(Box::new(|received| answer(received, "200 OK", "ok")));
    let cluster = Cluster::start(1, 0);
    cluster.put_document(&[0], &document(1));
    cluster.register(0, "i-1", "safe", engine.addr);
    cluster.await_service(0, "/safe/");
    let patient = get("/safe/", "a1", "").replace("Deadline-Ms: 5000", "Deadline-Ms: 60000");
    assert_eq!(cluster.call(0, &patient).status, 200);
    let received = engine.received().pop().expect("it was asked");
    assert!(time_left(&received) <= Duration::from_secs(5));
}

/// Guards against an entry whose own time limit cuts the connection of a caller that pauses its reading.
#[test]
fn a_caller_that_pauses_its_reading_gets_the_rest() {
    let long = "x".repeat(12 << 20);
    let body = long.clone();
    let engine = Engine::start(Box::new(move |received| {
        match received.header("x-filbertstack-attempt-id") {
            "a1" => answer(received, "200 OK", &body),
            _ => answer(received, "200 OK", "ok"),
        }
    }));
    let cluster = Cluster::start(1, 0);
    let mut declared = document(1);
    declared["routes"][0]["timeoutMs"] = json!(50_000);
    cluster.put_document(&[0], &declared);
    cluster.register(0, "i-1", "safe", engine.addr);
    cluster.await_service(0, "/safe/");
    let mut caller = TcpStream::connect(cluster.front_addr(0)).expect("the entry listens");
    let request = get("/safe/", "a1", "").replace("Deadline-Ms: 5000", "Deadline-Ms: 50000");
    caller.write_all(request.as_bytes()).expect("sent");
    let mut head = [0; 12];
    caller.read_exact(&mut head).expect("an answer");
    thread::sleep(READ_PAUSE);
    let mut rest = Vec::new();
    let read = caller.read_to_end(&mut rest);
    assert!(read.is_ok(), "{read:?}\n{}", cluster.logged(0));
    assert!(rest.ends_with(&long.as_bytes()[..1024]));
    assert!(rest.len() > long.len(), "{} of {}", rest.len(), long.len());
}
