//! An engine over loopback: answers, streams, cancels, resumes and faults.

mod common;

use std::io::BufRead;
use std::io::BufReader;
use std::sync::Arc;
use std::time::Duration;

use filbertstack_core::Digest;
use filbertstack_standins::Engine;
use filbertstack_standins::EngineConfig;
use filbertstack_standins::answer;
use filbertstack_standins::engine::EngineFaults;
use filbertstack_standins::engine::Gate;
use filbertstack_standins::engine::Pace;
use serde_json::Value;
use serde_json::json;
use tempfile::TempDir;

use common::MODEL;
use common::agent;
use common::completion;
use common::get;
use common::post;
use common::post_with;
use common::wait_until;
use common::weights;

struct Serving {
    engine: Engine,
    gate: Arc<Gate>,
    digest: Digest,
    _dir: TempDir,
}

/// An engine that serves and makes a step for each pass of its gate.
fn gated(change: impl FnOnce(&mut EngineConfig)) -> Serving {
    let dir = weights("one");
    let gate = Arc::new(Gate::default());
    let mut config = EngineConfig {
        pace: Pace::Gated(gate.clone()),
        lag: Duration::ZERO,
        ..EngineConfig::default()
    };
    change(&mut config);
    Serving {
        engine: Engine::serving(config, MODEL, dir.path()).unwrap(),
        gate,
        digest: answer::weights_digest(dir.path()).unwrap(),
        _dir: dir,
    }
}

/// An engine that serves without waiting for anybody.
fn open() -> Serving {
    let serving = gated(|_| {});
    serving.gate.open();
    serving
}

/// The `data:` lines of a stream, the last event included.
fn data(body: impl std::io::Read) -> Vec<String> {
    let lines = BufReader::new(body).lines().map(Result::unwrap);
    let data = lines.filter_map(|line| line.strip_prefix("data: ").map(str::to_owned));
    data.collect()
}

fn texts(events: &[String]) -> String {
    let text = |event: &String| {
        let value: Value = serde_json::from_str(event).ok()?;
        let choice = &value["choices"][0];
        let text = choice["text"]
            .as_str()
            .or(choice["delta"]["content"].as_str());
        text.map(str::to_owned)
    };
    events.iter().filter_map(text).collect()
}

#[test]
fn a_whole_answer_is_the_function_of_weights_and_prompt() {
    let s = open();
    let body = completion("how many chairs", 5, false);
    let got = post(&s.engine.addr(), "/v1/completions", &body).json();
    let text = got["choices"][0]["text"].as_str().unwrap();
    assert_eq!(text, answer::text(&s.digest, "how many chairs", 5));
    assert_eq!(got["usage"]["completion_tokens"], 5);
    assert_eq!(got["usage"]["prompt_tokens"], 3);
}

#[test]
fn a_chat_is_answered_whole_and_as_a_stream() {
    let s = open();
    let mut body = json!({
        "model": MODEL, "max_tokens": 4, "stream_options": {"include_usage": true},
        "messages": [
            {"role": "system", "content": "be brief"},
            {"role": "user", "content": "which logo"},
        ],
    });
    let prompt = answer::chat_prompt([("system", "be brief"), ("user", "which logo")]);
    let expected = answer::text(&s.digest, &prompt, 4);
    let path = "/v1/chat/completions";
    let whole = post(&s.engine.addr(), path, &body).json();
    assert_eq!(whole["choices"][0]["message"]["content"], expected);
    body["stream"] = json!(true);
    let events = data(post(&s.engine.addr(), path, &body).into_reader());
    assert_eq!(texts(&events), expected);
    assert_eq!(events.last().unwrap(), "[DONE]");
    assert!(events[events.len() - 2].contains("\"completion_tokens\":4"));
}

