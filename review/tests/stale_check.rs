//! An engine turns slow while its agent checks the staged pieces for the last time before the order to load them, and
//! pieces that were checked already turn bad.

mod common;
mod fleet;
mod sha256;

use std::sync::Arc;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use common::BROKEN;
use common::Cluster;
use common::HELD;
use common::NOT_RUN;
use common::Record;
use common::finish;
use common::has_trouble;
use common::wait_until;
use fleet::ENGINES;
use fleet::Engine;
use fleet::Origin;
use fleet::ask;
use fleet::config;

/// The longest time from the naming of a version until all engines serve it.
const ROLLOUT_TIME: Duration = Duration::from_secs(45);

/// So many rounds of requests follow once all engines serve the version.
const ROUNDS_AFTER: u32 = 60;

fn main() {
    common::start_watchdog();
    let record = Record::create();
    let mut cluster = Cluster::start(&record, 3, 0);
    let origin = Origin::start(cluster.spare(0), &record);
    cluster.order_until_acked("PUT", "/config", &config(origin.addr));
    cluster.await_ready();
    let engines: Vec<Arc<Engine>> = (0..ENGINES)
        .map(|n| Engine::start(n, &cluster, &record))
        .collect();
    for n in 0..ENGINES {
        cluster.start_agent(n, "chat");
    }
    let asked = AtomicU32::new(0);
    let attempt = || format!("{:x}", 0x1_0000 + asked.fetch_add(1, Ordering::SeqCst));
    wait_until(&record, "each entry serves", || {
        (0..cluster.entries()).all(|n| ask(cluster.front(n), &attempt()) == Some(200))
    });
    record.note("all engines serve version 1; version 2 is named");
    engines[0].trouble.store(has_trouble(), Ordering::SeqCst);
    origin.newest.store(2, Ordering::SeqCst);
    cluster.order_until_acked("POST", "/version-put", "{\"model\":\"m\",\"version\":2}");
    let named = Instant::now();
    let serve_new = || engines.iter().filter(|e| e.version() == 2).count();
    // Callers go on during the rollout, and for a while after it.
    let mut after = 0;
    while named.elapsed() < ROLLOUT_TIME && after < ROUNDS_AFTER {
        for n in 0..cluster.entries() {
            let id = attempt();
            let status = ask(cluster.front(n), &id);
            record.note(&format!("{id} got {status:?}"));
        }
        after += u32::from(serve_new() == ENGINES);
        thread::sleep(Duration::from_millis(30));
    }
    let served = serve_new();
    cluster.end();
    let broken: Vec<String> = engines
        .iter()
        .flat_map(|e| e.broken.lock().expect("sound").clone())
        .collect();
    record.note(&format!(
        "{served} engines serve version 2, {} requests ran on spoilt layers",
        broken.len()
    ));
    match broken.first() {
        Some(first) => finish(&record, BROKEN, &format!("WHOLE: {first}")),
        None if served == ENGINES => finish(&record, HELD, "all engines took the version whole"),
        None => finish(&record, NOT_RUN, "not all engines serve version 2"),
    }
}
