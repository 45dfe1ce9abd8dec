//! Tests that a stream goes on after the caller's last event, whichever target is asked for the rest.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use serde_json::Value;
use serde_json::json;

use crate::cluster::Cluster;
use crate::cluster::document;
use crate::cluster::wait_until;
use crate::endings::assert_whole;
use crate::endings::begin_stream;
use crate::endings::patient;
use crate::endings::read_rest;
use crate::engine::Behaviour;
use crate::engine::Engine;
use crate::engine::Received;
use crate::engine::stream;
use crate::fleet::Fleet;
use crate::model::services;

/// The events of a stream.
const EVENTS: u64 = 6;

/// The events of a stream that lasts longer than a version takes to be loaded everywhere.
const MANY_EVENTS: u64 = 30;

/// An engine pauses for this time after each of them.
const EVENT_PAUSE: Duration = Duration::from_millis(400);

/// A target that is slow to begin takes this time. Another is asked after twice the goal of the route, 0.8 s.
const SLOW_BEGIN: Duration = Duration::from_millis(2_400);

/// An engine that falls silent does so for longer than a test lasts.
const SILENCE: Duration = Duration::from_secs(60);

/// Returns a document in which `attempts` targets may be asked for a stream, within a short goal.
fn declared(version: u64, attempts: u32) -> Value {
    let mut declared = document(version);
    let route = &mut declared["routes"][2];
    route["maxAttempts"] = json!(attempts);
    route["timeoutMs"] = json!(50_000);
    route["goalMs"] = json!(400);
    route["itlTargetMs"] = json!(500);
    declared
}

/// Lets a request that resumes a stream wait, if fewer than `slow` did so before.
fn wait_if_slow(received: &Received, slow: &AtomicU32) {
    if received.header("last-event-id").is_empty() {
        return;
    }
    let left = slow.fetch_update(Ordering::SeqCst, Ordering::SeqCst, |left| {
        left.checked_sub(1)
    });
    if left.is_ok() {
        thread::sleep(SLOW_BEGIN);
    }
}

/// Starts a stream at `first`, which loses it, and asserts that its caller gets each event once. Of the targets that
/// are asked for the rest, the first `slow` are slow to begin.
fn assert_resumed_in_order(first: &Engine, slow: u32) {
    let cluster = Cluster::start(1, 0);
    cluster.put_document(&[0], &declared(1, slow + 2));
    cluster.register(0, "i-0", "stream", first.addr);
    cluster.await_service(0, "/stream/");
    let slow_left = Arc::new(AtomicU32::new(slow));
    let asked: Arc<Mutex<Vec<String>>> = Arc::default();
    let start_other = || {
        let (slow_left, asked) = (slow_left.clone(), asked.clone());
        Engine::start(Box::new(move |received| {
            let after = received.header("last-event-id").to_owned();
            asked.lock().expect("not poisoned").push(after);
            wait_if_slow(received, &slow_left);
            stream(received, EVENTS, 0)
        }))
    };
    let others: Vec<Engine> = (0..=slow).map(|_| start_other()).collect();
    let caller = begin_stream(&cluster, &patient("a1"));
    for (n, engine) in others.iter().enumerate() {
        cluster.register(0, &format!("i-{}", n + 1), "stream", engine.addr);
    }
    assert_whole(&read_rest(caller), EVENTS, &cluster.logged(0));
    let asked = asked.lock().expect("not poisoned");
    assert_eq!(asked.len(), others.len(), "{}", cluster.logged(0));
    assert!(asked.iter().all(|after| *after == asked[0]), "{asked:?}");
}

/// Returns an engine that answers the probe whole and breaks off other streams after some events.
fn breaking() -> Engine {
    Engine::paced(
        EVENT_PAUSE,
        Box::new(|received| {
            let is_probe = received.header("x-filbertstack-attempt-id") != "a1";
            stream(received, EVENTS, if is_probe { 0 } else { 120 })
        }),
    )
}

/// Returns an engine that answers the probe whole and falls silent after the first event of other streams.
fn falling_silent() -> Engine {
    Engine::paced(
        SILENCE,
        Box::new(|received| {
            let is_probe = received.header("x-filbertstack-attempt-id") != "a1";
            stream(received, if is_probe { 0 } else { EVENTS }, 0)
        }),
    )
}

