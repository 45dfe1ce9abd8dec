//! Invalid requests and connections get a clear error, and the process goes on.

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
use crate::support::Process;
use crate::support::System;
use crate::support::TEST_TIMEOUT;
use crate::support::completion_text;
use crate::support::declaration;
use crate::support::post;
use crate::support::try_post;

/// Longer than the entry's timeout for a body, which is the longest of its timeouts.
const READ_TIMEOUT: Duration = Duration::from_secs(30);

/// Sends bytes and returns everything that arrives until the entry closes the connection.
fn send_raw(addr: SocketAddr, bytes: &[u8]) -> String {
    let mut socket = TcpStream::connect(addr).expect("connects");
    socket.set_read_timeout(Some(READ_TIMEOUT)).expect("set");
    // The entry may close the connection before it has read all bytes.
    let _ = socket.write_all(bytes);
    let mut answer = Vec::new();
    let _ = socket.read_to_end(&mut answer);
    String::from_utf8_lossy(&answer).into_owned()
}

fn status_line(answer: &str) -> &str {
    answer.lines().next().unwrap_or_default()
}

fn completion_request(body_length: usize, body: &str) -> String {
    format!(
        "POST /v1/completions HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {CALLER_KEY}\r\n\
         content-type: application/json\r\ncontent-length: {body_length}\r\n\r\n{body}"
    )
}

// Each invalid request gets its own status and a message, and the next valid request is answered.
// The requests have malformed lines, a head or a body over the limit, an incomplete body or head, a
// wrong or missing key, invalid JSON, or a model that is not declared.
#[test]
fn each_wrong_request_gets_its_error_and_the_entry_goes_on() {
    let system = System::new(1);
    let _entries = system.start_entries();
    system.apply("[pool all]\nlabels = tier=large\ninstances = zone=zone-1\n");
    let addr = system.entries[0].http;
    let long_head = format!("GET / HTTP/1.1\r\nx: {}\r\n\r\n", "y".repeat(40 << 10));
    let incomplete: Vec<_> = [
        ("GET /v1/mod".to_owned(), "HTTP/1.1 408"),
        (completion_request(5000, "{\"model\":"), "HTTP/1.1 408"),
    ]
    .into_iter()
    .map(|(bytes, expected)| {
        std::thread::spawn(move || (send_raw(addr, bytes.as_bytes()), expected))
    })
    .collect();

    assert!(status_line(&send_raw(addr, b"nonsense\r\n\r\n")).starts_with("HTTP/1.1 400"));
    let refused = send_raw(addr, long_head.as_bytes());
    assert!(
        status_line(&refused).starts_with("HTTP/1.1 431"),
        "{refused}"
    );
    let refused = send_raw(addr, completion_request(64 << 20, "x").as_bytes());
    assert!(
        status_line(&refused).starts_with("HTTP/1.1 413"),
        "{refused}"
    );
    let wrong = send_raw(
        addr,
        b"GET /v1/models HTTP/1.1\r\nauthorization: Bearer nobody\r\n\r\n",
    );
    assert!(status_line(&wrong).starts_with("HTTP/1.1 401"), "{wrong}");
    let missing = send_raw(addr, b"GET /v1/models HTTP/1.1\r\nhost: x\r\n\r\n");
    assert!(
        status_line(&missing).starts_with("HTTP/1.1 401"),
        "{missing}"
    );
    let no_operator = send_raw(
        addr,
        completion_request(2, "{}")
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

    for thread in incomplete {
        let (answer, expected) = thread.join().expect("ends");
        assert!(status_line(&answer).starts_with(expected), "{answer:?}");
    }
    let models = format!("GET /v1/models HTTP/1.1\r\nauthorization: Bearer {CALLER_KEY}\r\n\r\n");
    assert!(status_line(&send_raw(addr, models.as_bytes())).starts_with("HTTP/1.1 200"));
}

// The entry closes invalid connections to the port for links, and the voters go on.
// The connections send random bytes or a huge length, send nothing, or are closed at once.
#[test]
fn invalid_link_connections_change_nothing() {
    let system = System::new(1);
    let _entries = system.start_entries();
    let links = system.entries[0].links;
    let mut sockets = Vec::new();
    for n in 0..20_u8 {
        let mut socket = TcpStream::connect(links).expect("connects");
        let _ = match n % 4 {
            0 => socket.write_all(&[0xff; 64]),
            1 => socket.write_all(&[0, 0, 0, 4, n, n, n, n]),
            2 => socket.shutdown(Shutdown::Both),
            _ => Ok(()),
        };
        sockets.push(socket);
    }
    system.apply("[pool all]\nlabels = tier=large\ninstances = zone=zone-1\n");
    for mut socket in sockets {
        socket.set_read_timeout(Some(TEST_TIMEOUT)).expect("set");
        let mut rest = Vec::new();
        // An end of file or a reset: the entry has closed the connection in both cases.
        let _ = socket.read_to_end(&mut rest);
    }
}

// Requests of twelve callers run at the engine at the same time, before any of them is answered.
// The engine makes no step until all requests have arrived. A connection that shared a thread with
// another one would wait for the end of the other answer, which does not come.
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
    let version = system.run_command(&publish);
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
        let until = Instant::now() + TEST_TIMEOUT;
        while engine.runs().total < CALLERS {
            let at_engine = engine.runs().total;
            assert!(
                Instant::now() < until,
                "only {at_engine} of {CALLERS} requests reached the engine"
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
