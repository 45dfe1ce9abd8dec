//! What an agent requests next, and from which upstream.
//!
//! Load pattern: all instances of a pool want the same chunks at the same moment. An agent knows
//! only what its few upstreams announced. Asking them in a fixed order would leave most upload
//! slots idle; asking for chunks in a fixed order would make all agents hold the same ones, with
//! nothing to give each other. So upstreams take turns, and the chunk that fewest of them hold
//! goes first.
//!
//! [`PullScheduler`] covers all versions on an instance: its indices are places in the agent's catalogue of
//! distinct chunks, so that a chunk of two versions is requested once.

mod neighbour;
mod turns;

use std::collections::VecDeque;

use slotmap::SlotMap;
use slotmap::new_key_type;

use filbertstack_core::Millis;

use crate::spread::chunks::ChunkIndex;
use crate::spread::chunks::ChunkSet;

use neighbour::Neighbour;

pub use neighbour::Proximity;
pub use neighbour::RingPosition;
pub use turns::Turns;

new_key_type! {
    /// An upstream of this instance.
    pub struct NeighbourKey;
    /// A transfer in progress.
    pub struct TransferKey;
}

/// What a failed transfer says of its source.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// It has no free slot now.
    Busy {
        /// When to ask again.
        after: Millis,
    },
    /// It does not hold the chunk.
    Missing,
    /// It was too slow or stood still.
    Stalled,
    /// It cannot be reached or broke off.
    Down,
    /// It serves another version of the file.
    Stale,
    /// It answered with another range or length than asked for.
    Wrong,
    /// It sent bytes that are not the chunk.
    Corrupt,
}

/// The limits of an agent's requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PullConfig {
    /// The most transfers at once.
    pub max_transfers: usize,
    /// A transfer that takes longer is given up, a backstop behind the source's own limits.
    pub stall: Millis,
    /// A transfer that takes longer may be doubled from another upstream when nothing else is
    /// left to request.
    pub double: Millis,
    /// An agent that found nothing to request for this long asks the leader.
    pub patience: Millis,
    /// The span of a turn: about the time of a chunk on an instance's link, and long beside a
    /// round trip.
    pub turn_length: Millis,
}

impl Default for PullConfig {
    /// Four slots hide a round trip of 2 ms behind a chunk of 4 MiB at 10 Gbit/s (3.4 ms). 30 s
    /// for a chunk is 1 Mbit/s, under which an upstream is of no help. A turn of 50 ms is 25 round
    /// trips, so that clocks a round trip apart agree on it nearly always.
    fn default() -> Self {
        Self {
            max_transfers: 4,
            stall: Millis::secs(30),
            double: Millis::secs(3),
            patience: Millis::secs(5),
            turn_length: Millis(50),
        }
    }
}

/// Where a chunk is requested.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Upstream {
    /// At a neighbour.
    Neighbour(NeighbourKey),
    /// Outside of the mesh, as a token of the leader allows: the weight store, the origin or an
    /// instance of another region.
    Import,
}

/// One request to send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ChunkRequest {
    /// Names the transfer in [`PullScheduler::completed`] and [`PullScheduler::failed`].
    pub transfer: TransferKey,
    /// The upstream.
    pub from: Upstream,
    /// The chunk.
    pub chunk: ChunkIndex,
}

#[derive(Clone, Copy, Debug)]
struct Transfer {
    from: Upstream,
    chunk: ChunkIndex,
    since: Millis,
}

/// The requests of one agent.
#[derive(Debug)]
pub struct PullScheduler {
    config: PullConfig,
    seed: u64,
    turns: Turns,
    held: ChunkSet,
    wanted: ChunkSet,
    /// The chunks of the transfers.
    coming: ChunkSet,
    transfers: SlotMap<TransferKey, Transfer>,
    neighbours: SlotMap<NeighbourKey, Neighbour>,
    /// How many neighbours announced each chunk.
    copies: Vec<u32>,
    imports: VecDeque<ChunkIndex>,
    /// Counts the requests, so that upstreams of equal rank are asked by turns.
    asked: u64,
    /// Since when nothing could be requested while something was missing.
    idle: Option<Millis>,
}

