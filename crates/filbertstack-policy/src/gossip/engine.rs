//! The gossip of one entry.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use filbertstack_core::Millis;
use filbertstack_core::names::InstanceName;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::book::Book;
use super::entries::home_entries;
use super::entries::ranked;
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

/// After so many comparisons without a new row the next one is due in its turn. Two neighbours may
/// answer with the same page, so one alone says little.
const MAX_FRUITLESS: u32 = 4;

/// The gossip of one entry.
#[derive(Clone, Debug)]
pub struct Gossip {
    settings: Settings,
    me: Row,
    seeds: Vec<InstanceName>,
    book: Book,
    /// How often each row that is news was sent.
    news: BTreeMap<InstanceName, u32>,
    /// When each neighbour was heard last.
    heard: BTreeMap<InstanceName, Millis>,
    view: Vec<InstanceName>,
    /// Until when each target that this entry answers for has announced itself.
    leases: BTreeMap<InstanceName, Millis>,
    /// Targets for which it is to be decided whether this entry answers for them.
    arrived: BTreeSet<InstanceName>,
    /// The doubted rows: each is dead unless it answers.
    doubted: BTreeSet<InstanceName>,
    /// The neighbours that were sent a summary and have not answered.
    asked: BTreeSet<InstanceName>,
    /// Whether a comparison brought something new, so that another is due at once.
    behind: bool,
    /// Comparisons in a row that brought nothing.
    fruitless: u32,
    /// Whether an entry came or went since the neighbours were chosen.
    stale: bool,
    turn: usize,
    rounds: u64,
    rng: ChaCha8Rng,
    changes: Vec<Change>,
}

impl Gossip {
    /// The gossip of the entry `me`, which first talks to `seeds`; `seed` draws its chances.
    pub fn new(me: Row, seeds: Vec<InstanceName>, settings: Settings, seed: u64) -> Self {
        let mut gossip = Self {
            settings,
            seeds,
            book: Book::new(),
            news: BTreeMap::new(),
            heard: BTreeMap::new(),
            view: Vec::new(),
            leases: BTreeMap::new(),
            arrived: BTreeSet::new(),
            doubted: BTreeSet::new(),
            asked: BTreeSet::new(),
            behind: true,
            fruitless: 0,
            stale: true,
            turn: 0,
            rounds: 0,
            rng: ChaCha8Rng::seed_from_u64(seed),
            changes: Vec::new(),
            me,
        };
        gossip.speak(Millis::ZERO);
        gossip
    }

    /// This entry's own row.
    pub fn own_row(&self) -> &Row {
        &self.me
    }

    /// Every row known, its own included.
    pub fn rows(&self) -> impl Iterator<Item = &Row> + Clone {
        self.book.rows()
    }

    /// The row of one instance.
    pub fn row(&self, name: &InstanceName) -> Option<&Row> {
        self.book.get(name).map(|known| &known.row)
    }

    /// The entries that this one sends to.
    pub fn neighbours(&self) -> &[InstanceName] {
        &self.view
    }

    /// What changed since this was last asked.
    pub fn take_changes(&mut self) -> Vec<Change> {
        std::mem::take(&mut self.changes)
    }

    /// Changes what this entry says of itself.
    pub fn set_own_state(&mut self, state: State, facts: super::Facts, now: Millis) {
        self.me.version += 1;
        self.me.state = state;
        self.me.facts = facts;
        self.speak(now);
    }

    /// Takes a target's announcement; the row as it is known now. If that row carries a doubt or
    /// a greater version, the target raises its own version above it and announces again.
    pub fn announce(&mut self, announcement: Announcement, now: Millis) -> Option<&Row> {
        let name = announcement.row.name.clone();
        self.merge(announcement.row, now);
        // Only a home waits for the next announcement: the target may just not know better yet.
        if let Some(lease) = self.leases.get_mut(&name) {
            *lease = now + self.settings.lease;
        }
        self.row(&name)
    }

