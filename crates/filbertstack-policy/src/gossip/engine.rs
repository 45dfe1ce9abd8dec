//! This module runs the gossip protocol of one entry.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use filbertstack_core::Millis;
use filbertstack_core::names::InstanceName;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::entries::home_entries;
use super::entries::rank_by_hash;
use super::entries::rendezvous_hash;
use super::message::Message;
use super::message::MessageKind;
use super::message::Outgoing;
use super::message::SUMMARY_BUCKETS;
use super::message::Summary;
use super::row::Announcement;
use super::row::Change;
use super::row::Liveness;
use super::row::Row;
use super::row::RowKind;
use super::row::State;
use super::settings::Settings;
use super::table::RowTable;

/// The number of consecutive comparisons without a new row after which the next one waits for its
/// regular round. Two neighbours may answer with the same page, so a single empty comparison says
/// little.
const MAX_EMPTY_COMPARISONS: u32 = 4;

/// The gossip protocol of one entry.
#[derive(Clone, Debug)]
pub struct Gossip {
    settings: Settings,
    own_row: Row,
    seeds: Vec<InstanceName>,
    table: RowTable,
    /// How often each row that is still to be spread has been sent.
    updates: BTreeMap<InstanceName, u32>,
    /// When each neighbour was last heard.
    last_heard: BTreeMap<InstanceName, Millis>,
    neighbours: Vec<InstanceName>,
    /// Until when the announcement of each target that this entry monitors is valid.
    leases: BTreeMap<InstanceName, Millis>,
    /// The targets for which this entry must still decide whether it monitors them.
    undecided: BTreeSet<InstanceName>,
    /// The rows marked as suspect: each becomes dead unless the instance refutes it in time.
    suspects: BTreeSet<InstanceName>,
    /// The neighbours that were sent a summary and have not answered yet.
    pending_comparisons: BTreeSet<InstanceName>,
    /// Whether another comparison is due at once, because tables still differ.
    compare_again: bool,
    /// The number of consecutive comparisons that brought no new row.
    empty_comparisons: u32,
    /// Whether an entry came or went since the neighbours were last chosen.
    entries_changed: bool,
    next_neighbour: usize,
    rounds: u64,
    rng: ChaCha8Rng,
    changes: Vec<Change>,
}

impl Gossip {
    /// Creates the gossip of the entry `own_row`, which contacts `seeds` first; `seed` initialises
    /// the random generator.
    pub fn new(own_row: Row, seeds: Vec<InstanceName>, settings: Settings, seed: u64) -> Self {
        let mut gossip = Self {
            settings,
            seeds,
            table: RowTable::new(),
            updates: BTreeMap::new(),
            last_heard: BTreeMap::new(),
            neighbours: Vec::new(),
            leases: BTreeMap::new(),
            undecided: BTreeSet::new(),
            suspects: BTreeSet::new(),
            pending_comparisons: BTreeSet::new(),
            compare_again: true,
            empty_comparisons: 0,
            entries_changed: true,
            next_neighbour: 0,
            rounds: 0,
            rng: ChaCha8Rng::seed_from_u64(seed),
            changes: Vec::new(),
            own_row,
        };
        gossip.publish_own_row(Millis::ZERO);
        gossip
    }

    /// Returns this entry's own row.
    pub fn own_row(&self) -> &Row {
        &self.own_row
    }

    /// Returns all known rows, including this entry's own.
    pub fn rows(&self) -> impl Iterator<Item = &Row> + Clone {
        self.table.rows()
    }

    /// Returns the row of one instance.
    pub fn row(&self, name: &InstanceName) -> Option<&Row> {
        self.table.get(name).map(|known| &known.row)
    }

    /// Returns the entries that this one sends to.
    pub fn neighbours(&self) -> &[InstanceName] {
        &self.neighbours
    }

    /// Returns the changes since the last call.
    pub fn take_changes(&mut self) -> Vec<Change> {
        std::mem::take(&mut self.changes)
    }

    /// Sets this entry's own state and facts under a new version.
    pub fn set_own_state(&mut self, state: State, facts: super::Facts, now: Millis) {
        self.own_row.version += 1;
        self.own_row.state = state;
        self.own_row.facts = facts;
        self.publish_own_row(now);
    }

    /// Merges a target's announcement and returns the row as it is known now. If that row is
    /// suspect or dead or has a higher version, the target raises its own version above it and
    /// announces itself again.
    pub fn receive_announcement(
        &mut self,
        announcement: Announcement,
        now: Millis,
    ) -> Option<&Row> {
        let name = announcement.row.name.clone();
        self.merge(announcement.row, now);
        // Only a home entry expects the next announcement: a target that announces itself elsewhere
        // may not know its home entries yet.
        if let Some(lease) = self.leases.get_mut(&name) {
            *lease = now + self.settings.lease;
        }
        self.row(&name)
    }

