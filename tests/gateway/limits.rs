//! Tests engines that name how many requests a second they take from all entries together.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::thread::sleep;
use std::time::Duration;
use std::time::Instant;

use crate::cluster::Cluster;
use crate::cluster::document;
use crate::cluster::exchange;
use crate::cluster::get;
use crate::cluster::wait_until;
use crate::engine::Engine;
use crate::engine::Received;

/// The header by which an engine names a limit of one request a second.
const LIMIT_HEADER: &str = "Server-Limit: 1\r\n";

/// The time after which the limit holds.
const LEARN_TIME: Duration = Duration::from_secs(3);

/// The span over which requests are counted, and how many are allowed in it: one and a half times what
/// the limit says, and 5.
const SPAN: Duration = Duration::from_secs(4);
const ALLOWED: usize = 11;

/// How often engines report, so that they stay registered.
const HEARTBEAT: Duration = Duration::from_secs(1);

/// How long callers send requests, and the pause of each between two.
const LOAD_TIME: Duration = Duration::from_secs(12);
const CALL_PAUSE: Duration = Duration::from_millis(50);

/// The arrivals at an engine.
type Arrivals = Arc<Mutex<Vec<Instant>>>;

/// How much longer the engine without a limit takes, so that entries choose the other one if they may.
const SLOW_ANSWER: Duration = Duration::from_millis(60);

/// Starts an engine whose answers take `time`, and records when requests reach it. The engine names a limit
/// while `limited` is true.
fn start_engine(time: Duration, limited: bool) -> (Engine, Arrivals, Arc<AtomicBool>) {
    let limited = Arc::new(AtomicBool::new(limited));
    let names_limit = limited.clone();
    let arrivals = Arrivals::default();
    let recorded = arrivals.clone();
    let engine = Engine::start(Box::new(move |received: &Received| {
        recorded.lock().expect("not poisoned").push(Instant::now());
        sleep(time);
        let id = received.header("x-filbertstack-attempt-id");
        let extra = if names_limit.load(Ordering::Relaxed) {
            LIMIT_HEADER
        } else {
            ""
        };
        format!(
            "HTTP/1.1 200 OK\r\nX-Filbertstack-Attempt-Id: {id}\r\n\
             X-Filbertstack-Response-Seal: sealed\r\n{extra}Content-Length: 2\r\n\r\nok"
        )
        .into_bytes()
    }));
    (engine, arrivals, limited)
}

/// Starts four entries that know both engines.
fn start_serving(first: &Engine, second: &Engine) -> Cluster {
    let cluster = Cluster::start(1, 3);
    cluster.put_document(&[0], &document(1));
    register(&cluster, first, second);
    for n in 0..4 {
        cluster.await_service(n, "/safe/");
    }
    cluster
}

fn register(cluster: &Cluster, first: &Engine, second: &Engine) {
    cluster.register(0, "i-1", "safe", first.addr);
    cluster.register(0, "i-2", "safe", second.addr);
}

/// Returns the most arrivals in any [`SPAN`] that begins at `from` or later.
fn most_in_span(arrivals: &Arrivals, from: Instant) -> usize {
    let arrivals = arrivals.lock().expect("not poisoned");
    let starts = arrivals.iter().filter(|at| **at >= from);
    let counts = starts.map(|start| {
        let within = arrivals
            .iter()
            .filter(|at| **at >= *start && **at < *start + SPAN);
        within.count()
    });
    counts.max().unwrap_or(0)
}

/// Guards against entries that each keep a limit by themselves, or do not keep it at all.
#[test]
fn entries_keep_a_limit_together() {
    let (limited, arrivals, _) = start_engine(Duration::ZERO, true);
    let (free, _, _) = start_engine(SLOW_ANSWER, false);
    let cluster = start_serving(&limited, &free);
    wait_until("the limit is named", || {
        let _ = cluster.call(0, &get("/safe/", "first", ""));
        !limited.received().is_empty()
    });
    let named_at = arrivals.lock().expect("not poisoned")[0];
    let began = Instant::now();
    let callers = (0..4).map(|n| {
        let addr = cluster.front_addr(n);
        thread::spawn(move || {
            let mut refused = 0;
            for call in 0.. {
                if began.elapsed() >= LOAD_TIME {
                    break;
                }
                let answer = exchange(&addr, &get("/safe/", &format!("{n}-{call}"), ""));
                refused += usize::from(answer.is_none_or(|answer| answer.status != 200));
                sleep(CALL_PAUSE);
            }
            refused
        })
    });
    let callers: Vec<_> = callers.collect();
    while began.elapsed() < LOAD_TIME {
        sleep(HEARTBEAT);
        register(&cluster, &limited, &free);
    }
    let refused: usize = callers.into_iter().map(|c| c.join().expect("ended")).sum();
    let most = most_in_span(&arrivals, named_at + LEARN_TIME);
    assert!(most <= ALLOWED, "{most} requests in 4 s, allowed {ALLOWED}");
    assert!(most > 0, "a limit of one a second leaves some");
    assert_eq!(refused, 0, "the other engine serves the rest");
}

/// Guards against entries that keep a limit which its engine no longer names, as they get no answer from it.
#[test]
fn every_entry_learns_that_a_limit_has_ended() {
    let (first, arrivals, names_limit) = start_engine(Duration::ZERO, true);
    let (second, _, _) = start_engine(SLOW_ANSWER, false);
    let cluster = start_serving(&first, &second);
    let call = |n: usize, attempt: &str| {
        let answer = exchange(&cluster.front_addr(n), &get("/safe/", attempt, ""));
        assert!(answer.is_some_and(|answer| answer.status == 200));
    };
    for n in 0..4 {
        wait_until("an entry knows the limit", || {
            call(n, "a");
            let before = arrivals.lock().expect("not poisoned").len();
            (0..20).for_each(|_| call(n, "a"));
            arrivals.lock().expect("not poisoned").len() < before + 10
        });
    }
    names_limit.store(false, Ordering::Relaxed);
    for n in 0..4 {
        wait_until("an entry sends as before", || {
            register(&cluster, &first, &second);
            (0..4).for_each(|n| call(n, "b"));
            let before = arrivals.lock().expect("not poisoned").len();
            (0..10).for_each(|_| call(n, "c"));
            arrivals.lock().expect("not poisoned").len() >= before + 8
        });
    }
}

/// Guards against a limit that seems to end with a failure, whose answer names none.
#[test]
fn a_failure_does_not_end_a_limit() {
    let engine = Engine::start(Box::new(|received: &Received| {
        let id = received.header("x-filbertstack-attempt-id");
        let (status, extra) = if received.line.contains("/safe/fail") {
            ("500 Internal Server Error", "")
        } else {
            ("200 OK", LIMIT_HEADER)
        };
        format!(
            "HTTP/1.1 {status}\r\nX-Filbertstack-Attempt-Id: {id}\r\n\
             X-Filbertstack-Response-Seal: sealed\r\n{extra}Content-Length: 2\r\n\r\nno"
        )
        .into_bytes()
    }));
    let cluster = Cluster::start(1, 0);
    cluster.put_document(&[0], &document(1));
    cluster.register(0, "i-1", "safe", engine.addr);
    cluster.await_service(0, "/safe/");
    wait_until("the request fails", || {
        cluster.register(0, "i-1", "safe", engine.addr);
        cluster.call(0, &get("/safe/fail", "a", "")).status == 500
    });
    assert!(cluster.has_logged(0, "target changed its limit"));
    assert!(!cluster.has_logged(0, "\"requests_per_s\":-1"));
}