/// Guards against events that come twice: a third target, asked because the second is slow to resume the stream of
/// a lost one, starts it from its first event.
#[test]
fn a_third_target_resumes_a_broken_stream_where_the_second_should() {
    assert_resumed_in_order(&breaking(), 1);
}

/// Guards against the same at a fourth target.
#[test]
fn a_fourth_target_resumes_a_broken_stream_where_the_second_should() {
    assert_resumed_in_order(&breaking(), 2);
}

/// Guards against the same where the first target is silent and another takes over.
#[test]
fn a_third_target_takes_a_silent_stream_over_where_the_second_should() {
    assert_resumed_in_order(&falling_silent(), 1);
}

/// Guards against the same where the first target is to load other weights.
#[test]
fn a_third_target_takes_over_from_one_that_loads_where_the_second_should() {
    let mut fleet = Fleet::start(0);
    let mut declared = declared(2, 8);
    declared["services"] = services(fleet.origin.start().addr);
    fleet.cluster.put_document(&[0], &declared);
    let slow = Arc::new(AtomicU32::new(0));
    for _ in 0..3 {
        let slow = slow.clone();
        let behaviour: Behaviour = Box::new(move |received| {
            wait_if_slow(received, &slow);
            stream(received, MANY_EVENTS, 0)
        });
        fleet.add_behaving(EVENT_PAUSE, behaviour);
    }
    fleet.name_version(1);
    fleet.await_version(1);
    fleet.await_all_serving();
    let caller = begin_stream(&fleet.cluster, &patient("a1"));
    slow.store(1, Ordering::SeqCst);
    fleet.name_version(2);
    let answer = thread::spawn(move || read_rest(caller));
    wait_until("the stream ends", || {
        fleet.announce_all();
        answer.is_finished()
    });
    let answer = answer.join().expect("it ends");
    assert_whole(&answer, MANY_EVENTS, &fleet.cluster.logged(0));
    assert_eq!(slow.load(Ordering::SeqCst), 0, "a target was slow to begin");
}

/// Guards against events that come twice: an engine does not know the id after which it is to go on, and begins the
/// stream anew.
#[test]
fn a_target_that_begins_a_stream_anew_is_replaced() {
    let first = breaking();
    let cluster = Cluster::start(1, 0);
    cluster.put_document(&[0], &declared(1, 3));
    cluster.register(0, "i-0", "stream", first.addr);
    cluster.await_service(0, "/stream/");
    let begins_anew = Engine::start(Box::new(|received| {
        let mut first_run = received.clone();
        first_run
            .headers
            .retain(|(name, _)| name != "last-event-id");
        stream(&first_run, EVENTS, 0)
    }));
    let resumes = Engine::start(Box::new(|received| stream(received, EVENTS, 0)));
    let caller = begin_stream(&cluster, &patient("a1"));
    cluster.register(0, "i-1", "stream", begins_anew.addr);
    wait_until("it is asked", || !begins_anew.received().is_empty());
    cluster.register(0, "i-2", "stream", resumes.addr);
    assert_whole(&read_rest(caller), EVENTS, &cluster.logged(0));
}

/// Guards against a stream that is cut although its caller has all events: its engine is lost before the end, and the
/// one that was to take it over had nothing left to send, which used up the last attempt.
#[test]
fn a_stream_whose_last_event_is_known_ends_as_whole() {
    let first = Engine::paced(
        Duration::from_millis(2_600),
        Box::new(|received| {
            let is_probe = received.header("x-filbertstack-attempt-id") != "a1";
            stream(received, u64::from(!is_probe), if is_probe { 0 } else { 5 })
        }),
    );
    let cluster = Cluster::start(1, 0);
    cluster.put_document(&[0], &declared(1, 2));
    cluster.register(0, "i-0", "stream", first.addr);
    cluster.await_service(0, "/stream/");
    let other = Engine::start(Box::new(|received| stream(received, 1, 0)));
    let caller = begin_stream(&cluster, &patient("a1"));
    cluster.register(0, "i-1", "stream", other.addr);
    assert_whole(&read_rest(caller), 1, &cluster.logged(0));
    assert!(!other.received().is_empty(), "it was asked to take over");
}
