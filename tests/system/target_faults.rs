//! Engines and agents are killed, frozen or restarted without weights during requests.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use serde_json::json;

use crate::served::ServedModel;
use crate::served::stream_answer;
use crate::support::Process;
use crate::support::TEST_TIMEOUT;
use crate::support::completion_text;
use crate::support::post;
use crate::support::try_post;

/// Repeats a request until it is answered, and checks that the answer is exact.
fn wait_answer(served: &ServedModel, entry: SocketAddr, prompt: &str) {
    let body = json!({ "model": "draft-model", "prompt": prompt, "max_tokens": 3 }).to_string();
    let until = Instant::now() + TEST_TIMEOUT;
    loop {
        match try_post(entry, "/v1/completions", &[], &body) {
            Ok(answer) if answer.status == 200 => {
                assert_eq!(completion_text(&answer), served.weights.answer(prompt, 3));
                return;
            }
            other => assert!(Instant::now() < until, "no answer: {other:?}"),
        }
        std::thread::sleep(Duration::from_millis(100));
    }
}

// A stream whose engine is killed at the first token ends with an error, not as a whole answer.
// The agent sees that the body ends early, and the entry sends no final chunk.
#[test]
fn an_engine_killed_during_an_answer_breaks_the_stream() {
    let mut served = ServedModel::start(1);
    let addr = served.system.entries[0].http;
    let engine = &served.engines[0];
    let cut = stream_answer(addr, "never whole", || engine.signal("KILL"));
    assert!(cut.is_err(), "the cut answer looked whole: {cut:?}");
    served.engines[0].kill();
}

// A stream whose agent is frozen at the first token ends with an error, not as a whole answer.
// The link is silent and TCP reports no error. Without heartbeats the caller would wait until its
// deadline; without a final chunk as the end mark it would take a part for the whole answer.
#[test]
fn an_agent_frozen_during_an_answer_breaks_the_stream() {
    let served = ServedModel::start(1);
    let addr = served.system.entries[0].http;
    let agent = &served.agents[0];
    let cut = stream_answer(addr, "never whole", || agent.signal("STOP"));
    assert!(cut.is_err(), "the cut answer looked whole: {cut:?}");
    agent.signal("CONT");
    wait_answer(&served, addr, "after the freeze");
}

// Callers get their answers from the other target while one agent is frozen.
// A request that was sent to the frozen agent is sent again, as its rule is idempotent.
#[test]
fn requests_avoid_a_frozen_agent() {
    let served = ServedModel::start(2);
    let addr = served.system.entries[1].http;
    served.agents[0].signal("STOP");
    for n in 0..12 {
        wait_answer(&served, addr, &format!("avoid {n}"));
    }
    served.agents[0].signal("CONT");
}

// An engine that restarts without weights at the same address answers no request without them, and
// serves the declared version again without an operator.
// The agent queries the engine's version, closes the gate, and orders the load again.
#[test]
fn a_restarted_engine_is_loaded_again() {
    let mut served = ServedModel::start(1);
    let addr = served.system.entries[0].http;
    let listen = served.engines[0].addr("listening").to_string();
    served.engines[0].kill();
    served.engines[0] =
        Process::start(&["stand-in", "engine", "--step-ms", "20", "--listen", &listen]);
    wait_answer(&served, addr, "after the restart");
    let body = json!({ "model": "draft-model", "prompt": "again", "max_tokens": 3 });
    let answer = post(addr, "/v1/completions", &[], &body.to_string());
    assert_eq!(completion_text(&answer), served.weights.answer("again", 3));
}