impl PullScheduler {
    /// The requests of an agent that wants nothing yet; `seed` differs between agents, so that
    /// equals do not all choose alike.
    pub fn new(config: PullConfig, seed: u64) -> Self {
        Self {
            config,
            seed,
            turns: Turns::new(config.turn_length),
            held: ChunkSet::default(),
            wanted: ChunkSet::default(),
            coming: ChunkSet::default(),
            transfers: SlotMap::with_key(),
            neighbours: SlotMap::with_key(),
            copies: Vec::new(),
            imports: VecDeque::new(),
            asked: 0,
            idle: None,
        }
    }

    /// Raises the catalogue to `len` chunks.
    pub fn grow(&mut self, len: usize) {
        self.held.grow(len);
        self.wanted.grow(len);
        self.coming.grow(len);
        self.copies.resize(self.held.len(), 0);
        for neighbour in self.neighbours.values_mut() {
            neighbour.view.grow(len);
        }
    }

    /// Wants `chunk` from now on.
    pub fn want(&mut self, chunk: ChunkIndex) {
        self.wanted.insert(chunk);
    }

    /// Wants `chunk` no more; a transfer of it under way may end.
    pub fn unwant(&mut self, chunk: ChunkIndex) {
        self.wanted.remove(chunk);
        self.imports.retain(|&import| import != chunk);
    }

    /// Takes note that `chunk` is in the store, wherever it came from.
    pub fn hold(&mut self, chunk: ChunkIndex) {
        self.held.insert(chunk);
    }

    /// Takes note that `chunk` is not in the store any more.
    pub fn lose(&mut self, chunk: ChunkIndex) {
        self.held.remove(chunk);
    }

    /// Forgets all of `chunk`, so that its index can name another; false while it is in transfer.
    pub fn clear(&mut self, chunk: ChunkIndex) -> bool {
        if self.coming.contains(chunk) {
            return false;
        }
        self.unwant(chunk);
        self.lose(chunk);
        let keys: Vec<_> = self.neighbours.keys().collect();
        for key in keys {
            self.retract(key, chunk);
        }
        true
    }

    /// Adds an upstream, which has announced nothing yet.
    pub fn join(&mut self, position: RingPosition) -> NeighbourKey {
        let view = ChunkSet::new(self.held.len());
        self.neighbours.insert(Neighbour::new(position, view))
    }

    /// Removes an upstream; its transfers are requested elsewhere.
    pub fn leave(&mut self, key: NeighbourKey) {
        let Some(gone) = self.neighbours.remove(key) else {
            return;
        };
        for chunk in gone.view.iter() {
            self.copies[chunk as usize] -= 1;
        }
        let from = Upstream::Neighbour(key);
        let transfers = self.transfers.iter();
        let transfers: Vec<_> = transfers
            .filter(|(_, transfer)| transfer.from == from)
            .collect();
        let keys: Vec<_> = transfers.into_iter().map(|(key, _)| key).collect();
        for transfer in keys {
            self.take(transfer);
        }
    }

    /// Takes note of the mesh clock that a neighbour's message carried.
    pub fn observe_clock(&mut self, clock: Millis, now: Millis) {
        self.turns.hear(clock, now);
    }

    /// The mesh clock for this agent's own messages.
    pub fn clock(&self, now: Millis) -> Millis {
        self.turns.clock(now)
    }

    /// Takes note that an upstream holds `chunk`.
    pub fn announce(&mut self, key: NeighbourKey, chunk: ChunkIndex) {
        let neighbour = self.neighbours.get_mut(key);
        if neighbour.is_some_and(|neighbour| neighbour.view.insert(chunk)) {
            self.copies[chunk as usize] += 1;
        }
    }

    /// Takes note that an upstream does not hold `chunk`.
    pub fn retract(&mut self, key: NeighbourKey, chunk: ChunkIndex) {
        let neighbour = self.neighbours.get_mut(key);
        if neighbour.is_some_and(|neighbour| neighbour.view.remove(chunk)) {
            self.copies[chunk as usize] -= 1;
        }
    }

