//! An engine over loopback: answers, streams, orders and faults.

mod common;

use std::io::BufRead;
use std::io::BufReader;
use std::sync::Arc;

use filbertstack_standins::Engine;
use filbertstack_standins::EngineConfig;
use filbertstack_standins::answer;
use filbertstack_standins::engine::Gate;
use filbertstack_standins::engine::Pace;

use common::MODEL;
use common::completion;
use common::post;
use common::weights;

#[test]
fn a_whole_answer_is_the_function_of_weights_and_prompt() {
    let dir = weights("one");
    let engine = Engine::serving(EngineConfig::default(), MODEL, dir.path()).unwrap();
    let digest = answer::weights_digest(dir.path()).unwrap();
    let body = completion("how many chairs", 5, false);
    let got = post(&engine.addr(), "/v1/completions", &body).json();
    let text = got["choices"][0]["text"].as_str().unwrap();
    assert_eq!(text, answer::text(&digest, "how many chairs", 5));
    assert_eq!(got["usage"]["completion_tokens"], 5);
}

// A caller streams an answer of three tokens while the engine is held after the first. The first
// token must arrive although the last has not been made: an engine or server that buffers would
// leave the caller waiting here for ever.
#[test]
fn the_first_token_arrives_before_the_last_is_made() {
    let dir = weights("one");
    let digest = answer::weights_digest(dir.path()).unwrap();
    let gate = Arc::new(Gate::default());
    let config = EngineConfig {
        pace: Pace::Gated(gate.clone()),
        ..EngineConfig::default()
    };
    let engine = Engine::serving(config, MODEL, dir.path()).unwrap();
    gate.allow(2); // One step of prefill, one token.
    let response = post(
        &engine.addr(),
        "/v1/completions",
        &completion("hello", 3, true),
    );
    let mut lines = BufReader::new(response.into_reader()).lines();
    let mut next = || lines.next().unwrap().unwrap();
    assert_eq!(next(), "id: 0");
    let first = next();
    assert!(first.contains(&format!("\"{}\"", answer::token(&digest, "hello", 0))));
    gate.open();
    let rest: Vec<String> = lines.map(Result::unwrap).collect();
    assert!(rest.contains(&"id: 2".to_owned()));
    assert_eq!(rest[rest.len() - 2], "data: [DONE]");
}
