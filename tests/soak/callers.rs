//! Callers, and what they must never see.

use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;

use rand::RngExt as _;
use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;

use crate::cluster::Answer;
use crate::cluster::exchange;
use crate::cluster::get;
use crate::fleet::ENTRIES;
use crate::fleet::EVENTS;
use crate::fleet::Fleet;

/// Callers at work at the same time.
const CALLERS: u64 = 6;

/// The pause of a caller between two requests.
const PAUSE: Duration = Duration::from_millis(20);

/// Running callers.
pub struct Callers(Vec<JoinHandle<Vec<Asked>>>);

/// One request and what came of it.
struct Asked {
    attempt: String,
    service: &'static str,
    refused: bool,
    broken: Option<String>,
}

/// Starts callers that go on until the faults are over.
pub fn start(fleet: &Fleet, seed: u64) -> Callers {
    let callers = (0..CALLERS).map(|n| {
        let fleet = fleet.clone();
        thread::spawn(move || call_on(&fleet, seed, n))
    });
    Callers(callers.collect())
}

fn call_on(fleet: &Fleet, seed: u64, n: u64) -> Vec<Asked> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed * CALLERS + n);
    let mut asked = Vec::new();
    while !fleet.is_over() {
        let service = ["safe", "once", "stream"][rng.random_range(0..3)];
        let entry = rng.random_range(0..ENTRIES);
        let attempt = format!("s{seed}-c{n}-{}", asked.len());
        let addr = fleet.world().front_addr(entry);
        let answer = exchange(&addr, &get(&format!("/{service}/"), &attempt, ""));
        let refused = answer
            .as_ref()
            .is_some_and(|a| [408, 421, 429, 503].contains(&a.status));
        let broken = answer.as_ref().and_then(|a| check(service, &attempt, a));
        let ended = answer.map_or("no answer".into(), |a| a.status.to_string());
        fleet.count(&ended);
        asked.push(Asked {
            attempt,
            service,
            refused,
            broken,
        });
        thread::sleep(PAUSE);
    }
    asked
}

/// What is wrong with an answer, if it is a success.
fn check(service: &str, attempt: &str, answer: &Answer) -> Option<String> {
    let own = has_line(answer, &format!("x-filbertstack-attempt-id: {attempt}"));
    let sealed = answer.head.contains("x-filbertstack-response-seal: sealed");
    if answer.status != 200 {
        let faked = sealed.then(|| format!("{attempt}: {} with a target's seal", answer.status));
        return faked;
    }
    if !own || !sealed {
        return Some(format!(
            "{attempt}: a success of another request: {}",
            answer.head
        ));
    }
    let wrong = match service {
        "stream" => !events_fit(&answer.body),
        _ => !body_fits(answer, &format!("answer to {attempt}")),
    };
    wrong.then(|| format!("{attempt}: not its answer: {:?}", answer.body))
}

/// A body is whole, or its length tells that it isn't.
fn body_fits(answer: &Answer, expected: &str) -> bool {
    let told = has_line(answer, &format!("content-length: {}", expected.len()));
    answer.body == expected || (told && expected.starts_with(&answer.body))
}

fn has_line(answer: &Answer, line: &str) -> bool {
    answer.head.lines().any(|l| l == line)
}

/// Events come once each, in order, and none is missing before an end that looks whole.
fn events_fit(body: &str) -> bool {
    let whole = body.ends_with("0\r\n\r\n");
    // The last event may have broken off.
    let events = body.rsplit_once("\n\n").map_or("", |(events, _)| events);
    let ids = events.lines().filter_map(|line| line.strip_prefix("id: "));
    let ids: Vec<u64> = ids.filter_map(|id| id.trim().parse().ok()).collect();
    let in_order = ids.iter().copied().eq(1..=ids.len() as u64);
    in_order && (!whole || ids.len() as u64 == EVENTS)
}

impl Callers {
    /// Waits for the callers and tells what they saw that must not be.
    pub fn finish(self, fleet: &Fleet) -> Vec<String> {
        let asked = self
            .0
            .into_iter()
            .flat_map(|c| c.join().expect("a caller ends"));
        let mut broken = Vec::new();
        for asked in asked {
            let runs = fleet.runs(&asked.attempt);
            broken.extend(asked.broken);
            if asked.service == "once" && runs > 1 {
                broken.push(format!("{}: ran {runs} times", asked.attempt));
            }
            if asked.service == "once" && asked.refused && runs > 0 {
                broken.push(format!("{}: ran, and was said not to have", asked.attempt));
            }
        }
        broken
    }
}

/// How many requests ended how.
pub fn summary(fleet: &Fleet) -> String {
    format!("{:?}", fleet.counts())
}
