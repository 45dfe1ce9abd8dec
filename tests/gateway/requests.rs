//! A caller's request, before engines that refuse, fail and break off.

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

/// Some times what an entry takes to see that an engine broke off.
const BROKEN: Duration = Duration::from_millis(150);

/// The events of a stream that runs for longer than its caller would wait for the first.
const EVENTS: u64 = 6;

/// The pause after each of them.
const PACE: Duration = Duration::from_millis(500);

/// What an engine takes to read a prompt anew.
const READING: Duration = Duration::from_millis(400);

/// Beyond twice the goal of the tests' routes, after which a silent engine is given up.
const GIVEN_UP: Duration = Duration::from_millis(2_500);

/// One entry that knows the engines given, by service.
fn serving(engines: &[(&str, &str, &Engine)]) -> Cluster {
    let world = Cluster::start(1, 0);
    world.put(&[0], &document(1));
    for (id, service, engine) in engines {
        world.report(0, id, service, engine.addr);
    }
    world
}

/// An answer after which the engine keeps the connection open.
fn kept_answer(seen: &Received) -> Vec<u8> {
    let id = seen.header("x-filbertstack-attempt-id");
    format!(
        "HTTP/1.1 200 OK\r\nConnection: keep-alive\r\nX-Filbertstack-Attempt-Id: {id}\r\n\
         X-Filbertstack-Response-Seal: sealed\r\nContent-Length: 2\r\n\r\nok"
    )
    .into_bytes()
}

#[test]
fn a_request_goes_on_unchanged_and_its_answer_comes_back() {
    let engine = Engine::start(Box::new(|seen| answer(seen, "200 OK", "booked")));
    let world = serving(&[("i-1", "once", &engine)]);
    let request = "POST /once/a?b=c HTTP/1.1\r\nHost: h.example\r\nConnection: close\r\n\
                   X-Filbertstack-Attempt-Id: a1\r\nX-Filbertstack-Deadline-Ms: 900\r\n\
                   X-Filbertstack-Tenant: forged\r\nContent-Length: 4\r\n\r\nbody";
    crate::cluster::wait_until("it is served", || world.call(0, request).status == 200);
    let got = world.call(0, request);
    assert_eq!((got.status, got.body.as_str()), (200, "booked"));
    assert!(
        got.head.contains("x-filbertstack-response-seal: sealed"),
        "{}",
        got.head
    );
    let seen = engine.seen().pop().expect("it was asked");
    assert_eq!(seen.line, "POST /once/a?b=c HTTP/1.1");
    assert_eq!(seen.body, b"body");
    assert_eq!(seen.header("x-filbertstack-expect-instance"), "i-1");
    assert_eq!(
        seen.header("x-filbertstack-tenant"),
        "",
        "no key, no organisation"
    );
    let left: u64 = seen
        .header("x-filbertstack-deadline-ms")
        .parse()
        .expect("a number");
    assert!(left <= 900);
}

/// The only engine has no room. The caller must learn that its request has not run, and when to
/// come back; the request must not run later.
#[test]
fn a_request_that_has_not_run_is_refused_with_a_return() {
    let engine = Engine::start(Box::new(no_room));
    let world = serving(&[("i-1", "once", &engine)]);
    crate::cluster::wait_until("it is asked", || {
        let _ = world.call(0, &get("/once/", "a1", ""));
        !engine.seen().is_empty()
    });
    let got = world.call(0, &get("/once/", "a2", ""));
    assert_eq!(got.status, 503);
    assert!(got.head.contains("retry-after: "), "{}", got.head);
    assert!(
        got.head.contains("x-filbertstack-attempt-id: a2"),
        "{}",
        got.head
    );
}

/// An engine takes a request and closes without an answer: it may have run. A request that may
/// run once only must not go to another engine, and the caller must not be told "not run".
#[test]
fn an_unknown_outcome_is_neither_repeated_nor_denied() {
    let engines = [(); 2].map(|()| {
        Engine::start(Box::new(|seen| {
            if seen.header("x-filbertstack-attempt-id") == "a1" {
                return Vec::new();
            }
            answer(seen, "200 OK", "ok")
        }))
    });
    let world = serving(&[("i-1", "once", &engines[0]), ("i-2", "once", &engines[1])]);
    world.await_service(0, "/once/");
    let got = world.call(0, &get("/once/", "a1", ""));
    assert_eq!(got.status, 502);
    let runs = |e: &Engine| {
        let seen = e.seen().into_iter();
        seen.filter(|s| s.header("x-filbertstack-attempt-id") == "a1")
            .count()
    };
    assert_eq!(runs(&engines[0]) + runs(&engines[1]), 1);
}