    /// Runs one round and returns the messages to send.
    pub fn tick(&mut self, now: Millis) -> Vec<Outgoing> {
        self.rounds += 1;
        self.refresh(now);
        self.suspect_silent(now);
        self.expire(now);
        let mut sends = Vec::new();
        let due = self.rounds.is_multiple_of(self.settings.compare_rounds);
        // While updates are being spread all tables differ, and pages would repeat what is already
        // on its way.
        let compare = self.compare_again || (due && self.updates.is_empty());
        for _ in 0..self.settings.fanout.min(self.neighbours.len()) {
            let to = self.neighbours[self.next_neighbour % self.neighbours.len()].clone();
            self.next_neighbour += 1;
            sends.push(self.push(to, compare));
        }
        if due || self.neighbours.is_empty() {
            sends.extend(self.unreachable_peer().map(|to| self.push(to, true)));
        }
        sends
    }

    /// Processes a message and returns the answers to send.
    pub fn receive(&mut self, from: &InstanceName, message: Message, now: Millis) -> Vec<Outgoing> {
        self.last_heard.insert(from.clone(), now);
        let received_names: BTreeSet<_> = message.rows.iter().map(|row| row.name.clone()).collect();
        let known = self.table.len();
        let is_page = message.kind == MessageKind::Page;
        for row in message.rows {
            self.merge(row, now);
        }
        let has_new_rows = self.table.len() > known;
        if self.pending_comparisons.remove(from) {
            self.record_comparison(is_page, has_new_rows);
        }
        // Rows that a new entry receives in a page are known to the others: it does not spread them
        // further.
        if is_page && has_new_rows {
            self.updates
                .retain(|name, _| !received_names.contains(name));
        }
        let remote = message.summary.filter(|s| s != self.table.summary());
        let answer = match (message.kind, remote) {
            (MessageKind::Push, None) => self.answer_message(from, &received_names),
            (MessageKind::Push, Some(remote)) => {
                let summary = Some(self.table.summary().clone());
                self.page_message(from, &remote, summary)
            }
            // Only a push is answered with a summary; otherwise two entries would answer each other
            // for ever.
            (MessageKind::Page, Some(remote)) => self.page_message(from, &remote, None),
            _ => return Vec::new(),
        };
        vec![Outgoing {
            to: from.clone(),
            message: answer,
        }]
    }

    /// Decides whether another comparison is due at once. Comparisons continue until a neighbour's
    /// table is equal or several in a row brought no new row.
    fn record_comparison(&mut self, differs: bool, has_new_rows: bool) {
        self.empty_comparisons = if has_new_rows {
            0
        } else {
            self.empty_comparisons + 1
        };
        self.compare_again = differs && self.empty_comparisons < MAX_EMPTY_COMPARISONS;
    }

    fn answer_message(
        &mut self,
        to: &InstanceName,
        received_names: &BTreeSet<InstanceName>,
    ) -> Message {
        let mut rows = self.suspected_row(to);
        rows.extend(self.pick_updates(received_names));
        Message {
            kind: MessageKind::Answer,
            rows,
            summary: None,
        }
    }

    /// Returns the row of instance `to` if it is suspect or dead. The instance may have missed this
    /// while it was cut off and must refute it before it is declared dead.
    fn suspected_row(&self, to: &InstanceName) -> Vec<Row> {
        let row = self.row(to).filter(|row| row.liveness != Liveness::Alive);
        row.cloned().into_iter().collect()
    }

    fn page_message(
        &mut self,
        to: &InstanceName,
        remote: &Summary,
        summary: Option<Summary>,
    ) -> Message {
        let start = self.random_below(SUMMARY_BUCKETS);
        let mut rows = self.suspected_row(to);
        rows.extend(
            self.table
                .differing_rows(remote, start, self.settings.page_bytes),
        );
        Message {
            kind: MessageKind::Page,
            rows,
            summary,
        }
    }

    /// Returns a random number below `bound`.
    fn random_below(&mut self, bound: usize) -> usize {
        let drawn = self.rng.next_u32() as usize;
        drawn % bound.max(1)
    }

    fn push(&mut self, to: InstanceName, compare: bool) -> Outgoing {
        let mut rows = self.suspected_row(&to);
        rows.extend(self.pick_updates(&BTreeSet::new()));
        let summary = compare.then(|| self.table.summary().clone());
        if compare {
            self.pending_comparisons.insert(to.clone());
        }
        let message = Message {
            kind: MessageKind::Push,
            rows,
            summary,
        };
        Outgoing { to, message }
    }

