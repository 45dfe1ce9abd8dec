//! Tests callers' requests with engines that refuse, fail and break off.

use std::cell::RefCell;
use std::io::Read as _;
use std::io::Write as _;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::sync::mpsc;
use std::thread;
use std::time::Duration;

use serde_json::json;

use crate::cluster::Cluster;
use crate::cluster::document;
use crate::cluster::exchange;
use crate::cluster::get;
use crate::cluster::wait_until;
use crate::engine::Engine;
use crate::engine::Received;
use crate::engine::answer;
use crate::engine::no_room;
use crate::engine::stream;

/// A test waits this long for an entry to notice that an engine broke off, a few times longer than it takes.
const BREAK_DELAY: Duration = Duration::from_millis(150);

/// A stream of this many events runs for longer than its caller would wait for the first.
const EVENTS: u64 = 6;

/// The engine pauses for this time after each of them.
const EVENT_PAUSE: Duration = Duration::from_millis(500);

/// An engine takes this long to process a prompt again.
const PROMPT_DELAY: Duration = Duration::from_millis(400);

/// A silent engine is given up within this time: more than twice the goal of the tests' routes.
const GIVE_UP_DELAY: Duration = Duration::from_millis(2_500);

/// Starts one entry that knows the given engines, by service.
fn start_serving(engines: &[(&str, &str, &Engine)]) -> Cluster {
    let cluster = Cluster::start(1, 0);
    cluster.put_document(&[0], &document(1));
    for (id, service, engine) in engines {
        cluster.register(0, id, service, engine.addr);
    }
    cluster
}

/// Returns an answer after which the engine keeps the connection open.
fn keep_alive_answer(received: &Received) -> Vec<u8> {
    let id = received.header("x-filbertstack-attempt-id");
    format!(
        "HTTP/1.1 200 OK\r\nConnection: keep-alive\r\nX-Filbertstack-Attempt-Id: {id}\r\n\
         X-Filbertstack-Response-Seal: sealed\r\nContent-Length: 2\r\n\r\nok"
    )
    .into_bytes()
}

#[test]
fn a_request_is_forwarded_unchanged_and_its_answer_returned() {
    let engine = Engine::start(Box::new(|received| answer(received, "200 OK", "booked")));
    let cluster = start_serving(&[("i-1", "once", &engine)]);
    let request = "POST /once/a?b=c HTTP/1.1\r\nHost: h.example\r\nConnection: close\r\n\
                   X-Filbertstack-Attempt-Id: a1\r\nX-Filbertstack-Deadline-Ms: 900\r\n\
                   X-Filbertstack-Tenant: forged\r\nContent-Length: 4\r\n\r\nbody";
    crate::cluster::wait_until("it is served", || cluster.call(0, request).status == 200);
    let got = cluster.call(0, request);
    assert_eq!((got.status, got.body.as_str()), (200, "booked"));
    assert!(
        got.head.contains("x-filbertstack-response-seal: sealed"),
        "{}",
        got.head
    );
    let received = engine.received().pop().expect("it was asked");
    assert_eq!(received.line, "POST /once/a?b=c HTTP/1.1");
    assert_eq!(received.body, b"body");
    assert_eq!(received.header("x-filbertstack-expect-instance"), "i-1");
    assert_eq!(
        received.header("x-filbertstack-tenant"),
        "",
        "no key, no organisation"
    );
    let left: u64 = received
        .header("x-filbertstack-deadline-ms")
        .parse()
        .expect("a number");
    assert!(left <= 900);
}

/// The only engine has no room. The caller must learn that its request has not run and when to retry, and the
/// request must not run later.
#[test]
fn a_request_that_has_not_run_is_refused_with_a_retry_time() {
    let engine = Engine::start(Box::new(no_room));
    let cluster = start_serving(&[("i-1", "once", &engine)]);
    crate::cluster::wait_until("it is asked", || {
        let _ = cluster.call(0, &get("/once/", "a1", ""));
        !engine.received().is_empty()
    });
    let got = cluster.call(0, &get("/once/", "a2", ""));
    assert_eq!(got.status, 503);
    assert!(got.head.contains("retry-after: "), "{}", got.head);
    assert!(
        got.head.contains("x-filbertstack-attempt-id: a2"),
        "{}",
        got.head
    );
}