    /// One round: what to send.
    pub fn tick(&mut self, now: Millis) -> Vec<Outgoing> {
        self.rounds += 1;
        self.refresh(now);
        self.doubt_the_silent(now);
        self.expire(now);
        let mut sends = Vec::new();
        let due = self.rounds.is_multiple_of(self.settings.compare_rounds);
        // While news is under way all tables differ, and pages would repeat what is coming.
        let compare = self.behind || (due && self.news.is_empty());
        for _ in 0..self.settings.fanout.min(self.view.len()) {
            let to = self.view[self.turn % self.view.len()].clone();
            self.turn += 1;
            sends.push(self.push(to, compare));
        }
        if due || self.view.is_empty() {
            sends.extend(self.lost_peer().map(|to| self.push(to, true)));
        }
        sends
    }

    /// Takes a message in; what to answer.
    pub fn receive(&mut self, from: &InstanceName, message: Message, now: Millis) -> Vec<Outgoing> {
        self.heard.insert(from.clone(), now);
        let told: BTreeSet<_> = message.rows.iter().map(|row| row.name.clone()).collect();
        let known = self.book.len();
        let is_page = message.kind == MessageKind::Page;
        for row in message.rows {
            self.merge(row, now);
        }
        let grew = self.book.len() > known;
        if self.asked.remove(from) {
            self.judge_comparison(is_page, grew);
        }
        // What a newcomer is told is no news to anybody else.
        if is_page && grew {
            self.news.retain(|name, _| !told.contains(name));
        }
        let theirs = message.summary.filter(|s| s != self.book.summary());
        let answer = match (message.kind, theirs) {
            (MessageKind::Push, None) => self.answer(from, &told),
            (MessageKind::Push, Some(theirs)) => {
                let summary = Some(self.book.summary().clone());
                self.page(from, &theirs, summary)
            }
            // Only a push is answered with a summary: otherwise two would answer each other for
            // ever.
            (MessageKind::Page, Some(theirs)) => self.page(from, &theirs, None),
            _ => return Vec::new(),
        };
        vec![Outgoing {
            to: from.clone(),
            message: answer,
        }]
    }

    /// Decides whether another comparison is due at once: until a neighbour's table is the same, or
    /// several in a row brought nothing.
    fn judge_comparison(&mut self, differs: bool, grew: bool) {
        self.fruitless = if grew { 0 } else { self.fruitless + 1 };
        self.behind = differs && self.fruitless < MAX_FRUITLESS;
    }

    fn answer(&mut self, to: &InstanceName, told: &BTreeSet<InstanceName>) -> Message {
        let mut rows = self.doubt_about(to);
        rows.extend(self.pick_news(told));
        Message {
            kind: MessageKind::Answer,
            rows,
            summary: None,
        }
    }

    /// The row of a doubted instance, for itself: it may have missed what others say of it while
    /// it was cut off, and must answer before the doubt turns into its death.
    fn doubt_about(&self, to: &InstanceName) -> Vec<Row> {
        let row = self.row(to).filter(|row| row.liveness != Liveness::Alive);
        row.cloned().into_iter().collect()
    }

    fn page(&mut self, to: &InstanceName, theirs: &Summary, summary: Option<Summary>) -> Message {
        let start = self.below(SUMMARY_BUCKETS);
        let mut rows = self.doubt_about(to);
        rows.extend(self.book.missing(theirs, start, self.settings.page));
        Message {
            kind: MessageKind::Page,
            rows,
            summary,
        }
    }

    /// A number under `bound`.
    fn below(&mut self, bound: usize) -> usize {
        let drawn = self.rng.next_u32() as usize;
        drawn % bound.max(1)
    }

    fn push(&mut self, to: InstanceName, compare: bool) -> Outgoing {
        let mut rows = self.doubt_about(&to);
        rows.extend(self.pick_news(&BTreeSet::new()));
        let summary = compare.then(|| self.book.summary().clone());
        if compare {
            self.asked.insert(to.clone());
        }
        let message = Message {
            kind: MessageKind::Push,
            rows,
            summary,
        };
        Outgoing { to, message }
    }

