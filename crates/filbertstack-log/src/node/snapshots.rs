//! Snapshots: stored on this replica, sent to followers that lag far behind, and received from a
//! leader.

use std::sync::Arc;

use bytes::Bytes;
use prost::Message as _;

use crate::entries::Entries;
use crate::ids::ClusterId;
use crate::ids::NodeId;
use crate::ids::Position;
use crate::membership::Membership;
use crate::message::AppendReply;
use crate::message::Body;
use crate::message::Piece;
use crate::message::PieceReply;
use crate::message::Snapshot;
use crate::node::Accepted;
use crate::node::Node;
use crate::node::Refusal;
use crate::node::Role;
use crate::node::Ticket;
use crate::node::leader::Flow;
use crate::node::persist::Durability;

/// A snapshot that is being sent to a follower, one piece at a time.
#[derive(Debug)]
pub(super) struct Outgoing {
    position: Position,
    bytes: Bytes,
    crc: u32,
    offset: usize,
    sent: bool,
}

impl Outgoing {
    pub(super) fn index(&self) -> u64 {
        self.position.index
    }

    /// Marks the last piece to be sent again, or the whole snapshot if the follower received all of
    /// it and did not confirm.
    pub(super) fn send_again(&mut self) {
        if self.offset >= self.bytes.len() {
            self.offset = 0;
        }
        self.sent = false;
    }

    fn next_piece(&mut self, piece_bytes: usize) -> Option<Piece> {
        if self.sent || self.offset >= self.bytes.len() {
            return None;
        }
        self.sent = true;
        let end = self.bytes.len().min(self.offset + piece_bytes);
        Some(Piece {
            index: self.position.index,
            term: self.position.term,
            total: self.bytes.len() as u64,
            crc: self.crc,
            offset: self.offset as u64,
            data: self.bytes.slice(self.offset..end),
        })
    }
}

/// A snapshot that is being received piece by piece.
#[derive(Debug)]
pub(super) struct Incoming {
    position: Position,
    total: u64,
    crc: u32,
    bytes: Vec<u8>,
}

impl Incoming {
    fn new(piece: &Piece) -> Self {
        Self {
            position: piece_position(piece),
            total: piece.total,
            crc: piece.crc,
            bytes: Vec::new(),
        }
    }

    fn matches(&self, piece: &Piece) -> bool {
        let whole = (self.position, self.total, self.crc);
        whole == (piece_position(piece), piece.total, piece.crc)
    }

    fn append(&mut self, piece: &Piece) {
        let held = self.bytes.len() as u64;
        let fits = held + piece.data.len() as u64 <= self.total;
        if piece.offset == held && fits {
            self.bytes.extend_from_slice(&piece.data);
        }
    }

    fn is_complete(&self) -> bool {
        self.bytes.len() as u64 == self.total
    }

    fn decode(self) -> Option<Snapshot> {
        if crc32fast::hash(&self.bytes) != self.crc {
            return None;
        }
        let snapshot = Snapshot::decode(Bytes::from(self.bytes)).ok()?;
        (snapshot.position() == self.position).then_some(snapshot)
    }
}

fn piece_position(piece: &Piece) -> Position {
    Position {
        term: piece.term,
        index: piece.index,
    }
}

impl Node {
    /// Stores the state of the state machine after `index` as a snapshot.
    pub(super) fn on_snapshot(&mut self, index: u64, data: Bytes) {
        let latest = self.snapshot.as_ref().map_or(0, |s| s.index);
        let busy =
            self.installing || self.disk.snapshot_dirty.is_some() || self.disk.full_until.is_some();
        let Some(term) = self.log.term(index) else {
            return;
        };
        if busy || index <= latest || index > self.delivered {
            return;
        }
        let members = self.memberships.iter().rev().find(|(at, _)| *at <= index);
        let snapshot = Snapshot {
            index,
            term,
            membership: members
                .map(|(_, m)| Membership::clone(m))
                .unwrap_or_default(),
            cluster: self.hard.cluster,
            data,
        };
        self.disk.snapshot_dirty = Some((snapshot, false));
    }

    /// Creates a group. Its first entry is a snapshot, as if a leader of term 1 had sent it.
    pub(super) fn on_create(
        &mut self,
        ticket: Ticket,
        cluster: ClusterId,
        membership: Membership,
        data: Bytes,
    ) {
        let fresh = self.memberships.is_empty() && self.hard.cluster == 0 && !self.installing;
        if !fresh || self.disk.full_until.is_some() {
            self.answer(ticket, Err(Refusal::AlreadyGrouped));
            return;
        }
        self.hard.cluster = cluster.0;
        self.hard.term = self.hard.term.max(1);
        self.disk.hard_dirty = true;
        self.installing = true;
        let first = Snapshot {
            index: 1,
            term: 1,
            membership,
            cluster: cluster.0,
            data,
        };
        self.disk.snapshot_dirty = Some((first, true));
        self.answer(ticket, Ok(Accepted::Creating));
    }