    /// Returns a random entry that is believed dead, or a seed that is not known yet. After a
    /// partition each side believes the other dead, and without this message the two would never
    /// reconnect.
    fn unreachable_peer(&mut self) -> Option<InstanceName> {
        let dead = self.table.rows().filter(|row| {
            row.kind == RowKind::Entry && row.liveness == Liveness::Dead && row.state != State::Left
        });
        let mut lost: Vec<_> = dead.map(|row| row.name.clone()).collect();
        let unknown = |seed: &&InstanceName| self.table.get(seed).is_none();
        lost.extend(self.seeds.iter().filter(unknown).cloned());
        let picked = self.random_below(lost.len());
        lost.get(picked).cloned()
    }

    /// Selects the updates for one message: rows that stop work come first, then those that were
    /// sent least often.
    fn pick_updates(&mut self, except: &BTreeSet<InstanceName>) -> Vec<Row> {
        let known = self
            .updates
            .iter()
            .filter(|(name, _)| !except.contains(*name));
        let rows = known.filter_map(|(name, sent)| Some((*sent, &self.table.get(name)?.row)));
        let mut rows: Vec<_> = rows
            .map(|(sent, row)| (row.takes_work(), sent, row))
            .collect();
        rows.sort_by_key(|(takes_work, sent, row)| (*takes_work, *sent, &row.name));
        let mut remaining_bytes = self.settings.message_bytes;
        let mut picked = Vec::new();
        for (_, _, row) in rows {
            if row.size() <= remaining_bytes || picked.is_empty() {
                remaining_bytes = remaining_bytes.saturating_sub(row.size());
                picked.push(row.clone());
            }
        }
        for row in &picked {
            self.count_send(&row.name);
        }
        picked
    }

    fn count_send(&mut self, name: &InstanceName) {
        let sent = self.updates.get_mut(name).map(|sent| {
            *sent += 1;
            *sent
        });
        if sent.is_some_and(|sent| sent >= self.settings.max_sends) {
            self.updates.remove(name);
        }
    }

    /// Stores a row if it is newer than the known one.
    fn merge(&mut self, row: Row, now: Millis) {
        if row.name == self.own_row.name {
            self.refute(&row, now);
            return;
        }
        let known = self.table.get(&row.name);
        if known.is_some_and(|known| !row.is_newer(&known.row)) {
            return;
        }
        // A gone instance that this entry does not know needs no row: stored here, the row would
        // pass from entry to entry for ever, because each keeps it for its own time.
        let full = self.table.len() >= self.settings.max_rows;
        if known.is_none() && (full || row.is_gone()) {
            return;
        }
        self.store(row, now);
    }

    fn store(&mut self, row: Row, now: Millis) {
        let before = self.table.get(&row.name).map(|known| &known.row);
        let took_work = before.is_some_and(Row::takes_work);
        let changed = before.is_none() || took_work != row.takes_work();
        match row.kind {
            RowKind::Entry => self.entries_changed |= changed,
            RowKind::Target if changed => {
                self.undecided.insert(row.name.clone());
            }
            RowKind::Target => {}
        }
        if row.liveness == Liveness::Suspect {
            self.suspects.insert(row.name.clone());
        } else {
            self.suspects.remove(&row.name);
        }
        self.updates.insert(row.name.clone(), 0);
        self.table.insert(row.clone(), now);
        self.changes.push(Change::Updated(row));
    }

    /// Refutes a suspicion about this entry with a higher version. A higher incarnation is reported
    /// instead: another process runs under this entry's name.
    fn refute(&mut self, row: &Row, now: Millis) {
        if row.incarnation > self.own_row.incarnation {
            let incarnation = row.incarnation;
            self.changes.push(Change::NameTaken { incarnation });
            return;
        }
        if row.incarnation == self.own_row.incarnation && row.is_newer(&self.own_row) {
            self.own_row.version = row.version + 1;
            self.publish_own_row(now);
        }
    }

    fn publish_own_row(&mut self, now: Millis) {
        self.updates.insert(self.own_row.name.clone(), 0);
        self.table.insert(self.own_row.clone(), now);
    }

    /// Chooses the neighbours again if entries changed, and decides which targets this entry
    /// monitors.
    fn refresh(&mut self, now: Millis) {
        if std::mem::take(&mut self.entries_changed) {
            self.refresh_neighbours(now);
            let targets = self.table.rows().filter(|row| row.kind == RowKind::Target);
            self.undecided = targets.map(|row| row.name.clone()).collect();
        }
        self.refresh_leases(now);
    }

