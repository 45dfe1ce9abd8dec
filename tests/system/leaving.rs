//! Planned stops cut nothing off, and leave nothing new behind.

use std::io::BufRead;
use std::io::BufReader;
use std::net::SocketAddr;

use serde_json::Value;
use serde_json::json;

use crate::support::CALLER_KEY;
use crate::support::Process;
use crate::support::System;
use crate::support::Weights;
use crate::support::declaration;
use crate::support::post;

/// An answer that is long enough to be in progress when the stop comes.
const TOKENS: usize = 60;

struct Served {
    system: System,
    entries: Vec<Process>,
    agents: Vec<Process>,
    engines: Vec<Process>,
    weights: Weights,
    _origin: Process,
}

/// A system with `targets` engines that serve one model.
fn served(targets: usize) -> Served {
    let system = System::new(3);
    let entries = system.start_entries();
    let weights = system.weights(3, 1 << 20);
    let origin = Process::start(&["stand-in", "origin", weights.dir()]);
    let url = format!("http://{}", origin.addr("listening"));
    let (mut agents, mut engines) = (Vec::new(), Vec::new());
    for n in 0..targets {
        let engine = Process::start(&["stand-in", "engine", "--step-ms", "20"]);
        let addr = engine.addr("listening");
        agents.push(system.start_agent(&format!("engine-{n}"), "engine", addr, "role=llm"));
        engines.push(engine);
    }
    let version = system.operate(&[
        "publish",
        weights.dir(),
        "--model",
        "draft-model",
        "--origin",
        &url,
    ]);
    system.wait_status("the targets", |status| {
        status["targets"]
            .as_array()
            .is_some_and(|known| known.len() == targets)
    });
    system.apply(&declaration(&version, targets, true));
    system.wait_met();
    for entry in &system.entries {
        let body = json!({ "model": "draft-model", "prompt": "hi", "max_tokens": 1 });
        post(entry.http, "/v1/completions", &[], &body.to_string());
    }
    Served {
        system,
        entries,
        agents,
        engines,
        weights,
        _origin: origin,
    }
}

/// Starts a streamed request, calls `at_first` at its first token, and returns the whole text.
fn stream(entry: SocketAddr, prompt: &str, at_first: impl FnOnce()) -> Result<String, String> {
    let body = json!({
        "model": "draft-model", "prompt": prompt, "max_tokens": TOKENS, "stream": true,
    });
    let response = ureq::post(format!("http://{entry}/v1/completions"))
        .header("authorization", format!("Bearer {CALLER_KEY}"))
        .send(body.to_string().as_bytes())
        .map_err(|error| error.to_string())?;
    let reader = BufReader::new(response.into_body().into_reader());
    let mut text = String::new();
    let mut at_first = Some(at_first);
    let mut ended = false;
    for line in reader.lines() {
        let line = line.map_err(|error| format!("cut: {error}"))?;
        let Some(data) = line.strip_prefix("data: ") else {
            continue;
        };
        if let Some(at_first) = at_first.take() {
            at_first();
        }
        if data == "[DONE]" {
            ended = true;
            continue;
        }
        let event: Value = serde_json::from_str(data).map_err(|error| error.to_string())?;
        text.push_str(event["choices"][0]["text"].as_str().unwrap_or_default());
    }
    if ended {
        Ok(text)
    } else {
        Err("no end mark".into())
    }
}

// The designer's streamed answer, begun before the stop, arrives whole; the process then ends by
// itself with exit code 0.
// The entry gets SIGTERM at the answer's first token.
#[test]
fn an_entry_that_is_stopped_finishes_what_it_has() {
    let mut served = served(1);
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
    let mut served = served(2);
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

// A drained target finishes the answer in progress, and new requests go elsewhere.
#[test]
fn a_drained_target_gets_nothing_new() {
    let served = served(2);
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