// A caller streams an answer of three tokens while the engine is held after the first. The first
// token must arrive although the last has not been made: an engine or server that buffers would
// leave the caller waiting here for ever.
#[test]
fn the_first_token_arrives_before_the_last_is_made() {
    let s = gated(|_| {});
    s.gate.allow(2); // One step of prefill, one token.
    let body = completion("hello", 3, true);
    let response = post(&s.engine.addr(), "/v1/completions", &body);
    let mut lines = BufReader::new(response.into_reader()).lines();
    let mut next = || lines.next().unwrap().unwrap();
    assert_eq!(next(), "id: 0");
    let first = next();
    assert!(first.contains(&format!("\"{}\"", answer::token(&s.digest, "hello", 0))));
    s.gate.open();
    let rest: Vec<String> = lines.map(Result::unwrap).collect();
    assert!(rest.contains(&"id: 2".to_owned()));
    assert_eq!(rest[rest.len() - 2], "data: [DONE]");
}

// A caller hangs up in the middle of its answer, once as a stream and once while it waits for the
// whole. The engine must stop generating, although it never gets to write to the lost connection.
#[test]
fn a_caller_that_hangs_up_frees_its_slot() {
    for stream in [true, false] {
        let s = gated(|_| {});
        let url = format!("http://{}/v1/completions", s.engine.addr());
        let body = completion("hello", 1000, stream).to_string();
        let caller = std::thread::spawn(move || {
            let call = agent().post(url);
            let limit = Some(Duration::from_secs(2));
            let call = call.config().timeout_global(limit).build();
            call.send(body).map(|answer| drop(answer.into_body()))
        });
        s.gate.allow(3);
        wait_until("the run begins", || s.engine.runs().total == 1);
        // The caller is gone: the stream was dropped, the whole answer timed out.
        let _ = caller.join().unwrap();
        wait_until("the cancel", || s.engine.runs().cancelled == 1);
        let load = get(&s.engine.addr(), "/metrics").bytes();
        let load = String::from_utf8(load).unwrap();
        assert!(load.contains("num_requests_running{model_name=\"prairie-draft\"} 0"));
        assert_eq!(s.engine.runs().completed, 0);
    }
}

#[test]
fn a_stream_resumes_behind_the_last_token_seen() {
    let s = open();
    let tokens = answer::tokens(&s.digest, "hello", 6);
    let mut body = completion("hello", 6, true);
    let path = "/v1/completions";
    let headers = [("Last-Event-ID", "2")];
    let resumed = post_with(&s.engine.addr(), path, &body, &headers);
    assert_eq!(texts(&data(resumed.into_reader())), tokens[3..].concat());
    body["resume_from"] = json!(5);
    let resumed = post(&s.engine.addr(), path, &body);
    assert_eq!(texts(&data(resumed.into_reader())), tokens[5]);
}

#[test]
fn runs_are_counted_by_request_and_key() {
    let s = open();
    let headers = [("x-request-id", "r1"), ("Idempotency-Key", "k1")];
    for _ in 0..2 {
        let body = completion("hello", 1, false);
        post_with(&s.engine.addr(), "/v1/completions", &body, &headers).json();
    }
    let runs = get(&s.engine.addr(), "/admin/runs").json();
    assert_eq!(runs["by_request"]["r1"], 2);
    assert_eq!(runs["by_key"]["k1"], 2);
    assert_eq!(s.engine.runs().completed, 2);
}

#[test]
fn what_cannot_be_answered_is_refused_and_does_not_run() {
    let s = open();
    let path = "/v1/completions";
    let status = |body: &Value| post(&s.engine.addr(), path, body).status();
    assert_eq!(status(&json!({"prompt": "no model"})), 400);
    assert_eq!(status(&json!({"model": "other", "prompt": "x"})), 404);
    assert_eq!(status(&completion("x", 0, false)), 400);
    assert_eq!(status(&completion(&"x".repeat(5 << 20), 1, false)), 413);
    assert_eq!(get(&s.engine.addr(), "/nowhere").status(), 404);
    assert_eq!(s.engine.runs().total, 0);
}

#[test]
fn a_full_queue_refuses_with_a_time_to_come_back() {
    let s = gated(|config| {
        config.slots = 1;
        config.queue = 1;
    });
    let first = post(
        &s.engine.addr(),
        "/v1/completions",
        &completion("a", 9, true),
    );
    let second = post(
        &s.engine.addr(),
        "/v1/completions",
        &completion("b", 9, true),
    );
    assert_eq!(second.status(), 429);
    assert_eq!(second.header("Retry-After"), Some("1"));
    assert_eq!(s.engine.runs().total, 1);
    s.gate.open();
    assert_eq!(data(first.into_reader()).last().unwrap(), "[DONE]");
}