/// Guards against an idle connection that its target has closed costing one of a request's attempts.
#[test]
fn a_kept_connection_that_was_closed_is_replaced_by_a_new_one() {
    let closes = AtomicBool::new(true);
    let engine = Engine::start(Box::new(move |seen| {
        let kept = seen.header("x-filbertstack-attempt-id") == "a1";
        if kept && closes.swap(false, Ordering::SeqCst) {
            return Vec::new();
        }
        kept_answer(seen)
    }));
    let world = serving(&[("i-1", "safe", &engine)]);
    world.await_service(0, "/safe/");
    let got = world.call(0, &get("/safe/", "a1", ""));
    assert_eq!((got.status, got.body.as_str()), (200, "ok"));
}

/// The same loss of an idempotent request: another engine answers, and the caller sees no failure.
#[test]
fn an_idempotent_request_is_repeated_elsewhere() {
    let broken = Engine::start(Box::new(|_| Vec::new()));
    let whole = Engine::start(Box::new(|seen| answer(seen, "200 OK", "whole")));
    let world = serving(&[("i-1", "safe", &broken), ("i-2", "safe", &whole)]);
    world.await_service(0, "/safe/");
    for n in 0..8 {
        let got = world.call(0, &get("/safe/", &format!("a{n}"), ""));
        assert_eq!(
            (got.status, got.body.as_str()),
            (200, "whole"),
            "request {n}"
        );
    }
}

/// An engine breaks off a stream in the middle of an event. Another goes on after the last whole
/// event; the caller sees each event once, in order, and the end.
#[test]
fn a_broken_stream_goes_on_at_another_engine() {
    let first = Engine::start(Box::new(|seen| {
        let resumes = !seen.header("last-event-id").is_empty();
        stream(seen, 6, if resumes { 0 } else { 70 })
    }));
    let second = Engine::start(Box::new(|seen| {
        let resumes = !seen.header("last-event-id").is_empty();
        stream(seen, 6, if resumes { 0 } else { 70 })
    }));
    let world = serving(&[("i-1", "stream", &first), ("i-2", "stream", &second)]);
    crate::cluster::wait_until("it is served", || {
        world.call(0, &get("/stream/", "probe", "")).status == 200
    });
    let got = world.call(0, &get("/stream/", "a1", ""));
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
    let resumed = first.seen().into_iter().chain(second.seen());
    let resumed = resumed.filter(|s| s.header("x-filbertstack-attempt-id") == "a1");
    let after: Vec<String> = resumed
        .map(|s| s.header("last-event-id").to_owned())
        .collect();
    assert!(after.iter().any(|id| !id.is_empty()), "{after:?}");
}

/// A stream has run for longer than its caller would wait for a first event when its engine breaks off.
/// Another engine takes some hundred milliseconds to go on, and the caller, who has events, waits for
/// them. Its last attempt was given up after the first look at it, a tenth of a second: the time that a
/// caller waits for a first event was taken from when the request came. (The entry had logged `target
/// silent, given up waited_ms=100 forsaken=true`, then `stream not resumed why="the route allows no more
/// attempts"`, for 29 of 46 streams that ended broken on a day of many loads.)
#[test]
fn a_stream_that_breaks_late_gets_the_time_to_go_on() {
    let first = Engine::paced(PACE, Box::new(|seen| stream(seen, EVENTS, 70)));
    let next = Engine::start(Box::new(|seen| {
        if seen.header("last-event-id").is_empty() {
            return no_room(seen);
        }
        thread::sleep(READING);
        stream(seen, EVENTS, 0)
    }));
    let world = Cluster::start(1, 0);
    let mut declared = document(1);
    let route = &mut declared["routes"][2];
    route["goalMs"] = json!(500);
    route["itlTargetMs"] = json!(250);
    route["timeoutMs"] = json!(50_000);
    world.put(&[0], &declared);
    world.report(0, "i-1", "stream", first.addr);
    let front = world.front_addr(0);
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
        world.report(0, "i-1", "stream", first.addr);
        if !first.seen().is_empty() {
            world.report(0, "i-2", "stream", next.addr);
        }
        caller.is_finished()
    });
    let got = caller.join().expect("it ends");
    let last = format!("data: piece {EVENTS}");
    assert!(
        got.body.contains(&last),
        "{}\n{}",
        got.body,
        world.logged(0)
    );
}

