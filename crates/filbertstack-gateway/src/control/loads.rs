//! The loads of engines, on their way from agents over the voters to entries.
//!
//! *Load pattern*: hundreds of engines change their load with each pass, ten times a second. Told as
//! rows of the registry, each to all entries, they take more of an instance than its requests, and a
//! follower whose link is narrow makes its voter hold thousands of rows that are old before they
//! arrive. So an entry names the engines that it sends to and is told of these alone, a load is
//! fifteen bytes, and one that a follower has no room for is left out: the next comes soon.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::collections::BTreeSet;

use tokio::sync::Notify;
use tokio::sync::watch;

use crate::link::Sender;
use crate::link::messages::LoadRow;
use crate::link::messages::Loads as Told;
use crate::link::messages::News;

/// The most engines whose loads are kept until the next turn: twice the most of a deployment.
const MOST: usize = 4_096;

/// The most frames that may wait for a follower that is told loads: more would be old when they
/// arrive.
const BACKLOG: usize = 4;

/// Whose loads a follower is told.
#[derive(Debug)]
pub enum Wants {
    /// Another voter: those that agents told this one.
    Own,
    /// An entry: those of these engines.
    Engines(BTreeSet<u64>),
}

#[derive(Debug)]
struct Follower {
    link: Sender,
    wants: Wants,
}

/// A load that followers have not been told yet.
#[derive(Debug)]
struct Pending {
    row: LoadRow,
    /// Whether its agent told it here.
    own: bool,
}

impl Pending {
    fn concerns(&self, wants: &Wants) -> bool {
        match wants {
            Wants::Own => self.own,
            Wants::Engines(engines) => engines.contains(&self.row.engine),
        }
    }
}

/// The loads that pass through one node, and who is told of them.
#[derive(Debug)]
pub struct Loads {
    followers: RefCell<Vec<Follower>>,
    pending: RefCell<BTreeMap<u64, Pending>>,
    /// The latest load of each engine that this process has not taken yet.
    told: RefCell<BTreeMap<u64, LoadRow>>,
    news: Notify,
    wanted: watch::Sender<BTreeSet<u64>>,
}

impl Default for Loads {
    fn default() -> Self {
        Self {
            followers: RefCell::default(),
            pending: RefCell::default(),
            told: RefCell::default(),
            news: Notify::new(),
            wanted: watch::channel(BTreeSet::new()).0,
        }
    }
}

impl Loads {
    /// Takes in loads that agents told this node (`own`) or that a voter passed on.
    pub fn take(&self, rows: Vec<LoadRow>, own: bool) {
        let passes_on = !self.followers.borrow().is_empty();
        let mut pending = self.pending.borrow_mut();
        let mut told = self.told.borrow_mut();
        for row in rows {
            if told.len() >= MOST && !told.contains_key(&row.engine) {
                continue;
            }
            if passes_on {
                pending.insert(row.engine, Pending { row, own });
            }
            told.insert(row.engine, row);
        }
        self.news.notify_one();
    }

    /// Ends when loads have come that this process has not taken.
    pub async fn arrived(&self) {
        self.news.notified().await;
    }

    /// Takes the loads that have come since the last call.
    pub fn drain(&self) -> Vec<LoadRow> {
        self.told.take().into_values().collect()
    }

    /// Begins to tell a follower on `link`, or changes what it is told.
    pub fn follow(&self, link: &Sender, wants: Wants) {
        let mut followers = self.followers.borrow_mut();
        followers.retain(|follower| !follower.link.is_closed() && !follower.link.is_same(link));
        let link = link.clone();
        followers.push(Follower { link, wants });
    }

    /// Tells followers what has come since the last call.
    pub fn flush(&self) {
        let pending = self.pending.take();
        if pending.is_empty() {
            return;
        }
        let mut followers = self.followers.borrow_mut();
        followers.retain(|follower| !follower.link.is_closed());
        for follower in followers.iter() {
            let wanted = pending.values().filter(|p| p.concerns(&follower.wants));
            let rows: Vec<LoadRow> = wanted.map(|pending| pending.row).collect();
            if !rows.is_empty() && follower.link.backlog() < BACKLOG {
                follower.link.tell(News::Loads(Told { rows }));
            }
        }
    }

    /// Names the engines whose loads this process wants to be told.
    pub fn set_wanted(&self, engines: BTreeSet<u64>) {
        self.wanted.send_if_modified(|before| {
            let changed = *before != engines;
            *before = engines;
            changed
        });
    }

    /// The engines whose loads this process wants to be told; told as they change.
    pub fn wanted(&self) -> watch::Receiver<BTreeSet<u64>> {
        self.wanted.subscribe()
    }
}
