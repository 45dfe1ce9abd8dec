//! A request with an idempotency key runs at most once, and one refused as "not run" has not run.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use filbertstack_standins::service::echo;
use serde_json::Value;

use crate::support::Process;
use crate::support::System;
use crate::support::try_post;

/// The number of bookings.
const BOOKINGS: usize = 240;

/// The number of callers that send bookings at the same time.
const CALLERS: usize = 8;

/// The most times that a caller sends one booking.
const MAX_SENDS: usize = 6;

const SERVICE: &str = "move-in-desk";

/// The outcome of a booking as its caller sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Outcome {
    /// The whole answer.
    Answer(Vec<u8>),
    /// Every send was refused as not run.
    NotRun,
    /// Any other outcome: the booking may have run.
    Unknown,
}

/// Returns the declaration of the rule for bookings.
fn rules() -> &'static str {
    "[rule move-in]\norder = 20\npath = /move-in/\ninstances = role=desk\n\
     idempotent = false\ntimeout = 5s\n"
}

fn path(n: usize) -> String {
    format!("/move-in/{n}")
}

/// Sends booking `n` until it is answered, each time to another entry.
fn send_booking(entries: &[SocketAddr], n: usize) -> Outcome {
    let key = format!("booking-{n}");
    let body = format!("flat {n}, owner {}", n % 7);
    let headers = [("idempotency-key", key.as_str())];
    let mut all_not_run = true;
    for send in 0..MAX_SENDS {
        let addr = entries[(n + send) % entries.len()];
        match try_post(addr, &path(n), &headers, &body) {
            Ok(answer) if answer.status == 200 => return Outcome::Answer(answer.body),
            Ok(answer) => {
                all_not_run &= answer.header("x-filbertstack-outcome") == "not-run";
            }
            // If the connection is refused, the entry has not received the request.
            Err(error) => all_not_run &= error.contains("refused"),
        }
        std::thread::sleep(Duration::from_millis(150));
    }
    if all_not_run {
        Outcome::NotRun
    } else {
        Outcome::Unknown
    }
}

/// Returns the number of runs of each key.
fn run_counts(service: SocketAddr) -> BTreeMap<String, u64> {
    let url = format!("http://{service}/admin/runs");
    let mut response = ureq::get(url).call().expect("answers");
    let text = response.body_mut().read_to_string().expect("a body");
    let runs: Value = serde_json::from_str(&text).expect("JSON");
    let by_key = runs["by_key"].as_object().expect("counts");
    by_key
        .iter()
        .map(|(key, count)| (key.clone(), count.as_u64().expect("a count")))
        .collect()
}

