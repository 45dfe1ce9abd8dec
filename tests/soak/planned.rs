//! Planned work in a random order, without any fault.

use std::thread;
use std::time::Duration;

use rand::RngExt as _;
use rand_chacha::ChaCha8Rng;

use crate::cluster::wait_until;
use crate::fleet::ENTRIES;
use crate::fleet::Fleet;

/// The number of pieces of work of a run.
const WORK_COUNT: usize = 10;

/// The shortest and the longest pause between two pieces of work, in milliseconds.
const PAUSE_MS: [u64; 2] = [200, 2_000];

/// A piece of planned work.
#[derive(Clone, Copy, Debug)]
pub enum Work {
    /// New versions of the weights are published.
    NewWeights,
    /// The document changes.
    Document,
    /// A process gets SIGHUP.
    Reload(usize),
    /// A process gets SIGTERM, exits and is started again.
    Restart(usize),
}

/// Carries out random work, and returns it. Weights are published at the start, so that engines load meanwhile.
pub fn carry_out(fleet: &Fleet, rng: &mut ChaCha8Rng) -> Vec<Work> {
    let processes = ENTRIES + fleet.agents().len();
    let work = (1..WORK_COUNT).map(|_| random_work(rng, processes));
    let work: Vec<Work> = std::iter::once(Work::NewWeights).chain(work).collect();
    for piece in &work {
        start(fleet, *piece);
        thread::sleep(Duration::from_millis(
            rng.random_range(PAUSE_MS[0]..PAUSE_MS[1]),
        ));
    }
    work
}

fn random_work(rng: &mut ChaCha8Rng, processes: usize) -> Work {
    let process = rng.random_range(0..processes);
    match rng.random_range(0..6) {
        0 | 1 => Work::NewWeights,
        2 | 3 => Work::Document,
        4 => Work::Reload(process),
        _ => Work::Restart(process),
    }
}

fn start(fleet: &Fleet, work: Work) {
    match work {
        Work::NewWeights => fleet.publish_weights(),
        Work::Document => fleet.send_document(),
        Work::Reload(n) => fleet.cluster().signal(n, "HUP"),
        Work::Restart(n) => restart(fleet, n),
    }
}

/// Stops a process and waits until it has started again, so that no two are away at a time.
fn restart(fleet: &Fleet, n: usize) {
    fleet.cluster().signal(n, "TERM");
    wait_until(&format!("process {n} has ended"), || {
        fleet.cluster().has_ended(n)
    });
    fleet.cluster().ensure_running(n);
    if n < ENTRIES {
        wait_until(&format!("entry {n} is ready"), || {
            fleet.cluster().is_ready(n)
        });
    }
}
