//! What is written, and which messages wait for it.

use std::sync::Arc;

use bytes::Bytes;

use crate::ids::NodeId;
use crate::ids::Position;
use crate::message::Entry;
use crate::message::EntryKind;
use crate::message::Snapshot;
use crate::node::Node;
use crate::node::Role;
use crate::node::Write;

/// What a message waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Gate {
    /// Nothing: it tells of nothing that could be forgotten.
    Open,
    /// That term and vote are durable.
    Hard,
    /// That everything so far is durable.
    Entries,
}

/// A write under way.
#[derive(Debug)]
pub(super) struct Pending {
    pub(super) seq: u64,
    pub(super) last: Option<Position>,
    pub(super) snapshot: Option<Snapshot>,
    pub(super) install: bool,
}

impl Node {
    pub(super) fn issue_write(&mut self) {
        if self.full_until.is_some() && !self.hard_dirty {
            return;
        }
        let entries = self.unsaved_entries();
        let snapshot = self.snapshot_dirty.take();
        if !self.hard_dirty && entries.is_empty() && snapshot.is_none() {
            return;
        }
        let seq = self.next_seq;
        self.next_seq += 1;
        let hard = self.hard_dirty.then_some(self.hard);
        if self.hard_dirty {
            self.hard_seq = seq;
            self.hard_dirty = false;
        }
        let (snapshot, install) = snapshot.map_or((None, false), |(s, i)| (Some(s), i));
        self.unsaved = self.log.last().index + 1;
        self.pending.push_back(Pending {
            seq,
            last: entries.last().map(Entry::position),
            snapshot: snapshot.clone(),
            install,
        });
        self.output.write = Some(Write {
            seq,
            epoch: self.epoch,
            hard,
            entries,
            snapshot,
            install,
        });
    }

    fn unsaved_entries(&self) -> Vec<Entry> {
        if self.unsaved > self.log.last().index {
            return Vec::new();
        }
        self.log.slice(self.unsaved, usize::MAX)
    }

    pub(super) fn release_messages(&mut self) {
        if self.full_until.is_some() {
            self.outbox.clear();
            return;
        }
        let guards = self.config.safeguards;
        for (gate, message) in std::mem::take(&mut self.outbox) {
            let after = match gate {
                Gate::Hard if guards.durable_votes => self.hard_seq,
                Gate::Entries if guards.durable_entries => self.next_seq - 1,
                _ => 0,
            };
            if after > self.written {
                self.held.push_back((after, message));
            } else {
                self.output.messages.push(message);
            }
        }
    }

    pub(super) fn on_written(&mut self, seq: u64) {
        self.written = self.written.max(seq);
        while self.pending.front().is_some_and(|p| p.seq <= seq) {
            if let Some(done) = self.pending.pop_front() {
                self.settle(done);
            }
        }
        self.release_held(seq);
        if self.full_until.is_some() && self.written >= self.hard_seq && !self.hard_dirty {
            self.full_until = None;
            self.heard = Some(self.now);
            self.reset_election();
        }
        self.count_own_vote();
        self.count_own_entries();
    }

    /// Releases what waited, in the order in which it was said.
    fn release_held(&mut self, seq: u64) {
        for (after, message) in std::mem::take(&mut self.held) {
            if after <= seq {
                self.output.messages.push(message);
            } else {
                self.held.push_back((after, message));
            }
        }
    }

    fn settle(&mut self, done: Pending) {
        // An entry that was replaced since it was written is no longer the log's.
        if let Some(last) = done.last
            && self.log.holds(last)
        {
            self.durable = self.durable.max(last.index);
        }
        let Some(snapshot) = done.snapshot else {
            return;
        };
        if done.install {
            self.installed(snapshot);
        } else {
            self.kept(snapshot);
        }
    }

    /// The disk is full: nothing since the refused write is remembered, so none of it may be
    /// relied on. Until a write succeeds the replica is silent, as if it were down: it neither
    /// votes, acknowledges nor leads, and refuses proposals as not run.
    pub(super) fn on_refused(&mut self, seq: u64) {
        if !self.pending.iter().any(|p| p.seq == seq) {
            return;
        }
        self.epoch += 1;
        self.pending.clear();
        self.held.clear();
        self.outbox.clear();
        self.snapshot_dirty = None;
        self.installing = false;
        self.incoming = None;
        self.drop_from(self.durable + 1);
        self.commit = self.commit.min(self.log.last().index);
        self.follow(self.hard.term, None);
        self.hard_dirty = false;
        self.hard_seq = u64::MAX;
        self.full_until = Some(self.now + self.config.timing.resend);
    }

    /// Tries whether the disk takes term and vote again.
    pub(super) fn try_disk(&mut self) {
        self.full_until = Some(self.now + self.config.timing.resend);
        if self.pending.is_empty() {
            self.hard_dirty = true;
        }
    }

    /// Drops the log from `index` on.
    pub(super) fn drop_from(&mut self, index: u64) {
        self.log.truncate(index);
        self.unsaved = self.unsaved.min(index);
        self.durable = self.durable.min(index.saturating_sub(1));
        let base = self.log.base().index;
        self.members.retain(|(at, _)| *at < index || *at <= base);
    }

    /// Appends an entry of the own term; its place is returned.
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
        self.members
            .extend(membership.map(|m| (entry.index, Arc::new(m))));
        self.log.push(entry);
    }

    /// Hands over what is committed and durable here.
    pub(super) fn hand_committed(&mut self) {
        if self.installing {
            return;
        }
        let until = self.commit.min(self.durable);
        while self.handed < until {
            let Some(entry) = self.log.get(self.handed + 1) else {
                break;
            };
            self.output.committed.push(entry.clone());
            self.handed += 1;
        }
    }

    pub(super) fn leads(&self, node: NodeId) -> bool {
        node == self.config.id && matches!(self.role, Role::Leader(_))
    }
}
