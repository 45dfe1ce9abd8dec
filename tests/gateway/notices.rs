//! Tests engines that ask for rest when they turn a request away, and engines that say that they leave.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::thread::sleep;
use std::time::Duration;

use crate::cluster::Cluster;
use crate::cluster::document;
use crate::cluster::get;
use crate::cluster::wait_until;
use crate::engine::Engine;
use crate::engine::Received;
use crate::engine::answer;
use crate::engine::stream;

/// How long the entry has to receive an answer.
const ANSWER_TIME: Duration = Duration::from_millis(20);

/// A rest that lasts longer than any of these tests.
const LONG_REST: &str = "600";

/// The number of requests that are sent after the engine's notice. The entry would prefer that engine, as the
/// other one is slower.
const CALLS: usize = 30;

/// How long the other engine takes to answer: longer than an entry expects before it has measured.
const SLOW_ANSWER: Duration = Duration::from_millis(60);

/// Returns the answer of an engine that turns a request away and asks for `seconds` of rest.
fn turn_away(received: &Received, seconds: &str) -> Vec<u8> {
    let id = received.header("x-filbertstack-attempt-id");
    format!(
        "HTTP/1.1 503 Service Unavailable\r\nX-Filbertstack-Attempt-Id: {id}\r\n\
         X-Filbertstack-Not-Executed: 1\r\nRetry-After: {seconds}\r\nContent-Length: 0\r\n\r\n"
    )
    .into_bytes()
}

/// Returns the answer of an engine that serves a request and says that it leaves.
fn leaves(received: &Received) -> Vec<u8> {
    let id = received.header("x-filbertstack-attempt-id");
    format!(
        "HTTP/1.1 200 OK\r\nX-Filbertstack-Attempt-Id: {id}\r\nServer-Leaving: 1\r\n\
         X-Filbertstack-Response-Seal: sealed\r\nContent-Length: 2\r\n\r\nok"
    )
    .into_bytes()
}

/// Starts an engine that turns all requests away and asks for a long rest.
fn start_resting() -> Engine {
    Engine::start(Box::new(|received: &Received| {
        turn_away(received, LONG_REST)
    }))
}

/// Starts an engine that serves plain requests slowly.
fn start_healthy() -> Engine {
    Engine::start(Box::new(|received: &Received| {
        sleep(SLOW_ANSWER);
        answer(received, "200 OK", "ok")
    }))
}

/// Starts one entry that knows the engines `i-1` and `i-2` of `service`.
fn start_serving(service: &str, first: &Engine, second: &Engine) -> Cluster {
    let cluster = Cluster::start(1, 0);
    cluster.put_document(&[0], &document(1));
    cluster.register(0, "i-1", service, first.addr);
    cluster.register(0, "i-2", service, second.addr);
    cluster
}

/// Sends requests until `engine` has received one.
fn call_until_received(cluster: &Cluster, path: &str, engine: &Engine) {
    wait_until("the engine is asked", || {
        let _ = cluster.call(0, &get(path, "first", ""));
        !engine.received().is_empty()
    });
}

/// Guards against new and repeated requests at an engine that has asked for rest.
#[test]
fn an_engine_gets_no_request_in_its_rest() {
    let resting = start_resting();
    let healthy = start_healthy();
    let cluster = start_serving("safe", &resting, &healthy);
    call_until_received(&cluster, "/safe/", &resting);
    for n in 0..CALLS {
        let got = cluster.call(0, &get("/safe/", &format!("a{n}"), ""));
        assert_eq!(got.status, 200, "the other engine serves it");
    }
    assert_eq!(resting.received().len(), 1, "nothing since it asked");
}

/// Guards against a broken stream that is resumed at an engine which has asked for rest.
#[test]
fn a_broken_stream_is_not_resumed_at_an_engine_in_its_rest() {
    let resting = start_resting();
    let breaking = Engine::start(Box::new(|received: &Received| stream(received, 3, 10)));
    let cluster = start_serving("stream", &resting, &breaking);
    call_until_received(&cluster, "/stream/", &resting);
    for n in 0..3 {
        let got = cluster.call(0, &get("/stream/", &format!("a{n}"), ""));
        assert!(!got.body.contains("0\r\n\r\n"), "it looks complete");
    }
    assert_eq!(resting.received().len(), 1, "nothing since it asked");
}

/// Guards against new requests at an engine that has said in an answer that it leaves.
#[test]
fn an_engine_that_leaves_gets_no_new_request() {
    let leaving = Engine::start(Box::new(leaves));
    let healthy = start_healthy();
    let cluster = start_serving("safe", &leaving, &healthy);
    call_until_received(&cluster, "/safe/", &leaving);
    for n in 0..CALLS {
        // The engine still counts as ready in its heartbeats.
        cluster.register(0, "i-1", "safe", leaving.addr);
        let got = cluster.call(0, &get("/safe/", &format!("a{n}"), ""));
        assert_eq!(got.status, 200, "the other engine serves it");
    }
    assert_eq!(leaving.received().len(), 1, "nothing since it said so");
}

