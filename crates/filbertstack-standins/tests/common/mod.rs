//! Helpers that the tests of the stand-ins share: weights on disk and a small HTTP client.
#![allow(dead_code, reason = "each test file uses a part of it")]

use std::fs;
use std::io::Read;
use std::net::SocketAddr;

use serde_json::Value;
use serde_json::json;
use tempfile::TempDir;
use ureq::Agent;
use ureq::http;

/// The model that the tests serve.
pub const MODEL: &str = "prairie-draft";

/// Creates a directory with two weight files whose contents depend on `seed`.
pub fn weights(seed: &str) -> TempDir {
    let dir = tempfile::tempdir().unwrap();
    fs::write(
        dir.path().join("config.json"),
        format!("{{\"v\":\"{seed}\"}}"),
    )
    .unwrap();
    let blob: Vec<u8> = seed.bytes().cycle().take(4096).collect();
    fs::write(dir.path().join("weights.bin"), blob).unwrap();
    dir
}

/// Returns the body of a completion request.
pub fn completion(prompt: &str, max_tokens: usize, stream: bool) -> Value {
    json!({"model": MODEL, "prompt": prompt, "max_tokens": max_tokens, "stream": stream})
}

/// An answer whose body has not been read.
pub struct Answer(pub http::Response<ureq::Body>);

impl Answer {
    pub fn status(&self) -> u16 {
        self.0.status().as_u16()
    }

    pub fn header(&self, name: &str) -> Option<&str> {
        self.0.headers().get(name)?.to_str().ok()
    }

    pub fn json(self) -> Value {
        serde_json::from_slice(&self.bytes()).unwrap()
    }

    pub fn bytes(mut self) -> Vec<u8> {
        self.0.body_mut().read_to_vec().unwrap()
    }

    pub fn into_reader(self) -> impl Read {
        self.0.into_body().into_reader()
    }
}

pub fn agent() -> Agent {
    Agent::config_builder()
        .http_status_as_error(false)
        .build()
        .new_agent()
}

pub fn post(addr: &SocketAddr, path: &str, body: &Value) -> Answer {
    post_with(addr, path, body, &[])
}

pub fn post_with(addr: &SocketAddr, path: &str, body: &Value, headers: &[(&str, &str)]) -> Answer {
    let mut request = agent().post(format!("http://{addr}{path}"));
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    Answer(request.send(body.to_string()).unwrap())
}

pub fn get(addr: &SocketAddr, path: &str) -> Answer {
    get_with(addr, path, &[])
}

pub fn get_with(addr: &SocketAddr, path: &str, headers: &[(&str, &str)]) -> Answer {
    let mut request = agent().get(format!("http://{addr}{path}"));
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    Answer(request.call().unwrap())
}

pub fn put(addr: &SocketAddr, path: &str, body: &[u8]) -> Answer {
    let request = agent().put(format!("http://{addr}{path}"));
    Answer(request.send(body).unwrap())
}

/// Polls until `done` returns `true`; the limit on polls only fails a test that would hang.
pub fn wait_until(what: &str, mut done: impl FnMut() -> bool) {
    for _ in 0..6_000 {
        if done() {
            return;
        }
        std::thread::sleep(std::time::Duration::from_millis(5));
    }
    panic!("never came: {what}");
}
