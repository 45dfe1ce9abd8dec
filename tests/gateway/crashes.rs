//! Tests requests that crash the engines that run them.

use std::thread::sleep;
use std::time::Duration;

use crate::cluster::Answer;
use crate::cluster::Cluster;
use crate::cluster::document;
use crate::cluster::wait_until;
use crate::engine::Engine;
use crate::engine::Received;
use crate::engine::answer;
use crate::engine::stream;

/// An engine that runs a request with this body crashes.
const CRASHING_BODY: &[u8] = b"crash";

/// The number of engines that such a request may crash before it is sent no more.
const CRASHES_ALLOWED: usize = 3;

/// How often such a request may still reach engines later on.
const RETRIES_ALLOWED: usize = 3;

/// The time that entries have to learn of a third crash.
const LEARN_TIME: Duration = Duration::from_secs(3);

/// Starts engines of the service `stream` that send one event of a crashing request's answer.
fn start_engines(count: usize) -> Vec<Engine> {
    let behaviour = |received: &Received| {
        let after: u64 = received.header("last-event-id").parse().unwrap_or(0);
        let crashes = received.body == CRASHING_BODY;
        let cut = if crashes { b"0\r\n\r\n".len() } else { 0 };
        stream(received, after + 1, cut)
    };
    let engines = (0..count).map(|_| Engine::crashed_by(CRASHING_BODY, Box::new(behaviour)));
    engines.collect()
}

/// Starts one entry with a disk and `others` without, which know the engines.
fn start_serving(others: usize, engines: &[Engine]) -> Cluster {
    let cluster = Cluster::start(1, others);
    cluster.put_document(&[0], &document(1));
    for (n, engine) in engines.iter().enumerate() {
        cluster.register(0, &format!("i-{n}"), "stream", engine.addr);
    }
    for n in 0..=others {
        wait_until("an entry serves", || {
            post(&cluster, n, "probe", b"probe").status == 200
        });
    }
    cluster
}

/// Sends a request for a stream with `body` to an entry.
fn post(cluster: &Cluster, n: usize, attempt: &str, body: &[u8]) -> Answer {
    post_to(cluster, n, "/stream/", attempt, body)
}

/// Sends a request for `path` with `body` to an entry.
fn post_to(cluster: &Cluster, n: usize, path: &str, attempt: &str, body: &[u8]) -> Answer {
    let request = format!(
        "POST {path} HTTP/1.1\r\nHost: h.example\r\nX-Filbertstack-Attempt-Id: {attempt}\r\n\
         X-Filbertstack-Deadline-Ms: 5000\r\nConnection: close\r\nContent-Length: {}\r\n\r\n{}",
        body.len(),
        String::from_utf8_lossy(body)
    );
    cluster.call(n, &request)
}

fn crashed(engines: &[Engine]) -> usize {
    engines.iter().filter(|e| e.has_crashed()).count()
}

/// Returns how often a crashing request reached an engine.
fn arrivals(engines: &[Engine]) -> usize {
    let received = engines.iter().flat_map(Engine::received);
    received.filter(|r| r.body == CRASHING_BODY).count()
}

/// Lets a request crash engines until entries are to refuse it, and returns how often it was sent.
fn crash_engines(cluster: &Cluster, engines: &[Engine]) -> usize {
    let mut calls = 0;
    while crashed(engines) < CRASHES_ALLOWED {
        post(cluster, calls % 3, &format!("a{calls}"), CRASHING_BODY);
        calls += 1;
    }
    sleep(LEARN_TIME);
    calls
}

/// Sends a crashing request 12 more times and returns how often it reaches an engine.
fn count_retries(cluster: &Cluster, engines: &[Engine], sent: usize) -> usize {
    let before = arrivals(engines);
    for call in sent..sent + 12 {
        post(cluster, call % 3, &format!("a{call}"), CRASHING_BODY);
    }
    arrivals(engines) - before
}

