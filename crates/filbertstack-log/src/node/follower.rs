//! Replication on a follower.

use crate::ids::NodeId;
use crate::message::Append;
use crate::message::AppendReply;
use crate::message::Body;
use crate::message::Entry;
use crate::node::Node;
use crate::node::Role;
use crate::node::persist::Durability;

impl Node {
    /// Records that the leader of this term was heard; returns false if the node itself leads the
    /// term.
    pub(super) fn hear_leader(&mut self, from: NodeId) -> bool {
        if matches!(self.role, Role::Leader(_)) {
            self.output.violation = Some(format!("{from} leads term {} as well", self.hard.term));
            return false;
        }
        self.role = Role::Follower;
        self.leader = Some(from);
        self.leader_heard_at = Some(self.now);
        self.reset_election();
        true
    }

    pub(super) fn on_append(&mut self, from: NodeId, mut append: Append) {
        if !self.hear_leader(from) || self.installing || !contiguous(&append) {
            return;
        }
        self.skip_compacted(&mut append);
        if self.log.term(append.prev_index) != Some(append.prev_term) {
            self.reject_append(from, &append);
            return;
        }
        let verified = append.prev_index + append.entries.len() as u64;
        let heartbeat = append.entries.is_empty();
        if !self.merge_entries(append.entries) {
            return;
        }
        self.commit = self.commit.max(append.commit.min(verified));
        // An answer to a heartbeat covers only entries that are durable already. It does not wait
        // for a slow disk, which would cost the leader its lease.
        let (index, requires) = if heartbeat {
            (verified.min(self.durable), Durability::HardState)
        } else {
            (verified, Durability::Everything)
        };
        let reply = AppendReply {
            reject: false,
            index,
            prev_index: append.prev_index,
            round: append.round,
        };
        self.send(from, requires, Body::AppendReply(reply));
    }

    /// Drops the entries at or below the base of the log: they are committed and therefore equal to
    /// the leader's.
    fn skip_compacted(&self, append: &mut Append) {
        let base = self.log.base();
        if append.prev_index >= base.index {
            return;
        }
        let below = usize::try_from(base.index - append.prev_index).unwrap_or(usize::MAX);
        if append.entries.len() < below {
            let verified = append.prev_index + append.entries.len() as u64;
            append.entries.clear();
            append.commit = append.commit.min(verified);
        } else {
            append.entries.drain(..below);
        }
        append.prev_index = base.index;
        append.prev_term = base.term;
    }

    fn reject_append(&mut self, from: NodeId, append: &Append) {
        let last = self.log.last().index;
        let hint = if append.prev_index > last {
            last
        } else {
            self.log.run_start(append.prev_index) - 1
        };
        let reply = AppendReply {
            reject: true,
            index: hint,
            prev_index: append.prev_index,
            round: append.round,
        };
        self.send(from, Durability::HardState, Body::AppendReply(reply));
    }

    /// Appends the entries that are new; returns false if that would replace a committed entry.
    fn merge_entries(&mut self, entries: Vec<Entry>) -> bool {
        for entry in entries {
            if self.log.holds(entry.position()) {
                continue;
            }
            if entry.index <= self.log.last().index {
                if entry.index <= self.commit {
                    let text = format!("the leader replaces committed entry {}", entry.index);
                    self.output.violation = Some(text);
                    return false;
                }
                self.truncate_log(entry.index);
            }
            self.push_entry(entry);
        }
        true
    }
}

/// Returns whether the indices of the entries are consecutive, so that a malformed message leaves
/// no gap.
fn contiguous(append: &Append) -> bool {
    let places = append.prev_index + 1..;
    append.entries.iter().zip(places).all(|(e, i)| e.index == i)
}
