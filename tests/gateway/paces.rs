//! Tests engines that are slow without reporting it.

use std::net::SocketAddr;
use std::thread;
use std::time::Duration;

use crate::cluster::Cluster;
use crate::cluster::document;
use crate::cluster::exchange;
use crate::cluster::get;
use crate::cluster::wait_until;
use crate::engine::Engine;
use crate::engine::stream;
use crate::model::services;

/// The pauses between two events. The published figures say 41 ms.
const USUAL_PAUSE: Duration = Duration::from_millis(20);
const SLOW_PAUSE: Duration = Duration::from_millis(160);

/// The number of events of a stream.
const EVENTS: u64 = 8;

/// The number of callers at once, so that both engines have streams.
const CALLERS: usize = 6;

/// Has callers read streams at once, and ignores how these end.
fn read_streams(cluster: &Cluster) {
    let addr = cluster.front_addr(0);
    thread::scope(|scope| {
        for _ in 0..CALLERS {
            scope.spawn(|| exchange(&addr, &get("/stream/", "a", "")));
        }
    });
}

/// Two engines publish the same figures, and one of them is several times slower. Its events reach callers
/// late, and without estimates the entry knows nothing of it, as no engine reports. The entry finds it by the
/// gaps between the events that it passes on, tells it in its log and counts it.
#[test]
fn a_slow_engine_is_found_by_its_events() {
    let mut cluster = Cluster::start(1, 0);
    cluster.kill(0);
    cluster.add_settings(0, "[features]\nenabled = health\n");
    cluster.launch(0);
    let events = |pause| Engine::paced(pause, Box::new(|received| stream(received, EVENTS, 0)));
    let (usual, slow) = (events(USUAL_PAUSE), events(SLOW_PAUSE));
    let mut document = document(1);
    let nowhere = SocketAddr::from(([127, 0, 0, 1], 9));
    document["services"] = services(nowhere);
    cluster.put_document(&[0], &document);
    cluster.register(0, "usual-1", "stream", usual.addr);
    cluster.register(0, "slow-1", "stream", slow.addr);
    wait_until("the slow engine is found", || {
        for (id, engine) in [("usual-1", &usual), ("slow-1", &slow)] {
            cluster.announce(0, id, "stream", engine.addr);
        }
        read_streams(&cluster);
        let log = cluster.logged(0);
        let mut lines = log.lines().filter(|l| l.contains("target turned slow"));
        lines.any(|line| line.contains("slow-1") && line.contains("\"estimate\":"))
    });
    let metrics = cluster.metrics(0);
    let counted = "filbertstack_entry_target_paces_total{state=\"slow\"}";
    assert!(metrics.contains(counted), "{metrics}");
}
