//! An operator that changes the document and reads it back.

use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;

use rand::RngExt as _;
use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;

use crate::cluster::wait_until;
use crate::fleet::ENTRIES;
use crate::fleet::Fleet;

/// The pause of the operator between two reads.
const READ_PAUSE: Duration = Duration::from_millis(100);

/// A running operator.
pub struct Operator(JoinHandle<Vec<String>>);

/// Starts an operator that reads the document until the faults are over and changes it at random.
pub fn start(fleet: &Fleet, seed: u64) -> Operator {
    let fleet = fleet.clone();
    let mut rng = ChaCha8Rng::seed_from_u64(seed ^ 0x6f70);
    Operator(thread::spawn(move || {
        let mut violations = Vec::new();
        while !fleet.is_over() {
            if rng.random_bool(0.2) {
                fleet.send_document();
            }
            let entry = rng.random_range(0..ENTRIES);
            let newest = fleet.acknowledged();
            let read = fleet.control(entry, "GET", "/config", "");
            let read = read.and_then(|document| document["version"].as_u64());
            if let Some(read) = read.filter(|read| *read < newest) {
                violations.push(format!(
                    "entry {entry} returned version {read} after {newest} was acknowledged"
                ));
            }
            thread::sleep(READ_PAUSE);
        }
        violations
    }))
}

impl Operator {
    /// Waits for the operator, and until every entry returns the last acknowledged version.
    pub fn finish(self, fleet: &Fleet) -> Vec<String> {
        let violations = self.0.join().expect("the operator ends");
        let newest = fleet.acknowledged();
        for n in 0..ENTRIES {
            wait_until(&format!("entry {n} reads version {newest}"), || {
                let read = fleet.control(n, "GET", "/config", "");
                let read = read.and_then(|document| document["version"].as_u64());
                read.is_some_and(|read| read >= newest)
            });
        }
        violations
    }
}
