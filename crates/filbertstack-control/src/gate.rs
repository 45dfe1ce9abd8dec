//! The agent's gate: the last place where a stale order or a misrouted request can be refused.
//!
//! Some engines ignore fencing numbers and some targets check nobody, so what the gate lets
//! through runs. Two rules are enough:
//!
//! - *Orders.* A [`Delivery`] names the process it is for, the term of the leader that vouches
//!   for it and the order's sequence. Neither term nor sequence ever goes back. An agent has no
//!   disk: a [`UnarmedGate`] gate takes no order until a majority of the voters has told it the
//!   highest term they know. A leader needs a majority to be elected, so one of them knows of
//!   every leader that an earlier process of this agent may have obeyed.
//! - *Requests.* A request names the version it was routed for and passes only while exactly that
//!   version is serving ([`Versions`]); anything else is refused and certainly did not run.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use filbertstack_core::Digest;
use filbertstack_core::names::InstanceName;
use thiserror::Error;

/// What one voter tells a newborn gate.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VoterReport {
    /// The voter.
    pub voter: InstanceName,
    /// The highest term that it has on disk.
    pub term: u64,
    /// The log index of the latest set of voters that it knows.
    pub config_index: u64,
    /// That set.
    pub voters: BTreeSet<InstanceName>,
}

/// An order on its way to a target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Delivery {
    /// The agent process that it is for.
    pub incarnation: u64,
    /// The term of the leader that says this order is the latest. At least the order's own.
    pub term: u64,
    /// The order's sequence.
    pub sequence: u64,
}

/// A gate that knows no term yet: its agent has just started.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UnarmedGate {
    incarnation: u64,
    words: BTreeMap<InstanceName, VoterReport>,
}

/// A gate that knows the term.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ArmedGate {
    incarnation: u64,
    term: u64,
    sequence: u64,
}

/// A newborn gate after a voter's word.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Arming {
    /// More voters must be asked.
    Waiting(UnarmedGate),
    /// A majority has spoken.
    Armed(ArmedGate),
}

/// What an order that may be acted on is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Taken {
    /// A new order: act on it.
    New,
    /// The order that stands already.
    Repeated,
}

/// Why an order is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum Refusal {
    /// It is for an earlier process of this agent.
    #[error("the order is for process {given}, this is {own}: ask the agent for its process first")]
    OtherProcess {
        /// The process named.
        given: u64,
        /// This process.
        own: u64,
    },
    /// Its leader's term is over.
    #[error("term {given} is over, term {seen} has begun: step down")]
    OldTerm {
        /// The term named.
        given: u64,
        /// The highest seen.
        seen: u64,
    },
    /// A later order was taken.
    #[error("order {given} is older than order {seen}: read the state and send the latest")]
    OldOrder {
        /// The sequence named.
        given: u64,
        /// The highest taken.
        seen: u64,
    },
}

impl UnarmedGate {
    /// The gate of the agent process `incarnation`.
    pub fn new(incarnation: u64) -> Self {
        Self {
            incarnation,
            words: BTreeMap::new(),
        }
    }

    /// Takes a voter's word in; a later word of the same voter replaces the earlier.
    pub fn add_report(mut self, word: VoterReport) -> Arming {
        self.words.insert(word.voter.clone(), word);
        if !self.has_majority() {
            return Arming::Waiting(self);
        }
        let term = self.words.values().map(|word| word.term).max();
        Arming::Armed(ArmedGate {
            incarnation: self.incarnation,
            term: term.unwrap_or(0),
            sequence: 0,
        })
    }

    /// Whether a majority of the latest set of voters that anybody named has spoken. Voters that
    /// were replaced may not know it; the one that does names the set that counts.
    fn has_majority(&self) -> bool {
        let latest = self.words.values().max_by_key(|word| word.config_index);
        latest.is_some_and(|latest| {
            let voters = latest.voters.iter();
            let spoken = voters.filter(|voter| self.words.contains_key(*voter));
            spoken.count() > latest.voters.len() / 2
        })
    }
}

impl ArmedGate {
    /// The highest term known.
    pub fn term(&self) -> u64 {
        self.term
    }

