//! Voters that are replaced at other addresses and lose their disks together with the power of all, among other faults.

use std::thread;
use std::time::Duration;

use rand::RngExt as _;
use rand_chacha::ChaCha8Rng;

use crate::cluster::wait_until;
use crate::fleet::ENTRIES;
use crate::fleet::Fleet;
use crate::fleet::VOTERS;

/// The number of replacements of a run.
const ROUNDS: usize = 3;

/// How long after a loss the successor starts: longer than a leader needs to notice the silence, and shorter than it
/// waits before it is certain of the loss.
const SUCCESSOR_DELAY: Duration = Duration::from_millis(700);

/// What a run does in one round, by the numbers of entries.
#[derive(Clone, Copy, Debug)]
pub struct Round {
    /// The voter that is gone for good.
    lost: usize,
    /// The entry without a disk that gets an empty one.
    successor: usize,
    /// The voter that stands still meanwhile, if any.
    frozen: Option<usize>,
    /// The voter that loses its disk afterwards, as all lose power.
    wiped: usize,
}

/// Replaces voters, and returns the rounds.
pub fn carry_out(fleet: &Fleet, rng: &mut ChaCha8Rng) -> Vec<Round> {
    let mut voters: Vec<usize> = (0..VOTERS).collect();
    let mut rounds = Vec::new();
    for _ in 0..ROUNDS {
        let without_disk = (0..ENTRIES).find(|n| !voters.contains(n));
        let successor = without_disk.expect("one entry has no disk");
        let place = rng.random_range(0..voters.len());
        let lost = voters[place];
        let freezes = rng.random_bool(0.5);
        let frozen = freezes.then(|| voters[(place + 1) % voters.len()]);
        voters[place] = successor;
        let wiped = voters[rng.random_range(0..voters.len())];
        let round = Round {
            lost,
            successor,
            frozen,
            wiped,
        };
        let pauses = [(); 2].map(|()| Duration::from_millis(rng.random_range(50..1_500)));
        run_round(fleet, round, pauses, &voters);
        rounds.push(round);
    }
    rounds
}

fn run_round(fleet: &Fleet, round: Round, pauses: [Duration; 2], voters: &[usize]) {
    if let Some(n) = round.frozen {
        fleet.cluster().signal(n, "STOP");
    }
    fleet.cluster().remove_voter(round.lost);
    thread::sleep(SUCCESSOR_DELAY);
    fleet.cluster().add_disk(round.successor);
    if let Some(n) = round.frozen {
        thread::sleep(pauses[0]);
        fleet.cluster().signal(n, "CONT");
    }
    fleet.cluster().ensure_running(round.lost);
    wait_until(&format!("entry {} votes", round.successor), || {
        // A frozen voter may have made room in place of the lost one, which is removed once it is back.
        let cluster = fleet.cluster();
        let whole = round.frozen.is_none() || cluster.are_voters(voters);
        whole && cluster.is_voter(round.successor)
    });
    let processes = 0..ENTRIES + fleet.agents().len();
    processes.clone().for_each(|n| fleet.cluster().kill(n));
    fleet.cluster().delete_disk(round.wiped);
    thread::sleep(pauses[1]);
    processes.for_each(|n| fleet.cluster().ensure_running(n));
    wait_until(
        &format!("entries {voters:?} are the voters once more"),
        || fleet.cluster().are_voters(voters),
    );
}
