//! Faults, in an order that the seed fixes; some begin before the one before has ended.

use std::thread;
use std::time::Duration;

use rand::RngExt as _;
use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;

use crate::cluster::wait_until;
use crate::fleet::ENTRIES;
use crate::fleet::Fleet;
use crate::fleet::VOTERS;
use crate::proxy::Harm;

/// Faults of one play.
const FAULTS: usize = 7;

/// A fault.
#[derive(Clone, Copy, Debug)]
pub enum Fault {
    /// A process is killed and starts again after a while.
    Kill(usize),
    /// All processes are killed at once.
    KillAll,
    /// A process is told to end, does, and starts again.
    Term(usize),
    /// A process is stopped and goes on after a while.
    Freeze(usize),
    /// A voter loses its disk.
    Wipe(usize),
    /// Connections to an engine are harmed.
    Link(usize, Harm),
    /// Connections to the origin are harmed.
    Origin(Harm),
    /// An engine starts again; without power it loses its staged pieces.
    Crash(usize, bool),
    /// A piece turns bad where it lies staged.
    Rot(usize),
    /// New weights are named.
    Weights,
}

/// Plays faults and tells which.
pub fn play(fleet: &Fleet, rng: &mut ChaCha8Rng) -> Vec<Fault> {
    let faults: Vec<Fault> = (0..FAULTS).map(|_| draw(fleet, rng)).collect();
    for fault in &faults {
        let span = Duration::from_millis(rng.random_range(100..1_800));
        let share = rng.random_range(0.3..1.2);
        let ending = begin(fleet, *fault, span);
        thread::sleep(span.mul_f64(share));
        if rng.random_bool(0.5) {
            ending.join().expect("a fault ends");
        }
    }
    // What still runs down ends by itself within two seconds.
    thread::sleep(Duration::from_secs(2));
    faults
}

/// Now and then, a model engine leaves an order without an answer and carries it out late, beside all
/// other faults, until they are over. Drawn by itself, so that older seeds play the same faults.
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

fn draw(fleet: &Fleet, rng: &mut ChaCha8Rng) -> Fault {
    let entry = rng.random_range(0..ENTRIES);
    let process = rng.random_range(0..ENTRIES + fleet.agents().len());
    let target = rng.random_range(0..fleet.targets().len());
    let model =
        rng.random_range(fleet.targets().len() - fleet.agents().len()..fleet.targets().len());
    let delay = Harm::Delay(Duration::from_millis(rng.random_range(5..80)));
    let harms = [
        delay,
        Harm::Reset,
        Harm::CutThere,
        Harm::CutBack,
        Harm::Silence,
    ];
    let harm = harms[rng.random_range(0..harms.len())];
    match rng.random_range(0..12) {
        0 => Fault::Kill(process),
        1 => Fault::KillAll,
        2 => Fault::Term(entry),
        3 | 4 => Fault::Freeze(process),
        5 => Fault::Wipe(rng.random_range(0..VOTERS)),
        6 | 7 => Fault::Link(target, harm),
        8 => Fault::Origin(harm),
        9 => Fault::Crash(model, rng.random_bool(0.5)),
        10 => Fault::Rot(model),
        _ => Fault::Weights,
    }
}

/// Begins a fault; the thread ends it after `span`.
fn begin(fleet: &Fleet, fault: Fault, span: Duration) -> thread::JoinHandle<()> {
    let fleet = fleet.clone();
    let all = 0..ENTRIES + fleet.agents().len();
    match fault {
        Fault::Kill(n) => {
            fleet.world().kill(n);
            after(span, move || fleet.world().ensure_running(n))
        }
        Fault::KillAll => {
            all.clone().for_each(|n| fleet.world().kill(n));
            after(span, move || {
                all.for_each(|n| fleet.world().ensure_running(n));
            })
        }
        Fault::Term(n) => {
            fleet.world().signal(n, "TERM");
            let told = fleet.world().id(n);
            thread::spawn(move || {
                // Another fault may have killed it and started it again meanwhile.
                wait_until(&format!("process {n} has ended"), || {
                    let mut world = fleet.world();
                    world.has_ended(n) || world.id(n) != told
                });
                fleet.world().ensure_running(n);
            })
        }
        Fault::Freeze(n) => {
            fleet.world().signal(n, "STOP");
            after(span, move || fleet.world().signal(n, "CONT"))
        }
        Fault::Wipe(n) => {
            let before = fleet.world().lose_disk(n);
            // A second disk may be lost only when the first is made up for.
            wait_until(&format!("entry {n} is a voter again"), || {
                fleet.world().promotions(n) > before
            });
            after(Duration::ZERO, || {})
        }
        Fault::Link(n, harm) => {
            fleet.targets()[n].proxy.set(harm);
            after(span, move || fleet.targets()[n].proxy.set(Harm::None))
        }
        Fault::Origin(harm) => {
            fleet.origin().set(harm);
            after(span, move || fleet.origin().set(Harm::None))
        }
        Fault::Crash(n, power) => {
            fleet.targets()[n].proxy.set(Harm::Reset);
            after(span, move || {
                fleet.targets()[n].restart(power);
                fleet.targets()[n].proxy.set(Harm::None);
            })
        }
        Fault::Rot(n) => {
            let mut held = fleet.targets()[n].model.state();
            if let Some(piece) = held.staged.values_mut().next() {
                piece.reverse();
            }
            drop(held);
            after(Duration::ZERO, || {})
        }
        Fault::Weights => after(Duration::ZERO, move || fleet.name_weights()),
    }
}

fn after(span: Duration, end: impl FnOnce() + Send + 'static) -> thread::JoinHandle<()> {
    thread::spawn(move || {
        thread::sleep(span);
        end();
    })
}
