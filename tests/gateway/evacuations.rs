//! Tests the evacuation of availability zones under lost answers, kills and restarts.

use std::io::Write as _;
use std::net::TcpStream;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crate::cluster::Cluster;
use crate::cluster::document;
use crate::cluster::get;
use crate::cluster::wait_until;
use crate::engine::Engine;
use crate::engine::Received;
use crate::engine::Streams;
use crate::engine::answer;
use crate::engine::stream;

/// The number of requests that are sent to each entry during an evacuation.
const CALLS: usize = 20;

fn start_engine() -> Engine {
    Engine::start(Box::new(|received: &Received| {
        answer(received, "200 OK", "ok")
    }))
}

/// Sends a call of an operator until an entry acknowledges it.
fn call_acknowledged(cluster: &Cluster, entry: usize, method: &str, zone: &str) {
    wait_until(&format!("{method} {zone} is acknowledged"), || {
        status(cluster, entry, method, zone) == Some(200)
    });
}

fn status(cluster: &Cluster, entry: usize, method: &str, zone: &str) -> Option<u16> {
    let answer = cluster.control(entry, method, &format!("/evacuations/{zone}"), "");
    answer.map(|answer| answer.status)
}

/// Waits until an entry obeys the evacuation of exactly `count` zones.
fn await_evacuated(cluster: &Cluster, entry: usize, count: usize) {
    let line = format!("filbertstack_entry_evacuated_zones {count}");
    wait_until(&format!("entry {entry} obeys {line}"), || {
        cluster.metrics(entry).lines().any(|found| found == line)
    });
}

/// Waits until an entry serves a plain request, and sends some more.
fn call_served(cluster: &Cluster, entry: usize) {
    cluster.await_service(entry, "/safe/");
    for n in 0..CALLS {
        let got = cluster.call(entry, &get("/safe/", &format!("e{entry}-{n}"), ""));
        assert_eq!(got.status, 200, "another zone serves it: {}", got.body);
    }
}

/// Guards against requests at targets of an evacuated zone, whether they were known before or start during the
/// evacuation, at entries with and without a disk, and against callers who wait for a target that can't come.
#[test]
fn an_acknowledged_evacuation_is_in_force_at_every_entry() {
    let (a, b, new) = (start_engine(), start_engine(), start_engine());
    let cluster = Cluster::start(3, 1);
    cluster.put_document(&[3], &document(1));
    cluster.register_in(3, "a", "i-a", "safe", a.addr);
    (0..4).for_each(|entry| call_served(&cluster, entry));
    cluster.register_in(3, "b", "i-b", "safe", b.addr);
    call_acknowledged(&cluster, 3, "POST", "a");
    call_acknowledged(&cluster, 0, "POST", "a");
    (0..4).for_each(|entry| await_evacuated(&cluster, entry, 1));
    let before = a.received().len();
    cluster.register_in(3, "a", "i-new", "safe", new.addr);
    (0..4).for_each(|entry| call_served(&cluster, entry));
    assert_eq!((a.received().len(), new.received().len()), (before, 0));

    call_acknowledged(&cluster, 1, "POST", "b");
    (0..4).for_each(|entry| await_evacuated(&cluster, entry, 2));
    let refused = cluster.call(3, &get("/safe/", "refused", ""));
    assert_eq!(
        (refused.status, refused.body.contains("evacuated")),
        (503, true)
    );
    assert!(refused.head.contains("retry-after"), "{}", refused.head);

    call_acknowledged(&cluster, 2, "DELETE", "a");
    (0..4).for_each(|entry| await_evacuated(&cluster, entry, 1));
    let left = b.received().len();
    (0..4).for_each(|entry| call_served(&cluster, entry));
    assert_eq!(b.received().len(), left, "zone b is still evacuated");
}

/// Guards against an acknowledged evacuation that is forgotten. Each voter is killed in turn, the leader among
/// them, right after a call whose answer is lost; the operator sends the call again to another entry. Then all
/// processes are killed and start again.
#[test]
fn acknowledged_evacuations_survive_lost_answers_and_restarts() {
    let (a, b) = (start_engine(), start_engine());
    let mut cluster = Cluster::start(3, 1);
    cluster.put_document(&[3], &document(1));
    for voter in 0..3 {
        let zone = format!("z-{voter}");
        let mut lost = TcpStream::connect(cluster.control_addr(voter)).expect("the entry listens");
        let call = format!("POST /evacuations/{zone} HTTP/1.1\r\nHost: c\r\n\r\n");
        lost.write_all(call.as_bytes()).expect("the call is sent");
        cluster.kill(voter);
        call_acknowledged(&cluster, 3, "POST", &zone);
        cluster.launch(voter);
        await_evacuated(&cluster, voter, voter + 1);
    }
    (0..4).for_each(|entry| cluster.kill(entry));
    (0..4).for_each(|entry| cluster.launch(entry));
    cluster.register_in(3, "z-1", "i-a", "safe", a.addr);
    cluster.register_in(3, "b", "i-b", "safe", b.addr);
    (0..4).for_each(|entry| call_served(&cluster, entry));
    (0..4).for_each(|entry| await_evacuated(&cluster, entry, 3));
    assert_eq!(a.received().len(), 0, "its zone is evacuated");
}

