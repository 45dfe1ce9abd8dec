//! A round model of links, to compare ways of spreading a version.
//!
//! A round is the time in which an instance's link carries one chunk in and one out. With links of
//! separate directions the origin sends two chunks in it: it carries four copies in the window in
//! which an instance carries two. With shared links an instance's two chunks may be in or out, a
//! round lasts twice as long, and the origin sends four. A transfer that begins in a round has
//! arrived at its end; at a slow instance it takes ten.

#![allow(dead_code, reason = "each suite uses its own part of the model")]

pub mod mesh;
pub mod node;
pub mod push;
pub mod report;
pub mod ways;

/// The rounds of a transfer at an instance whose link has a tenth of the speed.
pub const SLOW: u64 = 10;

/// What is to be spread, and over which links.
#[derive(Clone, Copy, Debug)]
pub struct Setting {
    /// The targets at the start.
    pub targets: usize,
    /// The chunks of the version.
    pub chunks: u32,
    /// Whether in and out share an instance's link.
    pub shared: bool,
    /// What fails.
    pub faults: Faults,
    /// The seed of all chance.
    pub seed: u64,
}

/// What fails in a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Faults {
    /// Nothing.
    None,
    /// One in twenty instances is lost when half the floor's time has passed, one in a hundred
    /// transfers is corrupted, one in twenty links has a tenth of its speed.
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

    /// The rounds of a window.
    pub fn window(&self) -> f64 {
        let directions = if self.shared { 1.0 } else { 2.0 };
        directions * f64::from(self.chunks)
    }

    /// The chunks that the origin sends in a round.
    pub fn origin(&self) -> usize {
        if self.shared { 4 } else { 2 }
    }

    /// The least time in windows in which every target can have the version.
    ///
    /// Separate directions: `max(1/4, 1/2, N / (4 + 2N))`. Shared: the chunks received, and those
    /// that other instances send, pass the instances' links: `(2N - copies) / 2N`, with the 1.05
    /// origin copies that are allowed.
    pub fn floor(&self) -> f64 {
        let n = count(self.targets);
        if self.shared {
            (2.0 * n - 1.05) / (2.0 * n)
        } else {
            0.5_f64.max(n / (4.0 + 2.0 * n))
        }
    }

    /// The round in which instances are lost.
    pub fn midway(&self) -> u64 {
        let rounds = self.floor() * self.window() / 2.0;
        let mut found = 1..u64::from(4 * self.chunks);
        found.find(|&round| real(round) >= rounds).unwrap_or(1)
    }
}

/// What a run showed.
#[derive(Clone, Copy, Debug, Default)]
pub struct Outcome {
    /// Windows until every surviving target at full speed had the version.
    pub time: f64,
    /// The same over the floor.
    pub ratio: f64,
    /// Windows until every surviving target had it, those with slow links too; none if the run
    /// ended before.
    pub slow: Option<f64>,
    /// Copies that left the origin.
    pub origin: f64,
    /// Copies that crossed from one region into another.
    pub regions: f64,
    /// Copies that crossed from one zone into another of its region.
    pub zones: f64,
    /// Messages to and from the leader for each target.
    pub leader: f64,
    /// Messages between agents for each target and chunk, announcements and requests.
    pub chat: f64,
    /// Surviving targets that will never have it.
    pub without: usize,
    /// Chunks that arrived more than once, in copies.
    pub wasted: f64,
}

pub fn count(number: usize) -> f64 {
    f64::from(u32::try_from(number).unwrap())
}

pub fn real(number: u64) -> f64 {
    f64::from(u32::try_from(number).unwrap())
}