/// Guards against a request that crashes one engine after another, as its callers repeat it at every entry.
#[test]
fn a_request_that_crashes_engines_is_not_sent_on_by_any_entry() {
    let engines = start_engines(14);
    let cluster = start_serving(2, &engines);
    let sent = crash_engines(&cluster, &engines);
    let retries = count_retries(&cluster, &engines, sent);
    assert!(
        retries <= RETRIES_ALLOWED,
        "{retries} more arrivals, {} engines crashed",
        crashed(&engines)
    );
    for n in 0..3 {
        let refused = post(&cluster, n, "last", CRASHING_BODY);
        assert_eq!(refused.status, 503, "{}", refused.head);
        assert!(refused.head.contains("retry-after: "), "{}", refused.head);
        let served = post(&cluster, n, "other", b"another request");
        assert_eq!(served.status, 200, "{}", served.head);
    }
}

/// Guards against a request that crashes engines anew after all processes were killed at once.
#[test]
fn a_request_that_crashed_engines_is_refused_after_all_entries_restart() {
    let engines = start_engines(14);
    let mut cluster = start_serving(2, &engines);
    let sent = crash_engines(&cluster, &engines);
    for n in 0..3 {
        cluster.kill(n);
    }
    for n in 0..3 {
        cluster.launch(n);
    }
    for (n, engine) in engines.iter().enumerate().filter(|(_, e)| !e.has_crashed()) {
        cluster.register(0, &format!("i-{n}"), "stream", engine.addr);
    }
    for n in 0..3 {
        wait_until("an entry serves again", || {
            post(&cluster, n, "probe", b"probe").status == 200
        });
    }
    let retries = count_retries(&cluster, &engines, sent);
    assert!(
        retries <= RETRIES_ALLOWED,
        "{retries} more arrivals, {} engines crashed",
        crashed(&engines)
    );
}

/// Guards against a request that may run only once and crashes an engine each time its caller repeats it.
/// While its fate is unknown the caller must not be told that it has not run.
#[test]
fn a_request_that_may_run_once_is_refused_after_three_crashes() {
    let engines = (0..6).map(|_| Engine::crashed_by(CRASHING_BODY, Box::new(|_| Vec::new())));
    let engines: Vec<Engine> = engines.collect();
    let cluster = Cluster::start(1, 0);
    cluster.put_document(&[0], &document(1));
    for (n, engine) in engines.iter().enumerate() {
        cluster.register(0, &format!("i-{n}"), "once", engine.addr);
    }
    let mut statuses = Vec::new();
    while statuses.last() != Some(&503) || crashed(&engines) < CRASHES_ALLOWED {
        let attempt = format!("a{}", statuses.len());
        let answer = post_to(&cluster, 0, "/once/", &attempt, CRASHING_BODY);
        statuses.push(answer.status);
    }
    let lost = statuses.iter().filter(|status| **status == 502).count();
    assert_eq!((lost, arrivals(&engines)), (3, 3), "{statuses:?}");
    let refused = post_to(&cluster, 0, "/once/", "last", CRASHING_BODY);
    assert_eq!(refused.status, 503);
    assert!(refused.head.contains("retry-after: "), "{}", refused.head);
}

/// Guards against a failure of one engine that clears a request which crashed others.
#[test]
fn a_failure_does_not_clear_a_request_that_crashes_engines() {
    let engines = start_engines(6);
    let failing = Engine::start(Box::new(|received| {
        answer(received, "500 Internal Server Error", "failed")
    }));
    let cluster = Cluster::start(1, 0);
    cluster.put_document(&[0], &document(1));
    let register = |range: std::ops::Range<usize>| {
        for n in range {
            cluster.register(0, &format!("i-{n}"), "stream", engines[n].addr);
        }
    };
    register(0..2);
    wait_until("two engines have crashed", || {
        post(&cluster, 0, "a", CRASHING_BODY);
        crashed(&engines) == 2
    });
    cluster.register(0, "failing", "stream", failing.addr);
    wait_until("an engine fails the request", || {
        post(&cluster, 0, "b", CRASHING_BODY).status == 500
    });
    cluster.control(0, "DELETE", "/instances/failing", "");
    register(2..6);
    wait_until("the request is refused", || {
        let answer = post(&cluster, 0, "c", CRASHING_BODY);
        answer.body.contains("lost with several targets")
    });
    assert_eq!(crashed(&engines), CRASHES_ALLOWED);
}
