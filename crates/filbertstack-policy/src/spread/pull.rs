//! The requests of an agent: which chunk to request next, and from which upstream.
//!
//! Load pattern: all instances of a pool want the same chunks at the same time. An agent knows only
//! what its few upstreams announced. If agents asked their upstreams in a fixed order, most upload
//! slots would be idle. If they requested chunks in a fixed order, all of them would hold the same
//! chunks and have none to exchange. So upstreams take turns, and the chunk that the fewest
//! upstreams hold is requested first.
//!
//! [`PullScheduler`] covers all versions on an instance. Its indices refer to the agent's catalogue
//! of distinct chunks, so that a chunk of two versions is requested only once.

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
pub use turns::TurnClock;

new_key_type! {
    /// The key of an upstream of this instance.
    pub struct NeighbourKey;
    /// The key of a transfer in progress.
    pub struct TransferKey;
}

/// The fault of a source that made a transfer fail.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The source has no free slot now.
    Busy {
        /// The time to wait before asking again.
        after: Millis,
    },
    /// The source does not hold the chunk.
    Missing,
    /// The transfer was too slow or stalled.
    Stalled,
    /// The source cannot be reached, or the connection broke.
    Down,
    /// The source serves another version of the file.
    Stale,
    /// The source answered with another range or length than requested.
    Wrong,
    /// The source sent bytes that do not match the chunk.
    Corrupt,
}

/// The limits of an agent's requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PullConfig {
    /// The maximum number of concurrent transfers.
    pub max_transfers: usize,
    /// The time after which a transfer is given up. It is a fallback behind the source's own
    /// limits.
    pub transfer_timeout: Millis,
    /// The time after which a chunk may be requested from a second upstream, if there is nothing
    /// else left to request.
    pub duplicate_after: Millis,
    /// The time without a possible request after which the agent asks the leader.
    pub escalate_after: Millis,
    /// The length of a turn. It is about the transfer time of a chunk on an instance's link, and
    /// long compared with a round trip.
    pub turn_length: Millis,
}

impl Default for PullConfig {
    /// Returns the default limits.
    ///
    /// Four transfers hide a round trip of 2 ms behind a chunk of 4 MiB at 10 Gbit/s (3.4 ms). A
    /// timeout of 30 s per chunk corresponds to 1 Mbit/s, and a slower upstream is of no use. A
    /// turn of 50 ms is 25 round trips, so that clocks that differ by a round trip nearly always
    /// agree on the turn.
    fn default() -> Self {
        Self {
            max_transfers: 4,
            transfer_timeout: Millis::secs(30),
            duplicate_after: Millis::secs(3),
            escalate_after: Millis::secs(5),
            turn_length: Millis(50),
        }
    }
}

/// The source of a requested chunk.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Upstream {
    /// An upstream in the mesh.
    Neighbour(NeighbourKey),
    /// A source outside the mesh that the leader granted: the weight store, the origin or an
    /// instance of another region.
    Import,
}

/// A request to send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ChunkRequest {
    /// The key of the transfer for [`PullScheduler::completed`] and [`PullScheduler::failed`].
    pub transfer: TransferKey,
    /// The source of the chunk.
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

/// The scheduler of one agent's requests.
#[derive(Debug)]
pub struct PullScheduler {
    config: PullConfig,
    seed: u64,
    turns: TurnClock,
    held: ChunkSet,
    wanted: ChunkSet,
    /// The chunks of the transfers in progress.
    in_flight: ChunkSet,
    transfers: SlotMap<TransferKey, Transfer>,
    neighbours: SlotMap<NeighbourKey, Neighbour>,
    /// The number of neighbours that announced each chunk.
    copies: Vec<u32>,
    imports: VecDeque<ChunkIndex>,
    /// The number of requests so far. It lets upstreams of equal rank take turns.
    request_count: u64,
    /// The time since which no request was possible although chunks were missing.
    idle_since: Option<Millis>,
}

impl PullScheduler {
    /// Creates a scheduler without wanted chunks. `seed` differs between agents, so that they break
    /// ties differently.
    pub fn new(config: PullConfig, seed: u64) -> Self {
        Self {
            config,
            seed,
            turns: TurnClock::new(config.turn_length),
            held: ChunkSet::default(),
            wanted: ChunkSet::default(),
            in_flight: ChunkSet::default(),
            transfers: SlotMap::with_key(),
            neighbours: SlotMap::with_key(),
            copies: Vec::new(),
            imports: VecDeque::new(),
            request_count: 0,
            idle_since: None,
        }
    }

    /// Extends the catalogue to `len` chunks.
    pub fn grow(&mut self, len: usize) {
        self.held.grow(len);
        self.wanted.grow(len);
        self.in_flight.grow(len);
        self.copies.resize(self.held.len(), 0);
        for neighbour in self.neighbours.values_mut() {
            neighbour.announced.grow(len);
        }
    }