    /// An entry that is thought dead, or a seed not yet met. Two sides that lost each other both think the
    /// other dead, and would never speak again once the network is whole.
    fn lost_peer(&mut self) -> Option<InstanceName> {
        let dead = self.book.rows().filter(|row| {
            row.kind == RowKind::Entry && row.liveness == Liveness::Dead && row.state != State::Left
        });
        let mut lost: Vec<_> = dead.map(|row| row.name.clone()).collect();
        let unknown = |seed: &&InstanceName| self.book.get(seed).is_none();
        lost.extend(self.seeds.iter().filter(unknown).cloned());
        let picked = self.below(lost.len());
        lost.get(picked).cloned()
    }

    /// The news for one message: what was sent least, states that stop work first.
    fn pick_news(&mut self, except: &BTreeSet<InstanceName>) -> Vec<Row> {
        let known = self.news.iter().filter(|(name, _)| !except.contains(*name));
        let rows = known.filter_map(|(name, sent)| Some((*sent, &self.book.get(name)?.row)));
        let mut rows: Vec<_> = rows
            .map(|(sent, row)| (row.takes_work(), sent, row))
            .collect();
        rows.sort_by_key(|(takes_work, sent, row)| (*takes_work, *sent, &row.name));
        let mut left = self.settings.bytes;
        let mut picked = Vec::new();
        for (_, _, row) in rows {
            if row.size() <= left || picked.is_empty() {
                left = left.saturating_sub(row.size());
                picked.push(row.clone());
            }
        }
        for row in &picked {
            self.count_send(&row.name);
        }
        picked
    }

    fn count_send(&mut self, name: &InstanceName) {
        let sent = self.news.get_mut(name).map(|sent| {
            *sent += 1;
            *sent
        });
        if sent.is_some_and(|sent| sent >= self.settings.sends) {
            self.news.remove(name);
        }
    }

    /// Takes a row in if it is newer than what is known.
    fn merge(&mut self, row: Row, now: Millis) {
        if row.name == self.me.name {
            self.answer_doubt(&row, now);
            return;
        }
        let known = self.book.get(&row.name);
        if known.is_some_and(|known| !row.is_newer(&known.row)) {
            return;
        }
        // A gone instance that nobody here remembers needs no row: taken in, it would pass from
        // one entry to the next for ever, each keeping it for its own time.
        let full = self.book.len() >= self.settings.rows;
        if known.is_none() && (full || row.is_gone()) {
            return;
        }
        self.take(row, now);
    }

    fn take(&mut self, row: Row, now: Millis) {
        let before = self.book.get(&row.name).map(|known| &known.row);
        let worked = before.is_some_and(Row::takes_work);
        let changed = before.is_none() || worked != row.takes_work();
        match row.kind {
            RowKind::Entry => self.stale |= changed,
            RowKind::Target if changed => {
                self.arrived.insert(row.name.clone());
            }
            RowKind::Target => {}
        }
        if row.liveness == Liveness::Suspect {
            self.doubted.insert(row.name.clone());
        } else {
            self.doubted.remove(&row.name);
        }
        self.news.insert(row.name.clone(), 0);
        self.book.put(row.clone(), now);
        self.changes.push(Change::Updated(row));
    }

    /// Answers what others say of this entry.
    fn answer_doubt(&mut self, row: &Row, now: Millis) {
        if row.incarnation > self.me.incarnation {
            let incarnation = row.incarnation;
            self.changes.push(Change::NameTaken { incarnation });
            return;
        }
        if row.incarnation == self.me.incarnation && row.is_newer(&self.me) {
            self.me.version = row.version + 1;
            self.speak(now);
        }
    }

    fn speak(&mut self, now: Millis) {
        self.news.insert(self.me.name.clone(), 0);
        self.book.put(self.me.clone(), now);
    }

    /// Chooses neighbours, and the targets that this entry answers for, anew if entries changed.
    fn refresh(&mut self, now: Millis) {
        if std::mem::take(&mut self.stale) {
            self.refresh_view(now);
            let targets = self.book.rows().filter(|row| row.kind == RowKind::Target);
            self.arrived = targets.map(|row| row.name.clone()).collect();
        }
        self.refresh_mine(now);
    }