/// An engine accepts a request and closes the connection without an answer, so that the request may have run.
/// A request that may run only once must not go to another engine, and the caller must not get "not run".
#[test]
fn an_unknown_outcome_is_neither_retried_nor_reported_as_not_run() {
    let engines = [(); 2].map(|()| {
        Engine::start(Box::new(|received| {
            if received.header("x-filbertstack-attempt-id") == "a1" {
                return Vec::new();
            }
            answer(received, "200 OK", "ok")
        }))
    });
    let cluster = start_serving(&[("i-1", "once", &engines[0]), ("i-2", "once", &engines[1])]);
    cluster.await_service(0, "/once/");
    let got = cluster.call(0, &get("/once/", "a1", ""));
    assert_eq!(got.status, 502);
    let runs = |e: &Engine| {
        let received = e.received().into_iter();
        received
            .filter(|s| s.header("x-filbertstack-attempt-id") == "a1")
            .count()
    };
    assert_eq!(runs(&engines[0]) + runs(&engines[1]), 1);
}

/// Guards against an idle connection that its target has closed costing one of a request's attempts.
#[test]
fn a_kept_connection_that_was_closed_is_replaced_by_a_new_one() {
    let closes = AtomicBool::new(true);
    let engine = Engine::start(Box::new(move |received| {
        let kept = received.header("x-filbertstack-attempt-id") == "a1";
        if kept && closes.swap(false, Ordering::SeqCst) {
            return Vec::new();
        }
        keep_alive_answer(received)
    }));
    let cluster = start_serving(&[("i-1", "safe", &engine)]);
    cluster.await_service(0, "/safe/");
    let got = cluster.call(0, &get("/safe/", "a1", ""));
    assert_eq!((got.status, got.body.as_str()), (200, "ok"));
}

/// An engine closes the connection of an idempotent request without an answer. Another engine answers, and
/// the caller sees no failure.
#[test]
fn an_idempotent_request_is_retried_at_another_engine() {
    let broken = Engine::start(Box::new(|_| Vec::new()));
    let whole = Engine::start(Box::new(|received| answer(received, "200 OK", "whole")));
    let cluster = start_serving(&[("i-1", "safe", &broken), ("i-2", "safe", &whole)]);
    cluster.await_service(0, "/safe/");
    for n in 0..8 {
        let got = cluster.call(0, &get("/safe/", &format!("a{n}"), ""));
        assert_eq!(
            (got.status, got.body.as_str()),
            (200, "whole"),
            "request {n}"
        );
    }
}

/// An engine breaks off a stream in the middle of an event. Another resumes after the last whole event, and
/// the caller sees each event once, in order, and the end.
#[test]
fn a_broken_stream_resumes_at_another_engine() {
    let first = Engine::start(Box::new(|received| {
        let resumes = !received.header("last-event-id").is_empty();
        stream(received, 6, if resumes { 0 } else { 70 })
    }));
    let second = Engine::start(Box::new(|received| {
        let resumes = !received.header("last-event-id").is_empty();
        stream(received, 6, if resumes { 0 } else { 70 })
    }));
    let cluster = start_serving(&[("i-1", "stream", &first), ("i-2", "stream", &second)]);
    crate::cluster::wait_until("it is served", || {
        cluster.call(0, &get("/stream/", "probe", "")).status == 200
    });
    let got = cluster.call(0, &get("/stream/", "a1", ""));
    let events: Vec<&str> = got
        .body
        .lines()
        .filter(|l| l.starts_with("data: "))
        .collect();
    let expected: Vec<String> = (1..=6).map(|n| format!("data: piece {n}")).collect();
    assert_eq!(events, expected, "{}", got.body);
    assert!(
        got.body.ends_with("0\r\n\r\n"),
        "it looks complete: {:?}",
        got.body
    );
    let resumed = first.received().into_iter().chain(second.received());
    let resumed = resumed.filter(|s| s.header("x-filbertstack-attempt-id") == "a1");
    let after: Vec<String> = resumed
        .map(|s| s.header("last-event-id").to_owned())
        .collect();
    assert!(after.iter().any(|id| !id.is_empty()), "{after:?}");
}

