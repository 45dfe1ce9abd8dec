//! Planned stops finish the requests in progress, and new requests go elsewhere.

use std::fs;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use filbertstack_entry::view::Position;
use filbertstack_entry::view::Update;
use filbertstack_wire::Dialer;
use filbertstack_wire::Key;
use filbertstack_wire::Keyring;
use filbertstack_wire::Link;
use filbertstack_wire::Remote;
use filbertstack_wire::Replies;
use filbertstack_wire::Responder;
use filbertstack_wire::Role;
use filbertstack_wire::WireError;
use filbertstack_wire::messages::Ask;
use filbertstack_wire::messages::Payload;
use filbertstack_wire::messages::Tell;
use filbertstack_wire::messages::Watch;
use prost::Message;
use serde_json::Value;
use serde_json::json;

use crate::served::ANSWER_TOKENS;
use crate::served::ServedModel;
use crate::served::stream_answer;
use crate::support::CALLER_KEY;
use crate::support::PEER_KEY;
use crate::support::Process;
use crate::support::System;
use crate::support::TEST_TIMEOUT;
use crate::support::post;
use crate::support::try_post;

// A streamed answer that began before the entry was stopped arrives whole; the process then exits by
// itself with code 0. The entry gets SIGTERM at the first token of the answer.
#[test]
fn a_stopped_entry_finishes_its_requests() {
    let mut served = ServedModel::start(1);
    let addr = served.system.entries[0].http;
    let entry = &served.entries[0];
    let text = stream_answer(addr, "rewrite this", || entry.signal("TERM"));
    assert_eq!(
        text,
        Ok(served.weights.answer("rewrite this", ANSWER_TOKENS))
    );
    let status = served.entries[0].wait();
    assert!(status.success(), "{status}");
}

// A streamed answer arrives whole although an agent is stopped meanwhile; from then on the other target
// gets all new requests, and none of them is refused or lost.
#[test]
fn a_stopped_agent_finishes_its_requests_and_gets_no_new_ones() {
    let mut served = ServedModel::start(2);
    let addr = served.system.entries[1].http;
    // Either agent may hold the stream; a stop of the one that holds it must not break it.
    for stopped in 0..1 {
        let agent = &served.agents[stopped];
        let text = stream_answer(addr, "first of all", || agent.signal("TERM"));
        assert_eq!(
            text,
            Ok(served.weights.answer("first of all", ANSWER_TOKENS))
        );
        let status = served.agents[stopped].wait();
        assert!(status.success(), "{status}");
    }
    let before = completed_runs(&served.engines[0]);
    for n in 0..10 {
        let prompt = format!("after {n}");
        let body = json!({ "model": "draft-model", "prompt": prompt, "max_tokens": 3 });
        let answer = post(addr, "/v1/completions", &[], &body.to_string());
        assert_eq!(answer.status, 200, "{}", answer.text());
    }
    assert_eq!(
        completed_runs(&served.engines[0]),
        before,
        "the stopped target got new requests"
    );
}

// A streamed answer arrives whole although the agent that holds it is stopped at the first token.
// With only one target, the stopped agent certainly holds the stream. It writes the last parts and
// exits; a heartbeat that the entry then writes fails, while these parts are still unread.
#[test]
fn a_stopped_agent_finishes_its_stream_before_it_exits() {
    let mut served = ServedModel::start(1);
    let addr = served.system.entries[0].http;
    let agent = &served.agents[0];
    let text = stream_answer(addr, "held by one", || agent.signal("TERM"));
    assert_eq!(
        text,
        Ok(served.weights.answer("held by one", ANSWER_TOKENS))
    );
    let status = served.agents[0].wait();
    assert!(status.success(), "{status}");
}

