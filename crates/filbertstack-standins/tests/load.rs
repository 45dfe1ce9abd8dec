//! Tests how the load tool classifies the answers of scripted entries.

mod common;

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use filbertstack_core::Digest;
use filbertstack_standins::Service;
use filbertstack_standins::ServiceConfig;
use filbertstack_standins::answer;
use filbertstack_standins::engine::StepGate;
use filbertstack_standins::http::ANY_ADDR;
use filbertstack_standins::http::Call;
use filbertstack_standins::http::Handler;
use filbertstack_standins::http::HttpServer;
use filbertstack_standins::http::Reply;
use filbertstack_standins::load;
use filbertstack_standins::load::Arrivals;
use filbertstack_standins::load::LoadConfig;
use filbertstack_standins::load::LoadReport;
use filbertstack_standins::load::Organisation;
use filbertstack_standins::load::Plan;
use filbertstack_standins::load::RequestKind;
use filbertstack_standins::load::Version;
use serde_json::Value;
use serde_json::json;

const MODEL: &str = "prairie-draft";
const VERSION: &str = "x-filbertstack-version";
const OUTCOME: &str = "x-filbertstack-outcome";

fn weights() -> Digest {
    Digest::of(b"weights")
}

/// The reaction of a scripted entry to one request.
#[derive(Clone)]
enum Action {
    /// Sends the correct answer.
    Correct,
    /// Sends the correct answer under this version.
    OtherVersion(&'static str),
    /// Sends the correct answer without a version.
    NoVersion,
    /// Sends the answer to another prompt.
    OtherPrompt,
    /// Sends this many tokens and closes the connection.
    Cut(usize),
    /// Sends this many tokens and ends the body without the last event.
    MissingEnd(usize),
    /// Refuses with a status, an outcome and a `Retry-After` in seconds.
    Refuse(u16, Option<&'static str>, Option<u64>),
    /// Sends the correct answer once the gate opens.
    Hold(Arc<StepGate>),
}

/// The reactions of a scripted entry and what it received.
struct Script {
    actions: Mutex<VecDeque<Action>>,
    entries: Mutex<Vec<SocketAddr>>,
    entry_fetches: Mutex<u32>,
    max_age_s: f64,
}

impl Handler for Script {
    fn handle(&self, mut call: Call) {
        assert_eq!(call.header("Authorization"), Some("Bearer acme-key"));
        if call.path() == "/v1/entries" {
            *self.entry_fetches.lock().unwrap() += 1;
            let entries = self.entries.lock().unwrap().clone();
            let entries: Vec<Value> = entries.iter().map(|addr| json!({"addr": addr})).collect();
            let body = json!({"entries": entries, "max_age_s": self.max_age_s});
            return call.reply(Reply::json(200, &body));
        }
        let body: Value = call.json().unwrap();
        let action = self.actions.lock().unwrap().pop_front();
        perform(action.unwrap_or(Action::Correct), call, &body);
    }
}

fn perform(action: Action, call: Call, body: &Value) {
    let prompt = body["prompt"].as_str().unwrap();
    match action {
        Action::Correct => send(call, body, prompt, Some("v1"), None),
        Action::OtherVersion(version) => send(call, body, prompt, Some(version), None),
        Action::NoVersion => send(call, body, prompt, None, None),
        Action::OtherPrompt => send(call, body, "somebody else's", Some("v1"), None),
        Action::Cut(tokens) => send(call, body, prompt, Some("v1"), Some((tokens, false))),
        Action::MissingEnd(tokens) => send(call, body, prompt, Some("v1"), Some((tokens, true))),
        Action::Hold(gate) => {
            gate.take_pass();
            send(call, body, prompt, Some("v1"), None);
        }
        Action::Refuse(status, outcome, retry_after) => {
            let mut reply = Reply::error(status, "refused", "scripted");
            reply
                .headers
                .extend(outcome.map(|text| (OUTCOME, text.to_owned())));
            reply
                .headers
                .extend(retry_after.map(|s| ("Retry-After", s.to_string())));
            call.reply(reply);
        }
    }
}

/// Sends an answer. `cut` ends it after a number of tokens, with the end of the body if its flag is set.
fn send(call: Call, body: &Value, prompt: &str, version: Option<&str>, cut: Option<(usize, bool)>) {
    let max_tokens = usize::try_from(body["max_tokens"].as_u64().unwrap()).unwrap();
    let headers = version.map(|version| (VERSION, version.to_owned()));
    let headers: Vec<_> = headers.into_iter().collect();
    let tokens = answer::tokens(&weights(), prompt, max_tokens);
    if body["stream"] == false {
        let mut reply = Reply::json(200, &json!({"choices": [{"text": tokens.concat()}]}));
        reply.headers = headers;
        return call.reply(reply);
    }
    let mut writer = call.stream("text/event-stream", &headers).unwrap();
    let (limit, finish) = cut.unwrap_or((max_tokens, true));
    for token in &tokens[..limit] {
        let event = json!({"choices": [{"text": token}]});
        writer
            .send(format!("data: {event}\n\n").as_bytes())
            .unwrap();
    }
    if cut.is_none() {
        writer.send(b"data: [DONE]\n\n").unwrap();
    }
    if finish {
        writer.finish().unwrap();
    }
}

/// A running scripted entry.
struct ScriptedEntry {
    server: HttpServer,
    script: Arc<Script>,
}

impl ScriptedEntry {
    fn new(actions: impl IntoIterator<Item = Action>, max_age_s: f64) -> Self {
        let script = Arc::new(Script {
            actions: Mutex::new(actions.into_iter().collect()),
            entries: Mutex::default(),
            entry_fetches: Mutex::new(0),
            max_age_s,
        });
        let server = HttpServer::start(ANY_ADDR, script.clone()).unwrap();
        *script.entries.lock().unwrap() = vec![server.addr()];
        Self { server, script }
    }

    /// Returns settings of one caller that makes `requests` requests in sequence.
    fn config(&self, requests: u64) -> LoadConfig {
        LoadConfig {
            bootstrap: vec![self.server.addr()],
            organisations: vec![Organisation::new("acme", "acme-key")],
            versions: vec![Version {
                digest: "v1".to_owned(),
                weights: weights(),
            }],
            arrivals: Arrivals::Closed { callers: 1 },
            max_tokens: 4..=4,
            requests,
            ..LoadConfig::new(MODEL)
        }
    }
}

/// Runs one request that gets the reaction `action` and returns the report.
fn run_one(action: Action, stream: f64) -> LoadReport {
    let entry = ScriptedEntry::new([action], 60.0);
    let config = LoadConfig {
        stream,
        ..entry.config(1)
    };
    load::run(&config)
}

/// Returns the counts of all classes in a fixed order.
fn classes(report: &LoadReport) -> [u64; 6] {
    [
        report.exact,
        report.wrong,
        report.truncated,
        report.not_run,
        report.unknown,
        report.errors,
    ]
}

const EXACT: [u64; 6] = [1, 0, 0, 0, 0, 0];
const WRONG: [u64; 6] = [0, 1, 0, 0, 0, 0];
const TRUNCATED: [u64; 6] = [0, 0, 1, 0, 0, 0];
const NOT_RUN: [u64; 6] = [0, 0, 0, 1, 0, 0];
const UNKNOWN: [u64; 6] = [0, 0, 0, 0, 1, 0];
const ERROR: [u64; 6] = [0, 0, 0, 0, 0, 1];

#[test]
fn answers_are_classified() {
    let cases = [
        ("correct, streamed", Action::Correct, 1.0, EXACT),
        ("correct, whole", Action::Correct, 0.0, EXACT),
        ("of another version", Action::OtherVersion("v0"), 1.0, WRONG),
        ("of no version", Action::NoVersion, 1.0, WRONG),
        (
            "to another prompt, streamed",
            Action::OtherPrompt,
            1.0,
            WRONG,
        ),
        ("to another prompt, whole", Action::OtherPrompt, 0.0, WRONG),
        ("cut", Action::Cut(2), 1.0, TRUNCATED),
        ("cut after the last token", Action::Cut(4), 1.0, TRUNCATED),
        (
            "ended without the last event",
            Action::MissingEnd(2),
            1.0,
            TRUNCATED,
        ),
        (
            "not run",
            Action::Refuse(503, Some("not-run"), Some(1)),
            1.0,
            NOT_RUN,
        ),
        (
            "unknown",
            Action::Refuse(502, Some("unknown"), None),
            1.0,
            UNKNOWN,
        ),
        ("bare 503", Action::Refuse(503, None, None), 1.0, ERROR),
        ("bare 401", Action::Refuse(401, None, None), 0.0, ERROR),
    ];
    for (what, action, stream, expected) in cases {
        let report = run_one(action, stream);
        assert_eq!(classes(&report), expected, "{what}: {:?}", report.examples);
        assert_eq!((report.sent, report.attempts), (1, 1), "{what}");
    }
}

#[test]
fn times_and_tokens_count_exact_streams_only() {
    let entry = ScriptedEntry::new(
        [Action::Correct, Action::OtherPrompt, Action::Correct],
        60.0,
    );
    let report = load::run(&entry.config(3));
    assert_eq!((report.exact, report.wrong), (2, 1));
    assert_eq!(report.tokens, 8);
    assert_eq!(report.total.count, 2);
    assert_eq!(report.first_token.count, 2);
    assert_eq!(report.token_gap.count, 6);
    let acme = report.organisations["acme"];
    assert_eq!((acme.sent, acme.exact, acme.other), (3, 2, 1));
    let text = serde_json::to_string(&report).unwrap();
    assert_eq!(serde_json::from_str::<LoadReport>(&text).unwrap(), report);
}

// An entry refuses a request as not run, once with `Retry-After` and once without. The caller's retries
// lead to the answer. The refusal without the header is counted, since each such refusal must state
// when to retry.
#[test]
fn not_run_refusals_are_retried() {
    let refusals = [
        Action::Refuse(503, Some("not-run"), Some(0)),
        Action::Refuse(429, Some("not-run"), None),
    ];
    let entry = ScriptedEntry::new(refusals, 60.0);
    let config = LoadConfig {
        retries: 2,
        ..entry.config(1)
    };
    let report = load::run(&config);
    assert_eq!(classes(&report), EXACT);
    assert_eq!((report.attempts, report.no_return_time), (3, 1));
}

// The answer does not come within the deadline, so that the caller cannot know whether the request ran.
#[test]
fn an_answer_after_the_deadline_is_unknown() {
    let gate = Arc::new(StepGate::default());
    let entry = ScriptedEntry::new([Action::Hold(gate.clone())], 60.0);
    let config = LoadConfig {
        deadline: Duration::from_millis(50),
        ..entry.config(1)
    };
    let report = load::run(&config);
    gate.open();
    assert_eq!(classes(&report), UNKNOWN);
}

// One of the two entries in the list is down. No request may fail for that reason: a failed connection
// has sent nothing, so that the caller may use the other entry.
#[test]
fn an_unreachable_entry_fails_no_request() {
    let stopped = HttpServer::start(ANY_ADDR, Arc::new(CutHandler))
        .unwrap()
        .addr();
    let entry = ScriptedEntry::new([], 60.0);
    entry.script.entries.lock().unwrap().push(stopped);
    let report = load::run(&entry.config(20));
    assert_eq!(report.exact, 20);
    assert!(report.unreached > 0);
}

struct CutHandler;

impl Handler for CutHandler {
    fn handle(&self, call: Call) {
        call.cut();
    }
}

#[test]
fn expired_addresses_are_fetched_again() {
    for (max_age_s, fetches) in [(60.0, 1), (0.0, 3)] {
        let entry = ScriptedEntry::new([], max_age_s);
        assert_eq!(load::run(&entry.config(3)).exact, 3);
        assert_eq!(*entry.script.entry_fetches.lock().unwrap(), fetches);
    }
}

// Four requests wait for their answers. An open loop must keep sending up to its bound and count the
// requests beyond it, whereas a closed loop would wait.
#[test]
fn an_open_loop_does_not_wait_for_answers() {
    let gate = Arc::new(StepGate::default());
    let entry = ScriptedEntry::new((0..50).map(|_| Action::Hold(gate.clone())), 60.0);
    let config = LoadConfig {
        arrivals: Arrivals::Open { per_second: 2000.0 },
        max_in_flight: 4,
        ..entry.config(50)
    };
    let opener = std::thread::spawn(move || {
        let script = &entry.script;
        common::wait_until("four requests in flight", || {
            script.actions.lock().unwrap().len() <= 46
        });
        gate.open();
        entry
    });
    let report = load::run(&config);
    drop(opener.join().unwrap());
    assert_eq!(report.exact + report.overrun, 50);
    assert!(report.exact >= 4);
    assert_eq!(report.sent, report.exact);
}

#[test]
fn bookings_and_lookups_must_be_echoed() {
    let service = Service::start(ServiceConfig::new("move-in-desk")).unwrap();
    let kind_fields = |service: &str, path: &str| (service.to_owned(), path.to_owned());
    let (service_name, path) = kind_fields("move-in-desk", "/bookings");
    let config = LoadConfig {
        bootstrap: vec![service.addr()],
        organisations: vec![Organisation::new("acme", "acme-key")],
        kinds: vec![
            (
                1,
                RequestKind::Booking {
                    service: service_name.clone(),
                    path: path.clone(),
                },
            ),
            (
                1,
                RequestKind::Lookup {
                    service: service_name,
                    path,
                },
            ),
        ],
        requests: 40,
        ..LoadConfig::new(MODEL)
    };
    let report = load::run(&config);
    assert_eq!(report.exact, 40, "{:?}", report.examples);
    let runs = service.runs();
    assert_eq!(runs.most_by_key(), 1);
    assert!(!runs.by_key.is_empty() && runs.by_key.len() < 40);

    let (service_name, path) = kind_fields("casework", "/bookings");
    let other = vec![(
        1,
        RequestKind::Booking {
            service: service_name,
            path,
        },
    )];
    let config = LoadConfig {
        kinds: other,
        requests: 1,
        ..config
    };
    assert_eq!(classes(&load::run(&config)), WRONG);
}

#[test]
fn plans_depend_on_the_seed() {
    let config = LoadConfig {
        organisations: vec![Organisation::new("a", "k"), Organisation::new("b", "k")],
        kinds: vec![(1, RequestKind::Completion), (1, RequestKind::Chat)],
        ..LoadConfig::new(MODEL)
    };
    let bodies = |config: &LoadConfig| -> Vec<String> {
        let plan = Plan::new(config);
        (0..50).map(|n| plan.request(n).body).collect()
    };
    assert_eq!(bodies(&config), bodies(&config));
    let other = LoadConfig {
        seed: 2,
        ..config.clone()
    };
    assert_ne!(bodies(&config), bodies(&other));
    let plan = Plan::new(&config);
    let of_second = (0..1000)
        .filter(|n| plan.request(*n).organisation == 1)
        .count();
    assert!((400..600).contains(&of_second), "{of_second}");
}