/// Guards against a stream that is not resumed because it has run for longer than its caller would wait for a
/// first event. The engine breaks off then, and another takes some hundred milliseconds to resume. The
/// caller, which has events, waits for them. The time for a first event must not count from the arrival of
/// the request: the last attempt would be given up at the first check, a tenth of a second later.
#[test]
fn a_stream_that_breaks_late_gets_the_time_to_resume() {
    let first = Engine::paced(
        EVENT_PAUSE,
        Box::new(|received| stream(received, EVENTS, 70)),
    );
    let next = Engine::start(Box::new(|received| {
        if received.header("last-event-id").is_empty() {
            return no_room(received);
        }
        thread::sleep(PROMPT_DELAY);
        stream(received, EVENTS, 0)
    }));
    let cluster = Cluster::start(1, 0);
    let mut declared = document(1);
    let route = &mut declared["routes"][2];
    route["goalMs"] = json!(500);
    route["itlTargetMs"] = json!(250);
    route["timeoutMs"] = json!(50_000);
    cluster.put_document(&[0], &declared);
    cluster.register(0, "i-1", "stream", first.addr);
    let front = cluster.front_addr(0);
    let patient = get("/stream/", "a1", "").replace("Deadline-Ms: 5000", "Deadline-Ms: 50000");
    let caller = thread::spawn(move || {
        loop {
            let got = exchange(&front, &patient).expect("an answer");
            if got.status != 503 {
                return got;
            }
        }
    });
    wait_until("the stream ends", || {
        cluster.register(0, "i-1", "stream", first.addr);
        if !first.received().is_empty() {
            cluster.register(0, "i-2", "stream", next.addr);
        }
        caller.is_finished()
    });
    let got = caller.join().expect("it ends");
    let last = format!("data: piece {EVENTS}");
    assert!(
        got.body.contains(&last),
        "{}\n{}",
        got.body,
        cluster.logged(0)
    );
}

/// All engines stop at once, and one is back a moment later. A broken stream resumes there, as its caller
/// still waits; an entry that looks for a target only once would end it. The engine comes back after the
/// break while the caller waits. If the machine is too slow for that, the test repeats the whole sequence.
#[test]
fn a_broken_stream_waits_for_the_next_engine() {
    let first = Engine::start(Box::new(|received| stream(received, 6, 70)));
    let next = Engine::start(Box::new(|received| {
        let resumes = !received.header("last-event-id").is_empty();
        stream(received, 6, if resumes { 0 } else { 70 })
    }));
    let cluster = start_serving(&[("i-1", "stream", &first)]);
    let tries = AtomicU32::new(0);
    wait_until("a stream is resumed", || {
        let n = tries.fetch_add(1, Ordering::Relaxed);
        let (front, id) = (cluster.front_addr(0), format!("a{n}"));
        let request = get("/stream/", &id, "");
        let caller = thread::spawn(move || exchange(&front, &request).expect("an answer"));
        wait_until("it breaks off or is refused", || {
            caller.is_finished()
                || first
                    .received()
                    .iter()
                    .any(|s| s.header("x-filbertstack-attempt-id") == id)
        });
        // The entry has noticed the break by then.
        thread::sleep(BREAK_DELAY);
        let instance = format!("i-2-{n}");
        cluster.register(0, &instance, "stream", next.addr);
        let got = caller.join().expect("it ends");
        cluster.control(0, "DELETE", &format!("/instances/{instance}"), "");
        got.body.contains("data: piece 6")
    });
}

/// No engine can resume a broken stream. The stream must not look complete.
#[test]
fn a_stream_that_no_engine_resumes_does_not_look_complete() {
    let engine = Engine::start(Box::new(|received| stream(received, 6, 70)));
    let cluster = start_serving(&[("i-1", "stream", &engine)]);
    crate::cluster::wait_until("it is served", || {
        cluster.call(0, &get("/stream/", "probe", "")).status == 200
    });
    let got = cluster.call(0, &get("/stream/", "a1", ""));
    assert!(!got.body.ends_with("0\r\n\r\n"), "{:?}", got.body);
}

/// An answer without the engine's seal, or to another request, must not reach the caller as a success: it may
/// belong to another caller.
#[test]
fn an_answer_to_another_request_is_not_returned() {
    let engine = Engine::start(Box::new(|received| {
        match received.header("x-filbertstack-attempt-id") {
            "unsealed" => b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nbad".to_vec(),
            "crossed" => b"HTTP/1.1 200 OK\r\nX-Filbertstack-Attempt-Id: other\r\n\
                           X-Filbertstack-Response-Seal: s\r\nContent-Length: 3\r\n\r\nbad"
                .to_vec(),
            "garbage" => b"\x00\x01\x02\r\n\r\n".to_vec(),
            _ => answer(received, "200 OK", "ok"),
        }
    }));
    let cluster = start_serving(&[("i-1", "once", &engine)]);
    cluster.await_service(0, "/once/");
    for attempt in ["unsealed", "crossed", "garbage"] {
        let got = cluster.call(0, &get("/once/", attempt, ""));
        assert_eq!(got.status, 502, "{attempt}");
        assert!(!got.body.contains("bad"), "{attempt}");
    }
}