    /// Chooses the neighbours: the entries that this one ranks first, and the entries that rank
    /// this one first. Without the second group, an entry that no other entry ranks first would not
    /// be monitored.
    fn refresh_neighbours(&mut self, now: Millis) {
        let alive = self.table.rows();
        let alive = alive.filter(|r| r.kind == RowKind::Entry && !r.is_gone());
        let alive: Vec<_> = alive.collect();
        let own_name = &self.own_row.name;
        let others = || alive.iter().copied().filter(|row| row.name != *own_name);
        let mut neighbours = rank_by_hash(own_name.as_str(), others());
        neighbours.truncate(self.settings.neighbour_count);
        let chooses_this = |entry: &&Row| {
            let own_hash = rendezvous_hash(entry.name.as_str(), own_name.as_str());
            let rivals = others().filter(|row| row.name != entry.name);
            let better = rivals
                .filter(|row| rendezvous_hash(entry.name.as_str(), row.name.as_str()) > own_hash);
            better.take(self.settings.neighbour_count).count() < self.settings.neighbour_count
        };
        neighbours.extend(others().filter(chooses_this).map(|row| row.name.clone()));
        neighbours.sort();
        neighbours.dedup();
        self.neighbours = neighbours;
        let neighbours: BTreeSet<_> = self.neighbours.iter().cloned().collect();
        self.pending_comparisons
            .retain(|name| neighbours.contains(name));
        self.last_heard.retain(|name, _| neighbours.contains(name));
        for name in neighbours {
            self.last_heard.entry(name).or_insert(now);
        }
    }

    /// Decides for each target in `undecided` whether this entry monitors it.
    fn refresh_leases(&mut self, now: Millis) {
        let undecided = std::mem::take(&mut self.undecided);
        if undecided.is_empty() {
            return;
        }
        let entries = self.table.rows();
        let entries: Vec<_> = entries.filter(|r| r.kind == RowKind::Entry).collect();
        for name in undecided {
            let target = self.table.get(&name).map(|known| &known.row);
            let target = target.filter(|row| !row.is_gone());
            let near = |row: &&Row| {
                let of_region = |entry: &&Row| entry.region == row.region && entry.takes_work();
                row.region == self.own_row.region || !entries.iter().any(of_region)
            };
            let is_home = target.filter(near).is_some_and(|row| {
                let homes = home_entries(&name, &row.region, entries.iter().copied());
                homes.contains(&self.own_row.name)
            });
            if is_home {
                // A newly assigned target gets a full lease for its first announcement.
                let until = now + self.settings.lease;
                self.leases.entry(name).or_insert(until);
            } else {
                self.leases.remove(&name);
            }
        }
    }

    /// Marks neighbours and monitored targets as suspect that have been silent for too long.
    fn suspect_silent(&mut self, now: Millis) {
        let silence_timeout = self.settings.silence_timeout;
        let last_heard = self
            .neighbours
            .iter()
            .filter_map(|name| self.last_heard.get_key_value(name));
        let silent = last_heard.filter(|(_, at)| now.since(**at) > silence_timeout);
        let lapsed = self.leases.iter().filter(|(_, until)| **until < now);
        let suspects: Vec<_> = silent.chain(lapsed).map(|(name, _)| name.clone()).collect();
        for name in suspects {
            let row = self
                .row(&name)
                .filter(|row| row.liveness == Liveness::Alive);
            let row = row.filter(|row| row.state != State::Left).cloned();
            if let Some(row) = row {
                let liveness = Liveness::Suspect;
                self.store(Row { liveness, ..row }, now);
            }
        }
    }

    /// Declares instances dead that have been suspect for too long, and removes the rows of
    /// instances that have been gone for long.
    fn expire(&mut self, now: Millis) {
        let suspects = self.suspects.iter().filter_map(|name| self.table.get(name));
        let overdue =
            suspects.filter(|known| now.since(known.since) > self.settings.suspect_timeout);
        let dead: Vec<_> = overdue.map(|known| known.row.clone()).collect();
        for row in dead {
            let liveness = Liveness::Dead;
            self.store(Row { liveness, ..row }, now);
        }
        if !self.rounds.is_multiple_of(self.settings.compare_rounds) {
            return;
        }
        let tombstone_ttl = self.settings.tombstone_ttl;
        let gone = self.table.iter().filter(|known| known.row.is_gone());
        let old = gone.filter(|known| now.since(known.since) > tombstone_ttl);
        let old: Vec<_> = old.map(|known| known.row.name.clone()).collect();
        for name in old.into_iter().filter(|name| *name != self.own_row.name) {
            self.table.remove(&name);
            self.updates.remove(&name);
            self.changes.push(Change::Removed(name));
        }
    }
}