    /// Handles a durable snapshot of this replica's state machine: drops the entries that it
    /// covers.
    pub(super) fn snapshot_stored(&mut self, snapshot: Snapshot) {
        let keep = self.config.limits.kept_entries;
        self.log.compact(snapshot.index.saturating_sub(keep));
        let base = self.log.base().index;
        while self.memberships.get(1).is_some_and(|(at, _)| *at <= base) {
            self.memberships.remove(0);
        }
        self.snapshot = Some(snapshot);
    }

    /// Handles a durable snapshot from the leader: it replaces the log and the state.
    pub(super) fn snapshot_installed(&mut self, snapshot: Snapshot) {
        let index = snapshot.index;
        self.installing = false;
        self.log = Entries::new(snapshot.position(), Vec::new());
        self.memberships = vec![(index, Arc::new(snapshot.membership.clone()))];
        self.commit = index;
        self.delivered = index;
        self.durable = index;
        self.disk.unsaved = index + 1;
        self.snapshot = Some(snapshot.clone());
        self.output.restore = Some(snapshot);
        if let Some(leader) = self.leader {
            self.confirm_snapshot(leader);
        }
    }

    pub(super) fn on_snapshot_failed(&mut self, seq: u64) {
        let lost = self.disk.pending.iter_mut().find(|p| p.seq == seq);
        if let Some(lost) = lost
            && lost.snapshot.take().is_some()
            && lost.install
        {
            self.installing = false;
        }
    }

    pub(super) fn on_piece(&mut self, from: NodeId, piece: &Piece) {
        if !self.hear_leader(from) || self.installing {
            return;
        }
        if self.log.holds(piece_position(piece)) {
            self.commit = self.commit.max(piece.index);
        }
        if piece.index <= self.commit {
            self.incoming = None;
            self.confirm_snapshot(from);
            return;
        }
        if piece.total > self.config.limits.snapshot_bytes as u64 {
            return;
        }
        let mut incoming = match self.incoming.take() {
            Some(incoming) if incoming.matches(piece) => incoming,
            _ => Incoming::new(piece),
        };
        incoming.append(piece);
        let reply = PieceReply {
            index: piece.index,
            offset: incoming.bytes.len() as u64,
        };
        self.send(from, Durability::HardState, Body::PieceReply(reply));
        if !incoming.is_complete() {
            self.incoming = Some(incoming);
        } else if let Some(snapshot) = incoming.decode() {
            self.installing = true;
            self.disk.snapshot_dirty = Some((snapshot, true));
        }
    }

    fn confirm_snapshot(&mut self, leader: NodeId) {
        let reply = AppendReply {
            reject: false,
            index: self.commit.min(self.durable),
            prev_index: 0,
            round: 0,
        };
        self.send(leader, Durability::HardState, Body::AppendReply(reply));
    }

    pub(super) fn begin_snapshot(&mut self, id: NodeId) -> bool {
        let Some(snapshot) = &self.snapshot else {
            return false;
        };
        let bytes = Bytes::from(snapshot.encode_to_vec());
        let outgoing = Outgoing {
            position: snapshot.position(),
            crc: crc32fast::hash(&bytes),
            bytes,
            offset: 0,
            sent: false,
        };
        if let Role::Leader(leader) = &mut self.role
            && let Some(peer) = leader.peers.get_mut(&id)
        {
            peer.flow = Flow::Snapshot(outgoing);
        }
        self.send_piece(id)
    }

    /// Sends the next piece; at most one piece is unanswered at any time.
    pub(super) fn send_piece(&mut self, id: NodeId) -> bool {
        let piece_bytes = self.config.limits.piece_bytes;
        let now = self.now;
        let Role::Leader(leader) = &mut self.role else {
            return false;
        };
        let Some(peer) = leader.peers.get_mut(&id) else {
            return false;
        };
        let Flow::Snapshot(outgoing) = &mut peer.flow else {
            return false;
        };
        if let Some(piece) = outgoing.next_piece(piece_bytes) {
            peer.waiting_since = now;
            self.send(id, Durability::Nothing, Body::Piece(piece));
        }
        false
    }

    pub(super) fn on_piece_reply(&mut self, from: NodeId, reply: PieceReply) {
        let now = self.now;
        let Role::Leader(leader) = &mut self.role else {
            return;
        };
        if let Some(peer) = leader.peers.get_mut(&from)
            && let Flow::Snapshot(outgoing) = &mut peer.flow
            && outgoing.index() == reply.index
        {
            let offset = usize::try_from(reply.offset).unwrap_or(0);
            outgoing.offset = offset.min(outgoing.bytes.len());
            outgoing.sent = false;
            peer.waiting_since = now;
        }
    }
}
