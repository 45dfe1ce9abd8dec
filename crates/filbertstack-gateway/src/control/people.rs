//! Who is there: targets, entries and agents, as they were heard of.

use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;

use filbertstack_core::Millis;
use filbertstack_policy::registry::Offer;
use filbertstack_policy::registry::Registry;
use filbertstack_policy::registry::Stamp;
use tokio::sync::watch;

use crate::clock::Clock;
use crate::link::Sender;
use crate::link::messages::Interest;
use crate::link::messages::Kind;
use crate::link::messages::News;
use crate::link::messages::Row;
use crate::link::messages::Rows;

/// A target reports about each 1.2 s, at times seconds late: five reports missed mean that it has
/// crashed. Requests to it fail long before, and the entry's own record of failures acts then.
const TARGET_PATIENCE: Millis = Millis::secs(8);

/// An entry reports each [`OWN_ROW`](crate::entry::OWN_ROW): three missed.
const ENTRY_PATIENCE: Millis = Millis(1_600);

/// An agent reports each [`ROW_REPEAT`](crate::agent::reports::ROW_REPEAT): three missed.
const AGENT_PATIENCE: Millis = Millis::secs(3);

struct Follower {
    link: Sender,
    interest: Interest,
}

/// A row that followers have not been told yet.
struct Pending {
    row: Row,
    /// Whether it was registered here: other voters are told of these, and of no others.
    own: bool,
    /// Whether it says something new: those that follow are told only then.
    changed: bool,
}

/// The registry of one node, and the links of those that follow it.
pub struct People {
    clock: Clock,
    rows: RefCell<Registry<Rc<Kind>>>,
    followers: RefCell<Vec<Follower>>,
    /// Rows that followers have not been told yet.
    pending: RefCell<Vec<Pending>>,
    news: watch::Sender<u64>,
}

impl People {
    /// A registry without rows.
    pub fn new(clock: Clock) -> Self {
        Self {
            clock,
            rows: RefCell::default(),
            followers: RefCell::default(),
            pending: RefCell::default(),
            news: watch::channel(0).0,
        }
    }

    /// Told whenever a row changes.
    pub fn watch(&self) -> watch::Receiver<u64> {
        self.news.subscribe()
    }

    /// All that are there.
    pub fn present(&self) -> Vec<(Arc<str>, Rc<Kind>, Stamp)> {
        let rows = self.rows.borrow();
        let present = rows.present();
        present
            .map(|(id, kind, stamp)| (id.clone(), kind.clone(), stamp))
            .collect()
    }

    /// What is known of `id`, gone or not.
    pub fn find(&self, id: &str) -> Option<(Rc<Kind>, Stamp, bool)> {
        let rows = self.rows.borrow();
        rows.get(id)
            .map(|(kind, stamp, gone)| (kind.clone(), stamp, gone))
    }

    /// Takes rows in that were registered here (`own`) or at another voter.
    pub fn take(&self, rows: Vec<Row>, own: bool) {
        let now = self.clock.now();
        let mut changed = false;
        for row in rows {
            changed |= self.take_row(row, own, now);
        }
        if changed {
            self.news.send_modify(|count| *count += 1);
        }
    }

    fn take_row(&self, row: Row, own: bool, now: Millis) -> bool {
        let id: Arc<str> = row.id.as_str().into();
        let stamp = Stamp {
            born: row.born,
            sequence: row.sequence,
        };
        let mut known = self.rows.borrow_mut();
        let Some(kind) = row.kind.clone() else {
            if row.sequence == u64::MAX {
                return self.leave(&id, own, now, &mut known);
            }
            // A voter no longer hears of it. One that was only silent comes back with its next
            // statement, which a row marked as gone would not.
            let silent = known.get(&id).is_some_and(|(_, s, _)| s <= stamp);
            return silent && known.forget(&id);
        };
        let offer = known.offer(&id, stamp, Rc::new(kind), row.gone, now);
        drop(known);
        if offer == Offer::Late {
            return false;
        }
        let changed = offer == Offer::Changed;
        if own || changed {
            self.pending
                .borrow_mut()
                .push(Pending { row, own, changed });
        }
        changed
    }