    /// The sequence of the order that stands, 0 before the first.
    pub fn sequence(&self) -> u64 {
        self.sequence
    }

    /// Learns of a term by any way other than an order.
    pub fn hear_term(&mut self, term: u64) {
        self.term = self.term.max(term);
    }

    /// Decides whether an order may be acted on.
    ///
    /// # Errors
    /// [`Refusal`]; the gate is as before, and the target does as it was last ordered.
    pub fn accept(&mut self, delivery: &Delivery) -> Result<Taken, Refusal> {
        // A network may hold a message back for longer than a restart takes: without this, an old
        // order of the present term, sent to the process before, would be the first to arrive.
        if delivery.incarnation != self.incarnation {
            return Err(Refusal::OtherProcess {
                given: delivery.incarnation,
                own: self.incarnation,
            });
        }
        if delivery.term < self.term {
            return Err(Refusal::OldTerm {
                given: delivery.term,
                seen: self.term,
            });
        }
        if delivery.sequence < self.sequence {
            return Err(Refusal::OldOrder {
                given: delivery.sequence,
                seen: self.sequence,
            });
        }
        let repeated = delivery.sequence == self.sequence;
        self.term = delivery.term;
        self.sequence = delivery.sequence;
        Ok(if repeated {
            Taken::Repeated
        } else {
            Taken::New
        })
    }
}

/// How far a version has come on the target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    Loading,
    Serving,
    Draining,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Version {
    phase: Phase,
    running: u32,
}

/// Why a request did not pass. It certainly did not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum NotRun {
    /// The target does not have the version.
    #[error("the target does not hold this version: route the request again")]
    Absent,
    /// The target loads the version.
    #[error("the target still loads this version: route the request to another")]
    Loading,
    /// The target gives the version up.
    #[error("the target drains this version: route the request to another")]
    Draining,
}

/// The versions on the target and the requests in progress on each.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Versions {
    versions: BTreeMap<Digest, Version>,
}

/// A request that passed; given back when it ends.
#[derive(Debug, PartialEq, Eq)]
#[must_use = "a request that never ends keeps its version from being unloaded"]
pub struct Passed {
    version: Digest,
}

impl Versions {
    /// The engine began to load `version`.
    pub fn load(&mut self, version: Digest) {
        self.versions.entry(version).or_insert(Version {
            phase: Phase::Loading,
            running: 0,
        });
    }

    /// The engine holds all of `version`, checked; false unless it was loading.
    pub fn serve(&mut self, version: &Digest) -> bool {
        match self.versions.get_mut(version) {
            Some(held) if held.phase == Phase::Loading => {
                held.phase = Phase::Serving;
                true
            }
            _ => false,
        }
    }

    /// No new request passes for `version`; false if it is not there.
    pub fn drain(&mut self, version: &Digest) -> bool {
        let held = self.versions.get_mut(version);
        held.map(|held| held.phase = Phase::Draining).is_some()
    }

    /// Takes `version` away if it may be unloaded: drained, with nothing in progress.
    pub fn unload(&mut self, version: &Digest) -> bool {
        let held = self.versions.get(version);
        let idle = held.is_some_and(|held| held.phase == Phase::Draining && held.running == 0);
        idle && self.versions.remove(version).is_some()
    }

    /// Lets a request pass that was routed for `version`.
    ///
    /// # Errors
    /// [`NotRun`] says why it certainly did not run.
    pub fn admit(&mut self, version: &Digest) -> Result<Passed, NotRun> {
        let held = self.versions.get_mut(version).ok_or(NotRun::Absent)?;
        match held.phase {
            Phase::Loading => Err(NotRun::Loading),
            Phase::Draining => Err(NotRun::Draining),
            Phase::Serving => {
                held.running += 1;
                Ok(Passed { version: *version })
            }
        }
    }

    /// A request has ended.
    pub fn finish(&mut self, passed: &Passed) {
        if let Some(held) = self.versions.get_mut(&passed.version) {
            held.running = held.running.saturating_sub(1);
        }
    }

    /// The requests in progress on `version`.
    pub fn running(&self, version: &Digest) -> u32 {
        self.versions.get(version).map_or(0, |held| held.running)
    }
}
