//! The registry of processes on one node: targets, entries and agents.

use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;

use filbertstack_core::Millis;
use filbertstack_policy::registry::Applied;
use filbertstack_policy::registry::Registry;
use filbertstack_policy::registry::Stamp;
use tokio::sync::watch;

use crate::clock::Clock;
use crate::link::Sender;
use crate::link::messages::Interest;
use crate::link::messages::Kind;
use crate::link::messages::Notification;
use crate::link::messages::Row;
use crate::link::messages::Rows;

/// How long a target may be silent before it is removed. A target reports about every 1.2 s, at times
/// seconds late, so five missed reports mean that it has crashed. Requests to it fail long before, and
/// the entry's own record of failures keeps requests away from it.
const TARGET_TIMEOUT: Millis = Millis::secs(8);

/// How long an entry may be silent before it is removed: three missed reports, one each
/// [`ROW_INTERVAL`](crate::entry::ROW_INTERVAL).
const ENTRY_TIMEOUT: Millis = Millis(1_600);

/// How long an agent may be silent before it is removed: three missed reports, one each
/// [`ROW_REPEAT`](crate::agent::reports::ROW_REPEAT).
const AGENT_TIMEOUT: Millis = Millis::secs(3);

/// A process that has not left: its id, its kind and state, and the position of its last statement.
pub type RegistryRow = (Arc<str>, Rc<Kind>, Stamp);

struct Follower {
    link: Sender,
    interest: Interest,
}

/// A row that was not sent to followers yet.
struct Pending {
    row: Row,
    /// Whether it was registered at this node. Other voters receive only these rows.
    own: bool,
    /// Whether it says something new. Followers other than voters receive only these rows.
    changed: bool,
}

/// The registry of one node, and the links of the followers that receive it.
pub struct ProcessRegistry {
    clock: Clock,
    rows: RefCell<Registry<Rc<Kind>>>,
    followers: RefCell<Vec<Follower>>,
    /// The rows that were not sent to followers yet.
    pending: RefCell<Vec<Pending>>,
    changes: watch::Sender<u64>,
}

impl ProcessRegistry {
    /// Creates a registry without rows.
    pub fn new(clock: Clock) -> Self {
        Self {
            clock,
            rows: RefCell::default(),
            followers: RefCell::default(),
            pending: RefCell::default(),
            changes: watch::channel(0).0,
        }
    }

    /// Returns a receiver that is notified when a row changes.
    pub fn watch(&self) -> watch::Receiver<u64> {
        self.changes.subscribe()
    }

    /// Returns the rows of all processes that have not left.
    pub fn present(&self) -> Vec<RegistryRow> {
        let rows = self.rows.borrow();
        let present = rows.present();
        present
            .map(|(id, kind, stamp)| (id.clone(), kind.clone(), stamp))
            .collect()
    }

    /// Returns the row of `id`, and whether the process has left.
    pub fn find(&self, id: &str) -> Option<(Rc<Kind>, Stamp, bool)> {
        let rows = self.rows.borrow();
        rows.get(id)
            .map(|(kind, stamp, gone)| (kind.clone(), stamp, gone))
    }

    /// Merges rows that were registered at this node (`own`) or at another voter.
    pub fn merge(&self, rows: Vec<Row>, own: bool) {
        let now = self.clock.now();
        let mut changed = false;
        for row in rows {
            changed |= self.merge_row(row, own, now);
        }
        if changed {
            self.changes.send_modify(|count| *count += 1);
        }
    }

    fn merge_row(&self, row: Row, own: bool, now: Millis) -> bool {
        let id: Arc<str> = row.id.as_str().into();
        let stamp = Stamp {
            born: row.born,
            sequence: row.sequence,
        };
        let mut rows = self.rows.borrow_mut();
        let Some(kind) = row.kind.clone() else {
            if row.sequence == u64::MAX {
                return self.remove_row(&id, own, now, &mut rows);
            }
            // A voter found the process silent. Its row is forgotten rather than marked as gone, because
            // a process that was only silent must come back with its next row.
            let silent = rows.get(&id).is_some_and(|(_, s, _)| s <= stamp);
            return silent && rows.forget(&id);
        };
        let offer = rows.apply(&id, stamp, Rc::new(kind), row.gone, now);
        drop(rows);
        if offer == Applied::Stale {
            return false;
        }
        // Each heartbeat of a cold target counts from its arrival, also if it states the same time again.
        let changed = offer == Applied::Changed || is_cold(&row);
        if own || changed {
            self.pending
                .borrow_mut()
                .push(Pending { row, own, changed });
        }
        changed
    }

