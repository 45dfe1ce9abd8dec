//! Orders: the desired state of every target, each under a fence that only grows.
//!
//! The sequence counts over all terms and never starts again, so that a target's later order has
//! the greater fence whichever leader gave it.

use std::collections::BTreeMap;

use filbertstack_core::names::InstanceName;

use crate::command::Desired;
use crate::command::Hold;
use crate::command::Lead;
use crate::command::Orders as Batch;
use crate::command::Renew;
use crate::limits::MAX_HOLDS;
use crate::limits::MAX_ID;
use crate::limits::MAX_INSTANCES;
use crate::outcome::Fault;
use crate::outcome::Ordered;
use crate::outcome::Reason;

/// A fencing number: the term of the leader that gave the order, then the order's sequence.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Fence {
    /// The term.
    pub term: u64,
    /// The sequence, counted over all terms.
    pub sequence: u64,
}

/// What one target shall hold, and since which order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Order {
    /// The order's fence.
    pub fence: Fence,
    /// What the target shall hold, sorted.
    pub holds: Vec<Hold>,
}

/// The desired state of all targets.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Orders {
    pub(crate) term: u64,
    pub(crate) leader: String,
    pub(crate) sequence: u64,
    pub(crate) targets: BTreeMap<InstanceName, Order>,
}

impl Orders {
    /// The highest term whose leader committed anything.
    pub fn term(&self) -> u64 {
        self.term
    }

    /// The leader of that term.
    pub fn leader(&self) -> &str {
        &self.leader
    }

    /// The highest sequence given out.
    pub fn sequence(&self) -> u64 {
        self.sequence
    }

    /// The order that stands for `target`.
    pub fn get(&self, target: &InstanceName) -> Option<&Order> {
        self.targets.get(target)
    }

    /// The orders by target.
    pub fn iter(&self) -> impl Iterator<Item = (&InstanceName, &Order)> {
        self.targets.iter()
    }

    /// The orders given after `sequence`.
    pub fn since(&self, sequence: u64) -> impl Iterator<Item = (&InstanceName, &Order)> {
        self.targets
            .iter()
            .filter(move |(_, order)| order.fence.sequence > sequence)
    }

    pub(crate) fn lead(&mut self, lead: Lead) -> Result<bool, Reason> {
        if lead.term < self.term {
            return Err(old_term(lead.term, self.term));
        }
        if lead.leader.len() > MAX_ID {
            return Err(Reason::malformed("the leader's name is too long"));
        }
        let changed = lead.term > self.term || lead.leader != self.leader;
        self.term = lead.term;
        self.leader = lead.leader;
        Ok(changed)
    }

    /// Records new desired states; a target whose state does not change keeps its fence.
    pub(crate) fn order(&mut self, batch: Batch) -> Result<Ordered, Vec<Reason>> {
        if batch.term < self.term {
            return Err(vec![old_term(batch.term, self.term)]);
        }
        let read = batch.targets.into_iter().map(read_target);
        let targets: BTreeMap<_, _> = read.collect::<Result<_, _>>().map_err(|one| vec![one])?;
        let added = targets.keys().filter(|name| self.get(name).is_none());
        if self.targets.len() + added.count() > MAX_INSTANCES {
            let what = format!("orders for more than {MAX_INSTANCES} targets: unregister the gone");
            return Err(vec![Reason::new(Fault::TooLarge, "", what)]);
        }
        self.term = batch.term;
        let mut changed = 0;
        for (name, holds) in targets {
            changed += u32::from(self.set(name, holds));
        }
        Ok(Ordered {
            sequence: self.sequence,
            changed,
        })
    }

    /// Gives standing orders a new fence; a target without an order has none to renew.
    pub(crate) fn renew(&mut self, renew: &Renew) -> Result<Ordered, Vec<Reason>> {
        if renew.term < self.term {
            return Err(vec![old_term(renew.term, self.term)]);
        }
        self.term = renew.term;
        let mut changed = 0;
        for name in renew.targets.iter().filter_map(|name| name.parse().ok()) {
            if let Some(order) = self.targets.get_mut::<InstanceName>(&name) {
                self.sequence += 1;
                order.fence = Fence {
                    term: self.term,
                    sequence: self.sequence,
                };
                changed += 1;
            }
        }
        Ok(Ordered {
            sequence: self.sequence,
            changed,
        })
    }

    /// Drops the order of a target that is gone for good. Its sequence is never used again.
    pub(crate) fn forget(&mut self, target: &InstanceName) -> bool {
        self.targets.remove(target).is_some()
    }

    fn set(&mut self, name: InstanceName, holds: Vec<Hold>) -> bool {
        let standing = self.targets.get(&name);
        if standing.is_some_and(|order| order.holds == holds) {
            return false;
        }
        self.sequence += 1;
        let fence = Fence {
            term: self.term,
            sequence: self.sequence,
        };
        self.targets.insert(name, Order { fence, holds });
        true
    }
}

fn read_target(desired: Desired) -> Result<(InstanceName, Vec<Hold>), Reason> {
    let Desired { target, mut holds } = desired;
    let name = target
        .parse()
        .map_err(|error| Reason::new(Fault::Malformed, &target, format!("target: {error}")))?;
    if holds.len() > MAX_HOLDS {
        let what = format!("more than {MAX_HOLDS} versions on one target");
        return Err(Reason::new(Fault::TooLarge, &target, what));
    }
    holds.sort();
    Ok((name, holds))
}

fn old_term(term: u64, current: u64) -> Reason {
    let what =
        format!("term {term} is over, term {current} has begun: step down and ask the new leader");
    Reason::new(Fault::OldTerm, "", what)
}
