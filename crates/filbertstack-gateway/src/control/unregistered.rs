//! Rows of processes that could not be registered because no voter accepted them.
//!
//! *Load pattern*: all instances restart at once. Engines announce themselves about every second, and
//! while the voters have no leader they are told to try again. Without further measures, entries that
//! already have the declared state would refuse every request for another second, until each engine has
//! announced itself again. So an entry keeps the rows that it could not register, and registers them as
//! soon as a voter accepts them. The sender is still told that its row was not registered.

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

/// How long a row is kept: a few of its sender's reporting intervals. The row says that its sender was
/// running then. A sender that has ended since would receive requests until its silence is noticed.
const MAX_AGE: Millis = Millis::secs(3);

/// The most rows that are kept: those of all engines of a large system that report to one entry.
const MAX_ROWS: usize = 4_096;

/// The pause before another attempt to register the rows.
const RETRY_PAUSE: Duration = Duration::from_millis(50);

/// The rows that wait to be registered, by id.
#[derive(Default)]
pub struct Unregistered {
    rows: RefCell<BTreeMap<String, (Row, Millis)>>,
    added: Notify,
}

impl Unregistered {
    /// Keeps a row. It replaces an earlier row of the same process.
    pub fn put(&self, row: Row, now: Millis) {
        let mut rows = self.rows.borrow_mut();
        if rows.len() < MAX_ROWS || rows.contains_key(&row.id) {
            rows.insert(row.id.clone(), (row, now));
        }
        self.added.notify_one();
    }

    /// Returns the rows that are not too old, and drops the others.
    pub fn recent_rows(&self, now: Millis) -> Vec<Row> {
        let mut rows = self.rows.borrow_mut();
        rows.retain(|_, (_, at)| now.since(*at) < MAX_AGE);
        rows.values().map(|(row, _)| row.clone()).collect()
    }

    /// Drops rows that were registered, unless later rows have replaced them.
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

/// Registers the waiting rows as soon as a voter accepts them, until the process ends.
pub async fn register_pending(node: Rc<Node>) {
    loop {
        node.unregistered.added.notified().await;
        loop {
            let rows = node.unregistered.recent_rows(node.clock.now());
            if rows.is_empty() {
                break;
            }
            if node.is_current() && node.register(rows.clone()).await.is_ok() {
                info!("registered the rows that had waited for a voter", kv: { rows = rows.len() });
                node.unregistered.drop_registered(&rows);
            } else {
                sleep(RETRY_PAUSE).await;
            }
        }
    }
}
