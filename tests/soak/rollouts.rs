//! Rollouts of weights to engines that are slow, lose pieces or carry out writes late, and whose agents are killed,
//! stopped or frozen meanwhile.

use std::thread;
use std::time::Duration;

use rand::RngExt as _;
use rand_chacha::ChaCha8Rng;

use crate::fleet::ENTRIES;
use crate::fleet::Fleet;

/// The number of versions of a run.
const ROUND_COUNT: usize = 5;

/// The times that an engine may take to read a staged piece, in milliseconds. The longest is below the time that an
/// agent waits, also where the engine answers one call at a time.
const READ_TIMES_MS: [u64; 4] = [0, 5, 40, 120];

/// What happens to an agent.
#[derive(Clone, Copy, Debug)]
pub enum AgentFault {
    /// Nothing.
    None,
    /// It is killed and started again.
    Kill,
    /// It gets SIGTERM, exits and is started again.
    Restart,
    /// It is frozen for a while.
    Freeze(Duration),
}

/// One version: what its engines, the origin and an agent do.
#[derive(Clone, Copy, Debug)]
pub struct Round {
    read_ms: u64,
    one_by_one: bool,
    rot_at: u32,
    late_puts: u32,
    spoilt_lists: u64,
    /// The engine and agent that this happens to.
    at: usize,
    fault: AgentFault,
    /// When the fault begins.
    delay: Duration,
}

fn random_round(rng: &mut ChaCha8Rng, agents: usize) -> Round {
    let fault = match rng.random_range(0..4) {
        0 => AgentFault::None,
        1 => AgentFault::Kill,
        2 => AgentFault::Restart,
        _ => AgentFault::Freeze(Duration::from_millis(rng.random_range(200..4_500))),
    };
    Round {
        read_ms: READ_TIMES_MS[rng.random_range(0..READ_TIMES_MS.len())],
        one_by_one: rng.random_bool(0.3),
        rot_at: rng.random_range(0..4),
        late_puts: rng.random_range(0..2),
        spoilt_lists: rng.random_range(0..4),
        at: rng.random_range(0..agents),
        fault,
        delay: Duration::from_millis(rng.random_range(0..6_000)),
    }
}

/// Carries out random rounds, and returns them.
pub fn carry_out(fleet: &Fleet, rng: &mut ChaCha8Rng) -> Vec<Round> {
    let agents = fleet.agents().len();
    let rounds = (0..ROUND_COUNT).map(|_| random_round(rng, agents));
    let rounds: Vec<Round> = rounds.collect();
    for round in &rounds {
        fleet.send_document();
        set_engines(fleet, *round);
        fleet.spoil_lists(round.spoilt_lists);
        fleet.publish_weights();
        thread::sleep(round.delay);
        inject(fleet, *round);
    }
    for target in fleet.models() {
        target.model.state().read_time = Duration::ZERO;
    }
    rounds
}

fn set_engines(fleet: &Fleet, round: Round) {
    for (n, target) in fleet.models().enumerate() {
        let mut state = target.model.state();
        let is_chosen = n == round.at;
        state.read_time = Duration::from_millis(if is_chosen { round.read_ms } else { 0 });
        state.one_by_one = is_chosen && round.one_by_one;
        state.rot_at = if is_chosen { round.rot_at } else { 0 };
        state.late_puts = if is_chosen { round.late_puts } else { 0 };
    }
}

fn inject(fleet: &Fleet, round: Round) {
    let agent = fleet.agents()[round.at];
    debug_assert!(agent >= ENTRIES, "agents start after all entries");
    match round.fault {
        AgentFault::None => {}
        AgentFault::Kill => fleet.cluster().kill(agent),
        AgentFault::Restart => {
            fleet.cluster().stop(agent);
        }
        AgentFault::Freeze(span) => {
            fleet.cluster().signal(agent, "STOP");
            thread::sleep(span);
            fleet.cluster().signal(agent, "CONT");
        }
    }
    fleet.cluster().ensure_running(agent);
}
