//! A system whose engines serve one model, and a client for its streamed answers.

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

/// The number of tokens of a streamed answer, long enough for a fault to occur during it.
pub const ANSWER_TOKENS: usize = 60;

/// A system whose engines serve one model.
pub struct ServedModel {
    /// The processes' settings, keys and data.
    pub system: System,
    /// The entries, in the order of `system.entries`.
    pub entries: Vec<Process>,
    /// The agents, in the order of `engines`.
    pub agents: Vec<Process>,
    /// The model engines.
    pub engines: Vec<Process>,
    /// The weights of the served version.
    pub weights: Weights,
    /// The served version.
    pub version: String,
    _origin: Process,
}

impl ServedModel {
    /// Starts three entries, an origin and `targets` engines with their agents; all engines serve.
    pub fn start(targets: usize) -> Self {
        Self::start_replicas(targets, targets)
    }

    /// Starts the same with `replicas` of the `targets` engines serving.
    pub fn start_replicas(targets: usize, replicas: usize) -> Self {
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
        let version = system.run_command(&[
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
        system.apply(&declaration(&version, replicas, true));
        system.wait_met();
        for entry in &system.entries {
            let body = json!({ "model": "draft-model", "prompt": "hi", "max_tokens": 1 });
            post(entry.http, "/v1/completions", &[], &body.to_string());
        }
        Self {
            system,
            entries,
            agents,
            engines,
            weights,
            version,
            _origin: origin,
        }
    }
}

/// Sends a streamed request, calls `on_first_token` when the first token arrives, and returns the whole text.
pub fn stream_answer(
    entry: SocketAddr,
    prompt: &str,
    on_first_token: impl FnOnce(),
) -> Result<String, String> {
    let body = json!({
        "model": "draft-model", "prompt": prompt, "max_tokens": ANSWER_TOKENS, "stream": true,
    });
    let response = ureq::post(format!("http://{entry}/v1/completions"))
        .header("authorization", format!("Bearer {CALLER_KEY}"))
        .send(body.to_string().as_bytes())
        .map_err(|error| error.to_string())?;
    let reader = BufReader::new(response.into_body().into_reader());
    let mut text = String::new();
    let mut on_first_token = Some(on_first_token);
    let mut ended = false;
    for line in reader.lines() {
        let line = line.map_err(|error| format!("stream broken off: {error}"))?;
        let Some(data) = line.strip_prefix("data: ") else {
            continue;
        };
        if let Some(on_first_token) = on_first_token.take() {
            on_first_token();
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
        Err("the stream has no [DONE] event".into())
    }
}
