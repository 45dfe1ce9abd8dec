//! Callers that send random requests and check the guarantees for each answer.

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
use crate::fleet::Fleet;
use crate::fleet::STREAM_EVENTS;

/// The number of concurrent callers.
const CALLERS: u64 = 6;

/// The pause of a caller between two requests.
const REQUEST_PAUSE: Duration = Duration::from_millis(20);

/// Running callers.
pub struct Callers(Vec<JoinHandle<Vec<CallRecord>>>);

/// A request, and its outcome as its caller sees it.
struct CallRecord {
    attempt: String,
    service: &'static str,
    refused: bool,
    /// Whether the answer is a success and complete.
    whole: bool,
    /// The guarantee that the answer breaks, if any.
    violation: Option<String>,
}

/// Starts callers that send requests until the faults are over.
pub fn start(fleet: &Fleet, seed: u64) -> Callers {
    let callers = (0..CALLERS).map(|n| {
        let fleet = fleet.clone();
        thread::spawn(move || run_caller(&fleet, seed, n))
    });
    Callers(callers.collect())
}

/// Sends requests until the faults are over.
fn run_caller(fleet: &Fleet, seed: u64, n: u64) -> Vec<CallRecord> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed * CALLERS + n);
    let mut records = Vec::new();
    while !fleet.is_over() {
        let service = ["safe", "once", "stream"][rng.random_range(0..3)];
        let entry = rng.random_range(0..ENTRIES);
        let attempt = format!("s{seed}-c{n}-{}", records.len());
        let addr = fleet.cluster().front_addr(entry);
        let answer = exchange(&addr, &get(&format!("/{service}/"), &attempt, ""));
        let refused = answer
            .as_ref()
            .is_some_and(|a| [408, 421, 429, 503].contains(&a.status));
        let violation = answer
            .as_ref()
            .and_then(|a| find_violation(service, &attempt, a));
        let whole = answer
            .as_ref()
            .is_some_and(|a| is_whole(service, &attempt, a));
        let outcome = answer.map_or("no answer".into(), |a| a.status.to_string());
        fleet.count_outcome(&outcome);
        records.push(CallRecord {
            attempt,
            service,
            refused,
            whole,
            violation,
        });
        thread::sleep(REQUEST_PAUSE);
    }
    records
}

/// Returns the guarantee that an answer breaks, if any.
fn find_violation(service: &str, attempt: &str, answer: &Answer) -> Option<String> {
    let own = has_line(answer, &format!("x-filbertstack-attempt-id: {attempt}"));
    let sealed = answer.head.contains("x-filbertstack-response-seal: sealed");
    if answer.status != 200 {
        let violation =
            sealed.then(|| format!("{attempt}: {} with a target's seal", answer.status));
        return violation;
    }
    if !own || !sealed {
        return Some(format!(
            "{attempt}: a success for another request: {}",
            answer.head
        ));
    }
    let wrong = match service {
        "stream" => !events_match(&answer.body),
        _ => !body_matches(answer, &format!("answer to {attempt}")),
    };
    wrong.then(|| format!("{attempt}: wrong body: {:?}", answer.body))
}

fn is_whole(service: &str, attempt: &str, answer: &Answer) -> bool {
    let complete = match service {
        "stream" => answer.body.ends_with("0\r\n\r\n"),
        _ => answer.body == format!("answer to {attempt}"),
    };
    answer.status == 200 && complete
}

/// Returns whether a body is the expected one, or a part of it whose content-length shows that it is cut off.
fn body_matches(answer: &Answer, expected: &str) -> bool {
    let has_length = has_line(answer, &format!("content-length: {}", expected.len()));
    answer.body == expected || (has_length && expected.starts_with(&answer.body))
}

fn has_line(answer: &Answer, line: &str) -> bool {
    answer.head.lines().any(|l| l == line)
}

/// Returns whether events arrive once each and in order, with none missing before the final chunk.
fn events_match(body: &str) -> bool {
    let whole = body.ends_with("0\r\n\r\n");
    // The last event may be incomplete.
    let events = body.rsplit_once("\n\n").map_or("", |(events, _)| events);
    let ids = events.lines().filter_map(|line| line.strip_prefix("id: "));
    let ids: Vec<u64> = ids.filter_map(|id| id.trim().parse().ok()).collect();
    let in_order = ids.iter().copied().eq(1..=ids.len() as u64);
    in_order && (!whole || ids.len() as u64 == STREAM_EVENTS)
}

impl Callers {
    /// Waits for the callers and returns the guarantees that were broken.
    pub fn finish(self, fleet: &Fleet) -> Vec<String> {
        find_broken(fleet, self.join())
    }

    /// Waits for the callers and returns the guarantees that were broken, one more than under faults: what a
    /// target ran is answered to its end.
    pub fn finish_without_faults(self, fleet: &Fleet) -> Vec<String> {
        let records = self.join();
        let is_cut = |r: &&CallRecord| !r.whole && fleet.runs(&r.attempt) > 0;
        let cut = records.iter().filter(is_cut);
        let mut violations: Vec<String> = cut
            .map(|r| format!("{}: ran, and has no whole answer", r.attempt))
            .collect();
        violations.extend(find_broken(fleet, records));
        violations
    }

    fn join(self) -> Vec<CallRecord> {
        let callers = self.0.into_iter();
        callers
            .flat_map(|c| c.join().expect("a caller ends"))
            .collect()
    }
}

fn find_broken(fleet: &Fleet, records: Vec<CallRecord>) -> Vec<String> {
    let mut violations = Vec::new();
    for record in records {
        let runs = fleet.runs(&record.attempt);
        violations.extend(record.violation);
        if record.service == "once" && runs > 1 {
            violations.push(format!("{}: ran {runs} times", record.attempt));
        }
        if record.service == "once" && record.refused && runs > 0 {
            violations.push(format!("{}: ran, but was refused", record.attempt));
        }
    }
    violations
}

/// Returns the number of requests by outcome.
pub fn summary(fleet: &Fleet) -> String {
    format!("{:?}", fleet.outcome_counts())
}
