//! The checker: it records commits, leaders, votes and the outcomes returned to callers, and
//! reports violations.

use std::collections::BTreeMap;
use std::hash::DefaultHasher;
use std::hash::Hash as _;
use std::hash::Hasher as _;
use std::ops::AddAssign;

use filbertstack_log::Body;
use filbertstack_log::Entry;
use filbertstack_log::EntryKind;
use filbertstack_log::Membership;
use filbertstack_log::Message;
use filbertstack_log::NodeId;

use crate::support::machine::Put;
use crate::support::machine::State;

/// A violation of the guarantees of the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Violation {
    /// Two replicas led in one term.
    TwoLeaders { term: u64 },
    /// Two replicas committed different entries at one index.
    Diverged { index: u64 },
    /// Two replicas' states differ after the same index.
    StateDiffers { index: u64 },
    /// A caller's request has another outcome than the one returned before.
    OutcomeChanged { request: u64 },
    /// A read did not see a command that was accepted before it began.
    StaleRead { seen: u64, floor: u64 },
    /// A replica voted for two candidates in one term.
    VotedTwice { term: u64 },
    /// A replica came back with a lower term than it had sent.
    TermDecreased { sent: u64, found: u64 },
    /// A learner became a voter without every committed entry.
    EarlyVoter { held: u64, commit: u64 },
    /// A replica detected a violation of the protocol.
    ProtocolBroken(String),
    /// A replica's start was refused.
    StartRefused(String),
    /// The group does not recover when all faults end.
    NoProgress,
}

/// Records the observations of all replicas.
#[derive(Debug, Default)]
pub struct Checker {
    committed: Vec<Entry>,
    state: State,
    digests: Vec<u64>,
    leaders: BTreeMap<u64, NodeId>,
    terms: BTreeMap<NodeId, u64>,
    votes: BTreeMap<(NodeId, u64), u64>,
    outcomes: BTreeMap<u64, u64>,
    floor: u64,
    pub membership: Membership,
    pub violation: Option<Violation>,
    pub seen: Seen,
}

/// Counts how often each kind of event happened, so that a search that never causes one is noticed.
#[derive(Clone, Copy, Debug, Default)]
pub struct Seen {
    pub steps: usize,
    pub told: usize,
    pub reads: usize,
    pub terms: usize,
    /// Snapshots that a leader sent and a follower installed.
    pub installs: usize,
    /// Learners that became voters.
    pub promotions: usize,
    /// Writes refused by a full disk.
    pub refusals: usize,
    /// Disks lost for good.
    pub disks: usize,
}

impl AddAssign for Seen {
    fn add_assign(&mut self, other: Self) {
        self.steps += other.steps;
        self.told += other.told;
        self.reads += other.reads;
        self.terms += other.terms;
        self.installs += other.installs;
        self.promotions += other.promotions;
        self.refusals += other.refusals;
        self.disks += other.disks;
    }
}

/// The index of the first entry: the snapshot that creates a group has the index before it.
const FIRST: u64 = 2;

pub fn digest(state: &State) -> u64 {
    let mut hasher = DefaultHasher::new();
    state.done.hash(&mut hasher);
    state.keys.hash(&mut hasher);
    hasher.finish()
}

impl Checker {
    pub fn report(&mut self, violation: Violation) {
        self.violation.get_or_insert(violation);
    }

    pub fn last(&self) -> u64 {
        FIRST - 1 + self.committed.len() as u64
    }

    pub fn accepted(&self) -> usize {
        self.outcomes.len()
    }

    pub fn record_leader(&mut self, term: u64, node: NodeId) {
        if *self.leaders.entry(term).or_insert(node) != node {
            self.report(Violation::TwoLeaders { term });
        }
    }

    /// Returns the counts of a run of the given number of steps.
    pub fn seen(&self, steps: usize) -> Seen {
        Seen {
            steps,
            told: self.outcomes.len(),
            terms: self.leaders.len(),
            ..self.seen
        }
    }

    /// Records that a replica applied an entry and reached `state`.
    pub fn record_commit(&mut self, entry: &Entry, state: &State) {
        let index = entry.index;
        let at = usize::try_from(index - FIRST).unwrap();
        if at < self.committed.len() {
            if self.committed[at] != *entry {
                self.report(Violation::Diverged { index });
            }
            return;
        }
        if at > self.committed.len() {
            self.report(Violation::Diverged { index });
            return;
        }
        self.committed.push(entry.clone());
        if entry.kind() == EntryKind::Command {
            self.state.put(index, Put::decode(&entry.data));
        }
        if let Some(membership) = entry.membership() {
            let more = membership.voters.len() > self.membership.voters.len();
            self.seen.promotions += usize::from(more);
            self.membership = membership;
        }
        self.digests.push(digest(&self.state));
        if *state != self.state {
            self.report(Violation::StateDiffers { index });
        }
    }

    /// Checks a replica's state after `index`, as restored or at the end.
    pub fn check_state(&mut self, index: u64, state: &State) {
        let expected = match index.checked_sub(FIRST) {
            None => Some(digest(&State::default())),
            Some(at) => self.digests.get(usize::try_from(at).unwrap()).copied(),
        };
        if expected != Some(digest(state)) {
            self.report(Violation::StateDiffers { index });
        }
    }

    /// Records that a caller was told that its request was first applied at `outcome`, by an entry
    /// at `index`.
    pub fn record_outcome(&mut self, request: u64, outcome: u64, index: u64) {
        if *self.outcomes.entry(request).or_insert(outcome) != outcome {
            self.report(Violation::OutcomeChanged { request });
        }
        self.floor = self.floor.max(index);
    }

    /// Returns the index that a read which begins now must see.
    pub fn floor(&self) -> u64 {
        self.floor
    }

    /// Checks a read that began at `floor` and saw everything up to `seen`.
    pub fn check_read(&mut self, floor: u64, seen: u64) {
        self.seen.reads += 1;
        if seen < floor {
            self.report(Violation::StaleRead { seen, floor });
        }
        self.floor = self.floor.max(seen);
    }

    pub fn record_message(&mut self, message: &Message) {
        let from = message.sender();
        match &message.body {
            Some(Body::Vote(vote)) if vote.pre => return,
            Some(Body::VoteReply(reply)) if reply.pre => return,
            Some(Body::VoteReply(reply)) if reply.granted => {
                self.record_vote(from, message.term, message.to);
            }
            Some(Body::Vote(_)) => self.record_vote(from, message.term, message.from),
            _ => {}
        }
        let sent = self.terms.entry(from).or_default();
        *sent = message.term.max(*sent);
    }

    fn record_vote(&mut self, voter: NodeId, term: u64, candidate: u64) {
        let first = self.votes.entry((voter, term)).or_insert(candidate);
        if *first != candidate {
            self.report(Violation::VotedTwice { term });
        }
    }

    pub fn check_restart(&mut self, node: NodeId, found: u64) {
        let sent = self.terms.get(&node).copied().unwrap_or(0);
        if found < sent {
            self.report(Violation::TermDecreased { sent, found });
        }
    }

    /// Checks that every outcome returned to a caller is in the final state of the replicas.
    pub fn check_outcomes(&mut self) {
        let lost = self
            .outcomes
            .iter()
            .find(|(r, o)| self.state.done.get(r) != Some(o));
        if let Some((request, _)) = lost {
            let request = *request;
            self.report(Violation::OutcomeChanged { request });
        }
    }
}
