//! The whole path from publishing weights to an answer, with each part in its own process.

use std::io::BufRead;
use std::io::BufReader;

use serde_json::Value;

use crate::support::CALLER_KEY;
use crate::support::Process;
use crate::support::System;
use crate::support::completion_text;
use crate::support::declaration;
use crate::support::post;

/// Three targets load the published weights from the origin and from each other, and each answer is
/// exactly the one that these weights produce.
#[test]
fn weights_reach_three_targets_and_answers_are_exact() {
    let system = System::new(3);
    let _entries = system.start_entries();
    let weights = system.weights(1, 3 << 20);
    let origin = Process::start(&["stand-in", "origin", weights.dir()]);
    let url = format!("http://{}", origin.addr("listening"));
    let mut processes = Vec::new();
    for n in 0..3 {
        let engine = Process::start(&["stand-in", "engine", "--step-ms", "2"]);
        let addr = engine.addr("listening");
        processes.push(engine);
        processes.push(system.start_agent(&format!("engine-{n}"), "engine", addr, "role=llm"));
    }
    let dir = weights.dir();
    let version = system.run_command(&[
        "publish",
        dir,
        "--model",
        "draft-model",
        "--origin",
        &url,
        "--chunk-size",
        "64KiB",
    ]);
    system.wait_status("three targets", |status| {
        status["targets"]
            .as_array()
            .is_some_and(|targets| targets.len() == 3)
    });
    system.apply(&declaration(&version, 3, true));
    system.wait_met();

    for n in 0..12 {
        let entry = &system.entries[n % 3];
        let prompt = format!("pack list for flat {n}");
        let body = serde_json::json!({ "model": "draft-model", "prompt": prompt, "max_tokens": 9 });
        let answer = post(entry.http, "/v1/completions", &[], &body.to_string());
        assert_eq!(answer.status, 200, "{}", answer.text());
        assert_eq!(answer.header("x-filbertstack-version"), version);
        assert_eq!(completion_text(&answer), weights.answer(&prompt, 9));
    }
}

/// The first token of a streamed answer reaches the caller before the engine has produced the last one.
#[test]
fn the_first_token_arrives_before_the_last_is_produced() {
    let system = System::new(1);
    let _entries = system.start_entries();
    let weights = system.weights(2, 1 << 20);
    let origin = Process::start(&["stand-in", "origin", weights.dir()]);
    let url = format!("http://{}", origin.addr("listening"));
    let engine = Process::start(&["stand-in", "engine", "--step-ms", "40"]);
    let addr = engine.addr("listening");
    let _agent = system.start_agent("engine-0", "engine", addr, "role=llm");
    let dir = weights.dir();
    let version = system.run_command(&["publish", dir, "--model", "draft-model", "--origin", &url]);
    system.wait_status("one target", |status| {
        status["targets"]
            .as_array()
            .is_some_and(|targets| targets.len() == 1)
    });
    system.apply(&declaration(&version, 1, true));
    system.wait_met();

    let short = serde_json::json!({ "model": "draft-model", "prompt": "hi", "max_tokens": 1 });
    post(
        system.entries[0].http,
        "/v1/completions",
        &[],
        &short.to_string(),
    );
    let before = run_counts(addr)["completed"].as_u64().expect("a count");

    let prompt = "a long answer";
    let body = serde_json::json!({
        "model": "draft-model", "prompt": prompt, "max_tokens": 50, "stream": true,
    });
    let response = ureq::post(format!("http://{}/v1/completions", system.entries[0].http))
        .header("authorization", format!("Bearer {CALLER_KEY}"))
        .send(body.to_string().as_bytes())
        .expect("an answer");
    let reader = BufReader::new(response.into_body().into_reader());
    let mut text = String::new();
    let mut completed_at_first = None;
    for line in reader.lines() {
        let line = line.expect("a whole stream");
        let Some(data) = line.strip_prefix("data: ") else {
            continue;
        };
        if completed_at_first.is_none() {
            completed_at_first = Some(run_counts(addr)["completed"].as_u64());
        }
        if data == "[DONE]" {
            break;
        }
        let event: Value = serde_json::from_str(data).expect("JSON");
        text.push_str(event["choices"][0]["text"].as_str().unwrap_or_default());
    }
    assert_eq!(
        completed_at_first,
        Some(Some(before)),
        "the engine had completed the request at the first token"
    );
    assert_eq!(run_counts(addr)["completed"].as_u64(), Some(before + 1));
    assert_eq!(text, weights.answer(prompt, 50));
}

/// Returns the run counts of an engine.
fn run_counts(engine: std::net::SocketAddr) -> Value {
    let mut response = ureq::get(format!("http://{engine}/admin/runs"))
        .call()
        .expect("answers");
    let text = response.body_mut().read_to_string().expect("a body");
    serde_json::from_str(&text).expect("JSON")
}

// The entry and the agent report metrics of a request, and the agent writes a span for each of its hops
// under the caller's trace id.
#[test]
fn metrics_and_spans_follow_a_request() {
    let system = System::new(1);
    let _entries = system.start_entries();
    let service = Process::start(&["stand-in", "service", "casework"]);
    let metrics_addr = system.free_addr();
    let path = system.agent_settings("desk-0", "service", service.addr("listening"), "role=desk");
    let settings = std::fs::read_to_string(&path).expect("written");
    let settings = settings
        .replace("[target]", &format!("metrics = {metrics_addr}\n[target]"))
        .replace("[telemetry]", "[telemetry]\ntrace-file = spans.json");
    std::fs::write(&path, settings).expect("written");
    let mut agent = Process::start(&["agent", "--settings", path.to_str().expect("UTF-8")]);
    system.wait_status("the desk", |status| {
        status["targets"]
            .as_array()
            .is_some_and(|targets| targets.len() == 1)
    });
    system.apply("[rule all]\npath = /case/\ninstances = role=desk\nidempotent = true\n");
    let trace = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01";
    let addr = system.entries[0].http;
    let answer = post(addr, "/case/1", &[("traceparent", trace)], "what of flat 1");
    assert_eq!(answer.status, 200, "{}", answer.text());

    let entry = scrape_metrics(addr);
    assert!(
        entry.contains("entry_requests_total{outcome=\"ran\""),
        "{entry}"
    );
    let at_agent = scrape_metrics(metrics_addr);
    assert!(
        at_agent.contains("agent_gate_total{decision=\"pass\""),
        "{at_agent}"
    );
    agent.signal("TERM");
    assert!(agent.wait().success());
    let spans = std::fs::read_to_string(system.dir.path().join("spans.json")).expect("spans");
    for hop in ["agent.gate", "agent.service"] {
        let found = spans
            .lines()
            .any(|span| span.contains(hop) && span.contains("0af7651916cd43dd8448eb211c80319c"));
        assert!(
            found,
            "no span of {hop} with the caller's trace id: {spans}"
        );
    }
}

/// Returns the metrics page of a process.
fn scrape_metrics(addr: std::net::SocketAddr) -> String {
    let mut response = ureq::get(format!("http://{addr}/metrics"))
        .call()
        .expect("answers");
    response.body_mut().read_to_string().expect("a body")
}
