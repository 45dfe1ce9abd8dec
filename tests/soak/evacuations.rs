//! An operator that evacuates zones and withdraws that, and an engine in a zone that stays evacuated.

use std::collections::BTreeSet;
use std::io::Write as _;
use std::net::TcpStream;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;

use rand::RngExt as _;
use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;
use serde_json::json;

use crate::cluster::wait_until;
use crate::engine::Engine;
use crate::engine::Received;
use crate::engine::answer;
use crate::fleet::ENTRIES;
use crate::fleet::Fleet;

/// The zone that is evacuated before the faults begin and stays so.
const KEPT_ZONE: &str = "kept";

/// The other zones, which have no engine.
const ZONES: [&str; 3] = ["e-0", "e-1", "e-2"];

/// The part of calls whose answer the operator does not read.
const LOST_ANSWERS: f64 = 0.3;

/// The pause of the operator between two calls.
const CALL_PAUSE: Duration = Duration::from_millis(150);

/// The interval between two announcements of the engine.
const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(300);

/// A running operator, and the engine that must get nothing.
pub struct Evacuations {
    operator: JoinHandle<BTreeSet<&'static str>>,
    engine: Engine,
}

/// Evacuates a zone, starts an engine there, and starts an operator that changes other zones at random until the
/// faults are over. It has its own random generator, so that the faults of a seed do not depend on it.
pub fn start(fleet: &Fleet, seed: u64) -> Evacuations {
    let mut rng = ChaCha8Rng::seed_from_u64(seed ^ 0x6576_6163);
    change(fleet, &mut rng, "POST", KEPT_ZONE);
    await_evacuated(fleet, 1);
    let engine = Engine::start(Box::new(|received: &Received| {
        answer(received, "200 OK", "from an evacuated zone")
    }));
    announce(fleet, &engine);
    let fleet = fleet.clone();
    let operator = thread::spawn(move || {
        let mut evacuated = BTreeSet::new();
        while !fleet.is_over() {
            let zone = ZONES[rng.random_range(0..ZONES.len())];
            if evacuated.remove(zone) {
                change(&fleet, &mut rng, "DELETE", zone);
            } else {
                change(&fleet, &mut rng, "POST", zone);
                evacuated.insert(zone);
            }
            thread::sleep(CALL_PAUSE);
        }
        evacuated
    });
    Evacuations { operator, engine }
}

/// Sends a call to random entries until one acknowledges it. Some answers are not read.
fn change(fleet: &Fleet, rng: &mut ChaCha8Rng, method: &str, zone: &str) {
    let path = format!("/evacuations/{zone}");
    loop {
        let entry = rng.random_range(0..ENTRIES);
        if rng.random_bool(LOST_ANSWERS) {
            let addr = fleet.cluster().control_addr(entry);
            let call = format!("{method} {path} HTTP/1.1\r\nHost: control\r\n\r\n");
            if let Ok(mut lost) = TcpStream::connect(addr) {
                let _ = lost.write_all(call.as_bytes());
            }
        } else if fleet.control(entry, method, &path, "").is_some() {
            return;
        }
        thread::sleep(Duration::from_millis(50));
    }
}

/// Waits until every entry obeys the evacuation of exactly `count` zones.
fn await_evacuated(fleet: &Fleet, count: usize) {
    let line = format!("filbertstack_entry_evacuated_zones {count}");
    for n in 0..ENTRIES {
        wait_until(&format!("entry {n} obeys {line}"), || {
            let metrics = fleet.cluster().metrics(n);
            metrics.lines().any(|found| found == line)
        });
    }
}

/// Announces the engine at an interval until the faults are over.
fn announce(fleet: &Fleet, engine: &Engine) {
    let (fleet, addr) = (fleet.clone(), engine.addr.to_string());
    thread::spawn(move || {
        let mut sequence = 0;
        while !fleet.is_over() {
            sequence += 1;
            let body = json!({
                "service": "safe", "address": addr, "zone": KEPT_ZONE, "slots": 4, "state": "ready",
                "sequence": sequence, "born": 1
            });
            let body = body.to_string();
            let mut entries = 0..ENTRIES;
            entries.any(|n| {
                fleet
                    .control(n, "PUT", "/instances/i-kept", &body)
                    .is_some()
            });
            thread::sleep(ANNOUNCE_INTERVAL);
        }
    });
}

impl Evacuations {
    /// Waits for the operator, and until every entry obeys what was acknowledged. Returns a violation if the engine
    /// in the evacuated zone got requests.
    pub fn finish(self, fleet: &Fleet) -> Vec<String> {
        let evacuated = self.operator.join().expect("the operator ends");
        await_evacuated(fleet, 1 + evacuated.len());
        let received = self.engine.received();
        let violations = received
            .iter()
            .map(|r| format!("{} in an evacuated zone", r.line));
        violations.collect()
    }
}
