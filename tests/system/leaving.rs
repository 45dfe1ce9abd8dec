//! Planned stops cut nothing off, and leave nothing new behind.

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

use crate::served::Served;
use crate::served::TOKENS;
use crate::served::stream;
use crate::support::CALLER_KEY;
use crate::support::PATIENCE;
use crate::support::PEER_KEY;
use crate::support::Process;
use crate::support::System;
use crate::support::post;

// The designer's streamed answer, begun before the stop, arrives whole; the process then ends by
// itself with exit code 0.
// The entry gets SIGTERM at the answer's first token.
#[test]
fn an_entry_that_is_stopped_finishes_what_it_has() {
    let mut served = Served::start(1);
    let addr = served.system.entries[0].http;
    let entry = &served.entries[0];
    let text = stream(addr, "rewrite this", || entry.signal("TERM"));
    assert_eq!(text, Ok(served.weights.answer("rewrite this", TOKENS)));
    let status = served.entries[0].wait();
    assert!(status.success(), "{status}");
}

// The same for an agent; and from then on the other target gets all new requests, none of which
// is refused or lost.
#[test]
fn an_agent_that_is_stopped_finishes_what_it_has_and_gets_nothing_new() {
    let mut served = Served::start(2);
    let addr = served.system.entries[1].http;
    // Both agents have their turn: whichever holds the stream, its own stop must not cut it.
    for stopped in 0..1 {
        let agent = &served.agents[stopped];
        let text = stream(addr, "first of all", || agent.signal("TERM"));
        assert_eq!(text, Ok(served.weights.answer("first of all", TOKENS)));
        let status = served.agents[stopped].wait();
        assert!(status.success(), "{status}");
    }
    let before = completed(&served.engines[0]);
    for n in 0..10 {
        let prompt = format!("after {n}");
        let body = json!({ "model": "draft-model", "prompt": prompt, "max_tokens": 3 });
        let answer = post(addr, "/v1/completions", &[], &body.to_string());
        assert_eq!(answer.status, 200, "{}", answer.text());
    }
    assert_eq!(
        completed(&served.engines[0]),
        before,
        "the stopped target got new requests"
    );
}

// The designer's streamed answer arrives whole although its own agent is stopped at the first token.
// With one target alone, the agent that is stopped surely holds the stream. It writes the last pieces
// and ends; a heartbeat that the entry then writes fails, while the pieces still wait to be read.
#[test]
fn the_agent_that_holds_a_stream_finishes_it_before_it_ends() {
    let mut served = Served::start(1);
    let addr = served.system.entries[0].http;
    let agent = &served.agents[0];
    let text = stream(addr, "held by one", || agent.signal("TERM"));
    assert_eq!(text, Ok(served.weights.answer("held by one", TOKENS)));
    let status = served.agents[0].wait();
    assert!(status.success(), "{status}");
}

// The designer's stream breaks off visibly, and the agent's log says that its own stop did it.
// The agent gets SIGTERM at the first token and may take a tenth of a second; the answer takes more than
// one. Without the line, nothing tells this cut from one by the network or the engine.
#[test]
fn a_stop_that_runs_out_of_time_says_what_it_breaks_off() {
    let mut served = Served::start(1);
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
    let text = stream(addr, "too long", || agent.signal("TERM"));
    assert!(text.is_err(), "{text:?}");
    assert!(
        !served.agents[0].wait().success(),
        "it says so by its exit code"
    );
    let lines = fs::read_to_string(&log).expect("a log");
    let line = "stop timeout ran out, requests break off requests=1";
    assert!(lines.contains(line), "{lines}");
}

/// Waits until requests are served.
fn wait_served(entry: SocketAddr) {
    let body = json!({ "model": "draft-model", "prompt": "hi", "max_tokens": 1 }).to_string();
    let until = Instant::now() + PATIENCE;
    while post(entry, "/v1/completions", &[], &body).status != 200 {
        assert!(Instant::now() < until, "nothing is served");
        std::thread::sleep(Duration::from_millis(50));
    }
}

// A caller that reads slowly gets its whole answer from an entry that is stopped.
// The entry has made the answer to its end, and no request is in progress any more; a part of it still
// waits in the entry for the caller to take it. Ended then, the entry cuts it off.
#[test]
fn an_entry_that_is_stopped_waits_for_a_slow_caller() {
    let system = System::new(1);
    let mut entry = system.start_entry(0);
    let service = Process::start(&["stand-in", "service", "desk"]);
    let addr = service.addr("listening");
    let _desk = system.start_agent("desk-0", "service", addr, "role=desk");
    system.apply(
        "[rule desk]\norder = 20\npath = /desk/\ninstances = role=desk\nidempotent = true\n",
    );
    let addr = system.entries[0].http;
    post(addr, "/desk/0", &[], "the way is there");
    // The answer holds it once more; both fit the buffers of two connections, not those of one.
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
    // Reads on when the entry has ended, or has had the time to.
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

// A peer gets the answer to what it asked an entry that is stopped meanwhile.
// Another entry's question is held by a voter until something changes, or a proposal waits there for its
// outcome; the voter gets SIGTERM. Ended without an answer, a proposal's caller must take the outcome for
// unknown although it is known.
#[test]
fn what_a_peer_asked_of_an_entry_is_answered_before_it_ends() {
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
    let mut held = hold_question(&link.expect("connects"));
    entry.signal("TERM");
    let answer = held.next(Instant::now() + PATIENCE);
    assert!(matches!(answer, Ok(Some(Tell::Payload(_)))), "{answer:?}");
    assert!(entry.wait().success());
}

/// Asks for updates beyond the newest, until the question is held.
fn hold_question(link: &Link) -> Replies {
    let mut reached = Position::default();
    let until = Instant::now() + PATIENCE;
    while Instant::now() < until {
        let ask = Ask::Watch(Watch {
            since: reached.revision,
            sequence: reached.sequence,
            follower: "entry-9".into(),
            wait: 60_000,
        });
        let mut replies = link.call(ask).expect("the link stands");
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
    panic!("the question was not held");
}

// A drained target finishes the answer in progress, and new requests go elsewhere.
#[test]
fn a_drained_target_gets_nothing_new() {
    let served = Served::start(2);
    let system = &served.system;
    let addr = system.entries[0].http;
    let text = stream(addr, "in progress", || {
        system.operate(&["drain", "engine-1"]);
    });
    assert_eq!(text, Ok(served.weights.answer("in progress", TOKENS)));
    system.wait_status("engine-1 leaving", |status| {
        let targets = status["targets"].as_array().cloned().unwrap_or_default();
        targets
            .iter()
            .any(|one| one["name"] == "engine-1" && one["leaving"] == true)
    });
    let before = completed(&served.engines[1]);
    for n in 0..10 {
        let body = json!({ "model": "draft-model", "prompt": n.to_string(), "max_tokens": 3 });
        let answer = post(addr, "/v1/completions", &[], &body.to_string());
        assert_eq!(answer.status, 200, "{}", answer.text());
    }
    assert_eq!(
        completed(&served.engines[1]),
        before,
        "the drained target got new requests"
    );
}

fn completed(engine: &Process) -> u64 {
    let url = format!("http://{}/admin/runs", engine.addr("listening"));
    let mut response = ureq::get(url).call().expect("answers");
    let text = response.body_mut().read_to_string().expect("a body");
    let runs: Value = serde_json::from_str(&text).expect("JSON");
    runs["completed"].as_u64().expect("a count")
}
