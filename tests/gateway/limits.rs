//! Tests engines that name how many requests a second they take from all entries together.

use std::sync::Arc;
use std::sync::Mutex;
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

/// How long callers send requests, and the pause of each between two.
const LOAD_TIME: Duration = Duration::from_secs(12);
const CALL_PAUSE: Duration = Duration::from_millis(50);

/// The arrivals at an engine.
type Arrivals = Arc<Mutex<Vec<Instant>>>;

/// Starts an engine whose answers have the header lines `extra`, and records when requests reach it.
fn start_engine(extra: &'static str) -> (Engine, Arrivals) {
    let arrivals = Arrivals::default();
    let recorded = arrivals.clone();
    let engine = Engine::start(Box::new(move |received: &Received| {
        recorded.lock().expect("not poisoned").push(Instant::now());
        let id = received.header("x-filbertstack-attempt-id");
        format!(
            "HTTP/1.1 200 OK\r\nX-Filbertstack-Attempt-Id: {id}\r\n\
             X-Filbertstack-Response-Seal: sealed\r\n{extra}Content-Length: 2\r\n\r\nok"
        )
        .into_bytes()
    }));
    (engine, arrivals)
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
    let (limited, arrivals) = start_engine(LIMIT_HEADER);
    let (free, _) = start_engine("");
    let cluster = Cluster::start(1, 3);
    cluster.put_document(&[0], &document(1));
    cluster.register(0, "i-1", "safe", limited.addr);
    cluster.register(0, "i-2", "safe", free.addr);
    for n in 0..4 {
        cluster.await_service(n, "/safe/");
    }
    wait_until("the limit is named", || !limited.received().is_empty());
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
    let refused: usize = callers.into_iter().map(|c| c.join().expect("ended")).sum();
    let most = most_in_span(&arrivals, named_at + LEARN_TIME);
    assert!(most <= ALLOWED, "{most} requests in 4 s, allowed {ALLOWED}");
    assert!(most > 0, "a limit of one a second leaves some");
    assert_eq!(refused, 0, "the other engine serves the rest");
}
