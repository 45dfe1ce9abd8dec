//! An engine on the loopback address: answers, streams, cancellation, resumed streams and faults.

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
use filbertstack_standins::engine::Pace;
use filbertstack_standins::engine::StepGate;
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

struct EngineFixture {
    engine: Engine,
    gate: Arc<StepGate>,
    digest: Digest,
    _dir: TempDir,
}

/// Starts an engine that serves a model and runs one step for each pass of its gate.
fn gated(configure: impl FnOnce(&mut EngineConfig)) -> EngineFixture {
    let dir = weights("one");
    let gate = Arc::new(StepGate::default());
    let mut config = EngineConfig {
        pace: Pace::Gated(gate.clone()),
        lag: Duration::ZERO,
        ..EngineConfig::default()
    };
    configure(&mut config);
    EngineFixture {
        engine: Engine::serving(config, MODEL, dir.path()).unwrap(),
        gate,
        digest: answer::weights_digest(dir.path()).unwrap(),
        _dir: dir,
    }
}

/// Starts an engine that serves a model and runs steps without waiting for passes.
fn ungated() -> EngineFixture {
    let fixture = gated(|_| {});
    fixture.gate.open();
    fixture
}

/// Returns the `data:` lines of a stream, including the last event.
fn event_data(body: impl std::io::Read) -> Vec<String> {
    let lines = BufReader::new(body).lines().map(Result::unwrap);
    let data = lines.filter_map(|line| line.strip_prefix("data: ").map(str::to_owned));
    data.collect()
}