/// All engines stop at once, and one is back a moment later: a stream that broke off goes on there,
/// as its caller still waits. An entry that looks once ends it. The engine comes after the break, as
/// long as the caller waits; should this machine be too slow for that, all is done again.
#[test]
fn a_broken_stream_waits_for_the_next_engine() {
    let first = Engine::start(Box::new(|seen| stream(seen, 6, 70)));
    let next = Engine::start(Box::new(|seen| {
        let resumes = !seen.header("last-event-id").is_empty();
        stream(seen, 6, if resumes { 0 } else { 70 })
    }));
    let world = serving(&[("i-1", "stream", &first)]);
    let tries = AtomicU32::new(0);
    wait_until("a stream goes on", || {
        let n = tries.fetch_add(1, Ordering::Relaxed);
        let (front, id) = (world.front_addr(0), format!("a{n}"));
        let request = get("/stream/", &id, "");
        let caller = thread::spawn(move || exchange(&front, &request).expect("an answer"));
        wait_until("it breaks off or is refused", || {
            caller.is_finished()
                || first
                    .seen()
                    .iter()
                    .any(|s| s.header("x-filbertstack-attempt-id") == id)
        });
        // The entry has seen the break by then.
        thread::sleep(BROKEN);
        let instance = format!("i-2-{n}");
        world.report(0, &instance, "stream", next.addr);
        let got = caller.join().expect("it ends");
        world.control(0, "DELETE", &format!("/instances/{instance}"), "");
        got.body.contains("data: piece 6")
    });
}

/// Nobody can go on with a broken stream. It must not look complete.
#[test]
fn a_stream_that_nobody_goes_on_with_does_not_look_complete() {
    let engine = Engine::start(Box::new(|seen| stream(seen, 6, 70)));
    let world = serving(&[("i-1", "stream", &engine)]);
    crate::cluster::wait_until("it is served", || {
        world.call(0, &get("/stream/", "probe", "")).status == 200
    });
    let got = world.call(0, &get("/stream/", "a1", ""));
    assert!(!got.body.ends_with("0\r\n\r\n"), "{:?}", got.body);
}

/// An answer without the engine's seal, or to another request, must not reach the caller as a
/// success: it may be somebody else's.
#[test]
fn an_answer_that_is_not_this_requests_is_not_given_back() {
    let engine = Engine::start(Box::new(|seen| {
        match seen.header("x-filbertstack-attempt-id") {
            "unsealed" => b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nbad".to_vec(),
            "crossed" => b"HTTP/1.1 200 OK\r\nX-Filbertstack-Attempt-Id: other\r\n\
                           X-Filbertstack-Response-Seal: s\r\nContent-Length: 3\r\n\r\nbad"
                .to_vec(),
            "garbage" => b"\x00\x01\x02\r\n\r\n".to_vec(),
            _ => answer(seen, "200 OK", "ok"),
        }
    }));
    let world = serving(&[("i-1", "once", &engine)]);
    world.await_service(0, "/once/");
    for attempt in ["unsealed", "crossed", "garbage"] {
        let got = world.call(0, &get("/once/", attempt, ""));
        assert_eq!(got.status, 502, "{attempt}");
        assert!(!got.body.contains("bad"), "{attempt}");
    }
}

#[test]
fn what_no_route_takes_is_not_found() {
    let world = Cluster::start(1, 0);
    let before = world.call(0, &get("/safe/", "a1", ""));
    assert_eq!(
        before.status, 503,
        "an entry that knows nothing yet denies nothing"
    );
    world.put(&[0], &document(1));
    crate::cluster::wait_until("it is known", || {
        world.call(0, &get("/other/", "a1", "")).status == 404
    });
}

