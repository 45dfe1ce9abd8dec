//! Tests parts of prompts that crash the engines that begin to answer them, whatever else a request holds, and
//! answers that a crash ends without an error of the connection.

use std::cell::Cell;
use std::thread::sleep;
use std::time::Duration;
use std::time::Instant;

use crate::cluster::Answer;
use crate::cluster::Cluster;
use crate::cluster::document;
use crate::cluster::exchange;
use crate::cluster::wait_until;
use crate::engine::Engine;
use crate::engine::Received;
use crate::engine::stream;
use crate::engine::stream_until_close;

/// A part that crashes engines, and the parts that its requests share with others.
const CRASHING_PART: &str = "bad0";
const FIRST_PART: &str = "f1";
const SECOND_PART: &str = "5ec0";

/// The number of crashes from which entries have to know the part.
const KNOWN_CRASHES: usize = 5;

/// How often requests with the part may still reach engines later on.
const RETRIES_ALLOWED: usize = 3;

/// The time that entries have to learn of the last of these crashes.
const LEARN_TIME: Duration = Duration::from_secs(3);

/// After this time, bytes of an engine show that it has not crashed before.
const LIFE_TIME: Duration = Duration::from_millis(600);

/// This is longer than the pause before the first probe. The one before the second is much longer.
const FIRST_PAUSE: Duration = Duration::from_millis(6_500);

/// `Framing` is how an engine marks the end of an answer.
#[derive(Clone, Copy)]
enum Framing {
    Chunks,
    /// The connection ends.
    Connection,
}

fn is_crashing(received: &Received) -> bool {
    let parts = received.header("x-filbertstack-prompt-prefix");
    parts.contains(&format!("{CRASHING_PART}:"))
}

/// Returns the answer of an engine, whose first event is cut if the request crashes it.
fn answer(received: &Received, framing: Framing) -> Vec<u8> {
    let cut = if is_crashing(received) { 12 } else { 0 };
    let after: u64 = received.header("last-event-id").parse().unwrap_or(0);
    match framing {
        Framing::Chunks => stream(received, after + 1, cut),
        Framing::Connection => stream_until_close(received, after + 1, cut),
    }
}

fn start_engines(count: usize, framing: Framing) -> Vec<Engine> {
    let engine = |_| {
        let behaviour = move |received: &Received| answer(received, framing);
        Engine::crashed_when(is_crashing, Box::new(behaviour))
    };
    (0..count).map(engine).collect()
}

/// Starts three entries, one of them with a disk, which know the engines.
fn start_serving(engines: &[Engine]) -> Cluster {
    let cluster = Cluster::start(1, 2);
    cluster.put_document(&[0], &document(1));
    register_running(&cluster, engines);
    await_served(&cluster);
    cluster
}

fn register_running(cluster: &Cluster, engines: &[Engine]) {
    for (n, engine) in engines.iter().enumerate().filter(|(_, e)| !e.has_crashed()) {
        cluster.register(0, &format!("i-{n}"), "stream", engine.addr);
    }
}

fn await_served(cluster: &Cluster) {
    for n in 0..3 {
        wait_until("an entry serves", || {
            post_sound(cluster, n, "probe").status == 200
        });
    }
}

/// Sends a request for a stream with a prompt of these parts and one of its own.
fn post(cluster: &Cluster, n: usize, attempt: &str, parts: &str) -> Answer {
    cluster.call(n, &request_to("/stream/", attempt, parts))
}

