//! Tests a target that is cold: all entries together send it no more than its service declares.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Instant;

use serde_json::Value;
use serde_json::json;

use crate::cluster::Cluster;
use crate::cluster::document;
use crate::cluster::exchange;
use crate::cluster::get;
use crate::cluster::wait_until;
use crate::engine::Engine;
use crate::engine::Received;

/// The requests that each caller sends, one after the other.
const CALLS: usize = 400;

/// The most requests that may reach the target in one second: its rate and an allowance of one.
const ALLOWED: usize = 3;

/// Reports the target to the voter, with what it says of its cold time. It must do so again and again to stay
/// registered.
fn announce(cluster: &Cluster, engine: &Engine, cold: &Value) {
    static SEQUENCE: AtomicU64 = AtomicU64::new(1);
    let sequence = SEQUENCE.fetch_add(1, Ordering::Relaxed);
    let body = json!({
        "service": "safe", "address": engine.addr.to_string(), "zone": "z0", "slots": 4,
        "state": "ready", "sequence": sequence, "born": 1, "coldRemainingMs": cold
    });
    wait_until("the heartbeat is accepted", || {
        let answer = cluster.control(0, "PUT", "/instances/i-1", &body.to_string());
        answer.is_some_and(|answer| answer.status == 200)
    });
}

/// Returns the last line in which an entry says what it sends to a cold target.
fn last_gap(cluster: &Cluster, n: usize) -> Option<String> {
    let log = cluster.logged(n);
    let line = log.lines().rfind(|line| line.contains("target is cold"));
    line.map(str::to_owned)
}

/// Calls each entry [`CALLS`] times, and returns the statuses of the answers. Each refusal must say when to come
/// back.
fn call_all(cluster: &Cluster) -> Vec<u16> {
    let callers = (0..4).map(|n| {
        let addr = cluster.front_addr(n);
        let call = move |call| {
            let answer = exchange(&addr, &get("/safe/", &format!("{n}-{call}"), ""));
            let answer = answer.expect("an answer");
            assert!(
                answer.status == 200 || answer.head.contains("retry-after"),
                "{answer:?}"
            );
            answer.status
        };
        thread::spawn(move || (0..CALLS).map(call).collect::<Vec<_>>())
    });
    let callers: Vec<_> = callers.collect();
    let statuses = callers.into_iter().flat_map(|c| c.join().expect("ended"));
    statuses.collect()
}

/// Guards against a target that has just started and gets more than its rate, because each entry takes it for free
/// or keeps a place that the others have given away, and against one that gets nothing after its cold time. The
/// callers see refusals at once, and served requests when the target says that it is warm.
#[test]
fn entries_keep_the_rate_of_a_cold_target_together() {
    let arrivals: Arc<Mutex<Vec<Instant>>> = Arc::default();
    let recorded = arrivals.clone();
    let engine = Engine::start(Box::new(move |received: &Received| {
        recorded.lock().expect("not poisoned").push(Instant::now());
        let id = received.header("x-filbertstack-attempt-id");
        format!(
            "HTTP/1.1 200 OK\r\nX-Filbertstack-Attempt-Id: {id}\r\n\
             X-Filbertstack-Response-Seal: sealed\r\nContent-Length: 2\r\n\r\nok"
        )
        .into_bytes()
    }));
    let mut cluster = Cluster::start(1, 3);
    let mut declared = document(1);
    declared["services"][0]["coldS"] = json!(30);
    declared["services"][0]["coldPerS"] = json!(2);
    cluster.put_document(&[0], &declared);
    for n in 0..4 {
        wait_until("the entry knows the target", || {
            announce(&cluster, &engine, &json!(60_000));
            cluster.has_logged(n, "target is cold")
        });
    }
    let began = Instant::now();
    wait_until("the cold target gets its part", || {
        announce(&cluster, &engine, &json!(60_000));
        let _ = call_all(&cluster);
        !arrivals.lock().expect("not poisoned").is_empty()
    });
    let seconds = usize::try_from(began.elapsed().as_secs()).expect("few") + 1;
    let sent = arrivals.lock().expect("not poisoned").len();
    assert!(sent <= ALLOWED * seconds, "{sent} requests in {seconds} s");
    wait_until("the metrics count it", || {
        let metrics = cluster.metrics(1);
        metrics.contains("filbertstack_entry_cold_targets 1")
    });
    cluster.kill(0);
    wait_until("entries without a voter leave it to the others", || {
        (1..4).all(|n| last_gap(&cluster, n).is_some_and(|line| line.contains("\"own_gap_ms\":-1")))
    });
    cluster.launch(0);
    wait_until("the target is warm at all entries", || {
        announce(&cluster, &engine, &json!("none"));
        call_all(&cluster).iter().all(|status| *status == 200)
    });
    wait_until("the change is logged", || {
        let is_warm = |n| cluster.has_logged(n, "target is no longer cold");
        (1..4).all(is_warm) && cluster.has_logged(0, "cold time of a heartbeat can't be read")
    });
}