/// Guards against callers that are refused while a service is away for a moment, with most of their time
/// left.
#[test]
fn a_request_waits_for_a_service_that_comes_back() {
    let engine = Engine::start(Box::new(|seen| answer(seen, "200 OK", "whole")));
    let world = serving(&[("i-0", "safe", &engine)]);
    world.await_service(0, "/safe/");
    let round = AtomicU32::new(0);
    wait_until("a request that came before the service is served", || {
        let gone = round.fetch_add(1, Ordering::Relaxed);
        world.control(0, "DELETE", &format!("/instances/i-{gone}"), "");
        thread::sleep(BROKEN);
        thread::scope(|scope| {
            let call = scope.spawn(|| world.call(0, &get("/safe/", &format!("a{gone}"), "")));
            thread::sleep(READING);
            let waits = !call.is_finished();
            world.report(0, &format!("i-{}", gone + 1), "safe", engine.addr);
            waits && call.join().expect("the caller").status == 200
        })
    });
}

/// An entry is told to end while a request is being answered. The request gets its whole answer,
/// and the process ends by itself.
#[test]
fn a_planned_end_cuts_off_nothing() {
    let engine = Engine::start(Box::new(|seen| {
        if seen.header("x-filbertstack-attempt-id") == "slow" {
            std::thread::sleep(std::time::Duration::from_millis(600));
        }
        answer(seen, "200 OK", "whole")
    }));
    let mut world = serving(&[("i-1", "once", &engine)]);
    world.await_service(0, "/once/");
    let got = std::thread::scope(|scope| {
        let before = engine.seen().len();
        let request = get("/once/", "slow", "");
        let addr = world.front_addr(0);
        let call = scope.spawn(move || crate::cluster::exchange(&addr, &request));
        crate::cluster::wait_until("it is under way or done", || {
            engine.seen().len() > before || !call.is_finished()
        });
        std::thread::sleep(std::time::Duration::from_millis(100));
        assert!(world.stop(0), "it ends by itself, in order");
        call.join().expect("the caller")
    });
    let got = got.expect("an answer");
    assert_eq!((got.status, got.body.as_str()), (200, "whole"));
}

/// An answer goes through, and a request that no target can take is refused: the metrics tell both,
/// with the reason, so that a rise of refusals shows its cause without a log.
#[test]
fn metrics_tell_how_requests_ended() {
    let engine = Engine::start(Box::new(|seen| answer(seen, "200 OK", "done")));
    let world = serving(&[("i-1", "safe", &engine)]);
    world.await_service(0, "/safe/");
    let refused = world.call(0, &get("/once/", "a1", ""));
    assert_eq!(refused.status, 503);
    let metrics = world.metrics(0);
    let told = [
        "filbertstack_entry_requests_total{outcome=\"target's answer\"}",
        "filbertstack_entry_refusals_total{reason=\"no target can serve it in time\"}",
        "filbertstack_entry_duration_seconds_bucket{outcome=\"answered\"",
        "# HELP filbertstack_entry_requests_total",
    ];
    for line in told {
        assert!(metrics.contains(line), "{line} is not in {metrics}");
    }
}

/// All entries start again at once, and an engine announces itself before they have a leader. It is
/// told to come back, as nothing was registered; but callers are not refused until its next turn:
/// the entry passes its statement on when there is a leader.
#[test]
fn an_engine_that_came_too_early_is_known_when_there_is_a_leader() {
    let engine = Engine::start(Box::new(|seen| answer(seen, "200 OK", "done")));
    let mut world = Cluster::start(3, 0);
    world.put(&[0], &document(1));
    world.kill(1);
    world.kill(2);
    // A read fails as soon as a link breaks; the entry itself misses its leader a little later.
    crate::cluster::wait_until("the entry knows of no leader", || !world.is_ready(0));
    assert_eq!(world.announce(0, "i-1", "safe", engine.addr), Some(503));
    world.launch(1);
    world.launch(2);
    world.await_service(0, "/safe/");
}

