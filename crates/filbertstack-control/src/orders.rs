//! Orders are the desired states of the targets. Each order has a fence, which only grows.
//!
//! The sequence counts over all terms and never starts again. So a later order of a target has the
//! greater fence, whichever leader gave it.

use std::collections::BTreeMap;

use filbertstack_core::names::InstanceName;

use crate::command::Desired;
use crate::command::Hold;
use crate::command::Lead;
use crate::command::Orders as NewOrders;
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

/// The versions that one target shall hold, and the fence of the order that said so.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Order {
    /// The order's fence.
    pub fence: Fence,
    /// The versions that the target shall hold, sorted.
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
    /// Returns the highest term whose leader committed a command.
    pub fn term(&self) -> u64 {
        self.term
    }

    /// Returns the leader of the highest term.
    pub fn leader(&self) -> &str {
        &self.leader
    }

    /// Returns the highest sequence assigned.
    pub fn sequence(&self) -> u64 {
        self.sequence
    }

    /// Returns the current order of `target`.
    pub fn get(&self, target: &InstanceName) -> Option<&Order> {
        self.targets.get(target)
    }

    /// Returns the orders by target.
    pub fn iter(&self) -> impl Iterator<Item = (&InstanceName, &Order)> {
        self.targets.iter()
    }

    /// Returns the orders given after `sequence`.
    pub fn since(&self, sequence: u64) -> impl Iterator<Item = (&InstanceName, &Order)> {
        self.targets
            .iter()
            .filter(move |(_, order)| order.fence.sequence > sequence)
    }

    /// Records the leader of a term. Returns whether the term or its leader changed.
    pub(crate) fn record_leader(&mut self, lead: Lead) -> Result<bool, Reason> {
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

    /// Records new desired states. A target whose state does not change keeps its fence.
    pub(crate) fn record(&mut self, orders: NewOrders) -> Result<Ordered, Vec<Reason>> {
        if orders.term < self.term {
            return Err(vec![old_term(orders.term, self.term)]);
        }
        let parsed = orders.targets.into_iter().map(parse_target);
        let targets: BTreeMap<_, _> = parsed.collect::<Result<_, _>>().map_err(|r| vec![r])?;
        let added = targets.keys().filter(|name| self.get(name).is_none());
        if self.targets.len() + added.count() > MAX_INSTANCES {
            let what = format!("orders for more than {MAX_INSTANCES} targets: unregister the gone");
            return Err(vec![Reason::new(Fault::TooLarge, "", what)]);
        }
        self.term = orders.term;
        let mut changed = 0;
        for (name, holds) in targets {
            changed += u32::from(self.replace(name, holds));
        }
        Ok(Ordered {
            sequence: self.sequence,
            changed,
        })
    }

    /// Gives the current orders of targets a new fence. A target without an order is skipped.
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

    /// Removes the order of a target that is gone for good. Its sequence is never used again.
    pub(crate) fn forget(&mut self, target: &InstanceName) -> bool {
        self.targets.remove(target).is_some()
    }

    fn replace(&mut self, name: InstanceName, holds: Vec<Hold>) -> bool {
        let current = self.targets.get(&name);
        if current.is_some_and(|order| order.holds == holds) {
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

fn parse_target(desired: Desired) -> Result<(InstanceName, Vec<Hold>), Reason> {
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