/// Returns a request with a prompt of these parts and one of its own.
fn request_to(path: &str, attempt: &str, parts: &str) -> String {
    let body = format!("prompt {attempt}");
    format!(
        "POST {path} HTTP/1.1\r\nHost: h.example\r\nX-Filbertstack-Attempt-Id: {attempt}\r\n\
         X-Filbertstack-Deadline-Ms: 5000\r\nX-Filbertstack-Prompt-Prefix: {parts},0e{attempt}:9\r\n\
         Connection: close\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

fn post_sound(cluster: &Cluster, n: usize, attempt: &str) -> Answer {
    post(
        cluster,
        n,
        attempt,
        &format!("{FIRST_PART}:40,{SECOND_PART}:80"),
    )
}

/// Sends a request with the crashing part. No two of them are alike.
fn post_crashing(cluster: &Cluster, call: usize) -> Answer {
    let parts = format!("{FIRST_PART}:40,{SECOND_PART}:80,{CRASHING_PART}:120");
    post(cluster, call % 3, &format!("a{call}"), &parts)
}

fn crashed(engines: &[Engine]) -> usize {
    engines.iter().filter(|e| e.has_crashed()).count()
}

/// Returns how often requests with the crashing part reached an engine.
fn arrivals(engines: &[Engine]) -> usize {
    let received = engines.iter().flat_map(Engine::received);
    received.filter(is_crashing).count()
}

/// Sends requests with the crashing part, and a sound one after each, until entries have to know the part.
/// Entries that know it sooner lose fewer engines. Returns how many were sent.
fn crash_engines(cluster: &Cluster, engines: &[Engine]) -> usize {
    let mut calls = 0;
    while crashed(engines) < KNOWN_CRASHES && calls < 4 * KNOWN_CRASHES {
        post_crashing(cluster, calls);
        post_sound(cluster, calls % 3, &format!("b{calls}"));
        calls += 1;
    }
    sleep(LEARN_TIME);
    calls
}

/// Sends 12 more requests with the crashing part and checks how many reach an engine.
fn assert_not_sent_on(cluster: &Cluster, engines: &[Engine], sent: usize) {
    let before = arrivals(engines);
    for call in sent..sent + 12 {
        post_crashing(cluster, call);
    }
    let retries = arrivals(engines) - before;
    assert!(
        retries <= RETRIES_ALLOWED,
        "{retries} more arrivals, {} engines crashed",
        crashed(engines)
    );
}

/// Checks that each entry refuses requests with the crashing part, and serves those that share its other parts.
fn assert_told_apart(cluster: &Cluster) {
    for n in 0..3 {
        let refused = post_crashing(cluster, 300 + n);
        assert_eq!(refused.status, 503, "{}", refused.head);
        assert!(refused.head.contains("retry-after: "), "{}", refused.head);
        let served = post_sound(cluster, n, &format!("c{n}"));
        assert_eq!(served.status, 200, "{}", served.head);
    }
}

/// Guards against requests that differ but share a part that crashes engines: each is new to the record of
/// crashing requests.
#[test]
fn a_part_that_crashes_engines_is_not_sent_on_by_any_entry() {
    let engines = start_engines(14, Framing::Chunks);
    let cluster = start_serving(&engines);
    let sent = crash_engines(&cluster, &engines);
    assert_not_sent_on(&cluster, &engines, sent);
    assert_told_apart(&cluster);
}

/// Guards against a part that crashes engines anew after all processes were killed at once.
#[test]
fn a_part_that_crashed_engines_is_refused_after_all_entries_restart() {
    let engines = start_engines(14, Framing::Chunks);
    let mut cluster = start_serving(&engines);
    let sent = crash_engines(&cluster, &engines);
    for n in 0..3 {
        cluster.kill(n);
    }
    for n in 0..3 {
        cluster.launch(n);
    }
    register_running(&cluster, &engines);
    await_served(&cluster);
    assert_not_sent_on(&cluster, &engines, sent);
    assert_told_apart(&cluster);
}

/// Guards against a crash that looks like the end of an answer, as the engine marks that by its connection.
#[test]
fn a_part_whose_answers_end_with_their_connection_is_not_sent_on() {
    let engines = start_engines(14, Framing::Connection);
    let cluster = start_serving(&engines);
    let sent = crash_engines(&cluster, &engines);
    assert_not_sent_on(&cluster, &engines, sent);
    assert_told_apart(&cluster);
}

/// Guards against a refused part that is probed by each of its requests, or never.
#[test]
fn a_refused_part_is_probed_once() {
    let engines = start_engines(8, Framing::Chunks);
    let cluster = Cluster::start(1, 0);
    cluster.put_document(&[0], &document(1));
    register_running(&cluster, &engines);
    let calls = Cell::new(0);
    let post_next = || {
        calls.set(calls.get() + 1);
        let parts = format!("{FIRST_PART}:40,{CRASHING_PART}:120");
        post(&cluster, 0, &format!("a{}", calls.get()), &parts)
    };
    wait_until("the part is refused", || {
        post_next().body.contains("a part of the prompt")
    });
    let known = arrivals(&engines);
    wait_until("it is probed", || {
        post_next();
        arrivals(&engines) > known
    });
    let probed_at = Instant::now();
    while probed_at.elapsed() < FIRST_PAUSE {
        // Engines that send no heartbeat for long are removed.
        register_running(&cluster, &engines);
        assert_eq!(post_next().status, 503);
        sleep(Duration::from_millis(100));
    }
    assert_eq!((known, arrivals(&engines)), (3, 4));
}

/// Guards against a stream that may not be resumed and that a crash cuts inside an event, or before the first
/// one: as its connection ends without an error, the caller would take it for complete, and the part that crashes
/// engines for answered.
#[test]
fn a_stream_that_its_connection_cuts_is_not_passed_on_as_complete() {
    for cut in [12, "id: 1\ndata: piece 1\n\n".len()] {
        let behaviour = move |received: &Received| stream_until_close(received, 1, cut);
        let engine = |_| Engine::crashed_when(|_| true, Box::new(behaviour));
        let engines: Vec<Engine> = (0..6).map(engine).collect();
        let cluster = Cluster::start(1, 0);
        cluster.put_document(&[0], &document(1));
        for (n, engine) in engines.iter().enumerate() {
            cluster.register(0, &format!("i-{n}"), "once", engine.addr);
        }
        let parts = format!("{FIRST_PART}:40,{CRASHING_PART}:120");
        wait_until("the part is refused", || {
            let attempt = format!("a{}", crashed(&engines));
            let request = request_to("/once/", &attempt, &parts);
            let got = exchange(&cluster.front_addr(0), &request);
            // Without an event, the entry ends the connection before it has sent a head.
            let body = got.map_or_else(String::new, |got| got.body);
            assert!(!body.ends_with("0\r\n\r\n"), "it looks complete: {body}");
            body.contains("a part of the prompt")
        });
        assert_eq!((arrivals(&engines), crashed(&engines)), (3, 3));
    }
}

/// Guards against the only engine of a service, which a part crashes and which starts again under its id each
/// time: what it sends after that says nothing about its earlier starts.
#[test]
fn a_part_that_crashes_the_same_engine_again_is_refused() {
    let starts = start_engines(6, Framing::Chunks);
    let cluster = Cluster::start(1, 0);
    cluster.put_document(&[0], &document(1));
    let post = |attempt: String, parts: &str| {
        let request = request_to("/once/", &attempt, parts);
        cluster.call(0, &request)
    };
    for (engine, born) in starts.iter().zip(1..) {
        wait_until("its start is registered", || {
            cluster.announce_start(0, "i-1", "once", engine.addr, born) == Some(200)
        });
        wait_until("it serves", || {
            post(format!("b{born}"), FIRST_PART).status == 200
        });
        sleep(LIFE_TIME);
        post(
            format!("a{born}"),
            &format!("{FIRST_PART},{CRASHING_PART}:120"),
        );
    }
    assert_eq!(arrivals(&starts), 3);
}