    /// Allows this agent to bring `chunk` in from outside, as a token of the leader says; false if
    /// it holds the chunk already and is to tell the leader so.
    pub fn import(&mut self, chunk: ChunkIndex) -> bool {
        let missing = !self.held.contains(chunk);
        if missing {
            self.imports.push_back(chunk);
        }
        missing
    }

    /// The next request, which is in flight from now on; `None` while there is nothing to request
    /// or no free slot.
    pub fn next(&mut self, now: Millis) -> Option<ChunkRequest> {
        if self.transfers.len() >= self.config.max_transfers || self.is_complete() {
            return None;
        }
        let found = self.next_import().or_else(|| self.next_sole(now));
        let found = found.or_else(|| self.next_neighbour(now));
        let found = found.or_else(|| self.next_double(now));
        let Some((from, chunk)) = found else {
            self.note_idle(now);
            return None;
        };
        self.idle = None;
        self.coming.insert(chunk);
        if let Upstream::Neighbour(key) = from {
            self.asked += 1;
            self.neighbours[key].depart(self.asked);
        }
        let since = now;
        let transfer = self.transfers.insert(Transfer { from, chunk, since });
        Some(ChunkRequest {
            transfer,
            from,
            chunk,
        })
    }

    fn note_idle(&mut self, now: Millis) {
        if !self.transfers.is_empty() {
            self.idle = None;
        } else if self.idle.is_none() {
            self.idle = Some(now);
        }
    }

    fn next_import(&mut self) -> Option<(Upstream, ChunkIndex)> {
        while let Some(chunk) = self.imports.pop_front() {
            if !self.held.contains(chunk) && !self.coming.contains(chunk) {
                return Some((Upstream::Import, chunk));
            }
        }
        None
    }

    /// A chunk that only one upstream holds, and that one is slow.
    ///
    /// Asked last, it would keep the chunk until nothing else is left to request: the symptom is
    /// that all agents wait for the same chunk at the end. Its slow transfer leaves room beside it.
    fn next_sole(&self, now: Millis) -> Option<(Upstream, ChunkIndex)> {
        let slow = self.neighbours.iter().filter(|(_, n)| n.is_slow());
        let mut free = slow.filter(|(_, n)| n.is_free(now));
        free.find_map(|(key, neighbour)| {
            let chunk = self.rarest(neighbour)?;
            let sole = self.copies(chunk) == 1;
            sole.then_some((Upstream::Neighbour(key), chunk))
        })
    }

    fn next_neighbour(&self, now: Millis) -> Option<(Upstream, ChunkIndex)> {
        let free = self.neighbours.iter().filter(|(_, n)| n.is_free(now));
        let turn = self.turns.turn(now);
        let mut order: Vec<_> = free.map(|(key, n)| (n.rank(turn), key)).collect();
        order.sort_unstable_by_key(|&(rank, _)| rank);
        order.into_iter().find_map(|(_, key)| {
            let chunk = self.rarest(&self.neighbours[key])?;
            Some((Upstream::Neighbour(key), chunk))
        })
    }

    /// The chunk to get from a neighbour: the one that fewest neighbours hold, equals by chance.
    ///
    /// Without the chance all agents would take equals in the same order and hold the same ones.
    fn rarest(&self, neighbour: &Neighbour) -> Option<ChunkIndex> {
        let view = &neighbour.view;
        let useful = view.useful(&self.wanted, &self.held, &self.coming);
        useful.min_by_key(|&chunk| (self.copies[chunk as usize], mix(self.seed, chunk)))
    }

    /// A second transfer of a chunk that one slow upstream holds up at the end of a copy.
    fn next_double(&self, now: Millis) -> Option<(Upstream, ChunkIndex)> {
        let slow = |transfer: &&Transfer| now.since(transfer.since) > self.config.double;
        let mut late = self.transfers.values().filter(slow);
        late.find_map(|transfer| {
            let others = self.transfers.values();
            let transfers = others.filter(|other| other.chunk == transfer.chunk).count();
            let has = |n: &Neighbour| n.is_free(now) && n.view.contains(transfer.chunk);
            let other = self.neighbours.iter().find(|(_, n)| has(n));
            let (key, _) = other.filter(|_| transfers == 1)?;
            Some((Upstream::Neighbour(key), transfer.chunk))
        })
    }