/// A process is suspended, finds a call when it resumes, and the sender has meanwhile repeated the call elsewhere and
/// then withdrawn the evacuation. Guards against the late call that evacuates the zone again.
#[test]
fn a_call_that_is_found_late_undoes_nothing() {
    let cluster = Cluster::start(3, 1);
    cluster.put_document(&[3], &document(1));
    call_acknowledged(&cluster, 3, "POST", "before");
    cluster.signal(3, "STOP");
    let mut lost = TcpStream::connect(cluster.control_addr(3)).expect("the entry listens");
    lost.write_all(b"POST /evacuations/a HTTP/1.1\r\nHost: c\r\n\r\n")
        .expect("the call is sent");
    drop(lost);
    call_acknowledged(&cluster, 0, "POST", "a");
    call_acknowledged(&cluster, 0, "DELETE", "a");
    cluster.signal(3, "CONT");
    call_acknowledged(&cluster, 3, "POST", "after");
    call_acknowledged(&cluster, 3, "DELETE", "after");
    (0..4).for_each(|entry| await_evacuated(&cluster, entry, 1));
    let evacuated = cluster.logged(0).matches("\"zone evacuated\"").count();
    assert_eq!(evacuated, 3, "zone a once");
}

/// Guards against streams that are cut or moved when their zone is evacuated.
#[test]
fn streams_in_an_evacuated_zone_finish_there() {
    let streams = Arc::new(Streams::default());
    let events = |received: &Received| stream(received, 30, 0);
    let pause = Duration::from_millis(100);
    let a = Engine::with_streams(pause, streams.clone(), Box::new(events));
    let b = start_engine();
    let cluster = Cluster::start(1, 0);
    cluster.put_document(&[0], &document(1));
    cluster.register_in(0, "a", "i-a", "stream", a.addr);
    let got = thread::scope(|scope| {
        let caller = scope.spawn(|| cluster.call(0, &get("/stream/", "s-1", "")));
        wait_until("the stream runs", || streams.running() == 1);
        cluster.register_in(0, "b", "i-b", "stream", b.addr);
        call_acknowledged(&cluster, 0, "POST", "a");
        await_evacuated(&cluster, 0, 1);
        caller.join().expect("the caller gets an answer")
    });
    assert_eq!(got.body.matches("id: ").count(), 30);
    assert!(got.body.ends_with("0\r\n\r\n"), "it is complete");
    assert_eq!((a.received().len(), b.received().len()), (1, 0));
}

/// Guards against a misspelt zone that is evacuated in name only, and against calls that have no defined answer.
#[test]
fn calls_that_name_no_zone_are_refused() {
    let mut cluster = Cluster::start(1, 0);
    cluster.put_document(&[0], &document(1));
    call_acknowledged(&cluster, 0, "POST", "old");
    cluster.kill(0);
    cluster.add_settings(0, "[regions]\na = east\nb = west\n");
    cluster.launch(0);
    await_evacuated(&cluster, 0, 1);
    let unknown = cluster.control(0, "POST", "/evacuations/c", "");
    let unknown = unknown.expect("an answer");
    assert_eq!(unknown.status, 404);
    assert!(
        unknown.body.contains("name one of a, b"),
        "{}",
        unknown.body
    );
    assert_eq!(status(&cluster, 0, "DELETE", "c"), Some(404));
    assert_eq!(status(&cluster, 0, "POST", ""), Some(400));
    assert_eq!(status(&cluster, 0, "POST", &"z".repeat(65)), Some(400));
    let body = cluster.control(0, "POST", "/evacuations/a", "{not json");
    assert_eq!(body.map(|answer| answer.status), Some(200));
    // The zone was removed from the settings during its evacuation.
    call_acknowledged(&cluster, 0, "DELETE", "old");
    await_evacuated(&cluster, 0, 1);
}

/// Guards against an operator who can't see that an entry obeys an evacuation, and against errors that do not name the
/// setting to check.
#[test]
fn the_state_of_an_entry_is_shown() {
    let a = start_engine();
    let mut cluster = Cluster::start(1, 0);
    cluster.put_document(&[0], &document(1));
    cluster.register_in(0, "a", "i-a", "safe", a.addr);
    call_served(&cluster, 0);
    call_acknowledged(&cluster, 0, "POST", "a");
    await_evacuated(&cluster, 0, 1);
    wait_until("the target is shown as evacuated", || {
        let shown = cluster.show(0);
        let text = String::from_utf8_lossy(&shown.stdout).into_owned();
        let has = |words: &[&str]| {
            let mut lines = text
                .lines()
                .map(|l| l.split_whitespace().collect::<Vec<_>>());
            lines.any(|line| line.starts_with(words))
        };
        shown.status.success()
            && has(&["evacuated", "zone", "a"])
            && has(&["target", "safe", "evacuated", "i-a", "zone", "a"])
            && has(&["configuration", "version", "1"])
            && has(&["voters", "in", "contact:", "yes"])
    });
    cluster.kill(0);
    let failed = cluster.show(0);
    let error = String::from_utf8_lossy(&failed.stderr).into_owned();
    assert!(!failed.status.success());
    assert!(error.contains("'metrics' of [listen]"), "{error}");
}
