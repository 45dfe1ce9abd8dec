//! The agent's gate is the last place where a stale order or a misrouted request can be refused.
//!
//! Some engines ignore fencing numbers and some targets do not authenticate senders, so whatever the gate
//! admits runs. Two rules are enough:
//!
//! - *Orders.* A [`Delivery`] names the agent process that it is for, the term of the leader that states
//!   that the order is the latest, and the order's sequence. Neither term nor sequence ever decreases. An
//!   agent has no disk, so an [`UnarmedGate`] accepts no order until a majority of the voters has reported
//!   the highest term that they know. A leader needs a majority to be elected, so at least one of these
//!   voters knows every leader that an earlier process of this agent may have obeyed.
//! - *Requests.* A request names the version that it was routed for and is admitted only while exactly
//!   that version is serving ([`Versions`]). Any other request is refused and certainly did not run.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use filbertstack_core::Digest;
use filbertstack_core::names::InstanceName;
use thiserror::Error;

/// The report of one voter to a gate that is not armed yet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VoterReport {
    /// The voter.
    pub voter: InstanceName,
    /// The highest term that the voter has on disk.
    pub term: u64,
    /// The log index of the latest set of voters that the voter knows.
    pub config_index: u64,
    /// The latest set of voters that the voter knows.
    pub voters: BTreeSet<InstanceName>,
}

/// An order on its way to a target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Delivery {
    /// The agent process that the order is for.
    pub incarnation: u64,
    /// The term of the leader that states that this order is the latest; at least the order's own term.
    pub term: u64,
    /// The order's sequence.
    pub sequence: u64,
}

/// A gate whose agent has just started and which does not know the term yet. It accepts no orders.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UnarmedGate {
    incarnation: u64,
    reports: BTreeMap<InstanceName, VoterReport>,
}

/// A gate that knows the term and accepts orders.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ArmedGate {
    incarnation: u64,
    term: u64,
    sequence: u64,
}

/// The state of a gate after a voter's report.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Arming {
    /// The gate needs reports of more voters.
    Waiting(UnarmedGate),
    /// A majority of the voters has reported.
    Armed(ArmedGate),
}

/// Whether an accepted order is new.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderStatus {
    /// The order is new, and the agent must act on it.
    New,
    /// The order is the one accepted last.
    Repeated,
}

/// Why an order is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum Refusal {
    /// The order is for another process of this agent.
    #[error("the order is for process {given}, this is {own}: ask the agent for its process first")]
    OtherProcess {
        /// The process that the order names.
        given: u64,
        /// This process.
        own: u64,
    },
    /// The term of the order's leader is over.
    #[error("term {given} is over, term {seen} has begun: step down")]
    OldTerm {
        /// The term that the order names.
        given: u64,
        /// The highest term seen.
        seen: u64,
    },
    /// A later order was accepted.
    #[error("order {given} is older than order {seen}: read the state and send the latest")]
    OldOrder {
        /// The sequence that the order names.
        given: u64,
        /// The highest sequence accepted.
        seen: u64,
    },
}

impl UnarmedGate {
    /// Creates the gate of the agent process `incarnation`.
    pub fn new(incarnation: u64) -> Self {
        Self {
            incarnation,
            reports: BTreeMap::new(),
        }
    }

    /// Adds the report of a voter. A later report of the same voter replaces the earlier one.
    pub fn add_report(mut self, report: VoterReport) -> Arming {
        self.reports.insert(report.voter.clone(), report);
        if !self.has_majority() {
            return Arming::Waiting(self);
        }
        let term = self.reports.values().map(|report| report.term).max();
        Arming::Armed(ArmedGate {
            incarnation: self.incarnation,
            term: term.unwrap_or(0),
            sequence: 0,
        })
    }

    /// Returns whether a majority of the latest reported set of voters has reported. Voters that were
    /// replaced may not know that set, so the report with the highest index decides which set counts.
    fn has_majority(&self) -> bool {
        let latest = self
            .reports
            .values()
            .max_by_key(|report| report.config_index);
        latest.is_some_and(|latest| {
            let voters = latest.voters.iter();
            let reported = voters.filter(|voter| self.reports.contains_key(*voter));
            reported.count() > latest.voters.len() / 2
        })
    }
}