    fn remove_row(
        &self,
        id: &Arc<str>,
        own: bool,
        now: Millis,
        rows: &mut Registry<Rc<Kind>>,
    ) -> bool {
        let changed = rows.remove(id, now);
        if changed {
            let row = Row::left(id);
            self.pending
                .borrow_mut()
                .push(Pending { row, own, changed });
        }
        changed
    }

    /// Adds the follower on `link`: sends it all rows now, and later the changed ones.
    pub fn subscribe(&self, link: Sender, interest: Interest) {
        let rows = self.rows.borrow();
        let rows = rows
            .all()
            .filter(|(_, kind, _, _)| is_relevant(interest, Some(kind)))
            .map(|(id, kind, stamp, gone)| make_row(id, kind, stamp, gone));
        let rows = Rows {
            rows: rows.collect(),
            whole: true,
        };
        link.tell(Notification::Rows(rows));
        let mut followers = self.followers.borrow_mut();
        followers.retain(|f| !f.link.is_closed());
        followers.push(Follower { link, interest });
    }

    /// Sends followers the rows that have changed since the last call.
    pub fn flush(&self) {
        let pending = self.pending.take();
        if pending.is_empty() {
            return;
        }
        let news_for = |interest: Interest| {
            let rows = pending.iter().filter(|p| match interest {
                Interest::Registered => p.own,
                _ => p.changed && is_relevant(interest, p.row.kind.as_ref()),
            });
            let rows: Vec<Row> = rows.map(|p| p.row.clone()).collect();
            let rows = Rows { rows, whole: false };
            (!rows.rows.is_empty()).then_some(Notification::Rows(rows))
        };
        let all = news_for(Interest::All);
        let registered = news_for(Interest::Registered);
        let weights = news_for(Interest::Weights);
        self.notify(|interest| match interest {
            Interest::All => all.clone(),
            Interest::Registered => registered.clone(),
            Interest::Weights => weights.clone(),
        });
    }

    /// Sends each follower the message made for its interest. A follower that does not keep up is dropped,
    /// and subscribes again.
    pub fn notify(&self, news: impl Fn(Interest) -> Option<Notification>) {
        let mut followers = self.followers.borrow_mut();
        followers.retain(|follower| match news(follower.interest) {
            Some(news) => follower.link.tell(news) && !follower.link.is_closed(),
            None => !follower.link.is_closed(),
        });
    }

    /// Marks all rows as not listed by a source that starts to send all its rows.
    pub fn begin_listing(&self) {
        self.rows.borrow_mut().begin_listing(self.clock.now());
    }

    /// Removes rows that the followed source does not list.
    pub fn prune(&self) {
        if self.rows.borrow_mut().prune(self.clock.now()) {
            self.changes.send_modify(|count| *count += 1);
        }
    }

    /// Excludes a span in which this node could receive no rows from the timeouts.
    pub fn defer(&self, span: Millis) {
        self.rows.borrow_mut().extend_deadlines(span);
    }

    /// Removes processes that have been silent for too long, and notifies followers. Only voters call
    /// this, as they receive every row.
    pub fn expire(&self) {
        let now = self.clock.now();
        let mut rows = self.rows.borrow_mut();
        let silent = rows.expire(now, |kind| match &**kind {
            Kind::Target(_) => TARGET_TIMEOUT,
            Kind::Entry(_) => ENTRY_TIMEOUT,
            Kind::Agent(_) => AGENT_TIMEOUT,
        });
        drop(rows);
        if silent.is_empty() {
            return;
        }
        for (id, stamp) in silent {
            spdlog::info!("removed a silent process from the registry", kv: { id = id.to_string() });
            let row = Row::silent(&id, stamp.born, stamp.sequence);
            self.pending.borrow_mut().push(Pending {
                row,
                own: false,
                changed: true,
            });
        }
        self.changes.send_modify(|count| *count += 1);
    }
}

/// Returns whether a row says that a target is cold.
fn is_cold(row: &Row) -> bool {
    matches!(&row.kind, Some(Kind::Target(target)) if target.cold_ms > 0)
}

/// Returns whether a follower needs rows of this kind. A row without a kind says that a process has ended.
fn is_relevant(interest: Interest, kind: Option<&Kind>) -> bool {
    match interest {
        Interest::All | Interest::Registered => true,
        Interest::Weights => matches!(kind, None | Some(Kind::Agent(_) | Kind::Entry(_))),
    }
}

fn make_row(id: &Arc<str>, kind: &Kind, stamp: Stamp, gone: bool) -> Row {
    Row {
        id: id.to_string(),
        born: stamp.born,
        sequence: stamp.sequence,
        gone,
        kind: Some(kind.clone()),
    }
}
