//! Engines and agents that die, freeze or come back empty under requests.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use serde_json::json;

use crate::served::Served;
use crate::served::stream;
use crate::support::PATIENCE;
use crate::support::Process;
use crate::support::completion_text;
use crate::support::post;
use crate::support::try_post;

/// Asks until an answer comes; every answer that comes is whole and the caller's own.
fn ask_until_answered(served: &Served, entry: SocketAddr, prompt: &str) {
    let body = json!({ "model": "draft-model", "prompt": prompt, "max_tokens": 3 }).to_string();
    let until = Instant::now() + PATIENCE;
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

// The designer's stream breaks off without its end mark: it cannot be taken for the whole answer.
// The engine is killed at the first token. The agent sees the body end short, the entry passes no
// final chunk.
#[test]
fn an_engine_killed_in_the_middle_cuts_the_answer_visibly() {
    let mut served = Served::start(1);
    let addr = served.system.entries[0].http;
    let engine = &served.engines[0];
    let cut = stream(addr, "never whole", || engine.signal("KILL"));
    assert!(cut.is_err(), "the cut answer looked whole: {cut:?}");
    served.engines[0].kill();
}

// The same when the agent freezes: its link falls silent, TCP reports nothing. Without heartbeats
// the caller would wait for its whole deadline; without the mark of the end it would take the part
// for the whole.
#[test]
fn an_agent_frozen_in_the_middle_cuts_the_answer_visibly() {
    let served = Served::start(1);
    let addr = served.system.entries[0].http;
    let agent = &served.agents[0];
    let cut = stream(addr, "never whole", || agent.signal("STOP"));
    assert!(cut.is_err(), "the cut answer looked whole: {cut:?}");
    agent.signal("CONT");
    ask_until_answered(&served, addr, "after the thaw");
}

// Callers get their answers from the other target while one agent is frozen.
// A request that had gone to the frozen one is sent again, as the rule calls it idempotent.
#[test]
fn requests_go_round_a_frozen_agent() {
    let served = Served::start(2);
    let addr = served.system.entries[1].http;
    served.agents[0].signal("STOP");
    for n in 0..12 {
        ask_until_answered(&served, addr, &format!("round it {n}"));
    }
    served.agents[0].signal("CONT");
}

// The engine is killed and comes back empty at the same address: no request is answered from
// nothing, and it is served from the declared version again without an operator.
// The agent asks the engine what it serves, closes the gate, and orders the load again.
#[test]
fn an_engine_that_comes_back_empty_is_loaded_again() {
    let mut served = Served::start(1);
    let addr = served.system.entries[0].http;
    let listen = served.engines[0].addr("listening").to_string();
    served.engines[0].kill();
    served.engines[0] =
        Process::start(&["stand-in", "engine", "--step-ms", "20", "--listen", &listen]);
    ask_until_answered(&served, addr, "after the restart");
    let body = json!({ "model": "draft-model", "prompt": "again", "max_tokens": 3 });
    let answer = post(addr, "/v1/completions", &[], &body.to_string());
    assert_eq!(completion_text(&answer), served.weights.answer("again", 3));
}
