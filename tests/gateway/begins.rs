//! Tests until when a request may begin on a version of the weights that a newer one has replaced, at engines that
//! keep requests in a queue and do not notice that a connection closes.

use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;
use std::time::Instant;

use serde_json::json;

use crate::cluster::document;
use crate::cluster::exchange;
use crate::cluster::get;
use crate::cluster::wait_until;
use crate::endings::assert_whole;
use crate::engine::Behaviour;
use crate::engine::Received;
use crate::engine::no_room;
use crate::engine::stream;
use crate::engine::time_left;
use crate::fleet::Fleet;
use crate::model::services;

/// An older version may begin requests for this long after a newer one is named: the entries' default.
const BOUND: Duration = Duration::from_secs(8);

/// Callers send requests from this time after the naming on.
const FIRST_CALL: Duration = Duration::from_millis(2_500);

/// The callers send this many requests, spread evenly until the bound.
const CALLS: u32 = 110;

/// The events of a stream.
const EVENTS: u64 = 3;

/// A stream whose events take this long does not end within the time that is left at the last sends.
const SLOW_EVENT: Duration = Duration::from_millis(500);

/// The requests that engines have begun, with their attempt's id, and when.
type Begun = Arc<Mutex<Vec<(String, Instant)>>>;

/// What the callers of a run received, by the id of their attempt, and what the engines did.
struct Run {
    /// The time after which nothing may begin.
    ends: Instant,
    begun: Vec<(String, Instant)>,
    answers: Vec<(String, u16, String)>,
    logged: String,
}

impl Run {
    /// Returns how long after the bound requests began.
    fn late(&self) -> Vec<Duration> {
        let begun = self.begun.iter().filter(|(id, _)| id.starts_with('c'));
        let late = begun.filter_map(|(_, at)| at.checked_duration_since(self.ends));
        late.filter(|late| !late.is_zero()).collect()
    }

    /// Asserts that nothing began after the bound, and that callers were served before.
    fn assert_in_time(&self) {
        let late = self.late();
        assert!(
            late.is_empty(),
            "{} of {} began after the bound, the last {:?} after it\n{}",
            late.len(),
            self.begun.len(),
            late.iter().max(),
            self.logged
        );
        assert!(self.served() > 0, "nothing was served\n{}", self.logged);
    }

    /// Returns the number of callers that got an answer from an engine.
    fn served(&self) -> usize {
        let answers = self.answers.iter();
        answers.filter(|(_, status, _)| *status == 200).count()
    }

    /// Asserts that each stream that a caller received ended whole.
    fn assert_whole(&self) {
        for (id, status, body) in &self.answers {
            if *status == 200 {
                assert_whole(body, EVENTS, &format!("{id}\n{}", self.logged));
            }
        }
    }
}

/// Returns an engine's behaviour that keeps each request for `hold` in a queue, begins it if its time limit has not
/// passed, and does not notice a close.
fn queueing(hold: Duration, begun: &Begun) -> Behaviour {
    let begun = begun.clone();
    Box::new(move |received: &Received| {
        let id = received.header("x-filbertstack-attempt-id").to_owned();
        if id.starts_with("probe") {
            return stream(received, EVENTS, 0);
        }
        let expires = Instant::now() + time_left(received);
        thread::sleep(hold);
        if Instant::now() >= expires {
            return no_room(received);
        }
        begun
            .lock()
            .expect("not poisoned")
            .push((id, Instant::now()));
        stream(received, EVENTS, 0)
    })
}

/// Names a version whose pieces never arrive, so that all engines stay at the one before it, and calls them until
/// after its bound.
fn call_until_bound(attempts: u32, hold: Duration, pause: Duration, kind: &str) -> Run {
    let begun = Begun::default();
    let mut fleet = Fleet::start(0);
    let mut declared = document(2);
    declared["services"] = services(fleet.origin.start().addr);
    declared["routes"][2]["maxAttempts"] = json!(attempts);
    declared["routes"][2]["kind"] = json!(kind);
    declared["routes"][2]["resumable"] = json!(kind == "streaming");
    declared["routes"][2]["timeoutMs"] = json!(6_000);
    fleet.cluster.put_document(&[0], &declared);
    for _ in 0..3 {
        fleet.add_behaving(pause, queueing(hold, &begun));
    }
    fleet.name_version(1);
    fleet.await_version(1);
    fleet.await_all_serving();
    fleet.origin.refuse_lists(u64::MAX);
    fleet.name_version(2);
    let ends = Instant::now() + BOUND;
    let callers = call_evenly(&fleet, ends);
    wait_until("all callers have left", || {
        fleet.announce_all();
        callers.iter().all(JoinHandle::is_finished)
    });
    // What an engine still keeps begins by then, or never.
    thread::sleep((ends + hold).saturating_duration_since(Instant::now()));
    let answers = callers.into_iter().map(|c| c.join().expect("it ends"));
    let answers = answers.collect();
    let begun = begun.lock().expect("not poisoned").clone();
    let logged = (0..3).map(|n| fleet.cluster.logged(n)).collect();
    Run {
        ends,
        begun,
        answers,
        logged,
    }
}

/// Starts callers at all entries, evenly until `ends`.
fn call_evenly(fleet: &Fleet, ends: Instant) -> Vec<JoinHandle<(String, u16, String)>> {
    let first = ends.checked_sub(BOUND).expect("after the start") + FIRST_CALL;
    let gap = ends.saturating_duration_since(first) / CALLS;
    let callers = (0..CALLS).map(|n| {
        let front = fleet.cluster.front_addr((n % 3) as usize);
        let at = first + gap * n;
        thread::spawn(move || {
            thread::sleep(at.saturating_duration_since(Instant::now()));
            let id = format!("c{n}");
            let answer = exchange(&front, &get("/stream/", &id, ""));
            let (status, body) = answer.map_or((0, String::new()), |a| (a.status, a.body));
            (id, status, body)
        })
    });
    callers.collect()
}

/// Guards against a request that begins on a replaced version after its bound: an engine keeps it in its queue for
/// longer than the time that was left, and does not notice that its entry gave it up. No other engine may be asked.
#[test]
fn a_queued_request_of_a_last_attempt_does_not_begin_after_the_bound() {
    let run = call_until_bound(1, Duration::from_millis(2_500), Duration::ZERO, "streaming");
    run.assert_in_time();
}

/// Guards against the same where another engine may be asked.
#[test]
fn a_queued_request_that_may_move_does_not_begin_after_the_bound() {
    let run = call_until_bound(2, Duration::from_millis(2_500), Duration::ZERO, "streaming");
    run.assert_in_time();
}

/// Guards against the same with a queue that takes longer than half of the bound's last part.
#[test]
fn a_request_in_a_long_queue_does_not_begin_after_the_bound() {
    let run = call_until_bound(3, Duration::from_millis(3_500), Duration::ZERO, "streaming");
    run.assert_in_time();
}

/// Guards against the same for requests that may run once.
#[test]
fn a_queued_request_that_may_run_once_does_not_begin_after_the_bound() {
    let hold = Duration::from_millis(2_500);
    let run = call_until_bound(1, hold, Duration::ZERO, "non_idempotent");
    run.assert_in_time();
}

/// Guards against a stream that begins in time and is cut by the limit on its begin: its engine ends work at the time
/// limit that it is given.
#[test]
fn a_stream_that_began_before_the_bound_ends_whole() {
    for attempts in [1, 2, 3] {
        let hold = Duration::from_millis(200);
        let run = call_until_bound(attempts, hold, SLOW_EVENT, "streaming");
        run.assert_in_time();
        run.assert_whole();
    }
}
