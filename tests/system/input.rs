//! What callers and strangers send wrong: each gets its clear error, and the process goes on.

use std::io::Read;
use std::io::Write;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use filbertstack_standins::Engine;
use filbertstack_standins::EngineConfig;
use filbertstack_standins::engine::Pace;
use filbertstack_standins::engine::StepGate;
use serde_json::json;

use crate::support::CALLER_KEY;
use crate::support::PATIENCE;
use crate::support::Process;
use crate::support::System;
use crate::support::completion_text;
use crate::support::declaration;
use crate::support::post;
use crate::support::try_post;

/// Longer than the entry waits for a body, the slowest of its own limits.
const SLOW: Duration = Duration::from_secs(30);

/// Sends raw bytes and returns all that comes back until the entry closes the connection.
fn raw(addr: SocketAddr, bytes: &[u8]) -> String {
    let mut socket = TcpStream::connect(addr).expect("connects");
    socket.set_read_timeout(Some(SLOW)).expect("set");
    // The entry may close before it has read all of it.
    let _ = socket.write_all(bytes);
    let mut answer = Vec::new();
    let _ = socket.read_to_end(&mut answer);
    String::from_utf8_lossy(&answer).into_owned()
}

fn status_line(answer: &str) -> &str {
    answer.lines().next().unwrap_or_default()
}

fn request(body_length: usize, body: &str) -> String {
    format!(
        "POST /v1/completions HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {CALLER_KEY}\r\n\
         content-type: application/json\r\ncontent-length: {body_length}\r\n\r\n{body}"
    )
}

// Each wrong request gets its own status and a message; the next good question is answered.
// Malformed lines, a head and a body over their limits, a body that never comes, a head that
// never ends, wrong and missing keys, JSON that is none, a model that nobody declared.
#[test]
fn each_wrong_request_gets_its_error_and_the_entry_goes_on() {
    let system = System::new(1);
    let _entries = system.start_entries();
    system.apply("[pool all]\nlabels = tier=large\ninstances = zone=zone-1\n");
    let addr = system.entries[0].http;
    let long_head = format!("GET / HTTP/1.1\r\nx: {}\r\n\r\n", "y".repeat(40 << 10));
    let slow: Vec<_> = [
        ("GET /v1/mod".to_owned(), "HTTP/1.1 408"),
        (request(5000, "{\"model\":"), "HTTP/1.1 408"),
    ]
    .into_iter()
    .map(|(bytes, expected)| std::thread::spawn(move || (raw(addr, bytes.as_bytes()), expected)))
    .collect();

    assert!(status_line(&raw(addr, b"nonsense\r\n\r\n")).starts_with("HTTP/1.1 400"));
    let refused = raw(addr, long_head.as_bytes());
    assert!(
        status_line(&refused).starts_with("HTTP/1.1 431"),
        "{refused}"
    );
    let refused = raw(addr, request(64 << 20, "x").as_bytes());
    assert!(
        status_line(&refused).starts_with("HTTP/1.1 413"),
        "{refused}"
    );
    let wrong = raw(
        addr,
        b"GET /v1/models HTTP/1.1\r\nauthorization: Bearer nobody\r\n\r\n",
    );
    assert!(status_line(&wrong).starts_with("HTTP/1.1 401"), "{wrong}");
    let missing = raw(addr, b"GET /v1/models HTTP/1.1\r\nhost: x\r\n\r\n");
    assert!(
        status_line(&missing).starts_with("HTTP/1.1 401"),
        "{missing}"
    );
    let no_operator = raw(
        addr,
        request(2, "{}")
            .replace("/v1/completions", "/operator/apply")
            .as_bytes(),
    );
    assert!(
        status_line(&no_operator).starts_with("HTTP/1.1 401"),
        "{no_operator}"
    );
    let answer = try_post(addr, "/v1/completions", &[], "{not json").expect("an answer");
    assert_eq!(answer.status, 400, "{}", answer.text());
    let body = json!({ "model": "nobody-declared-it", "prompt": "x" }).to_string();
    let answer = try_post(addr, "/v1/completions", &[], &body).expect("an answer");
    assert_eq!(answer.status, 404, "{}", answer.text());
    assert_eq!(answer.header("x-filbertstack-outcome"), "not-run");

    for thread in slow {
        let (answer, expected) = thread.join().expect("ends");
        assert!(status_line(&answer).starts_with(expected), "{answer:?}");
    }
    let models = format!("GET /v1/models HTTP/1.1\r\nauthorization: Bearer {CALLER_KEY}\r\n\r\n");
    assert!(status_line(&raw(addr, models.as_bytes())).starts_with("HTTP/1.1 200"));
}