    fn leave(&self, id: &Arc<str>, own: bool, now: Millis, known: &mut Registry<Rc<Kind>>) -> bool {
        let changed = known.remove(id, now);
        if changed {
            let row = Row::left(id);
            self.pending
                .borrow_mut()
                .push(Pending { row, own, changed });
        }
        changed
    }

    /// Begins to tell a follower on `link`: first all rows, then whatever changes.
    pub fn follow(&self, link: Sender, interest: Interest) {
        let rows = self.rows.borrow();
        let rows = rows
            .all()
            .filter(|(_, kind, _, _)| concerns(interest, Some(kind)))
            .map(|(id, kind, stamp, gone)| row(id, kind, stamp, gone));
        let rows = Rows {
            rows: rows.collect(),
            whole: true,
        };
        link.tell(News::Rows(rows));
        let mut followers = self.followers.borrow_mut();
        followers.retain(|f| !f.link.is_closed());
        followers.push(Follower { link, interest });
    }

    /// Tells followers what has changed since the last call.
    pub fn flush(&self) {
        let pending = self.pending.take();
        if pending.is_empty() {
            return;
        }
        let told = |interest: Interest| {
            let rows = pending.iter().filter(|p| match interest {
                Interest::Registered => p.own,
                _ => p.changed && concerns(interest, p.row.kind.as_ref()),
            });
            let rows: Vec<Row> = rows.map(|p| p.row.clone()).collect();
            let rows = Rows { rows, whole: false };
            (!rows.rows.is_empty()).then_some(News::Rows(rows))
        };
        let all = told(Interest::All);
        let registered = told(Interest::Registered);
        let weights = told(Interest::Weights);
        self.tell(|interest| match interest {
            Interest::All => all.clone(),
            Interest::Registered => registered.clone(),
            Interest::Weights => weights.clone(),
        });
    }

    /// Tells each follower the news made for it; one that does not keep up is dropped, and
    /// follows again.
    pub fn tell(&self, news: impl Fn(Interest) -> Option<News>) {
        let mut followers = self.followers.borrow_mut();
        followers.retain(|follower| match news(follower.interest) {
            Some(news) => follower.link.tell(news) && !follower.link.is_closed(),
            None => !follower.link.is_closed(),
        });
    }

    /// Begins to take in all rows of another source.
    pub fn begin_listing(&self) {
        self.rows.borrow_mut().begin_listing(self.clock.now());
    }

    /// Drops rows that the source followed does not list.
    pub fn prune(&self) {
        if self.rows.borrow_mut().prune(self.clock.now()) {
            self.news.send_modify(|count| *count += 1);
        }
    }

    /// Does not count a span in which this node could hear nobody.
    pub fn defer(&self, span: Millis) {
        self.rows.borrow_mut().defer(span);
    }

    /// Drops those that have been silent for too long, and tells followers. For voters, who hear
    /// of every statement.
    pub fn expire(&self) {
        let now = self.clock.now();
        let mut rows = self.rows.borrow_mut();
        let silent = rows.expire(now, |kind| match &**kind {
            Kind::Target(_) => TARGET_PATIENCE,
            Kind::Entry(_) => ENTRY_PATIENCE,
            Kind::Agent(_) => AGENT_PATIENCE,
        });
        drop(rows);
        if silent.is_empty() {
            return;
        }
        for (id, stamp) in silent {
            spdlog::info!("silent, taken out of the registry", kv: { id = id.to_string() });
            let row = Row::silent(&id, stamp.born, stamp.sequence);
            self.pending.borrow_mut().push(Pending {
                row,
                own: false,
                changed: true,
            });
        }
        self.news.send_modify(|count| *count += 1);
    }
}

/// Whether a follower needs rows of this kind; one without a kind tells of an end.
fn concerns(interest: Interest, kind: Option<&Kind>) -> bool {
    match interest {
        Interest::All | Interest::Registered => true,
        Interest::Weights => matches!(kind, None | Some(Kind::Agent(_) | Kind::Entry(_))),
    }
}

fn row(id: &Arc<str>, kind: &Kind, stamp: Stamp, gone: bool) -> Row {
    Row {
        id: id.to_string(),
        born: stamp.born,
        sequence: stamp.sequence,
        gone,
        kind: Some(kind.clone()),
    }
}
