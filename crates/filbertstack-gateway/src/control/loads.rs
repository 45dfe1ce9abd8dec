//! Relays the loads of engines from agents over the voters to entries.
//!
//! *Load pattern*: hundreds of engines change their load with each pass, ten times a second. Sent to all
//! entries as rows of the registry, the loads would use more of an instance than its requests do, and a
//! follower on a narrow link would make its voter queue thousands of rows that are outdated before they
//! arrive. So an entry names the engines to which it sends requests and receives the loads of these
//! alone. A load has fifteen bytes, and one for which a follower's link has no room is dropped, because
//! the next one follows soon.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::collections::BTreeSet;

use tokio::sync::Notify;
use tokio::sync::watch;

use crate::link::Sender;
use crate::link::messages::LoadRow;
use crate::link::messages::Loads as LoadsMessage;
use crate::link::messages::Notification;

/// The most engines whose loads are kept until the process takes them out: twice the engines of the
/// largest deployment.
const MAX_ENGINES: usize = 4_096;

/// The most frames that may be queued for a follower when more loads are sent to it. Behind a longer
/// queue, loads would be outdated when they arrive.
const MAX_BACKLOG: usize = 4;

/// Which loads a follower receives.
#[derive(Debug)]
pub enum LoadFilter {
    /// The loads that agents sent to this node, for another voter.
    Own,
    /// The loads of these engines, for an entry.
    Engines(BTreeSet<u64>),
}

#[derive(Debug)]
struct Follower {
    link: Sender,
    filter: LoadFilter,
}

/// A load that was not sent to followers yet.
#[derive(Debug)]
struct Pending {
    row: LoadRow,
    /// Whether its agent sent it to this node.
    own: bool,
}

impl Pending {
    fn matches(&self, filter: &LoadFilter) -> bool {
        match filter {
            LoadFilter::Own => self.own,
            LoadFilter::Engines(engines) => engines.contains(&self.row.engine),
        }
    }
}

/// The loads that pass through one node, and the followers that receive them.
#[derive(Debug)]
pub struct Loads {
    followers: RefCell<Vec<Follower>>,
    pending: RefCell<BTreeMap<u64, Pending>>,
    /// The latest load of each engine that this process has not taken out yet.
    latest: RefCell<BTreeMap<u64, LoadRow>>,
    arrivals: Notify,
    wanted: watch::Sender<BTreeSet<u64>>,
}

impl Default for Loads {
    fn default() -> Self {
        Self {
            followers: RefCell::default(),
            pending: RefCell::default(),
            latest: RefCell::default(),
            arrivals: Notify::new(),
            wanted: watch::channel(BTreeSet::new()).0,
        }
    }
}

impl Loads {
    /// Records loads that agents sent to this node (`own`) or that a voter forwarded.
    pub fn record(&self, rows: Vec<LoadRow>, own: bool) {
        let has_followers = !self.followers.borrow().is_empty();
        let mut pending = self.pending.borrow_mut();
        let mut latest = self.latest.borrow_mut();
        for row in rows {
            if latest.len() >= MAX_ENGINES && !latest.contains_key(&row.engine) {
                continue;
            }
            if has_followers {
                pending.insert(row.engine, Pending { row, own });
            }
            latest.insert(row.engine, row);
        }
        self.arrivals.notify_one();
    }

    /// Waits until loads have arrived that this process has not taken out.
    pub async fn arrived(&self) {
        self.arrivals.notified().await;
    }

    /// Takes out the loads that have arrived since the last call.
    pub fn drain(&self) -> Vec<LoadRow> {
        self.latest.take().into_values().collect()
    }

    /// Adds the follower on `link`, or replaces its filter.
    pub fn subscribe(&self, link: &Sender, filter: LoadFilter) {
        let mut followers = self.followers.borrow_mut();
        followers.retain(|follower| !follower.link.is_closed() && !follower.link.is_same(link));
        let link = link.clone();
        followers.push(Follower { link, filter });
    }

    /// Sends followers the loads that have arrived since the last call.
    pub fn flush(&self) {
        let pending = self.pending.take();
        if pending.is_empty() {
            return;
        }
        let mut followers = self.followers.borrow_mut();
        followers.retain(|follower| !follower.link.is_closed());
        for follower in followers.iter() {
            let wanted = pending.values().filter(|p| p.matches(&follower.filter));
            let rows: Vec<LoadRow> = wanted.map(|pending| pending.row).collect();
            if !rows.is_empty() && follower.link.backlog() < MAX_BACKLOG {
                follower
                    .link
                    .tell(Notification::Loads(LoadsMessage { rows }));
            }
        }
    }

    /// Sets the engines whose loads this process needs.
    pub fn set_wanted(&self, engines: BTreeSet<u64>) {
        self.wanted.send_if_modified(|before| {
            let changed = *before != engines;
            *before = engines;
            changed
        });
    }

    /// Returns a receiver of the engines whose loads this process needs, notified of each change.
    pub fn watch_wanted(&self) -> watch::Receiver<BTreeSet<u64>> {
        self.wanted.subscribe()
    }
}