// A stream that the agent's stop timeout breaks off ends with an error, and the agent logs the cause.
// The agent gets SIGTERM at the first token with a stop timeout of 100 ms; the answer takes more than
// one second. Without the log line, a fault of the network or the engine would look the same.
#[test]
fn a_stop_timeout_is_logged_with_its_open_requests() {
    let mut served = ServedModel::start(1);
    let addr = served.system.entries[0].http;
    served.agents[0].signal("TERM");
    served.agents[0].wait();
    let log = served.system.dir.path().join("engine-0.log");
    let settings = served.system.dir.path().join("engine-0.ini");
    let text = fs::read_to_string(&settings).expect("readable");
    let text = text.replace("stop-timeout = 20s", "stop-timeout = 100ms");
    let text = format!("{text}log-file = {}\n", log.display());
    fs::write(&settings, text).expect("written");
    let path = settings.to_str().expect("UTF-8");
    served.agents[0] = Process::start(&["agent", "--settings", path]);
    wait_served(addr);
    let agent = &served.agents[0];
    let text = stream_answer(addr, "too long", || agent.signal("TERM"));
    assert!(text.is_err(), "{text:?}");
    assert!(
        !served.agents[0].wait().success(),
        "the exit code reports the timeout"
    );
    let lines = fs::read_to_string(&log).expect("a log");
    let line = "stop timeout ran out, requests break off requests=1";
    assert!(lines.contains(line), "{lines}");
}

// A request that outlasts the stop of its entry is answered shortly before the end, as one that may have run.
// Without that answer its caller would see a closed connection.
#[test]
fn a_request_that_outlasts_the_stop_has_an_answer() {
    let mut served = ServedModel::start(1);
    let addr = served.system.entries[0].http;
    served.entries[0].signal("TERM");
    served.entries[0].wait();
    let settings = &served.system.entries[0].settings;
    let text = fs::read_to_string(settings).expect("readable");
    let text = text.replace("stop-timeout = 20s", "stop-timeout = 8s");
    fs::write(settings, text).expect("written");
    served.entries[0] = served.system.start_entry(0);
    wait_served(addr);
    let long = json!({ "model": "draft-model", "prompt": "long", "max_tokens": 2_000 });
    let caller = std::thread::spawn(move || {
        try_post(addr, "/v1/completions", &[], &long.to_string()).map(|answer| answer.status)
    });
    std::thread::sleep(Duration::from_millis(500));
    served.entries[0].signal("TERM");
    assert_eq!(caller.join().expect("it ends"), Ok(504));
    served.entries[0].wait();
}

/// Waits until a request gets an answer.
fn wait_served(entry: SocketAddr) {
    let body = json!({ "model": "draft-model", "prompt": "hi", "max_tokens": 1 }).to_string();
    let until = Instant::now() + TEST_TIMEOUT;
    while post(entry, "/v1/completions", &[], &body).status != 200 {
        assert!(Instant::now() < until, "no request was answered in time");
        std::thread::sleep(Duration::from_millis(50));
    }
}

// A caller that reads slowly gets its whole answer from a stopped entry.
// The entry has produced the whole answer and no request is in progress any more, but a part of the answer
// is still in the entry's buffers. An entry that exited then would truncate it.
#[test]
fn a_stopped_entry_waits_for_a_slow_caller() {
    let system = System::new(1);
    let mut entry = system.start_entry(0);
    let service = Process::start(&["stand-in", "service", "desk"]);
    let addr = service.addr("listening");
    let _desk = system.start_agent("desk-0", "service", addr, "role=desk");
    system.apply(
        "[rule desk]\norder = 20\npath = /desk/\ninstances = role=desk\nidempotent = true\n",
    );
    let addr = system.entries[0].http;
    post(addr, "/desk/0", &[], "the route exists");
    // The answer repeats the body; both fit into the buffers of two connections, not into those of one.
    let body = "x".repeat(4 << 20);
    let mut caller = TcpStream::connect(addr).expect("connects");
    let head = format!(
        "POST /desk/1 HTTP/1.1\r\nhost: test\r\nauthorization: Bearer {CALLER_KEY}\r\n\
         content-length: {}\r\n\r\n",
        body.len()
    );
    caller.write_all(head.as_bytes()).expect("sent");
    caller.write_all(body.as_bytes()).expect("sent");
    caller.read_exact(&mut [0]).expect("the answer begins");
    entry.signal("TERM");
    // Continues to read when the entry has exited, or has had time to.
    std::thread::sleep(Duration::from_secs(15));
    let mut answer = Vec::new();
    caller.read_to_end(&mut answer).expect("no reset");
    let text = String::from_utf8_lossy(&answer[..answer.len().min(400)]);
    assert!(
        answer.len() > body.len(),
        "{} bytes came: {text}",
        answer.len()
    );
    assert!(entry.wait().success());
}

