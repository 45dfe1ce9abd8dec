//! A round-based model of links, to compare strategies for spreading a version.
//!
//! A round is the time in which an instance's link carries one chunk in and one chunk out. If the
//! directions of a link are separate, the origin sends two chunks per round: it carries four copies
//! in the window in which an instance carries two. If they share the link, an instance's two chunks
//! may go in or out, a round lasts twice as long, and the origin sends four. A transfer that starts
//! in a round arrives at its end. At a slow instance it takes ten rounds.

#![allow(dead_code, reason = "each suite uses its own part of the model")]

pub mod mesh;
pub mod push;
pub mod report;
pub mod strategies;
pub mod target;

/// The number of rounds per transfer at an instance whose link has a tenth of the speed.
pub const SLOW_ROUNDS: u64 = 10;

/// The version to spread and the links that carry it.
#[derive(Clone, Copy, Debug)]
pub struct Setting {
    /// The number of targets at the start.
    pub targets: usize,
    /// The number of chunks of the version.
    pub chunks: u32,
    /// Whether both directions share an instance's link.
    pub shared: bool,
    /// The faults during the run.
    pub faults: Faults,
    /// The seed of the random numbers.
    pub seed: u64,
}

/// The faults during a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Faults {
    /// No faults.
    None,
    /// One in twenty instances is lost after half the floor's time, one in a hundred transfers is
    /// corrupted and one in twenty links has a tenth of its speed.
    Mixed,
}

impl Setting {
    pub fn new(targets: usize, shared: bool, faults: Faults) -> Self {
        Self {
            targets,
            chunks: 256,
            shared,
            faults,
            seed: 1,
        }
    }

    /// Returns the number of rounds in a window.
    pub fn window(&self) -> f64 {
        let directions = if self.shared { 1.0 } else { 2.0 };
        directions * f64::from(self.chunks)
    }

    /// Returns the number of chunks that the origin sends per round.
    pub fn origin_capacity(&self) -> usize {
        if self.shared { 4 } else { 2 }
    }

    /// Returns the minimum time, in windows, in which every target can have the version.
    ///
    /// With separate directions it is `max(1/4, 1/2, N / (4 + 2N))`. With shared links, the
    /// instances' links carry all chunks received and those that other instances send: `(2N -
    /// copies) / 2N`, with the 1.05 origin copies that are allowed.
    pub fn floor(&self) -> f64 {
        let n = usize_to_f64(self.targets);
        if self.shared {
            (2.0 * n - 1.05) / (2.0 * n)
        } else {
            0.5_f64.max(n / (4.0 + 2.0 * n))
        }
    }

    /// Returns the round in which instances are lost.
    pub fn loss_round(&self) -> u64 {
        let rounds = self.floor() * self.window() / 2.0;
        let mut found = 1..u64::from(4 * self.chunks);
        found
            .find(|&round| u64_to_f64(round) >= rounds)
            .unwrap_or(1)
    }
}

/// The results of a run.
#[derive(Clone, Copy, Debug, Default)]
pub struct Outcome {
    /// The time in windows until every surviving target at full speed has the version.
    pub time: f64,
    /// The time relative to the floor.
    pub ratio: f64,
    /// The time in windows until every surviving target has the version, including those with slow
    /// links, or `None` if the run ended before.
    pub time_with_slow: Option<f64>,
    /// The number of copies that left the origin.
    pub origin_copies: f64,
    /// The number of copies that crossed from one region into another.
    pub region_copies: f64,
    /// The number of copies that crossed from one zone into another in the same region.
    pub zone_copies: f64,
    /// The number of messages to and from the leader per target.
    pub leader_messages: f64,
    /// The number of announcements and requests between agents per target and chunk.
    pub agent_messages: f64,
    /// The number of surviving targets that will never have the version.
    pub incomplete: usize,
    /// The chunks that arrived more than once, counted in copies.
    pub wasted_copies: f64,
}

pub fn usize_to_f64(number: usize) -> f64 {
    f64::from(u32::try_from(number).unwrap())
}

pub fn u64_to_f64(number: u64) -> f64 {
    f64::from(u32::try_from(number).unwrap())
}
