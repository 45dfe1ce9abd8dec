//! Random faults, whose order depends only on the seed; a fault may start before the previous one ends.

use std::thread;
use std::time::Duration;

use rand::RngExt as _;
use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;

use crate::cluster::wait_until;
use crate::fleet::ENTRIES;
use crate::fleet::Fleet;
use crate::fleet::VOTERS;
use crate::proxy::LinkFault;

/// The number of faults of a run.
const FAULT_COUNT: usize = 7;

/// A fault that the test injects.
#[derive(Clone, Copy, Debug)]
pub enum Fault {
    /// A process is killed and restarted later.
    Kill(usize),
    /// All processes are killed at once.
    KillAll,
    /// A process gets SIGTERM, exits and is restarted.
    Term(usize),
    /// A process is suspended and resumed later.
    Freeze(usize),
    /// A voter loses its disk.
    LoseDisk(usize),
    /// Connections to an engine have a fault.
    Link(usize, LinkFault),
    /// Connections to the origin have a fault.
    Origin(LinkFault),
    /// An engine restarts; if its power was lost, it loses its staged pieces.
    Crash(usize, bool),
    /// A staged piece is corrupted.
    CorruptPiece(usize),
    /// New versions of the weights are published.
    NewWeights,
}

/// Injects faults and returns them.
pub fn inject(fleet: &Fleet, rng: &mut ChaCha8Rng) -> Vec<Fault> {
    let faults: Vec<Fault> = (0..FAULT_COUNT).map(|_| random_fault(fleet, rng)).collect();
    for fault in &faults {
        let span = Duration::from_millis(rng.random_range(100..1_800));
        let share = rng.random_range(0.3..1.2);
        let ending = start_fault(fleet, *fault, span);
        thread::sleep(span.mul_f64(share));
        if rng.random_bool(0.5) {
            ending.join().expect("a fault ends");
        }
    }
    // Each remaining fault ends by itself within two seconds.
    thread::sleep(Duration::from_secs(2));
    faults
}

/// Makes random model engines leave orders unanswered and execute them late, until the faults are over.
/// It has its own random generator, so that the other faults of a seed do not depend on it.
pub fn delay_orders(fleet: &Fleet, seed: u64) -> thread::JoinHandle<()> {
    let fleet = fleet.clone();
    let mut rng = ChaCha8Rng::seed_from_u64(seed ^ 0x6c61_7465);
    thread::spawn(move || {
        while !fleet.is_over() {
            let models: Vec<_> = fleet.models().collect();
            let target = models[rng.random_range(0..models.len())];
            target.model.state().late_orders = rng.random_range(0..3);
            thread::sleep(Duration::from_millis(rng.random_range(200..1_500)));
        }
    })
}

/// Returns a random fault.
fn random_fault(fleet: &Fleet, rng: &mut ChaCha8Rng) -> Fault {
    let entry = rng.random_range(0..ENTRIES);
    let process = rng.random_range(0..ENTRIES + fleet.agents().len());
    let target = rng.random_range(0..fleet.targets().len());
    let model =
        rng.random_range(fleet.targets().len() - fleet.agents().len()..fleet.targets().len());
    let delay = LinkFault::Delay(Duration::from_millis(rng.random_range(5..80)));
    let link_faults = [
        delay,
        LinkFault::Reset,
        LinkFault::DropToServer,
        LinkFault::DropFromServer,
        LinkFault::DropAll,
    ];
    let link_fault = link_faults[rng.random_range(0..link_faults.len())];
    match rng.random_range(0..12) {
        0 => Fault::Kill(process),
        1 => Fault::KillAll,
        2 => Fault::Term(entry),
        3 | 4 => Fault::Freeze(process),
        5 => Fault::LoseDisk(rng.random_range(0..VOTERS)),
        6 | 7 => Fault::Link(target, link_fault),
        8 => Fault::Origin(link_fault),
        9 => Fault::Crash(model, rng.random_bool(0.5)),
        10 => Fault::CorruptPiece(model),
        _ => Fault::NewWeights,
    }
}

/// Starts a fault and returns the thread that ends it after `span`.
fn start_fault(fleet: &Fleet, fault: Fault, span: Duration) -> thread::JoinHandle<()> {
    let fleet = fleet.clone();
    let all = 0..ENTRIES + fleet.agents().len();
    match fault {
        Fault::Kill(n) => {
            fleet.cluster().kill(n);
            end_after(span, move || fleet.cluster().ensure_running(n))
        }
        Fault::KillAll => {
            all.clone().for_each(|n| fleet.cluster().kill(n));
            end_after(span, move || {
                all.for_each(|n| fleet.cluster().ensure_running(n));
            })
        }
        Fault::Term(n) => {
            fleet.cluster().signal(n, "TERM");
            let stopped = fleet.cluster().id(n);
            thread::spawn(move || {
                // Another fault may have killed and restarted the process meanwhile.
                wait_until(&format!("process {n} has ended"), || {
                    let mut cluster = fleet.cluster();
                    cluster.has_ended(n) || cluster.id(n) != stopped
                });
                fleet.cluster().ensure_running(n);
            })
        }
        Fault::Freeze(n) => {
            fleet.cluster().signal(n, "STOP");
            end_after(span, move || fleet.cluster().signal(n, "CONT"))
        }
        Fault::LoseDisk(n) => {
            fleet.cluster().lose_disk(n);
            // No other disk may be lost until this entry is a voter again.
            wait_until(&format!("entry {n} is a voter again"), || {
                fleet.cluster().is_voter(n)
            });
            end_after(Duration::ZERO, || {})
        }
        Fault::Link(n, link_fault) => {
            fleet.targets()[n].proxy.set(link_fault);
            end_after(span, move || fleet.targets()[n].proxy.set(LinkFault::None))
        }
        Fault::Origin(link_fault) => {
            fleet.origin_proxy().set(link_fault);
            end_after(span, move || fleet.origin_proxy().set(LinkFault::None))
        }
        Fault::Crash(n, power_lost) => {
            fleet.targets()[n].proxy.set(LinkFault::Reset);
            end_after(span, move || {
                fleet.targets()[n].restart(power_lost);
                fleet.targets()[n].proxy.set(LinkFault::None);
            })
        }
        Fault::CorruptPiece(n) => {
            let mut state = fleet.targets()[n].model.state();
            if let Some(piece) = state.staged.values_mut().next() {
                piece.reverse();
            }
            drop(state);
            end_after(Duration::ZERO, || {})
        }
        Fault::NewWeights => end_after(Duration::ZERO, move || fleet.publish_weights()),
    }
}

/// Starts a thread that calls `end` after `span`.
fn end_after(span: Duration, end: impl FnOnce() + Send + 'static) -> thread::JoinHandle<()> {
    thread::spawn(move || {
        thread::sleep(span);
        end();
    })
}
