//! A request that must not run twice, and a refusal as "not run" that is certain.

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

/// How many bookings are made.
const BOOKINGS: usize = 240;

/// How many clerks make them at once.
const CLERKS: usize = 8;

/// How often a clerk sends one booking at most.
const SENDS: usize = 6;

const SERVICE: &str = "move-in-desk";

/// What a clerk was told in the end.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Told {
    /// The whole answer.
    Answer(Vec<u8>),
    /// Every send was refused as not run.
    NotRun,
    /// Something else: it may have run.
    Unknown,
}

fn rules() -> &'static str {
    "[rule move-in]\norder = 20\npath = /move-in/\ninstances = role=desk\n\
     idempotent = false\ntimeout = 5s\n"
}

fn path(n: usize) -> String {
    format!("/move-in/{n}")
}

/// Sends booking `n` until there is a word on it, each time to another entry.
fn book(entries: &[SocketAddr], n: usize) -> Told {
    let key = format!("booking-{n}");
    let body = format!("flat {n}, owner {}", n % 7);
    let headers = [("idempotency-key", key.as_str())];
    let mut all_not_run = true;
    for send in 0..SENDS {
        let addr = entries[(n + send) % entries.len()];
        match try_post(addr, &path(n), &headers, &body) {
            Ok(answer) if answer.status == 200 => return Told::Answer(answer.body),
            Ok(answer) => {
                all_not_run &= answer.header("x-filbertstack-outcome") == "not-run";
            }
            // An entry that can't be connected to has not even seen the request.
            Err(error) => all_not_run &= error.contains("refused"),
        }
        std::thread::sleep(Duration::from_millis(150));
    }
    if all_not_run {
        Told::NotRun
    } else {
        Told::Unknown
    }
}

fn runs(service: SocketAddr) -> BTreeMap<String, u64> {
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

// A clerk who confirms a booking gets its answer, or a certain "not run", or "unknown"; the van is
// sent once at most.
// While eight clerks book, and resend to other entries what got no answer, the agent is killed and
// started again, each entry in turn is killed and started again, and the leader is frozen. A key
// is claimed in the log before a byte is sent, so whichever entry a resend reaches knows of it.
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
    let told = Mutex::new(BTreeMap::new());
    std::thread::scope(|scope| {
        for _ in 0..CLERKS {
            scope.spawn(|| {
                loop {
                    let n = next.fetch_add(1, Ordering::Relaxed);
                    if n >= BOOKINGS {
                        return;
                    }
                    let word = book(&addrs, n);
                    told.lock().expect("not poisoned").insert(n, word);
                }
            });
        }
        let at = |count: usize| {
            while next.load(Ordering::Relaxed) < count {
                std::thread::sleep(Duration::from_millis(2));
            }
        };
        at(30);
        desk.kill();
        desk = Process::start(&agent);
        for (n, entry) in entries.iter_mut().enumerate() {
            at(60 + 40 * n);
            entry.kill();
            *entry = system.start_entry(n);
        }
        at(200);
        entries[1].signal("STOP");
        std::thread::sleep(Duration::from_secs(2));
        entries[1].signal("CONT");
    });
    let runs = runs(addr);
    let twice: Vec<_> = runs.iter().filter(|(_, count)| **count > 1).collect();
    assert!(twice.is_empty(), "ran more than once: {twice:?}");
    let told = told.into_inner().expect("not poisoned");
    let mut kinds = BTreeSet::new();
    for (n, word) in &told {
        let ran = runs.contains_key(&format!("booking-{n}"));
        match word {
            Told::Answer(bytes) => {
                let body = format!("flat {n}, owner {}", n % 7);
                assert_eq!(
                    *bytes,
                    echo(SERVICE, "POST", &path(*n), &body),
                    "booking {n}"
                );
                assert!(ran, "booking {n} was answered and did not run");
                kinds.insert("answer");
            }
            Told::NotRun => assert!(!ran, "booking {n} was 'not run' and ran"),
            Told::Unknown => drop(kinds.insert("unknown")),
        }
    }
    assert_eq!(told.len(), BOOKINGS);
    let answered = told
        .values()
        .filter(|word| matches!(word, Told::Answer(_)))
        .count();
    let unknown = told.values().filter(|word| **word == Told::Unknown).count();
    println!("{answered} answered, {unknown} unknown of {BOOKINGS}");
    assert!(
        answered > BOOKINGS / 2,
        "only {answered} of {BOOKINGS} were answered: {told:?}"
    );
}

// A clerk who sends a booking again gets the first answer, from whichever entry, also after all
// entries were restarted; the same key with another booking is refused.
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
    assert_eq!(runs(addr), BTreeMap::from([("one-booking".to_owned(), 1)]));
}