    /// Marks `chunk` as wanted.
    pub fn want(&mut self, chunk: ChunkIndex) {
        self.wanted.insert(chunk);
    }

    /// Marks `chunk` as no longer wanted. A transfer in progress may complete.
    pub fn unwant(&mut self, chunk: ChunkIndex) {
        self.wanted.remove(chunk);
        self.imports.retain(|&import| import != chunk);
    }

    /// Records that `chunk` is in the store, whatever its source was.
    pub fn hold(&mut self, chunk: ChunkIndex) {
        self.held.insert(chunk);
    }

    /// Records that `chunk` is no longer in the store.
    pub fn lose(&mut self, chunk: ChunkIndex) {
        self.held.remove(chunk);
    }

    /// Removes all state of `chunk`, so that its index can be reused for another chunk. Returns
    /// false while a transfer of it is in progress.
    pub fn clear(&mut self, chunk: ChunkIndex) -> bool {
        if self.in_flight.contains(chunk) {
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

    /// Adds an upstream, which has not announced any chunk yet.
    pub fn join(&mut self, position: RingPosition) -> NeighbourKey {
        let announced = ChunkSet::new(self.held.len());
        self.neighbours.insert(Neighbour::new(position, announced))
    }

    /// Removes an upstream. The chunks of its transfers are requested elsewhere.
    pub fn leave(&mut self, key: NeighbourKey) {
        let Some(gone) = self.neighbours.remove(key) else {
            return;
        };
        for chunk in gone.announced.iter() {
            self.copies[chunk as usize] -= 1;
        }
        let from = Upstream::Neighbour(key);
        let transfers = self.transfers.iter();
        let transfers: Vec<_> = transfers
            .filter(|(_, transfer)| transfer.from == from)
            .collect();
        let keys: Vec<_> = transfers.into_iter().map(|(key, _)| key).collect();
        for transfer in keys {
            self.end_transfer(transfer);
        }
    }

    /// Takes the mesh clock from a neighbour's message.
    pub fn observe_clock(&mut self, clock: Millis, now: Millis) {
        self.turns.observe(clock, now);
    }

    /// Returns the mesh clock for this agent's own messages.
    pub fn clock(&self, now: Millis) -> Millis {
        self.turns.clock(now)
    }

    /// Records that an upstream holds `chunk`.
    pub fn announce(&mut self, key: NeighbourKey, chunk: ChunkIndex) {
        let neighbour = self.neighbours.get_mut(key);
        if neighbour.is_some_and(|neighbour| neighbour.announced.insert(chunk)) {
            self.copies[chunk as usize] += 1;
        }
    }

    /// Records that an upstream does not hold `chunk`.
    pub fn retract(&mut self, key: NeighbourKey, chunk: ChunkIndex) {
        let neighbour = self.neighbours.get_mut(key);
        if neighbour.is_some_and(|neighbour| neighbour.announced.remove(chunk)) {
            self.copies[chunk as usize] -= 1;
        }
    }

    /// Allows this agent to fetch `chunk` from outside, as granted by the leader. Returns false if
    /// the agent holds the chunk already and should report that to the leader.
    pub fn import(&mut self, chunk: ChunkIndex) -> bool {
        let missing = !self.held.contains(chunk);
        if missing {
            self.imports.push_back(chunk);
        }
        missing
    }

    /// Returns the next request, which counts as in flight from now on. Returns `None` if there is
    /// nothing to request or no free slot.
    pub fn next(&mut self, now: Millis) -> Option<ChunkRequest> {
        if self.transfers.len() >= self.config.max_transfers || self.is_complete() {
            return None;
        }
        let found = self.next_import().or_else(|| self.next_sole(now));
        let found = found.or_else(|| self.next_neighbour(now));
        let found = found.or_else(|| self.next_duplicate(now));
        let Some((from, chunk)) = found else {
            self.note_idle(now);
            return None;
        };
        self.idle_since = None;
        self.in_flight.insert(chunk);
        if let Upstream::Neighbour(key) = from {
            self.request_count += 1;
            self.neighbours[key].start_transfer(self.request_count);
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
            self.idle_since = None;
        } else if self.idle_since.is_none() {
            self.idle_since = Some(now);
        }
    }

    fn next_import(&mut self) -> Option<(Upstream, ChunkIndex)> {
        while let Some(chunk) = self.imports.pop_front() {
            if !self.held.contains(chunk) && !self.in_flight.contains(chunk) {
                return Some((Upstream::Import, chunk));
            }
        }
        None
    }

    /// Finds a chunk that only one, slow upstream holds.
    ///
    /// Slow upstreams are asked last, so this chunk would otherwise be left until nothing else
    /// remains. The symptom is that all agents wait for the same chunk at the end. Its slow
    /// transfer leaves room for others in parallel.
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

    /// Returns the chunk to request from a neighbour: the one that the fewest neighbours hold. Ties
    /// are broken at random.
    ///
    /// Without randomness all agents would choose equal chunks in the same order and hold the same
    /// ones.
    fn rarest(&self, neighbour: &Neighbour) -> Option<ChunkIndex> {
        let announced = &neighbour.announced;
        let useful = announced.useful(&self.wanted, &self.held, &self.in_flight);
        useful.min_by_key(|&chunk| (self.copies[chunk as usize], mix(self.seed, chunk)))
    }

    /// Finds a second source for a chunk that one slow upstream delays at the end of a copy.
    fn next_duplicate(&self, now: Millis) -> Option<(Upstream, ChunkIndex)> {
        let slow = |transfer: &&Transfer| now.since(transfer.since) > self.config.duplicate_after;
        let mut late = self.transfers.values().filter(slow);
        late.find_map(|transfer| {
            let others = self.transfers.values();
            let transfers = others.filter(|other| other.chunk == transfer.chunk).count();
            let has = |n: &Neighbour| n.is_free(now) && n.announced.contains(transfer.chunk);
            let other = self.neighbours.iter().find(|(_, n)| has(n));
            let (key, _) = other.filter(|_| transfers == 1)?;
            Some((Upstream::Neighbour(key), transfer.chunk))
        })
    }

    /// Records that a transfer completed and its chunk is verified and stored. Returns true if the
    /// chunk is new.
    pub fn completed(&mut self, key: TransferKey, now: Millis) -> bool {
        let Some(transfer) = self.end_transfer(key) else {
            return false;
        };
        if let Upstream::Neighbour(from) = transfer.from {
            if let Some(neighbour) = self.neighbours.get_mut(from) {
                neighbour.record_chunk(now.since(transfer.since));
            }
            self.mark_slow();
        }
        self.held.insert(transfer.chunk)
    }

    /// Records that a transfer failed.
    ///
    /// A busy upstream is asked again after the time that it gave. A faulty one pauses for longer
    /// each time. If it did not deliver a valid chunk, it is not asked for that chunk until it
    /// announces it again.
    pub fn failed(&mut self, key: TransferKey, fault: Fault, now: Millis) {
        let Some(transfer) = self.end_transfer(key) else {
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
            neighbour.record_fault(fault, now);
        }
    }

    /// Gives up the transfers that take too long. Their chunks are requested elsewhere.
    pub fn expire(&mut self, now: Millis) -> Vec<TransferKey> {
        let late = |transfer: &Transfer| now.since(transfer.since) > self.config.transfer_timeout;
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

    /// Returns a wanted chunk that no neighbour provided for [`PullConfig::escalate_after`], to ask
    /// the leader for it. The next one is returned after the same time again.
    pub fn escalate(&mut self, now: Millis) -> Option<ChunkIndex> {
        let since = self.idle_since?;
        if self.is_complete() || now.since(since) < self.config.escalate_after {
            return None;
        }
        self.idle_since = Some(now);
        let missing = |&chunk: &ChunkIndex| !self.held.contains(chunk);
        let wanted = self.wanted.iter().filter(missing);
        wanted.min_by_key(|&chunk| (self.copies(chunk), mix(self.seed, chunk)))
    }

    fn end_transfer(&mut self, key: TransferKey) -> Option<Transfer> {
        let transfer = self.transfers.remove(key)?;
        let other = self.transfers.values().any(|t| t.chunk == transfer.chunk);
        if !other {
            self.in_flight.remove(transfer.chunk);
        }
        if let Upstream::Neighbour(from) = transfer.from
            && let Some(neighbour) = self.neighbours.get_mut(from)
        {
            neighbour.end_transfer();
        }
        Some(transfer)
    }

    fn mark_slow(&mut self) {
        let known = self.neighbours.values().filter_map(Neighbour::mean_time);
        let mut times: Vec<_> = known.collect();
        times.sort_unstable();
        let Some(&median) = times.get(times.len() / 2) else {
            return;
        };
        for neighbour in self.neighbours.values_mut() {
            neighbour.compare_speed(median);
        }
    }

    /// Returns the chunks that the agent holds.
    pub fn held(&self) -> &ChunkSet {
        &self.held
    }

    /// Returns whether the agent holds every wanted chunk.
    pub fn is_complete(&self) -> bool {
        self.held.covers(&self.wanted)
    }

    /// Returns the number of neighbours that announced `chunk`.
    pub fn copies(&self, chunk: ChunkIndex) -> u32 {
        self.copies.get(chunk as usize).copied().unwrap_or(0)
    }

    /// Returns the upstreams that failed so often that the leader should assign others instead.
    pub fn failing(&self) -> Vec<NeighbourKey> {
        let neighbours = self.neighbours.iter();
        let failing = neighbours.filter(|(_, neighbour)| neighbour.is_failing());
        failing.map(|(key, _)| key).collect()
    }
}

/// Hashes `chunk` with Stafford's 64-bit finaliser, differently for each seed.
fn mix(seed: u64, chunk: ChunkIndex) -> u64 {
    let mut x = seed ^ u64::from(chunk).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}