// A stopped entry answers the pending calls of its peers before it exits.
// A voter holds another entry's call until something changes, or a proposal waits there for its outcome;
// the voter gets SIGTERM. If it exited without an answer, the sender of a proposal would have to treat the
// outcome as unknown although it is known.
#[test]
fn a_stopped_entry_answers_pending_peer_calls() {
    let system = System::new(1);
    let mut entry = system.start_entry(0);
    system.wait_status("a leader", |status| status["leader"].is_string());
    let key = Key::from_text(PEER_KEY).expect("long enough");
    let keys = Keyring {
        peer: Some(key),
        agent: None,
    };
    let refuse = |_: &Remote, _: Ask, responder: Responder| responder.refuse("a test", 0);
    let dialer = Dialer::new("entry-9", keys, Arc::new(refuse));
    let link = dialer.link(system.entries[0].links, Role::Peer);
    let mut held = pending_watch(&link.expect("connects"));
    entry.signal("TERM");
    let answer = held.next(Instant::now() + TEST_TIMEOUT);
    assert!(matches!(answer, Ok(Some(Tell::Payload(_)))), "{answer:?}");
    assert!(entry.wait().success());
}

/// Sends watch calls for newer updates until one is held, and returns its replies.
fn pending_watch(link: &Link) -> Replies {
    let mut reached = Position::default();
    let until = Instant::now() + TEST_TIMEOUT;
    while Instant::now() < until {
        let ask = Ask::Watch(Watch {
            since: reached.revision,
            sequence: reached.sequence,
            follower: "entry-9".into(),
            wait: 60_000,
        });
        let mut replies = link.call(ask).expect("the link is up");
        match replies.next(Instant::now() + Duration::from_secs(1)) {
            Ok(Some(Tell::Payload(Payload { body }))) => {
                let update = Update::decode(body).expect("an update");
                reached.revision = update.delta.to;
                reached.sequence = update.sequence;
            }
            Err(WireError::Timeout) => return replies,
            other => panic!("{other:?}"),
        }
    }
    panic!("no watch call was held");
}

// A drained target finishes the answer in progress and gets no new requests.
#[test]
fn a_drained_target_gets_no_new_requests() {
    let served = ServedModel::start(2);
    let system = &served.system;
    let addr = system.entries[0].http;
    let text = stream_answer(addr, "in progress", || {
        system.run_command(&["drain", "engine-1"]);
    });
    assert_eq!(
        text,
        Ok(served.weights.answer("in progress", ANSWER_TOKENS))
    );
    system.wait_status("engine-1 leaving", |status| {
        let targets = status["targets"].as_array().cloned().unwrap_or_default();
        targets
            .iter()
            .any(|one| one["name"] == "engine-1" && one["leaving"] == true)
    });
    let before = completed_runs(&served.engines[1]);
    for n in 0..10 {
        let body = json!({ "model": "draft-model", "prompt": n.to_string(), "max_tokens": 3 });
        let answer = post(addr, "/v1/completions", &[], &body.to_string());
        assert_eq!(answer.status, 200, "{}", answer.text());
    }
    assert_eq!(
        completed_runs(&served.engines[1]),
        before,
        "the drained target got new requests"
    );
}

/// Returns the number of requests that an engine has completed.
fn completed_runs(engine: &Process) -> u64 {
    let url = format!("http://{}/admin/runs", engine.addr("listening"));
    let mut response = ureq::get(url).call().expect("answers");
    let text = response.body_mut().read_to_string().expect("a body");
    let runs: Value = serde_json::from_str(&text).expect("JSON");
    runs["completed"].as_u64().expect("a count")
}
