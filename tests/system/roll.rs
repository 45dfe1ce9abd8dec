//! A change of version while callers call.

use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use filbertstack_standins::load;
use filbertstack_standins::load::Arrivals;
use filbertstack_standins::load::LoadConfig;
use filbertstack_standins::load::Organisation;
use filbertstack_standins::load::Version;

use crate::served::Served;
use crate::support::CALLER_KEY;
use crate::support::Process;
use crate::support::declaration;

/// How many requests are made at a time, again and again while the version changes.
const ROUND: u64 = 60;

// Every caller gets its own whole answer, each from one version and the one that its answer names;
// none is lost or refused for good while the version changes.
// Three engines hold one version at a time and two replicas are declared: the spare one loads the
// new version first, then the old ones are drained and swapped in turn. The gate passes a request
// only to the version it was routed for, and an engine is unloaded only once nothing runs on it.
#[test]
fn a_version_changes_under_load_and_every_answer_is_whole() {
    let served = Served::start_with(3, 2);
    let system = &served.system;
    let fresh = system.weights(9, 1 << 20);
    let origin = Process::start(&["stand-in", "origin", fresh.dir()]);
    let url = format!("http://{}", origin.addr("listening"));
    let publish = [
        "publish",
        fresh.dir(),
        "--model",
        "draft-model",
        "--origin",
        &url,
    ];
    let version = system.operate(&publish);
    let mut config = LoadConfig::new("draft-model");
    config.bootstrap = system.entries.iter().map(|entry| entry.http).collect();
    config.organisations = vec![Organisation::new("acme", CALLER_KEY)];
    config.versions = vec![
        Version {
            digest: served.version.clone(),
            weights: served.weights.digest(),
        },
        Version {
            digest: version.clone(),
            weights: fresh.digest(),
        },
    ];
    config.arrivals = Arrivals::Closed { callers: 6 };
    config.requests = ROUND;
    config.duration = Duration::from_secs(60);
    config.max_tokens = 4..=12;
    config.retries = 20;
    let changed = AtomicBool::new(false);
    std::thread::scope(|scope| {
        let calling = scope.spawn(|| {
            // A round that began before the change had ended is followed by another.
            let mut rounds = Vec::new();
            while !changed.load(Ordering::Relaxed) {
                rounds.push(load::run(&config));
            }
            rounds.push(load::run(&config));
            rounds
        });
        system.apply(&declaration(&version, 2, true));
        system.wait_met();
        changed.store(true, Ordering::Relaxed);
        for round in calling.join().expect("the load ends") {
            assert_eq!((round.exact, round.sent), (ROUND, ROUND), "{round:?}");
        }
    });
}