/// Guards against an engine that is left alone since it names a time in an answer with which it served a request.
#[test]
fn an_engine_that_serves_does_not_rest() {
    let engine = Engine::start(Box::new(|received: &Received| {
        let served = String::from_utf8(leaves(received)).expect("text");
        let rest = format!("Retry-After: {LONG_REST}");
        served.replace("Server-Leaving: 1", &rest).into_bytes()
    }));
    let cluster = Cluster::start(1, 0);
    cluster.put_document(&[0], &document(1));
    cluster.register(0, "i-1", "safe", engine.addr);
    cluster.await_service(0, "/safe/");
    for n in 0..3 {
        let got = cluster.call(0, &get("/safe/", &format!("a{n}"), ""));
        assert_eq!(got.status, 200, "{}", got.head);
    }
}

/// Starts an engine whose first answer is `notice`. Later ones serve.
fn start_changing(notice: fn(&Received) -> Vec<u8>) -> Engine {
    let noticed = AtomicBool::new(false);
    Engine::start(Box::new(move |received: &Received| {
        if noticed.swap(true, Ordering::Relaxed) {
            answer(received, "200 OK", "ok")
        } else {
            notice(received)
        }
    }))
}

/// Guards against an engine that has asked for rest, or said that it leaves, and gets no requests after it has
/// started again under its id.
#[test]
fn an_engine_that_starts_again_under_its_id_gets_requests() {
    let rests = |received: &Received| turn_away(received, LONG_REST);
    for notice in [rests, leaves] {
        let engine = start_changing(notice);
        let cluster = Cluster::start(1, 0);
        cluster.put_document(&[0], &document(1));
        cluster.register(0, "i-1", "safe", engine.addr);
        call_until_received(&cluster, "/safe/", &engine);
        let refused = cluster.call(0, &get("/safe/", "a", ""));
        assert_eq!(refused.status, 503, "it wants none");
        let born = 2;
        wait_until("its next start is registered", || {
            cluster.announce_start(0, "i-1", "safe", engine.addr, born) == Some(200)
        });
        cluster.await_service(0, "/safe/");
    }
}

/// Guards against a caller who is refused because two engines in turn turned its request away, though a third
/// one has room.
#[test]
fn a_request_that_is_turned_away_twice_is_served_by_a_third_engine() {
    let resting = [start_resting(), start_resting()];
    let healthy = start_healthy();
    let cluster = Cluster::start(1, 0);
    cluster.put_document(&[0], &document(1));
    cluster.register(0, "i-3", "safe", healthy.addr);
    for n in 0..10 {
        // The entry learns that this engine is slower than it expects of one that it has not measured.
        wait_until("it is served", || {
            cluster.call(0, &get("/safe/", &format!("a{n}"), "")).status == 200
        });
    }
    cluster.register(0, "i-1", "safe", resting[0].addr);
    cluster.register(0, "i-2", "safe", resting[1].addr);
    wait_until("both turn requests away", || {
        let got = cluster.call(0, &get("/safe/", "b", ""));
        assert_eq!(got.status, 200, "the third engine serves it");
        resting.iter().all(|engine| !engine.received().is_empty())
    });
}

/// Guards against a request that is sent to an engine in its rest on a new connection, as the engine has closed
/// the idle one.
#[test]
fn a_closed_connection_is_not_replaced_in_a_rest() {
    let arrived = Arc::new(AtomicBool::new(false));
    let rests = Arc::new(AtomicBool::new(false));
    let (has_arrived, has_rested) = (arrived.clone(), rests.clone());
    let engine = Engine::start(Box::new(move |received: &Received| {
        match received.header("x-filbertstack-attempt-id") {
            "rests" => {
                rests.store(true, Ordering::Relaxed);
                turn_away(received, LONG_REST)
            }
            "closes" => {
                arrived.store(true, Ordering::Relaxed);
                while !rests.load(Ordering::Relaxed) {
                    sleep(Duration::from_millis(1));
                }
                sleep(ANSWER_TIME);
                Vec::new()
            }
            id => format!(
                "HTTP/1.1 200 OK\r\nConnection: keep-alive\r\nX-Filbertstack-Attempt-Id: {id}\r\n\
                 X-Filbertstack-Response-Seal: sealed\r\nContent-Length: 2\r\n\r\nok"
            )
            .into_bytes(),
        }
    }));
    let cluster = Cluster::start(1, 0);
    cluster.put_document(&[0], &document(1));
    cluster.register(0, "i-1", "safe", engine.addr);
    cluster.await_service(0, "/safe/");
    let call = |id: &str| cluster.call(0, &get("/safe/", id, "")).status;
    thread::scope(|scope| {
        // It takes the idle connection, the only one whose end is not held against the engine.
        let closes = scope.spawn(|| call("closes"));
        wait_until("it has arrived", || has_arrived.load(Ordering::Relaxed));
        assert_eq!(call("rests"), 503);
        assert_ne!(closes.join().expect("it ends"), 200);
    });
    assert!(has_rested.load(Ordering::Relaxed));
    let closed = |received: &Received| received.header("x-filbertstack-attempt-id") == "closes";
    let received = engine.received();
    assert_eq!(
        received.iter().filter(|r| closed(r)).count(),
        1,
        "not again"
    );
}
