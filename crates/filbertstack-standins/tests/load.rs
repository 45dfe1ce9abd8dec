//! The load tool against scripted entries: what it calls what it receives.

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
use filbertstack_standins::load::Version;
use filbertstack_standins::load::Work;
use serde_json::Value;
use serde_json::json;

const MODEL: &str = "prairie-draft";
const VERSION: &str = "x-filbertstack-version";
const OUTCOME: &str = "x-filbertstack-outcome";

fn weights() -> Digest {
    Digest::of(b"weights")
}

/// What the scripted entry does with one request.
#[derive(Clone)]
enum Act {
    /// Answers rightly.
    Right,
    /// Answers rightly and names this version.
    Named(&'static str),
    /// Answers rightly and names no version.
    Unnamed,
    /// Answers another prompt.
    Crossed,
    /// Streams this many tokens and closes the connection.
    Cut(usize),
    /// Streams this many tokens and ends the body without the last event.
    Short(usize),
    /// Refuses with a status, an outcome and a time to come back.
    Refuse(u16, Option<&'static str>, Option<u64>),
    /// Answers once the gate opens.
    Hold(Arc<StepGate>),
}

struct Script {
    acts: Mutex<VecDeque<Act>>,
    entries: Mutex<Vec<SocketAddr>>,
    asked: Mutex<u32>,
    age: f64,
}

impl Handler for Script {
    fn handle(&self, mut call: Call) {
        assert_eq!(call.header("Authorization"), Some("Bearer acme-key"));
        if call.path() == "/v1/entries" {
            *self.asked.lock().unwrap() += 1;
            let entries = self.entries.lock().unwrap().clone();
            let entries: Vec<Value> = entries.iter().map(|addr| json!({"addr": addr})).collect();
            let body = json!({"entries": entries, "max_age_s": self.age});
            return call.reply(Reply::json(200, &body));
        }
        let body: Value = call.json().unwrap();
        let act = self.acts.lock().unwrap().pop_front();
        play(act.unwrap_or(Act::Right), call, &body);
    }
}

fn play(act: Act, call: Call, body: &Value) {
    let prompt = body["prompt"].as_str().unwrap();
    match act {
        Act::Right => send(call, body, prompt, Some("v1"), None),
        Act::Named(version) => send(call, body, prompt, Some(version), None),
        Act::Unnamed => send(call, body, prompt, None, None),
        Act::Crossed => send(call, body, "somebody else's", Some("v1"), None),
        Act::Cut(tokens) => send(call, body, prompt, Some("v1"), Some((tokens, false))),
        Act::Short(tokens) => send(call, body, prompt, Some("v1"), Some((tokens, true))),
        Act::Hold(gate) => {
            gate.take_pass();
            send(call, body, prompt, Some("v1"), None);
        }
        Act::Refuse(status, outcome, after) => {
            let mut reply = Reply::error(status, "refused", "scripted");
            reply
                .headers
                .extend(outcome.map(|text| (OUTCOME, text.to_owned())));
            reply
                .headers
                .extend(after.map(|s| ("Retry-After", s.to_string())));
            call.reply(reply);
        }
    }
}

/// Sends an answer; `end` cuts it after so many tokens, with or without the end of the body.
fn send(call: Call, body: &Value, prompt: &str, version: Option<&str>, end: Option<(usize, bool)>) {
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
    let (limit, close) = end.unwrap_or((max_tokens, true));
    for token in &tokens[..limit] {
        let event = json!({"choices": [{"text": token}]});
        writer
            .send(format!("data: {event}\n\n").as_bytes())
            .unwrap();
    }
    if end.is_none() {
        writer.send(b"data: [DONE]\n\n").unwrap();
    }
    if close {
        writer.finish().unwrap();
    }
}

struct Scripted {
    server: HttpServer,
    script: Arc<Script>,
}

impl Scripted {
    fn new(acts: impl IntoIterator<Item = Act>, age: f64) -> Self {
        let script = Arc::new(Script {
            acts: Mutex::new(acts.into_iter().collect()),
            entries: Mutex::default(),
            asked: Mutex::new(0),
            age,
        });
        let server = HttpServer::start(ANY_ADDR, script.clone()).unwrap();
        *script.entries.lock().unwrap() = vec![server.addr()];
        Self { server, script }
    }

    /// One caller that makes `requests` requests in order.
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

/// The report on one request that meets `act`.
fn one(act: Act, stream: f64) -> LoadReport {
    let scripted = Scripted::new([act], 60.0);
    let config = LoadConfig {
        stream,
        ..scripted.config(1)
    };
    load::run(&config)
}

/// The classes of a report, in a fixed order.
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
fn each_answer_has_its_class() {
    let cases = [
        ("right, streamed", Act::Right, 1.0, EXACT),
        ("right, whole", Act::Right, 0.0, EXACT),
        ("of another version", Act::Named("v0"), 1.0, WRONG),
        ("of no version", Act::Unnamed, 1.0, WRONG),
        ("crossed, streamed", Act::Crossed, 1.0, WRONG),
        ("crossed, whole", Act::Crossed, 0.0, WRONG),
        ("cut", Act::Cut(2), 1.0, TRUNCATED),
        ("cut behind the last token", Act::Cut(4), 1.0, TRUNCATED),
        (
            "ended without the last event",
            Act::Short(2),
            1.0,
            TRUNCATED,
        ),
        (
            "not run",
            Act::Refuse(503, Some("not-run"), Some(1)),
            1.0,
            NOT_RUN,
        ),
        (
            "unknown",
            Act::Refuse(502, Some("unknown"), None),
            1.0,
            UNKNOWN,
        ),
        ("bare 503", Act::Refuse(503, None, None), 1.0, ERROR),
        ("bare 401", Act::Refuse(401, None, None), 0.0, ERROR),
    ];
    for (what, act, stream, expected) in cases {
        let report = one(act, stream);
        assert_eq!(classes(&report), expected, "{what}: {:?}", report.examples);
        assert_eq!((report.sent, report.attempts), (1, 1), "{what}");
    }
}

#[test]
fn times_and_tokens_are_those_of_exact_streams() {
    let scripted = Scripted::new([Act::Right, Act::Crossed, Act::Right], 60.0);
    let report = load::run(&scripted.config(3));
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

// An entry refuses a request as not run, once with a time to come back and once without. A caller
// that asks again gets its answer; the refusal without a time is counted, since callers must be
// told when to come back.
#[test]
fn a_caller_asks_again_when_it_was_told_to() {
    let refusals = [
        Act::Refuse(503, Some("not-run"), Some(0)),
        Act::Refuse(429, Some("not-run"), None),
    ];
    let scripted = Scripted::new(refusals, 60.0);
    let config = LoadConfig {
        retries: 2,
        ..scripted.config(1)
    };
    let report = load::run(&config);
    assert_eq!(classes(&report), EXACT);
    assert_eq!((report.attempts, report.no_return_time), (3, 1));
}

// The answer never comes within the deadline. The caller cannot know whether it ran.
#[test]
fn a_late_answer_is_unknown() {
    let gate = Arc::new(StepGate::default());
    let scripted = Scripted::new([Act::Hold(gate.clone())], 60.0);
    let config = LoadConfig {
        deadline: Duration::from_millis(50),
        ..scripted.config(1)
    };
    let report = load::run(&config);
    gate.open();
    assert_eq!(classes(&report), UNKNOWN);
}

// One of the two addresses that callers were given is dead. No request may be lost by it: nothing
// was sent there, so the caller goes to the other.
#[test]
fn an_entry_that_is_gone_costs_no_request() {
    let gone = HttpServer::start(ANY_ADDR, Arc::new(Idle)).unwrap().addr();
    let scripted = Scripted::new([], 60.0);
    scripted.script.entries.lock().unwrap().push(gone);
    let report = load::run(&scripted.config(20));
    assert_eq!(report.exact, 20);
    assert!(report.unreached > 0);
}

struct Idle;

impl Handler for Idle {
    fn handle(&self, call: Call) {
        call.cut();
    }
}

#[test]
fn addresses_are_asked_for_again_when_they_are_too_old() {
    for (age, asked) in [(60.0, 1), (0.0, 3)] {
        let scripted = Scripted::new([], age);
        assert_eq!(load::run(&scripted.config(3)).exact, 3);
        assert_eq!(*scripted.script.asked.lock().unwrap(), asked);
    }
}

// Four callers are held in the middle of their requests: an open loop must go on sending up to its
// bound, a closed loop must not.
#[test]
fn an_open_loop_does_not_wait_for_answers() {
    let gate = Arc::new(StepGate::default());
    let scripted = Scripted::new((0..50).map(|_| Act::Hold(gate.clone())), 60.0);
    let config = LoadConfig {
        arrivals: Arrivals::Open { per_second: 2000.0 },
        max_in_flight: 4,
        ..scripted.config(50)
    };
    let opener = std::thread::spawn(move || {
        let script = &scripted.script;
        common::wait_until("four requests in flight", || {
            script.acts.lock().unwrap().len() <= 46
        });
        gate.open();
        scripted
    });
    let report = load::run(&config);
    drop(opener.join().unwrap());
    assert_eq!(report.exact + report.overrun, 50);
    assert!(report.exact >= 4);
    assert_eq!(report.sent, report.exact);
}

#[test]
fn bookings_and_lookups_are_checked_by_their_echo() {
    let service = Service::start(ServiceConfig::new("move-in-desk")).unwrap();
    let desk = |service: &str, path: &str| (service.to_owned(), path.to_owned());
    let (service_name, path) = desk("move-in-desk", "/bookings");
    let config = LoadConfig {
        bootstrap: vec![service.addr()],
        organisations: vec![Organisation::new("acme", "acme-key")],
        work: vec![
            (
                1,
                Work::Booking {
                    service: service_name.clone(),
                    path: path.clone(),
                },
            ),
            (
                1,
                Work::Lookup {
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

    let (service_name, path) = desk("casework", "/bookings");
    let other = vec![(
        1,
        Work::Booking {
            service: service_name,
            path,
        },
    )];
    let config = LoadConfig {
        work: other,
        requests: 1,
        ..config
    };
    assert_eq!(classes(&load::run(&config)), WRONG);
}

#[test]
fn a_plan_is_a_function_of_its_seed() {
    let config = LoadConfig {
        organisations: vec![Organisation::new("a", "k"), Organisation::new("b", "k")],
        work: vec![(1, Work::Completion), (1, Work::Chat)],
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
    let of_b = (0..1000)
        .filter(|n| plan.request(*n).organisation == 1)
        .count();
    assert!((400..600).contains(&of_b), "{of_b}");
}
