//! Tests requests that are bound to regions.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::thread;
use std::thread::sleep;
use std::time::Duration;

use serde_json::json;

use crate::cluster::Cluster;
use crate::cluster::document;
use crate::cluster::exchange;
use crate::cluster::get;
use crate::cluster::wait_until;
use crate::engine::Engine;
use crate::engine::answer;

const REGIONS: &str = "z0 = north\nz1 = north\nz2 = south\nz3 = south\n";

/// The reason for which a request is refused that no registered target may serve.
const NO_REGION: &str = "no target is registered in an allowed region";

/// Declares the regions of a route and of the organisation with the key `k2`, and waits until `entries` entries
/// have them. The organisation with the key `k1` is not bound.
fn declare(cluster: &Cluster, entries: usize, version: u64, route: &[&str], organisation: &[&str]) {
    let mut document = document(version);
    document["routes"][0]["allowedRegions"] = json!(route);
    // No second engine is asked while the first holds a request.
    document["routes"][0]["goalMs"] = json!(4000);
    document["tenants"] = json!([
        {"name": "free", "apiKeys": ["k1"]},
        {"name": "bound", "apiKeys": ["k2"], "allowedRegions": organisation}
    ]);
    cluster.put_document(&[0], &document);
    let version = format!("\"version\":{version}");
    let is_in_force = |n: usize| {
        let log = cluster.logged(n);
        let mut lines = log.lines();
        lines.any(|line| line.contains("configuration in force") && line.contains(&version))
    };
    wait_until("it is in force", || (0..entries).all(is_in_force));
}

fn answering(name: &'static str) -> Engine {
    Engine::start(Box::new(move |received| answer(received, "200 OK", name)))
}

fn register(cluster: &Cluster, zone: &str, id: &str, engine: &Engine) {
    let body = json!({
        "service": "safe", "address": engine.addr.to_string(), "zone": zone, "version": "v1",
        "slots": 4, "state": "ready", "sequence": 1, "born": 1,
    });
    wait_until("the target is registered", || {
        let answer = cluster.control(0, "PUT", &format!("/instances/{id}"), &body.to_string());
        answer.is_some_and(|answer| answer.status == 200)
    });
}

/// Sends a request until it is not refused, as the entry does not know the engines at first.
fn call(cluster: &Cluster, n: usize, key: &str) -> (u16, String) {
    let request = get("/safe/", "a", &format!("Authorization: Bearer {key}\r\n"));
    loop {
        let answer = exchange(&cluster.front_addr(n), &request);
        if let Some(answer) = answer.filter(|answer| answer.status != 503) {
            return (answer.status, answer.body);
        }
    }
}

/// A caller anywhere reaches an engine in the one region that both its route and its organisation allow, from
/// whatever entry; it is refused at once, and the log names the rule, if there is none. Without the part, the
/// entry takes the engine of its own zone.
#[test]
fn requests_run_where_route_and_organisation_allow() {
    let (north, south) = (answering("north"), answering("south"));
    let cluster = Cluster::start_in(1, 3, REGIONS);
    declare(&cluster, 4, 1, &[], &["south", "east"]);
    register(&cluster, "z0", "i-1", &north);
    register(&cluster, "z2", "i-2", &south);
    wait_until("all are known", || cluster.knows_all(0));
    for n in (0..4).cycle().take(40) {
        assert_eq!(call(&cluster, n, "k2"), (200, "south".to_owned()));
    }
    assert!(north.received().is_empty());
    // Nothing is left that both allow.
    declare(&cluster, 4, 2, &["north"], &["south", "east"]);
    let request = get("/safe/", "a2", "Authorization: Bearer k2\r\n");
    let refused = cluster.call(0, &request);
    assert_eq!((refused.status, refused.body.as_str()), (503, NO_REGION));
    assert!(refused.head.contains("retry-after"), "{}", refused.head);
    assert_eq!(call(&cluster, 0, "k1"), (200, "north".to_owned()));
    for line in [
        "route safe, organisation bound, allowed regions: ",
        "allowed region is unknown",
    ] {
        wait_until(line, || cluster.has_logged(0, line));
    }
    let counted = format!("filbertstack_entry_refusals_total{{reason=\"{NO_REGION}\"}}");
    assert!(cluster.metrics(0).contains(&counted));
    // Callers are told the entries of their region, or else those where the route is served.
    let entries = |numbers: [usize; 2]| numbers.map(|n| cluster.front_addr(n));
    assert_eq!(cluster.resolve(0, "south", "z2"), entries([2, 3]));
    assert_eq!(cluster.resolve(0, "west", "z9"), entries([0, 1]));
}

/// A request is at an engine in the north when its route is bound to the south, and the engine breaks off. The
/// request must not go to the other engine in the north: what counts is the document in force at each send.
#[test]
fn a_retry_keeps_to_the_regions_that_are_in_force_then() {
    let moved = Arc::new(AtomicBool::new(false));
    let in_north = Arc::new(AtomicU32::new(0));
    let holding = || {
        let (moved, count) = (moved.clone(), in_north.clone());
        Engine::start(Box::new(move |_| {
            count.fetch_add(1, Ordering::SeqCst);
            while !moved.load(Ordering::SeqCst) {
                sleep(Duration::from_millis(5));
            }
            Vec::new()
        }))
    };
    let (first, second, south) = (holding(), holding(), answering("south"));
    let cluster = Cluster::start_in(1, 0, REGIONS);
    declare(&cluster, 1, 1, &["north"], &[]);
    register(&cluster, "z0", "i-1", &first);
    register(&cluster, "z1", "i-2", &second);
    register(&cluster, "z2", "i-3", &south);
    thread::scope(|scope| {
        let caller = scope.spawn(|| call(&cluster, 0, "k1"));
        wait_until("an engine in the north holds it", || {
            in_north.load(Ordering::SeqCst) > 0
        });
        declare(&cluster, 1, 2, &["south"], &[]);
        moved.store(true, Ordering::SeqCst);
        let answer = caller.join().expect("no panic");
        assert_eq!(answer, (200, "south".to_owned()));
    });
    assert_eq!(in_north.load(Ordering::SeqCst), 1);
}
