//! Durable writes and the messages that wait for them.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;

use crate::ids::NodeId;
use crate::ids::Position;
use crate::message::Entry;
use crate::message::EntryKind;
use crate::message::Message;
use crate::message::Snapshot;
use crate::node::Node;
use crate::node::Role;
use crate::node::Write;

/// The durable state that a message waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Durability {
    /// Nothing: the message reveals no state that a crash could lose.
    Nothing,
    /// Term and vote.
    HardState,
    /// Everything issued so far.
    Everything,
}

/// A write that has been issued and has no result yet.
#[derive(Debug)]
pub(super) struct PendingWrite {
    pub(super) seq: u64,
    pub(super) issued: Duration,
    pub(super) last: Option<Position>,
    pub(super) snapshot: Option<Snapshot>,
    pub(super) install: bool,
}

/// The unwritten state, the pending writes and the messages that wait for them.
#[derive(Debug, Default)]
pub(super) struct WriteQueue {
    pub(super) pending: VecDeque<PendingWrite>,
    /// Messages with the number of the write that they wait for.
    pub(super) waiting: VecDeque<(u64, Message)>,
    /// Messages created since the last output.
    pub(super) outbox: Vec<(Durability, Message)>,
    /// The first index that no write contains.
    pub(super) unsaved: u64,
    pub(super) hard_dirty: bool,
    /// A snapshot to write, and whether it comes from the leader.
    pub(super) snapshot_dirty: Option<(Snapshot, bool)>,
    /// The number of the last write that contains term and vote.
    pub(super) hard_seq: u64,
    pub(super) issued: u64,
    pub(super) written: u64,
    pub(super) epoch: u64,
    /// The time of the next write attempt while the disk is full.
    pub(super) full_until: Option<Duration>,
}

impl WriteQueue {
    /// Returns an empty queue for a log that was read from the disk up to `last`.
    pub(super) fn after(last: u64) -> Self {
        Self {
            unsaved: last + 1,
            ..Self::default()
        }
    }
}

impl Node {
    pub(super) fn issue_write(&mut self) {
        if self.disk.full_until.is_some() && !self.disk.hard_dirty {
            return;
        }
        let entries = self.unsaved_entries();
        let snapshot = self.disk.snapshot_dirty.take();
        if !self.disk.hard_dirty && entries.is_empty() && snapshot.is_none() {
            return;
        }
        self.disk.issued += 1;
        let seq = self.disk.issued;
        let hard = self.disk.hard_dirty.then_some(self.hard);
        if self.disk.hard_dirty {
            self.disk.hard_seq = seq;
            self.disk.hard_dirty = false;
        }
        let (snapshot, install) = snapshot.map_or((None, false), |(s, i)| (Some(s), i));
        self.disk.unsaved = self.log.last().index + 1;
        self.disk.pending.push_back(PendingWrite {
            seq,
            issued: self.now,
            last: entries.last().map(Entry::position),
            snapshot: snapshot.clone(),
            install,
        });
        self.output.write = Some(Write {
            seq,
            epoch: self.disk.epoch,
            hard,
            entries,
            snapshot,
            install,
        });
    }

    fn unsaved_entries(&self) -> Vec<Entry> {
        if self.disk.unsaved > self.log.last().index {
            return Vec::new();
        }
        self.log.slice(self.disk.unsaved, usize::MAX)
    }

    pub(super) fn release_messages(&mut self) {
        if self.disk.full_until.is_some() {
            self.disk.outbox.clear();
            return;
        }
        let guards = self.config.safeguards;
        for (requires, message) in std::mem::take(&mut self.disk.outbox) {
            let after = match requires {
                Durability::HardState if guards.durable_votes => self.disk.hard_seq,
                Durability::Everything if guards.durable_entries => self.disk.issued,
                _ => 0,
            };
            if after > self.disk.written {
                self.disk.waiting.push_back((after, message));
            } else {
                self.output.messages.push(message);
            }
        }
    }

