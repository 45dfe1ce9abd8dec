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
use crate::node::persist::Gate;

/// A snapshot that is being sent to a follower, one piece at a time.
#[derive(Debug)]
pub(super) struct Outgoing {
    place: Position,
    bytes: Bytes,
    crc: u32,
    offset: usize,
    sent: bool,
}

impl Outgoing {
    pub(super) fn index(&self) -> u64 {
        self.place.index
    }

    /// Marks the last piece to be sent again, or the whole snapshot if the follower received all of
    /// it and did not confirm.
    pub(super) fn again(&mut self) {
        if self.offset >= self.bytes.len() {
            self.offset = 0;
        }
        self.sent = false;
    }

    fn piece(&mut self, most: usize) -> Option<Piece> {
        if self.sent || self.offset >= self.bytes.len() {
            return None;
        }
        self.sent = true;
        let end = self.bytes.len().min(self.offset + most);
        Some(Piece {
            index: self.place.index,
            term: self.place.term,
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
    place: Position,
    total: u64,
    crc: u32,
    bytes: Vec<u8>,
}

impl Incoming {
    fn of(piece: &Piece) -> Self {
        Self {
            place: place_of(piece),
            total: piece.total,
            crc: piece.crc,
            bytes: Vec::new(),
        }
    }

    fn same(&self, piece: &Piece) -> bool {
        let whole = (self.place, self.total, self.crc);
        whole == (place_of(piece), piece.total, piece.crc)
    }

    fn take(&mut self, piece: &Piece) {
        let held = self.bytes.len() as u64;
        let fits = held + piece.data.len() as u64 <= self.total;
        if piece.offset == held && fits {
            self.bytes.extend_from_slice(&piece.data);
        }
    }

    fn whole(&self) -> bool {
        self.bytes.len() as u64 == self.total
    }

    fn decode(self) -> Option<Snapshot> {
        if crc32fast::hash(&self.bytes) != self.crc {
            return None;
        }
        let snapshot = Snapshot::decode(Bytes::from(self.bytes)).ok()?;
        (snapshot.position() == self.place).then_some(snapshot)
    }
}

fn place_of(piece: &Piece) -> Position {
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
        if busy || index <= latest || index > self.handed {
            return;
        }
        let members = self.members.iter().rev().find(|(at, _)| *at <= index);
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
        let fresh = self.members.is_empty() && self.hard.cluster == 0 && !self.installing;
        if !fresh || self.disk.full_until.is_some() {
            self.answer(ticket, Err(Refusal::Grouped));
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
    pub(super) fn kept(&mut self, snapshot: Snapshot) {
        let keep = self.config.limits.kept_entries;
        self.log.compact(snapshot.index.saturating_sub(keep));
        let base = self.log.base().index;
        while self.members.get(1).is_some_and(|(at, _)| *at <= base) {
            self.members.remove(0);
        }
        self.snapshot = Some(snapshot);
    }

    /// Handles a durable snapshot from the leader: it replaces the log and the state.
    pub(super) fn installed(&mut self, snapshot: Snapshot) {
        let index = snapshot.index;
        self.installing = false;
        self.log = Entries::new(snapshot.position(), Vec::new());
        self.members = vec![(index, Arc::new(snapshot.membership.clone()))];
        self.commit = index;
        self.handed = index;
        self.durable = index;
        self.disk.unsaved = index + 1;
        self.snapshot = Some(snapshot.clone());
        self.output.restore = Some(snapshot);
        if let Some(leader) = self.leader {
            self.confirm_snapshot(leader);
        }
    }

    pub(super) fn on_snapshot_lost(&mut self, seq: u64) {
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
        if self.log.holds(place_of(piece)) {
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
            Some(incoming) if incoming.same(piece) => incoming,
            _ => Incoming::of(piece),
        };
        incoming.take(piece);
        let reply = PieceReply {
            index: piece.index,
            offset: incoming.bytes.len() as u64,
        };
        self.send(from, Gate::Hard, Body::PieceReply(reply));
        if !incoming.whole() {
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
        self.send(leader, Gate::Hard, Body::AppendReply(reply));
    }

    pub(super) fn begin_snapshot(&mut self, id: NodeId) -> bool {
        let Some(snapshot) = &self.snapshot else {
            return false;
        };
        let bytes = Bytes::from(snapshot.encode_to_vec());
        let outgoing = Outgoing {
            place: snapshot.position(),
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
        self.feed_snapshot(id)
    }

    /// Sends the next piece; at most one piece is unanswered at any time.
    pub(super) fn feed_snapshot(&mut self, id: NodeId) -> bool {
        let most = self.config.limits.piece_bytes;
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
        if let Some(piece) = outgoing.piece(most) {
            peer.touched = now;
            self.send(id, Gate::Open, Body::Piece(piece));
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
            peer.touched = now;
        }
    }
}