/// An engine stands still with a request, and nobody else could take it at first. Another comes a
/// while later: the caller gets its answer from there, long before it would leave.
#[test]
fn a_request_at_a_frozen_engine_goes_to_the_next_that_comes() {
    let (wake, frozen) = mpsc::channel::<()>();
    let frozen = Mutex::new(frozen);
    let still = Engine::start(Box::new(move |_| {
        // Ends with the test.
        let _ = frozen.lock().expect("not poisoned").recv();
        Vec::new()
    }));
    let other = Engine::start(Box::new(|seen| stream(seen, 3, 0)));
    let world = serving(&[("i-1", "stream", &still)]);
    let patient = get("/stream/", "a1", "").replace("Deadline-Ms: 5000", "Deadline-Ms: 50000");
    let front = world.front_addr(0);
    // Refused at once until the entry has heard of the engine.
    let caller = thread::spawn(move || {
        loop {
            let got = exchange(&front, &patient).expect("an answer");
            if got.status != 503 {
                return got;
            }
        }
    });
    wait_until("the entry waits for the frozen one", || {
        world.has_logged(0, "\"target\":\"i-1\",\"attempt\":1")
    });
    // An entry that looks once has found nobody by then.
    thread::sleep(GIVEN_UP);
    world.report(0, "i-2", "stream", other.addr);
    let got = caller.join().expect("it ends");
    assert_eq!(got.status, 200);
    assert!(got.body.contains("data: piece 3"), "{}", got.body);
    drop(wake);
}

/// An engine is frozen when its caller leaves. The entry must close the connection at once, or the
/// request runs for nobody when the engine wakes.
#[test]
fn a_frozen_engine_finds_the_request_closed_when_it_wakes() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let addr = listener.local_addr().expect("bound");
    let world = serving(&[]);
    world.report(0, "i-1", "safe", addr);
    let front = world.front_addr(0);
    let caller = RefCell::new(None);
    // Refused at once until the entry has heard of the engine.
    wait_until("it was sent", || {
        if !world.has_logged(0, "\"message\":\"sent\"") {
            let mut stream = TcpStream::connect(&front).expect("the entry listens");
            let request = get("/safe/", "a1", "");
            stream.write_all(request.as_bytes()).expect("sent");
            caller.replace(Some(stream));
        }
        world.has_logged(0, "\"message\":\"sent\"")
    });
    // The engine accepts and does not read: it is frozen.
    let (mut frozen, _) = listener.accept().expect("the entry connects");
    caller.take();
    wait_until("the entry has closed", || {
        world.has_logged(0, "\"outcome\":\"caller left\"")
    });
    let mut bytes = Vec::new();
    let read = frozen.read_to_end(&mut bytes);
    assert!(
        read.is_err(),
        "a reset, which the engine sees before it answers"
    );
}

/// An entry is told to end while a stream runs through it, and goes on serving. A caller with an old
/// address comes seconds later: taken, its stream would be cut off by the end of the process. It is
/// refused as not run, and the engine never sees it.
#[test]
fn a_leaving_entry_takes_no_stream_that_it_may_have_to_cut() {
    let engine = Engine::paced(
        Duration::from_millis(400),
        Box::new(|seen| stream(seen, 40, 0)),
    );
    let world = serving(&[("i-1", "stream", &engine)]);
    let front = world.front_addr(0);
    let long = get("/stream/", "a1", "").replace("Deadline-Ms: 5000", "Deadline-Ms: 9000");
    // Refused at once until the entry has heard of the engine.
    thread::spawn(move || while exchange(&front, &long).is_some_and(|got| got.status == 503) {});
    wait_until("a stream runs", || {
        world.has_logged(0, "\"message\":\"sent\"")
    });
    world.signal(0, "TERM");
    let late = AtomicU32::new(0);
    wait_until("a caller is refused as not run", || {
        let n = late.fetch_add(1, Ordering::Relaxed);
        let request = get("/stream/", &format!("late-{n}"), "");
        let mut stream = TcpStream::connect(world.front_addr(0)).expect("it serves on");
        stream.write_all(request.as_bytes()).expect("sent");
        let mut head = [0; 12];
        stream.read_exact(&mut head).expect("an answer");
        head == *b"HTTP/1.1 503"
    });
    let last = format!("late-{}", late.load(Ordering::Relaxed) - 1);
    let seen = engine.seen().into_iter();
    let mut runs = seen.filter(|s| s.header("x-filbertstack-attempt-id") == last);
    assert!(runs.next().is_none(), "what was refused has not run");
}