impl ArmedGate {
    /// Returns the highest term known.
    pub fn term(&self) -> u64 {
        self.term
    }

    /// Returns the sequence of the order accepted last, or 0 before the first order.
    pub fn sequence(&self) -> u64 {
        self.sequence
    }

    /// Records a term that was learnt from anything but an order.
    pub fn observe_term(&mut self, term: u64) {
        self.term = self.term.max(term);
    }

    /// Accepts an order if the agent may act on it.
    ///
    /// # Errors
    /// Returns a [`Refusal`] otherwise. The gate stays as it was, and the target keeps following its last
    /// accepted order.
    pub fn accept(&mut self, delivery: &Delivery) -> Result<OrderStatus, Refusal> {
        // A network may delay a message for longer than a restart takes. Without this check, an old order
        // of the present term that was sent to the previous process could be the first to arrive.
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
            OrderStatus::Repeated
        } else {
            OrderStatus::New
        })
    }
}

/// The phase of a version on the target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    Loading,
    Serving,
    Draining,
}

/// A version on the target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Version {
    phase: Phase,
    /// The number of requests in progress.
    running: u32,
}

/// Why a request was not admitted. The request certainly did not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum NotRun {
    /// The target does not have the version.
    #[error("the target does not hold this version: route the request again")]
    Absent,
    /// The target is still loading the version.
    #[error("the target still loads this version: route the request to another")]
    Loading,
    /// The target is draining the version.
    #[error("the target drains this version: route the request to another")]
    Draining,
}

/// The versions on the target and the requests in progress on each.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Versions {
    versions: BTreeMap<Digest, Version>,
}

/// A request that was admitted. The caller passes it to [`Versions::finish`] when the request ends.
#[derive(Debug, PartialEq, Eq)]
#[must_use = "a request that never ends keeps its version from being unloaded"]
pub struct AdmittedRequest {
    version: Digest,
}

impl Versions {
    /// Records that the engine began to load `version`.
    pub fn load(&mut self, version: Digest) {
        self.versions.entry(version).or_insert(Version {
            phase: Phase::Loading,
            running: 0,
        });
    }

    /// Records that the engine holds all of `version`, verified. Returns false if the version was not
    /// loading.
    pub fn serve(&mut self, version: &Digest) -> bool {
        match self.versions.get_mut(version) {
            Some(held) if held.phase == Phase::Loading => {
                held.phase = Phase::Serving;
                true
            }
            _ => false,
        }
    }

    /// Refuses new requests for `version` from now on. Returns false if the target does not have the
    /// version.
    pub fn drain(&mut self, version: &Digest) -> bool {
        let held = self.versions.get_mut(version);
        held.map(|held| held.phase = Phase::Draining).is_some()
    }

    /// Removes `version` if it may be unloaded: it is draining and no request is in progress. Returns
    /// whether it was removed.
    pub fn unload(&mut self, version: &Digest) -> bool {
        let held = self.versions.get(version);
        let idle = held.is_some_and(|held| held.phase == Phase::Draining && held.running == 0);
        idle && self.versions.remove(version).is_some()
    }

    /// Admits a request that was routed for `version`.
    ///
    /// # Errors
    /// Returns a [`NotRun`] that says why the request certainly did not run.
    pub fn admit(&mut self, version: &Digest) -> Result<AdmittedRequest, NotRun> {
        let held = self.versions.get_mut(version).ok_or(NotRun::Absent)?;
        match held.phase {
            Phase::Loading => Err(NotRun::Loading),
            Phase::Draining => Err(NotRun::Draining),
            Phase::Serving => {
                held.running += 1;
                Ok(AdmittedRequest { version: *version })
            }
        }
    }

    /// Records that a request has ended.
    pub fn finish(&mut self, admitted: &AdmittedRequest) {
        if let Some(held) = self.versions.get_mut(&admitted.version) {
            held.running = held.running.saturating_sub(1);
        }
    }

    /// Returns the number of requests in progress on `version`.
    pub fn running(&self, version: &Digest) -> u32 {
        self.versions.get(version).map_or(0, |held| held.running)
    }
}