#[test]
fn a_cached_prefix_shortens_the_prefill() {
    let s = gated(|config| config.prefill = 1);
    let words: Vec<String> = (0..64).map(|n| format!("w{n}")).collect();
    let body = completion(&words.join(" "), 1, true);
    s.gate.allow(5); // Four blocks and one token.
    let first = post(&s.engine.addr(), "/v1/completions", &body);
    assert_eq!(data(first.into_reader()).len(), 3);
    s.gate.allow(2); // At least one step of prefill and one token.
    let again = post(&s.engine.addr(), "/v1/completions", &body);
    assert_eq!(data(again.into_reader()).len(), 3);
    let events = get(&s.engine.addr(), "/cache/events?after=1").json();
    assert_eq!(events["events"].as_array().unwrap().len(), 3);

    let export = json!({"prompt": words.join(" ")});
    let moved = post(&s.engine.addr(), "/kv/export", &export).json();
    assert_eq!(moved["blocks"].as_array().unwrap().len(), 4);
    let other = gated(|_| {});
    assert_eq!(
        post(&other.engine.addr(), "/kv/import", &moved).status(),
        200
    );
    let back = post(&other.engine.addr(), "/kv/export", &export).json();
    assert_eq!(back, moved);
    let foreign = json!({"weights": "another", "blocks": []});
    assert_eq!(
        post(&other.engine.addr(), "/kv/import", &foreign).status(),
        409
    );
}

#[test]
fn a_gate_opens_over_http() {
    let s = gated(|_| {});
    let steps = json!({"steps": 2});
    post(&s.engine.addr(), "/admin/steps", &steps);
    let body = completion("hello", 1, false);
    assert_eq!(
        post(&s.engine.addr(), "/v1/completions", &body).status(),
        200
    );
    let timed = Engine::start(EngineConfig::default()).unwrap();
    assert_eq!(post(&timed.addr(), "/admin/steps", &steps).status(), 409);
}

// An answer is cut after two tokens, then one stalls after two. In both the caller has two tokens
// and no last event; it can take neither for the whole answer.
#[test]
fn cut_and_stalled_answers_never_look_whole() {
    let s = open();
    let url = format!("http://{}/v1/completions", s.engine.addr());
    let body = completion("hello", 5, true).to_string();
    for stalls in [false, true] {
        s.engine.set_faults(EngineFaults {
            cut_after: (!stalls).then_some(2),
            stall_after: stalls.then_some(2),
            ..EngineFaults::default()
        });
        let limit = Some(Duration::from_secs(3));
        let call = agent().post(&url).config().timeout_global(limit).build();
        let reader = call.send(&body).unwrap().into_body().into_reader();
        let mut lines = BufReader::new(reader).lines();
        let mut read = Vec::new();
        let end = loop {
            match lines.next() {
                Some(Ok(line)) => read.push(line),
                end => break end,
            }
        };
        // A cut is an end of the connection; a stall lasts until the caller gives up.
        let error = end.expect("the body must not end well").unwrap_err();
        let gave_up = error.to_string().starts_with("timeout");
        assert_eq!(gave_up, stalls, "{error}");
        assert!(read.contains(&"id: 1".to_owned()) && !read.contains(&"id: 2".to_owned()));
        assert!(!read.iter().any(|line| line.contains("[DONE]")));
    }
}

#[test]
fn a_refusal_runs_nothing() {
    let s = open();
    let refuse = json!({"refuse": true});
    assert_eq!(
        post(&s.engine.addr(), "/admin/faults", &refuse).status(),
        200
    );
    let refused = post(
        &s.engine.addr(),
        "/v1/completions",
        &completion("x", 1, false),
    );
    assert_eq!(
        (refused.status(), refused.header("Retry-After")),
        (503, Some("1"))
    );
    assert_eq!(s.engine.runs().total, 0);
    let unknown = json!({"refuze": true});
    assert_eq!(
        post(&s.engine.addr(), "/admin/faults", &unknown).status(),
        400
    );
}