    pub(super) fn on_written(&mut self, seq: u64) {
        self.disk.written = self.disk.written.max(seq);
        while self.disk.pending.front().is_some_and(|p| p.seq <= seq) {
            if let Some(done) = self.disk.pending.pop_front() {
                self.complete_write(done);
            }
        }
        self.release_waiting(seq);
        if self.disk.full_until.is_some()
            && self.disk.written >= self.disk.hard_seq
            && !self.disk.hard_dirty
        {
            self.disk.full_until = None;
            self.leader_heard_at = Some(self.now);
            self.reset_election();
        }
        self.count_own_vote();
        self.count_own_entries();
    }

    /// Releases the messages that waited for this write, in the order in which they were created.
    fn release_waiting(&mut self, seq: u64) {
        for (after, message) in std::mem::take(&mut self.disk.waiting) {
            if after <= seq {
                self.output.messages.push(message);
            } else {
                self.disk.waiting.push_back((after, message));
            }
        }
    }

    fn complete_write(&mut self, done: PendingWrite) {
        // An entry that was replaced after this write was issued no longer belongs to the log.
        if let Some(last) = done.last
            && self.log.holds(last)
        {
            self.durable = self.durable.max(last.index);
        }
        let Some(snapshot) = done.snapshot else {
            return;
        };
        if done.install {
            self.snapshot_installed(snapshot);
        } else {
            self.snapshot_stored(snapshot);
        }
    }

    /// Drops everything since the refused write: none of it is durable, so nothing may rely on it.
    ///
    /// Until a write succeeds the replica is silent, as if it were down: it neither votes,
    /// acknowledges nor leads, and refuses proposals as not run.
    pub(super) fn on_write_refused(&mut self, seq: u64) {
        if !self.disk.pending.iter().any(|p| p.seq == seq) {
            return;
        }
        self.disk.epoch += 1;
        self.disk.pending.clear();
        self.disk.waiting.clear();
        self.disk.outbox.clear();
        self.disk.snapshot_dirty = None;
        self.installing = false;
        self.incoming = None;
        self.truncate_log(self.durable + 1);
        self.commit = self.commit.min(self.log.last().index);
        self.become_follower(self.hard.term, None);
        self.disk.hard_dirty = false;
        self.disk.hard_seq = u64::MAX;
        self.disk.full_until = Some(self.now + self.config.timing.resend);
    }

    /// Returns whether a write has been pending for so long that the disk counts as hung. A leader
    /// on such a disk could send heartbeats forever and never commit.
    pub(super) fn disk_hangs(&self) -> bool {
        let limit = self.config.timing.election_max;
        let oldest = self.disk.pending.front();
        oldest.is_some_and(|p| self.now >= p.issued + limit)
    }

    /// Writes term and vote again to find out whether the disk still refuses writes.
    pub(super) fn retry_disk(&mut self) {
        self.disk.full_until = Some(self.now + self.config.timing.resend);
        if self.disk.pending.is_empty() {
            self.disk.hard_dirty = true;
        }
    }

    /// Drops the log from `index` on.
    pub(super) fn truncate_log(&mut self, index: u64) {
        self.log.truncate(index);
        self.disk.unsaved = self.disk.unsaved.min(index);
        self.durable = self.durable.min(index.saturating_sub(1));
        let base = self.log.base().index;
        self.memberships
            .retain(|(at, _)| *at < index || *at <= base);
    }

    /// Appends an entry of the node's own term and returns its position.
    pub(super) fn append_own(&mut self, kind: EntryKind, data: Bytes) -> Position {
        let entry = Entry {
            index: self.log.last().index + 1,
            term: self.hard.term,
            kind: kind.into(),
            data,
        };
        let place = entry.position();
        self.push_entry(entry);
        place
    }

    pub(super) fn push_entry(&mut self, entry: Entry) {
        let membership = entry.membership();
        self.memberships
            .extend(membership.map(|m| (entry.index, Arc::new(m))));
        self.log.push(entry);
    }

    /// Outputs the entries that are committed and durable on this replica.
    pub(super) fn deliver_committed(&mut self) {
        if self.installing {
            return;
        }
        let until = self.commit.min(self.durable);
        while self.delivered < until {
            let Some(entry) = self.log.get(self.delivered + 1) else {
                break;
            };
            self.output.committed.push(entry.clone());
            self.delivered += 1;
        }
    }

    pub(super) fn leads(&self, node: NodeId) -> bool {
        node == self.config.id && matches!(self.role, Role::Leader(_))
    }
}
