//! Views are what followers fetch from the state, by the revision or sequence that they already have.
//!
//! An entry follows the declarations with a [`Follower`], which applies a [`Delta`] of the changed
//! objects and never moves to an older revision. An agent asks for the order of its own target, and its
//! gate decides whether the agent may act on it.

use std::fmt::Write;

use filbertstack_core::Declarations;
use filbertstack_core::names::InstanceName;
use prost::Message;
use thiserror::Error;

use crate::command::Hold;
use crate::command::Kind;
use crate::command::Object;
use crate::declared::Declared;
use crate::declared::remove_object;
use crate::declared::section_text;
use crate::state::ControlState;

/// The changes of the declarations between two revisions.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Delta {
    /// The highest term that the sender's state has seen.
    #[prost(uint64, tag = "1")]
    pub term: u64,
    /// The revision that the changes start from, or 0 if the delta holds all declarations.
    #[prost(uint64, tag = "2")]
    pub from: u64,
    /// The revision that the changes lead to.
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

/// The order of one target, with its fence.
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
    /// All versions that the target shall hold.
    #[prost(message, repeated, tag = "4")]
    pub holds: Vec<Hold>,
}

impl ControlState {
    /// Returns the changes of the declarations since `revision`. Returns all declarations if `revision` is
    /// so old that removals after it may have been forgotten, or newer than this state.
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

    /// Returns the order of `target`, or `None` if there is none.
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

/// A follower's copy of the declarations.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Follower {
    declared: Declarations,
    revision: u64,
    term: u64,
}

/// Why a follower did not apply a delta.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum DeltaError {
    /// The sender's term or revision is older than the follower's.
    #[error("the sender has term {term} revision {to}, behind this follower: ask another voter")]
    Behind {
        /// The sender's term.
        term: u64,
        /// The sender's revision.
        to: u64,
    },
    /// The delta starts at a later revision than the follower has.
    #[error("the changes start at revision {from}, this follower has {have}: ask for all of them")]
    Gap {
        /// The revision that the changes start from.
        from: u64,
        /// The revision that the follower has.
        have: u64,
    },
    /// A section can't be parsed, because the sender runs another version of the program.
    #[error("a section of revision {to} can't be parsed: update this program")]
    Unreadable {
        /// The revision that the changes lead to.
        to: u64,
    },
}

impl Follower {
    /// Returns the declarations.
    pub fn declared(&self) -> &Declarations {
        &self.declared
    }

    /// Returns the revision of the declarations.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns the highest term seen in a delta.
    pub fn term(&self) -> u64 {
        self.term
    }

    /// Applies a delta as a whole or, on an error, not at all. Returns whether the revision changed.
    ///
    /// # Errors
    /// Returns a [`DeltaError`] that says what to request next, and from which voter.
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
            remove_object(&mut next, object);
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