// Strangers on the port for links see it close; the voters go on.
// Random bytes, a huge length, a connection that says nothing, and one that is closed at once.
#[test]
fn strangers_on_the_links_change_nothing() {
    let system = System::new(1);
    let _entries = system.start_entries();
    let links = system.entries[0].links;
    let mut silent = Vec::new();
    for n in 0..20_u8 {
        let mut socket = TcpStream::connect(links).expect("connects");
        let _ = match n % 4 {
            0 => socket.write_all(&[0xff; 64]),
            1 => socket.write_all(&[0, 0, 0, 4, n, n, n, n]),
            2 => socket.shutdown(Shutdown::Both),
            _ => Ok(()),
        };
        silent.push(socket);
    }
    system.apply("[pool all]\nlabels = tier=large\ninstances = zone=zone-1\n");
    for mut socket in silent {
        socket.set_read_timeout(Some(PATIENCE)).expect("set");
        let mut rest = Vec::new();
        // An end or a reset: either way the entry has closed it.
        let _ = socket.read_to_end(&mut rest);
    }
}

// Each of twelve callers is at the engine while none of the others has its answer.
// The engine makes no step until all have come. A caller whose connection shared a thread with
// another's would wait for that other answer's end, which does not come.
#[test]
fn no_caller_waits_for_another_callers_answer() {
    const CALLERS: u64 = 12;
    let system = System::new(1);
    let _entries = system.start_entries();
    let weights = system.weights(7, 1 << 16);
    let origin = Process::start(&["stand-in", "origin", weights.dir()]);
    let url = format!("http://{}", origin.addr("listening"));
    let gate = Arc::new(StepGate::default());
    let config = EngineConfig {
        pace: Pace::Gated(gate.clone()),
        ..EngineConfig::default()
    };
    let engine = Engine::start(config).expect("starts");
    let _agent = system.start_agent("engine-0", "engine", engine.addr(), "role=llm");
    let publish = [
        "publish",
        weights.dir(),
        "--model",
        "draft-model",
        "--origin",
        &url,
    ];
    let version = system.operate(&publish);
    system.wait_status("the target", |status| {
        status["targets"]
            .as_array()
            .is_some_and(|targets| targets.len() == 1)
    });
    system.apply(&declaration(&version, 1, true));
    system.wait_met();
    let addr = system.entries[0].http;
    std::thread::scope(|scope| {
        let callers: Vec<_> = (0..CALLERS)
            .map(|n| {
                scope.spawn(move || {
                    let prompt = format!("caller {n}");
                    let body = json!({
                        "model": "draft-model", "prompt": prompt, "max_tokens": 3,
                    });
                    let answer = post(addr, "/v1/completions", &[], &body.to_string());
                    (prompt, answer)
                })
            })
            .collect();
        let until = Instant::now() + PATIENCE;
        while engine.runs().total < CALLERS {
            let at_engine = engine.runs().total;
            assert!(
                Instant::now() < until,
                "only {at_engine} of {CALLERS} came to the engine"
            );
            std::thread::sleep(Duration::from_millis(20));
        }
        assert_eq!(engine.runs().completed, 0);
        gate.open();
        for caller in callers {
            let (prompt, answer) = caller.join().expect("an answer");
            assert_eq!(completion_text(&answer), weights.answer(&prompt, 3));
        }
    });
}