    /// Takes note that a transfer brought its chunk, verified, into the store; true if the chunk
    /// is new.
    pub fn completed(&mut self, key: TransferKey, now: Millis) -> bool {
        let Some(transfer) = self.take(key) else {
            return false;
        };
        if let Upstream::Neighbour(from) = transfer.from {
            if let Some(neighbour) = self.neighbours.get_mut(from) {
                neighbour.served(now.since(transfer.since));
            }
            self.compare_speeds();
        }
        self.held.insert(transfer.chunk)
    }

    /// Takes note that a transfer failed.
    ///
    /// A busy upstream is asked again when it said; one that did wrong rests for longer each
    /// time, and is not asked for the same chunk before it announces it again.
    pub fn failed(&mut self, key: TransferKey, fault: Fault, now: Millis) {
        let Some(transfer) = self.take(key) else {
            return;
        };
        let Upstream::Neighbour(from) = transfer.from else {
            return;
        };
        if matches!(
            fault,
            Fault::Missing | Fault::Stale | Fault::Wrong | Fault::Corrupt
        ) {
            self.retract(from, transfer.chunk);
        }
        if let Some(neighbour) = self.neighbours.get_mut(from) {
            neighbour.failed(fault, now);
        }
    }

    /// Gives up the transfers that take too long; they are requested elsewhere.
    pub fn expire(&mut self, now: Millis) -> Vec<TransferKey> {
        let late = |transfer: &Transfer| now.since(transfer.since) > self.config.stall;
        let transfers = self.transfers.iter();
        let late: Vec<_> = transfers
            .filter(|(_, transfer)| late(transfer))
            .map(|(key, _)| key)
            .collect();
        for &key in &late {
            self.failed(key, Fault::Stalled, now);
        }
        late
    }

    /// A wanted chunk that no neighbour could give for [`PullConfig::patience`]: the leader is to
    /// be asked for it. The next one comes after as long again.
    pub fn escalate(&mut self, now: Millis) -> Option<ChunkIndex> {
        let since = self.idle?;
        if self.is_complete() || now.since(since) < self.config.patience {
            return None;
        }
        self.idle = Some(now);
        let missing = |&chunk: &ChunkIndex| !self.held.contains(chunk);
        let wanted = self.wanted.iter().filter(missing);
        wanted.min_by_key(|&chunk| (self.copies(chunk), mix(self.seed, chunk)))
    }

    fn take(&mut self, key: TransferKey) -> Option<Transfer> {
        let transfer = self.transfers.remove(key)?;
        let other = self.transfers.values().any(|f| f.chunk == transfer.chunk);
        if !other {
            self.coming.remove(transfer.chunk);
        }
        if let Upstream::Neighbour(from) = transfer.from
            && let Some(neighbour) = self.neighbours.get_mut(from)
        {
            neighbour.arrive();
        }
        Some(transfer)
    }

    fn compare_speeds(&mut self) {
        let known = self.neighbours.values().filter_map(Neighbour::pace);
        let mut paces: Vec<_> = known.collect();
        paces.sort_unstable();
        let Some(&median) = paces.get(paces.len() / 2) else {
            return;
        };
        for neighbour in self.neighbours.values_mut() {
            neighbour.compare(median);
        }
    }

    /// The chunks held.
    pub fn held(&self) -> &ChunkSet {
        &self.held
    }

    /// Whether every chunk wanted is held.
    pub fn is_complete(&self) -> bool {
        self.held.covers(&self.wanted)
    }

    /// How many neighbours announced `chunk`.
    pub fn copies(&self, chunk: ChunkIndex) -> u32 {
        self.copies.get(chunk as usize).copied().unwrap_or(0)
    }

    /// The upstreams that failed so often that the leader is to name others in their place.
    pub fn failing(&self) -> Vec<NeighbourKey> {
        let neighbours = self.neighbours.iter();
        let failing = neighbours.filter(|(_, neighbour)| neighbour.is_failing());
        failing.map(|(key, _)| key).collect()
    }
}

/// Spreads `chunk` over all numbers, differently for each seed (Stafford's 64-bit finaliser).
fn mix(seed: u64, chunk: ChunkIndex) -> u64 {
    let mut x = seed ^ u64::from(chunk).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}
