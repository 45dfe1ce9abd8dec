//! A change of version under load.

use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use filbertstack_standins::load;
use filbertstack_standins::load::Arrivals;
use filbertstack_standins::load::LoadConfig;
use filbertstack_standins::load::Organisation;
use filbertstack_standins::load::Version;

use crate::served::ServedModel;
use crate::support::CALLER_KEY;
use crate::support::Process;
use crate::support::declaration;

/// The number of requests of a round; rounds are repeated while the version changes.
const ROUND_REQUESTS: u64 = 60;

// Every caller gets its own whole answer, produced by exactly the version that the answer names, and no
// request is lost or finally refused while the version changes.
// Three engines hold one version each and two replicas are declared: the spare one loads the new
// version first, then the old ones are drained and replaced in turn. The gate admits a request only
// for the version it was routed to, and an engine is unloaded only when no request runs on it.
#[test]
fn a_version_changes_under_load_and_every_answer_is_whole() {
    let served = ServedModel::start_replicas(3, 2);
    let system = &served.system;
    let next = system.weights(9, 1 << 20);
    let origin = Process::start(&["stand-in", "origin", next.dir()]);
    let url = format!("http://{}", origin.addr("listening"));
    let publish = [
        "publish",
        next.dir(),
        "--model",
        "draft-model",
        "--origin",
        &url,
    ];
    let version = system.run_command(&publish);
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
            weights: next.digest(),
        },
    ];
    config.arrivals = Arrivals::Closed { callers: 6 };
    config.requests = ROUND_REQUESTS;
    config.duration = Duration::from_secs(60);
    config.max_tokens = 4..=12;
    config.retries = 20;
    let changed = AtomicBool::new(false);
    std::thread::scope(|scope| {
        let load_thread = scope.spawn(|| {
            // One more round runs after the change has ended.
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
        for round in load_thread.join().expect("the load finishes") {
            assert_eq!(
                (round.exact, round.sent),
                (ROUND_REQUESTS, ROUND_REQUESTS),
                "{round:?}"
            );
        }
    });
}
