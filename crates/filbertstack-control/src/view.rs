//! Views: what followers pull from the state, by the revision or sequence that they have.
//!
//! An entry follows the declarations with a [`Follower`]: it takes a [`Delta`] that holds only
//! what changed, and moves only forward. An agent asks for the one order of its target; the gate
//! decides whether it may act on it.

use std::fmt::Write;

use filbertstack_core::Declarations;
use filbertstack_core::names::InstanceName;
use prost::Message;
use thiserror::Error;

use crate::command::Hold;
use crate::command::Kind;
use crate::command::Object;
use crate::declared::Declared;
use crate::declared::erase;
use crate::declared::section_text;
use crate::state::ControlState;

/// The declarations' changes between two revisions.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Delta {
    /// The highest term that the sender's state has seen.
    #[prost(uint64, tag = "1")]
    pub term: u64,
    /// The revision that the changes start from; 0 if everything is here.
    #[prost(uint64, tag = "2")]
    pub from: u64,
    /// The revision that they lead to.
    #[prost(uint64, tag = "3")]
    pub to: u64,
    /// The objects written.
    #[prost(message, repeated, tag = "4")]
    pub written: Vec<Section>,
    /// The objects removed.
    #[prost(message, repeated, tag = "5")]
    pub removed: Vec<Object>,
}

/// A declared object with its keys.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Section {
    /// The object.
    #[prost(message, required, tag = "1")]
    pub object: Object,
    /// Its keys in canonical INI, without the header.
    #[prost(string, tag = "2")]
    pub text: String,
}

/// The order of one target, with the term that vouches for its being the latest.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct TargetOrder {
    /// The target.
    #[prost(string, tag = "1")]
    pub target: String,
    /// The term in which the order was given.
    #[prost(uint64, tag = "2")]
    pub term: u64,
    /// The order's sequence.
    #[prost(uint64, tag = "3")]
    pub sequence: u64,
    /// Everything that the target shall hold.
    #[prost(message, repeated, tag = "4")]
    pub holds: Vec<Hold>,
}

impl ControlState {
    /// The declarations' changes since `revision`; everything if that is too far back.
    pub fn delta(&self, revision: u64) -> Delta {
        let declared = self.declared();
        let known = revision >= declared.floor && revision <= declared.revision;
        let from = if known { revision } else { 0 };
        let after = |(_, at): &(&Object, &u64)| **at > from;
        let written = declared.written.iter().filter(after);
        let removed = declared.removed.iter().filter(after);
        Delta {
            term: self.orders().term(),
            from,
            to: declared.revision,
            written: written.filter_map(|(o, _)| section(declared, o)).collect(),
            removed: removed.map(|(object, _)| object.clone()).collect(),
        }
    }

    /// The order of `target`; `None` if it never got one.
    pub fn target_order(&self, target: &InstanceName) -> Option<TargetOrder> {
        let order = self.orders().get(target)?;
        Some(TargetOrder {
            target: target.to_string(),
            term: order.fence.term,
            sequence: order.fence.sequence,
            holds: order.holds.clone(),
        })
    }
}

fn section(declared: &Declared, object: &Object) -> Option<Section> {
    Some(Section {
        object: object.clone(),
        text: section_text(declared.current(), object)?,
    })
}

/// The declarations as one follower has them.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Follower {
    declared: Declarations,
    revision: u64,
    term: u64,
}

/// Why a follower did not take a delta.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum DeltaError {
    /// The sender lags behind what this follower has.
    #[error("the sender has term {term} revision {to}, behind this follower: ask another voter")]
    Behind {
        /// The sender's term.
        term: u64,
        /// The sender's revision.
        to: u64,
    },
    /// The delta starts after what this follower has.
    #[error("the changes start at revision {from}, this follower has {have}: ask for all of them")]
    Gap {
        /// Where the changes start.
        from: u64,
        /// What the follower has.
        have: u64,
    },
    /// A section does not read: the sender runs another version of the program.
    #[error("a section of revision {to} does not read: update this program")]
    Unreadable {
        /// The revision that the changes lead to.
        to: u64,
    },
}

impl Follower {
    /// The declarations.
    pub fn declared(&self) -> &Declarations {
        &self.declared
    }

    /// The revision.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// The highest term heard.
    pub fn term(&self) -> u64 {
        self.term
    }

    /// Takes a delta: all of it or, on an error, nothing. Whether the revision moved.
    ///
    /// # Errors
    /// [`DeltaError`] says whom to ask for what instead.
    pub fn apply(&mut self, delta: &Delta) -> Result<bool, DeltaError> {
        if delta.term < self.term || delta.to < self.revision {
            return Err(DeltaError::Behind {
                term: delta.term,
                to: delta.to,
            });
        }
        if delta.from > self.revision {
            return Err(DeltaError::Gap {
                from: delta.from,
                have: self.revision,
            });
        }
        let next = self.next(delta)?;
        let moved = delta.to > self.revision;
        self.declared = next;
        self.revision = delta.to;
        self.term = delta.term;
        Ok(moved)
    }

    fn next(&self, delta: &Delta) -> Result<Declarations, DeltaError> {
        let mut next = match delta.from {
            0 => Declarations::default(),
            _ => self.declared.clone(),
        };
        let unreadable = || DeltaError::Unreadable { to: delta.to };
        for object in &delta.removed {
            if Kind::try_from(object.kind).is_err() {
                return Err(unreadable());
            }
            erase(&mut next, object);
        }
        let mut text = String::new();
        for section in &delta.written {
            let Section { object, text: keys } = section;
            writeln!(text, "[{object}]\n{keys}").map_err(|_| unreadable())?;
        }
        let written = Declarations::parse("delta", &text).map_err(|_| unreadable())?;
        next.deployments.extend(written.deployments);
        next.pools.extend(written.pools);
        next.rules.extend(written.rules);
        Ok(next)
    }
}