// A booking ends with its answer, with a certain "not run" or as unknown, and runs at most once.
// Eight callers send bookings, and resend unanswered ones to other entries, while the agent is killed
// and restarted, each entry in turn is killed and restarted, and one entry is frozen. A key is claimed
// in the log before any byte is sent to the target, so every entry that gets a resend knows the key.
#[test]
fn no_booking_runs_twice_and_not_run_is_certain() {
    let system = System::new(3);
    let mut entries = system.start_entries();
    let service = Process::start(&["stand-in", "service", SERVICE, "--latency-ms", "20"]);
    let addr = service.addr("listening");
    let agent_settings = system.agent_settings("desk-0", "service", addr, "role=desk");
    let agent = [
        "agent",
        "--settings",
        agent_settings.to_str().expect("UTF-8"),
    ];
    let mut desk = Process::start(&agent);
    system.wait_status("the desk", |status| {
        status["targets"]
            .as_array()
            .is_some_and(|targets| targets.len() == 1)
    });
    system.apply(rules());
    let addrs: Vec<SocketAddr> = system.entries.iter().map(|entry| entry.http).collect();
    let next = AtomicUsize::new(0);
    let outcomes = Mutex::new(BTreeMap::new());
    std::thread::scope(|scope| {
        for _ in 0..CALLERS {
            scope.spawn(|| {
                loop {
                    let n = next.fetch_add(1, Ordering::Relaxed);
                    if n >= BOOKINGS {
                        return;
                    }
                    let outcome = send_booking(&addrs, n);
                    outcomes.lock().expect("not poisoned").insert(n, outcome);
                }
            });
        }
        let wait_begun = |count: usize| {
            while next.load(Ordering::Relaxed) < count {
                std::thread::sleep(Duration::from_millis(2));
            }
        };
        wait_begun(30);
        desk.kill();
        desk = Process::start(&agent);
        for (n, entry) in entries.iter_mut().enumerate() {
            wait_begun(60 + 40 * n);
            entry.kill();
            *entry = system.start_entry(n);
        }
        wait_begun(200);
        entries[1].signal("STOP");
        std::thread::sleep(Duration::from_secs(2));
        entries[1].signal("CONT");
    });
    let runs = run_counts(addr);
    let repeated: Vec<_> = runs.iter().filter(|(_, count)| **count > 1).collect();
    assert!(repeated.is_empty(), "ran more than once: {repeated:?}");
    let outcomes = outcomes.into_inner().expect("not poisoned");
    let mut kinds = BTreeSet::new();
    for (n, outcome) in &outcomes {
        let ran = runs.contains_key(&format!("booking-{n}"));
        match outcome {
            Outcome::Answer(bytes) => {
                let body = format!("flat {n}, owner {}", n % 7);
                assert_eq!(
                    *bytes,
                    echo(SERVICE, "POST", &path(*n), &body),
                    "booking {n}"
                );
                assert!(ran, "booking {n} was answered and did not run");
                kinds.insert("answer");
            }
            Outcome::NotRun => assert!(!ran, "booking {n} was 'not run' and ran"),
            Outcome::Unknown => drop(kinds.insert("unknown")),
        }
    }
    assert_eq!(outcomes.len(), BOOKINGS);
    let answered = outcomes
        .values()
        .filter(|outcome| matches!(outcome, Outcome::Answer(_)))
        .count();
    let unknown = outcomes
        .values()
        .filter(|outcome| **outcome == Outcome::Unknown)
        .count();
    println!("{answered} answered, {unknown} unknown of {BOOKINGS}");
    assert!(
        answered > BOOKINGS / 2,
        "only {answered} of {BOOKINGS} were answered: {outcomes:?}"
    );
}

// A resent booking gets the first answer from any entry, also after a restart of all entries; the same
// key with another body is refused.
#[test]
fn a_resend_gets_the_first_answer() {
    let system = System::new(3);
    let mut entries = system.start_entries();
    let service = Process::start(&["stand-in", "service", SERVICE]);
    let addr = service.addr("listening");
    let _desk = system.start_agent("desk-0", "service", addr, "role=desk");
    system.wait_status("the desk", |status| {
        status["targets"]
            .as_array()
            .is_some_and(|targets| targets.len() == 1)
    });
    system.apply(rules());
    let headers = [("idempotency-key", "one-booking")];
    let send = |n: usize, body: &str| {
        crate::support::post(system.entries[n].http, "/move-in/1", &headers, body)
    };
    let first = send(0, "flat 1");
    assert_eq!(first.status, 200, "{}", first.text());
    let again = send(1, "flat 1");
    assert_eq!((again.status, &again.body), (200, &first.body));
    assert_eq!(again.header("idempotent-replayed"), "true");

    entries.iter_mut().for_each(Process::kill);
    let _entries = system.start_entries();
    let after = send(2, "flat 1");
    assert_eq!((after.status, &after.body), (200, &first.body));
    let other = send(0, "flat 2");
    assert_eq!(other.status, 422, "{}", other.text());
    let without = try_post(system.entries[0].http, "/move-in/1", &[], "flat 1").expect("answers");
    assert_eq!(without.status, 400, "{}", without.text());
    assert_eq!(
        run_counts(addr),
        BTreeMap::from([("one-booking".to_owned(), 1)])
    );
}
