//! An agent is killed while a write of a piece hangs in its engine. Its successor stages a newer version, and the write is
//! carried out during the check of that version. Later the agent is restarted as planned.

mod common;
mod fleet;
mod sha256;

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

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

/// The agent is killed when a write has hung for this time.
const KILL_AFTER: Duration = Duration::from_millis(300);

/// The time from the end of the rollout to the planned restart of the agent.
const CALM_TIME: Duration = Duration::from_secs(5);

/// Callers go on for this time after that restart.
const TIME_AFTER: Duration = Duration::from_secs(15);

/// The callers, each of which sends one request after another.
const CALLERS: usize = 3;

/// The pause of a caller between two requests.
const CALLER_PAUSE: Duration = Duration::from_millis(40);

/// What an agent logs when it has found that its engine holds pieces of two versions.
const FOUND: &str = "engine may have loaded pieces of two versions";

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
    let asked = Arc::new(AtomicU32::new(0x1_0000));
    wait_until(&record, "each entry serves", || {
        (0..cluster.entries()).all(|n| {
            let id = format!("{:x}", asked.fetch_add(1, Ordering::SeqCst));
            ask(cluster.front(n), &id) == Some(200)
        })
    });
    let stop = Arc::new(AtomicBool::new(false));
    let served = Arc::new(AtomicU32::new(0));
    let callers: Vec<_> = (0..CALLERS)
        .map(|caller| {
            let front = cluster.front(caller % cluster.entries());
            let (asked, stop, served) = (asked.clone(), stop.clone(), served.clone());
            let record = record.clone();
            thread::spawn(move || {
                while !stop.load(Ordering::SeqCst) {
                    let id = format!("{:x}", asked.fetch_add(1, Ordering::SeqCst));
                    let status = ask(front, &id);
                    record.note(&format!("{id} got {status:?}"));
                    served.fetch_add(u32::from(status == Some(200)), Ordering::SeqCst);
                    thread::sleep(CALLER_PAUSE);
                }
            })
        })
        .collect();
    let name = |cluster: &Cluster, version: u64| {
        origin.newest.store(version, Ordering::SeqCst);
        let body = format!("{{\"model\":\"m\",\"version\":{version}}}");
        cluster.order_until_acked("POST", "/version-put", &body);
    };
    let agent = cluster.agent(0);
    engines[0]
        .withholds_write
        .store(has_trouble(), Ordering::SeqCst);
    name(&cluster, 2);
    if has_trouble() {
        wait_until(&record, "a write hangs", || engines[0].has_late_write());
        thread::sleep(KILL_AFTER);
        cluster.kill(agent);
        cluster.launch(agent);
    } else {
        thread::sleep(Duration::from_secs(1));
    }
    name(&cluster, 3);
    wait_until(&record, "all engines serve version 3", || {
        engines.iter().all(|e| e.version() == 3)
    });
    thread::sleep(CALM_TIME);
    let found = cluster.logged(agent).contains(FOUND);
    let early = engines[0].broken.lock().expect("sound").len();
    record.note(&format!(
        "the agent has found pieces of two versions: {found}; requests run on them so far: {early}"
    ));
    if has_trouble() {
        cluster.signal(agent, "TERM");
        wait_until(&record, "the agent ends", || {
            cluster.logged(agent).contains("\"stopped\"")
        });
        cluster.kill(agent);
        cluster.launch(agent);
    }
    thread::sleep(TIME_AFTER);
    stop.store(true, Ordering::SeqCst);
    for caller in callers {
        let _ = caller.join();
    }
    let lands = !has_trouble() || !engines[0].has_late_write();
    cluster.end();
    let broken = engines[0].broken.lock().expect("sound").clone();
    let served = served.load(Ordering::SeqCst);
    record.note(&format!(
        "{served} served, {} of them on pieces of two versions",
        broken.len()
    ));
    match broken.first() {
        Some(first) => finish(&record, BROKEN, &format!("WHOLE: {first}")),
        None if !lands || served < 100 => {
            finish(&record, NOT_RUN, "no write was late, or too little served")
        }
        None => finish(&record, HELD, "no request ran on pieces of two versions"),
    }
}