#[test]
fn a_request_without_a_route_is_not_found() {
    let cluster = Cluster::start(1, 0);
    let before = cluster.call(0, &get("/safe/", "a1", ""));
    assert_eq!(
        before.status, 503,
        "an entry without a document does not answer \"not found\""
    );
    cluster.put_document(&[0], &document(1));
    crate::cluster::wait_until("it is known", || {
        cluster.call(0, &get("/other/", "a1", "")).status == 404
    });
}

/// Guards against refusing callers that have most of their time left while a service is away for a moment.
#[test]
fn a_request_waits_for_a_service_that_comes_back() {
    let engine = Engine::start(Box::new(|received| answer(received, "200 OK", "whole")));
    let cluster = start_serving(&[("i-0", "safe", &engine)]);
    cluster.await_service(0, "/safe/");
    let round = AtomicU32::new(0);
    wait_until("a request that came before the service is served", || {
        let gone = round.fetch_add(1, Ordering::Relaxed);
        cluster.control(0, "DELETE", &format!("/instances/i-{gone}"), "");
        thread::sleep(BREAK_DELAY);
        thread::scope(|scope| {
            let call = scope.spawn(|| cluster.call(0, &get("/safe/", &format!("a{gone}"), "")));
            thread::sleep(PROMPT_DELAY);
            let waits = !call.is_finished();
            cluster.register(0, &format!("i-{}", gone + 1), "safe", engine.addr);
            waits && call.join().expect("the caller").status == 200
        })
    });
}

/// An entry is asked to stop while a request is being answered. The request gets its whole answer, and the
/// process exits by itself.
#[test]
fn a_graceful_stop_cuts_off_no_request() {
    let engine = Engine::start(Box::new(|received| {
        if received.header("x-filbertstack-attempt-id") == "slow" {
            std::thread::sleep(std::time::Duration::from_millis(600));
        }
        answer(received, "200 OK", "whole")
    }));
    let mut cluster = start_serving(&[("i-1", "once", &engine)]);
    cluster.await_service(0, "/once/");
    let got = std::thread::scope(|scope| {
        let before = engine.received().len();
        let request = get("/once/", "slow", "");
        let addr = cluster.front_addr(0);
        let call = scope.spawn(move || crate::cluster::exchange(&addr, &request));
        crate::cluster::wait_until("it is in progress or done", || {
            engine.received().len() > before || !call.is_finished()
        });
        std::thread::sleep(std::time::Duration::from_millis(100));
        assert!(cluster.stop(0), "it exits by itself without an error");
        call.join().expect("the caller")
    });
    let got = got.expect("an answer");
    assert_eq!((got.status, got.body.as_str()), (200, "whole"));
}

/// One request is answered, and another that no target can serve is refused. The metrics show both, with the
/// reason, so that a rise of refusals shows its cause without a log.
#[test]
fn metrics_show_how_requests_ended() {
    let engine = Engine::start(Box::new(|received| answer(received, "200 OK", "done")));
    let cluster = start_serving(&[("i-1", "safe", &engine)]);
    cluster.await_service(0, "/safe/");
    let refused = cluster.call(0, &get("/once/", "a1", ""));
    assert_eq!(refused.status, 503);
    let metrics = cluster.metrics(0);
    let expected_lines = [
        "filbertstack_entry_requests_total{outcome=\"target's answer\"}",
        "filbertstack_entry_refusals_total{reason=\"no target can serve it in time\"}",
        "filbertstack_entry_duration_seconds_bucket{outcome=\"answered\"",
        "# HELP filbertstack_entry_requests_total",
    ];
    for line in expected_lines {
        assert!(metrics.contains(line), "{line} is not in {metrics}");
    }
}

/// All entries restart at once, and an engine announces itself before they have a leader. The entry refuses
/// the announcement, as nothing was registered, but passes it on once there is a leader. Callers need not
/// wait for the engine's next announcement.
#[test]
fn an_engine_announced_before_there_is_a_leader_is_registered() {
    let engine = Engine::start(Box::new(|received| answer(received, "200 OK", "done")));
    let mut cluster = Cluster::start(3, 0);
    cluster.put_document(&[0], &document(1));
    cluster.kill(1);
    cluster.kill(2);
    // A read fails as soon as a link breaks; the entry itself notices the loss of its leader a little later.
    crate::cluster::wait_until("the entry knows of no leader", || !cluster.is_ready(0));
    assert_eq!(cluster.announce(0, "i-1", "safe", engine.addr), Some(503));
    cluster.launch(1);
    cluster.launch(2);
    cluster.await_service(0, "/safe/");
}

