//! Planned stops cut nothing off, and leave nothing new behind.

use serde_json::Value;
use serde_json::json;

use crate::served::Served;
use crate::served::TOKENS;
use crate::served::stream;
use crate::support::Process;
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
