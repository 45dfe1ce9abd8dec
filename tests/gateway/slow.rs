//! Tests that a plain service is served again after its calls took longer than their goal.

use std::io::Read as _;
use std::io::Write as _;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::cluster::Cluster;
use crate::cluster::document;
use crate::cluster::get;
use crate::cluster::wait_until;
use crate::engine::Engine;
use crate::engine::answer;

/// A slow call takes longer than the goal of the tests' routes, one second, and less than their callers wait.
const SLOW_CALL: Duration = Duration::from_millis(1_500);

/// Within this time after its targets are fast again, callers must be served.
const RECOVERY: Duration = Duration::from_secs(10);

/// A body that is longer than what the buffers of two connections hold.
const LONG_BODY: usize = 24 << 20;

fn start_serving(engine: &Engine) -> Cluster {
    let cluster = Cluster::start(1, 0);
    cluster.put_document(&[0], &document(1));
    cluster.register(0, "i-1", "safe", engine.addr);
    cluster.await_service(0, "/safe/");
    cluster
}

/// Returns the status of a call. The target reports itself before, as it is removed after some seconds of silence.
fn call(cluster: &Cluster, engine: &Engine, attempt: &str) -> u16 {
    cluster.register(0, "i-1", "safe", engine.addr);
    cluster.call(0, &get("/safe/", attempt, "")).status
}

/// Guards against a service that stays refused after its target was slow for some seconds, as nothing is sent to a
/// target whose calls seem to miss the goal.
#[test]
fn a_target_that_was_slow_is_used_again() {
    let slow = Arc::new(AtomicBool::new(false));
    let delays = slow.clone();
    let engine = Engine::start(Box::new(move |received| {
        if delays.load(Ordering::Relaxed) {
            thread::sleep(SLOW_CALL);
        }
        answer(received, "200 OK", "booked")
    }));
    let cluster = start_serving(&engine);
    slow.store(true, Ordering::Relaxed);
    wait_until("slow calls are refused", || {
        call(&cluster, &engine, "slow") == 503
    });
    slow.store(false, Ordering::Relaxed);
    let fast = Instant::now();
    wait_until("the target is used again", || {
        call(&cluster, &engine, "fast") == 200
    });
    assert!(fast.elapsed() < RECOVERY, "{:?}", fast.elapsed());
    let statuses = (0..20).map(|_| call(&cluster, &engine, "next"));
    assert_eq!(statuses.filter(|status| *status == 200).count(), 20);
}

/// Guards against callers that read slowly and so make a fast target look slow to all others.
#[test]
fn a_caller_that_reads_slowly_keeps_nobody_from_a_target() {
    let body = "x".repeat(LONG_BODY);
    let engine = Engine::start(Box::new(move |received| {
        let long = received.header("x-filbertstack-attempt-id") == "reads-slowly";
        answer(received, "200 OK", if long { &body } else { "booked" })
    }));
    let cluster = start_serving(&engine);
    let readers: Vec<_> = (0..16)
        .map(|_| {
            let addr = cluster.front_addr(0);
            thread::spawn(move || {
                let mut caller = TcpStream::connect(addr).expect("the entry listens");
                let request = get("/safe/", "reads-slowly", "");
                caller.write_all(request.as_bytes()).expect("it is sent");
                thread::sleep(SLOW_CALL);
                let mut read = Vec::new();
                caller.read_to_end(&mut read).expect("the answer comes");
                read.len()
            })
        })
        .collect();
    for reader in readers {
        let read = reader.join().expect("the caller reads");
        assert!(read > LONG_BODY, "{read} bytes of the answer");
    }
    // Reading takes long on a busy machine, and a target that is not heard of is removed.
    let next = call(&cluster, &engine, "next");
    assert_eq!(next, 200, "{}", cluster.logged(0));
}