    /// The neighbours: those that this entry ranks first, and those that rank it first. Without
    /// the second half, an entry that nobody ranks first would be watched by nobody.
    fn refresh_view(&mut self, now: Millis) {
        let alive = self.book.rows();
        let alive = alive.filter(|r| r.kind == RowKind::Entry && !r.is_gone());
        let alive: Vec<_> = alive.collect();
        let me = &self.me.name;
        let others = || alive.iter().copied().filter(|row| row.name != *me);
        let mut view = ranked(me.as_str(), others());
        view.truncate(self.settings.view);
        let chooses_me = |of: &&Row| {
            let mine = rendezvous_hash(of.name.as_str(), me.as_str());
            let rivals = others().filter(|row| row.name != of.name);
            let better =
                rivals.filter(|row| rendezvous_hash(of.name.as_str(), row.name.as_str()) > mine);
            better.take(self.settings.view).count() < self.settings.view
        };
        view.extend(others().filter(chooses_me).map(|row| row.name.clone()));
        view.sort();
        view.dedup();
        self.view = view;
        let view: BTreeSet<_> = self.view.iter().cloned().collect();
        self.asked.retain(|name| view.contains(name));
        self.heard.retain(|name, _| view.contains(name));
        for name in view {
            self.heard.entry(name).or_insert(now);
        }
    }

    /// Decides anew for each target in `arrived` whether this entry answers for it.
    fn refresh_mine(&mut self, now: Millis) {
        let arrived = std::mem::take(&mut self.arrived);
        if arrived.is_empty() {
            return;
        }
        let entries = self.book.rows();
        let entries: Vec<_> = entries.filter(|r| r.kind == RowKind::Entry).collect();
        for name in arrived {
            let target = self.book.get(&name).map(|known| &known.row);
            let target = target.filter(|row| !row.is_gone());
            let near = |row: &&Row| {
                let of_region = |entry: &&Row| entry.region == row.region && entry.takes_work();
                row.region == self.me.region || !entries.iter().any(of_region)
            };
            let is_home = target.filter(near).is_some_and(|row| {
                let homes = home_entries(&name, &row.region, entries.iter().copied());
                homes.contains(&self.me.name)
            });
            if is_home {
                // A target that falls to this entry has a lease's time to come.
                let until = now + self.settings.lease;
                self.leases.entry(name).or_insert(until);
            } else {
                self.leases.remove(&name);
            }
        }
    }

    /// Doubts neighbours and own targets that have been silent for too long.
    fn doubt_the_silent(&mut self, now: Millis) {
        let silence = self.settings.silence;
        let heard = self
            .view
            .iter()
            .filter_map(|name| self.heard.get_key_value(name));
        let silent = heard.filter(|(_, at)| now.since(**at) > silence);
        let lapsed = self.leases.iter().filter(|(_, until)| **until < now);
        let doubted: Vec<_> = silent.chain(lapsed).map(|(name, _)| name.clone()).collect();
        for name in doubted {
            let row = self
                .row(&name)
                .filter(|row| row.liveness == Liveness::Alive);
            let row = row.filter(|row| row.state != State::Left).cloned();
            if let Some(row) = row {
                let liveness = Liveness::Suspect;
                self.take(Row { liveness, ..row }, now);
            }
        }
    }

    /// Turns old doubts into deaths, and forgets what is long gone.
    fn expire(&mut self, now: Millis) {
        let doubted = self.doubted.iter().filter_map(|name| self.book.get(name));
        let over = doubted.filter(|known| now.since(known.since) > self.settings.doubt);
        let dead: Vec<_> = over.map(|known| known.row.clone()).collect();
        for row in dead {
            let liveness = Liveness::Dead;
            self.take(Row { liveness, ..row }, now);
        }
        if !self.rounds.is_multiple_of(self.settings.compare_rounds) {
            return;
        }
        let keep = self.settings.tombstone;
        let gone = self.book.iter().filter(|known| known.row.is_gone());
        let old = gone.filter(|known| now.since(known.since) > keep);
        let old: Vec<_> = old.map(|known| known.row.name.clone()).collect();
        for name in old.into_iter().filter(|name| *name != self.me.name) {
            self.book.remove(&name);
            self.news.remove(&name);
            self.changes.push(Change::Removed(name));
        }
    }
}