fn token_text(events: &[String]) -> String {
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
fn a_whole_answer_depends_on_weights_and_prompt_only() {
    let fixture = ungated();
    let body = completion("how many chairs", 5, false);
    let got = post(&fixture.engine.addr(), "/v1/completions", &body).json();
    let text = got["choices"][0]["text"].as_str().unwrap();
    assert_eq!(text, answer::text(&fixture.digest, "how many chairs", 5));
    assert_eq!(got["usage"]["completion_tokens"], 5);
    assert_eq!(got["usage"]["prompt_tokens"], 3);
}

#[test]
fn a_chat_is_answered_whole_and_as_a_stream() {
    let fixture = ungated();
    let mut body = json!({
        "model": MODEL, "max_tokens": 4, "stream_options": {"include_usage": true},
        "messages": [
            {"role": "system", "content": "be brief"},
            {"role": "user", "content": "which logo"},
        ],
    });
    let prompt = answer::chat_prompt([("system", "be brief"), ("user", "which logo")]);
    let expected = answer::text(&fixture.digest, &prompt, 4);
    let path = "/v1/chat/completions";
    let whole = post(&fixture.engine.addr(), path, &body).json();
    assert_eq!(whole["choices"][0]["message"]["content"], expected);
    body["stream"] = json!(true);
    let events = event_data(post(&fixture.engine.addr(), path, &body).into_reader());
    assert_eq!(token_text(&events), expected);
    assert_eq!(events.last().unwrap(), "[DONE]");
    assert!(events[events.len() - 2].contains("\"completion_tokens\":4"));
}

// A caller streams an answer of three tokens while the gate holds the engine after the first. The first
// token must arrive although the last is not generated yet: with an engine or server that buffers, this test
// would hang.
#[test]
fn the_first_token_arrives_before_the_last_is_generated() {
    let fixture = gated(|_| {});
    fixture.gate.add_passes(2); // One step of prefill, one token.
    let body = completion("hello", 3, true);
    let response = post(&fixture.engine.addr(), "/v1/completions", &body);
    let mut lines = BufReader::new(response.into_reader()).lines();
    let mut next = || lines.next().unwrap().unwrap();
    assert_eq!(next(), "id: 0");
    let first = next();
    assert!(first.contains(&format!(
        "\"{}\"",
        answer::token(&fixture.digest, "hello", 0)
    )));
    fixture.gate.open();
    let rest: Vec<String> = lines.map(Result::unwrap).collect();
    assert!(rest.contains(&"id: 2".to_owned()));
    assert_eq!(rest[rest.len() - 2], "data: [DONE]");
}

// A caller closes its connection in the middle of its answer, once of a stream and once of a whole answer.
// The engine must stop generating, although it never writes to the closed connection.
#[test]
fn a_closed_connection_frees_its_slot() {
    for stream in [true, false] {
        let fixture = gated(|_| {});
        let url = format!("http://{}/v1/completions", fixture.engine.addr());
        let body = completion("hello", 1000, stream).to_string();
        let caller = std::thread::spawn(move || {
            let call = agent().post(url);
            let limit = Some(Duration::from_secs(2));
            let call = call.config().timeout_global(limit).build();
            call.send(body).map(|answer| drop(answer.into_body()))
        });
        fixture.gate.add_passes(3);
        wait_until("the run begins", || fixture.engine.runs().total == 1);
        // The caller has closed the connection: the stream was dropped, the whole answer timed out.
        let _ = caller.join().unwrap();
        wait_until("the cancel", || fixture.engine.runs().cancelled == 1);
        let load = get(&fixture.engine.addr(), "/metrics").bytes();
        let load = String::from_utf8(load).unwrap();
        assert!(load.contains("num_requests_running{model_name=\"prairie-draft\"} 0"));
        assert_eq!(fixture.engine.runs().completed, 0);
    }
}

#[test]
fn a_stream_resumes_after_the_last_token_received() {
    let fixture = ungated();
    let tokens = answer::tokens(&fixture.digest, "hello", 6);
    let mut body = completion("hello", 6, true);
    let path = "/v1/completions";
    let headers = [("Last-Event-ID", "2")];
    let resumed = post_with(&fixture.engine.addr(), path, &body, &headers);
    assert_eq!(
        token_text(&event_data(resumed.into_reader())),
        tokens[3..].concat()
    );
    body["resume_from"] = json!(5);
    let resumed = post(&fixture.engine.addr(), path, &body);
    assert_eq!(token_text(&event_data(resumed.into_reader())), tokens[5]);
}

#[test]
fn runs_are_counted_by_request_and_key() {
    let fixture = ungated();
    let headers = [("x-request-id", "r1"), ("Idempotency-Key", "k1")];
    for _ in 0..2 {
        let body = completion("hello", 1, false);
        post_with(&fixture.engine.addr(), "/v1/completions", &body, &headers).json();
    }
    let runs = get(&fixture.engine.addr(), "/admin/runs").json();
    assert_eq!(runs["by_request"]["r1"], 2);
    assert_eq!(runs["by_key"]["k1"], 2);
    assert_eq!(fixture.engine.runs().completed, 2);
}

#[test]
fn an_invalid_request_is_refused_and_does_not_run() {
    let fixture = ungated();
    let path = "/v1/completions";
    let status = |body: &Value| post(&fixture.engine.addr(), path, body).status();
    assert_eq!(status(&json!({"prompt": "no model"})), 400);
    assert_eq!(status(&json!({"model": "other", "prompt": "x"})), 404);
    assert_eq!(status(&completion("x", 0, false)), 400);
    assert_eq!(status(&completion(&"x".repeat(5 << 20), 1, false)), 413);
    assert_eq!(get(&fixture.engine.addr(), "/nowhere").status(), 404);
    assert_eq!(fixture.engine.runs().total, 0);
}

#[test]
fn a_full_queue_refuses_with_a_retry_after_header() {
    let fixture = gated(|config| {
        config.slots = 1;
        config.queue = 1;
    });
    let first = post(
        &fixture.engine.addr(),
        "/v1/completions",
        &completion("a", 9, true),
    );
    let second = post(
        &fixture.engine.addr(),
        "/v1/completions",
        &completion("b", 9, true),
    );
    assert_eq!(second.status(), 429);
    assert_eq!(second.header("Retry-After"), Some("1"));
    assert_eq!(fixture.engine.runs().total, 1);
    fixture.gate.open();
    assert_eq!(event_data(first.into_reader()).last().unwrap(), "[DONE]");
}

#[test]
fn a_cached_prefix_shortens_the_prefill() {
    let fixture = gated(|config| config.prefill_blocks = 1);
    let words: Vec<String> = (0..64).map(|n| format!("w{n}")).collect();
    let body = completion(&words.join(" "), 1, true);
    fixture.gate.add_passes(5); // Four blocks and one token.
    let first = post(&fixture.engine.addr(), "/v1/completions", &body);
    assert_eq!(event_data(first.into_reader()).len(), 3);
    fixture.gate.add_passes(2); // At least one step of prefill and one token.
    let again = post(&fixture.engine.addr(), "/v1/completions", &body);
    assert_eq!(event_data(again.into_reader()).len(), 3);
    let events = get(&fixture.engine.addr(), "/cache/events?after=1").json();
    assert_eq!(events["events"].as_array().unwrap().len(), 3);

    let export = json!({"prompt": words.join(" ")});
    let moved = post(&fixture.engine.addr(), "/kv/export", &export).json();
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
fn a_gate_takes_passes_over_http() {
    let fixture = gated(|_| {});
    let steps = json!({"steps": 2});
    post(&fixture.engine.addr(), "/admin/steps", &steps);
    let body = completion("hello", 1, false);
    assert_eq!(
        post(&fixture.engine.addr(), "/v1/completions", &body).status(),
        200
    );
    let timed = Engine::start(EngineConfig::default()).unwrap();
    assert_eq!(post(&timed.addr(), "/admin/steps", &steps).status(), 409);
}

// One answer is cut after two tokens, the other stalls after two. In both cases the caller gets two tokens
// and no last event, so that it cannot mistake either for a complete answer.
#[test]
fn cut_and_stalled_answers_never_look_complete() {
    let fixture = ungated();
    let url = format!("http://{}/v1/completions", fixture.engine.addr());
    let body = completion("hello", 5, true).to_string();
    for stalls in [false, true] {
        fixture.engine.set_faults(EngineFaults {
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
        // A cut closes the connection; a stall lasts until the caller's timeout.
        let error = end.expect("the body must not end well").unwrap_err();
        let gave_up = error.to_string().starts_with("timeout");
        assert_eq!(gave_up, stalls, "{error}");
        assert!(read.contains(&"id: 1".to_owned()) && !read.contains(&"id: 2".to_owned()));
        assert!(!read.iter().any(|line| line.contains("[DONE]")));
    }
}

#[test]
fn an_injected_refusal_runs_nothing() {
    let fixture = ungated();
    let refuse = json!({"refuse": true});
    assert_eq!(
        post(&fixture.engine.addr(), "/admin/faults", &refuse).status(),
        200
    );
    let refused = post(
        &fixture.engine.addr(),
        "/v1/completions",
        &completion("x", 1, false),
    );
    assert_eq!(
        (refused.status(), refused.header("Retry-After")),
        (503, Some("1"))
    );
    assert_eq!(fixture.engine.runs().total, 0);
    let unknown = json!({"refuze": true});
    assert_eq!(
        post(&fixture.engine.addr(), "/admin/faults", &unknown).status(),
        400
    );
}
