//! What processes said of themselves while no voter could take it.
//!
//! *Load pattern*: all instances start again at once. Engines announce themselves each second or so,
//! before the voters have a leader, and are told to try again. Left at that, entries that know what
//! is declared refuse every request for another second, until each engine has had its next turn. So
//! an entry keeps what it could not pass on, and registers it as soon as it may. Whoever said it is
//! told the truth all the same: it was not registered.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use filbertstack_core::Millis;
use spdlog::info;
use tokio::sync::Notify;
use tokio::time::sleep;

use crate::control::node::Node;
use crate::link::messages::Row;

/// For how long a statement is kept: some of the speaker's turns. It says that the speaker was there
/// then; one that has ended since would be sent requests until its silence is noticed.
const KEPT: Millis = Millis::secs(3);

/// The most statements that are kept: all engines of a large system that turn to one entry.
const MOST: usize = 4_096;

/// The pause before it is tried again to register them.
const AGAIN: Duration = Duration::from_millis(50);

/// Rows that wait for a voter, by id.
#[derive(Default)]
pub struct Unregistered {
    rows: RefCell<BTreeMap<String, (Row, Millis)>>,
    news: Notify,
}

impl Unregistered {
    /// Keeps a row, in place of an earlier one about the same process.
    pub fn put(&self, row: Row, now: Millis) {
        let mut rows = self.rows.borrow_mut();
        if rows.len() < MOST || rows.contains_key(&row.id) {
            rows.insert(row.id.clone(), (row, now));
        }
        self.news.notify_one();
    }

    /// The rows that still say something.
    pub fn rows(&self, now: Millis) -> Vec<Row> {
        let mut rows = self.rows.borrow_mut();
        rows.retain(|_, (_, at)| now.since(*at) < KEPT);
        rows.values().map(|(row, _)| row.clone()).collect()
    }

    /// Drops rows that were registered, unless later ones took their place.
    pub fn drop_registered(&self, registered: &[Row]) {
        let mut rows = self.rows.borrow_mut();
        for row in registered {
            let kept = rows.get(&row.id);
            if kept.is_some_and(|(kept, _)| kept.sequence == row.sequence) {
                rows.remove(&row.id);
            }
        }
    }
}

/// Registers what waits as soon as a voter takes it, until the process ends.
pub async fn register_pending(node: Rc<Node>) {
    loop {
        node.unregistered.news.notified().await;
        loop {
            let rows = node.unregistered.rows(node.clock.now());
            if rows.is_empty() {
                break;
            }
            if node.is_current() && node.register(rows.clone()).await.is_ok() {
                info!("statements that had waited are registered", kv: { rows = rows.len() });
                node.unregistered.drop_registered(&rows);
            } else {
                sleep(AGAIN).await;
            }
        }
    }
}