/// An engine freezes with a request while no other can serve it. Another engine comes later, and the caller
/// gets its answer from there, long before it would leave.
#[test]
fn a_request_at_a_frozen_engine_moves_to_one_that_comes_later() {
    let (wake, frozen) = mpsc::channel::<()>();
    let frozen = Mutex::new(frozen);
    let frozen_engine = Engine::start(Box::new(move |_| {
        // Ends with the test.
        let _ = frozen.lock().expect("not poisoned").recv();
        Vec::new()
    }));
    let other = Engine::start(Box::new(|received| stream(received, 3, 0)));
    let cluster = start_serving(&[("i-1", "stream", &frozen_engine)]);
    let patient = get("/stream/", "a1", "").replace("Deadline-Ms: 5000", "Deadline-Ms: 50000");
    let front = cluster.front_addr(0);
    // Requests are refused at once until the entry knows the engine.
    let caller = thread::spawn(move || {
        loop {
            let got = exchange(&front, &patient).expect("an answer");
            if got.status != 503 {
                return got;
            }
        }
    });
    wait_until("the entry waits for the frozen one", || {
        cluster.has_logged(0, "\"target\":\"i-1\",\"attempt\":1")
    });
    // An entry that looks for a target only once has found none by then.
    thread::sleep(GIVE_UP_DELAY);
    cluster.register(0, "i-2", "stream", other.addr);
    let got = caller.join().expect("it ends");
    assert_eq!(got.status, 200);
    assert!(got.body.contains("data: piece 3"), "{}", got.body);
    drop(wake);
}

/// An engine is frozen when its caller leaves. The entry must close the connection at once, or the request
/// runs without a caller when the engine resumes.
#[test]
fn the_connection_to_a_frozen_engine_closes_when_the_caller_leaves() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let addr = listener.local_addr().expect("bound");
    let cluster = start_serving(&[]);
    cluster.register(0, "i-1", "safe", addr);
    let front = cluster.front_addr(0);
    let caller = RefCell::new(None);
    // Requests are refused at once until the entry knows the engine.
    wait_until("it was sent", || {
        if !cluster.has_logged(0, "\"message\":\"sent\"") {
            let mut stream = TcpStream::connect(&front).expect("the entry listens");
            let request = get("/safe/", "a1", "");
            stream.write_all(request.as_bytes()).expect("sent");
            caller.replace(Some(stream));
        }
        cluster.has_logged(0, "\"message\":\"sent\"")
    });
    // The frozen engine accepts the connection and does not read.
    let (mut frozen, _) = listener.accept().expect("the entry connects");
    caller.take();
    wait_until("the entry has closed", || {
        cluster.has_logged(0, "\"outcome\":\"caller left\"")
    });
    let mut bytes = Vec::new();
    let read = frozen.read_to_end(&mut bytes);
    assert!(
        read.is_err(),
        "a reset, which the engine sees before it answers"
    );
}

/// An entry is asked to stop while a stream runs through it, and keeps serving. A caller with an old address
/// comes seconds later. If the entry accepted it, the end of the process would cut its stream off. The caller
/// is refused as not run, and the engine never receives the request.
#[test]
fn a_leaving_entry_refuses_a_stream_that_it_may_have_to_cut() {
    let engine = Engine::paced(
        Duration::from_millis(400),
        Box::new(|received| stream(received, 40, 0)),
    );
    let cluster = start_serving(&[("i-1", "stream", &engine)]);
    let front = cluster.front_addr(0);
    let long = get("/stream/", "a1", "").replace("Deadline-Ms: 5000", "Deadline-Ms: 9000");
    // Requests are refused at once until the entry knows the engine.
    thread::spawn(move || while exchange(&front, &long).is_some_and(|got| got.status == 503) {});
    wait_until("a stream runs", || {
        cluster.has_logged(0, "\"message\":\"sent\"")
    });
    cluster.signal(0, "TERM");
    let late = AtomicU32::new(0);
    wait_until("a caller is refused as not run", || {
        let n = late.fetch_add(1, Ordering::Relaxed);
        let request = get("/stream/", &format!("late-{n}"), "");
        let mut stream = TcpStream::connect(cluster.front_addr(0)).expect("it keeps serving");
        stream.write_all(request.as_bytes()).expect("sent");
        let mut head = [0; 12];
        stream.read_exact(&mut head).expect("an answer");
        head == *b"HTTP/1.1 503"
    });
    let last = format!("late-{}", late.load(Ordering::Relaxed) - 1);
    let received = engine.received().into_iter();
    let mut runs = received.filter(|s| s.header("x-filbertstack-attempt-id") == last);
    assert!(runs.next().is_none(), "what was refused has not run");
}
