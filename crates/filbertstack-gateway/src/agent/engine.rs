//! The engine beside the agent: calls of it, and what it reported last.

use std::cell::Cell;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use filbertstack_platform::engine::EngineReport;
use filbertstack_platform::engine::Holding;
use filbertstack_platform::engine::Outgoing;
use filbertstack_platform::engine::ask_report;
use filbertstack_platform::engine::read_report;
use spdlog::info;
use tokio::sync::Mutex;
use tokio::sync::watch;
use tokio::time::timeout;

use crate::client::CallFailure;
use crate::client::Connection;
use crate::client::exchange;

/// How long the engine may take to answer; it is on the same instance.
pub const PATIENCE: Duration = Duration::from_millis(500);

/// The longest answer of the engine, in bytes: a piece, or a list of models.
pub const LONGEST: usize = 4 << 20;

/// The engine beside the agent.
pub struct Engine {
    addr: SocketAddr,
    kept: Mutex<Option<Connection>>,
    report: RefCell<Option<EngineReport>>,
    loading: Cell<bool>,
    /// What it serves and must not be used with, and since which start.
    mixed: RefCell<Option<(Holding, u64)>>,
    news: watch::Sender<u64>,
}

impl Engine {
    /// The engine at `addr`, not asked yet.
    pub fn new(addr: SocketAddr) -> Self {
        Self {
            addr,
            kept: Mutex::default(),
            report: RefCell::default(),
            loading: Cell::new(false),
            mixed: RefCell::default(),
            news: watch::channel(0).0,
        }
    }

    /// What it reported last; `None` while it does not answer.
    pub fn report(&self) -> Option<EngineReport> {
        self.report.borrow().clone()
    }

    /// Where it is called.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// The weights that it serves.
    pub fn holding(&self) -> Option<Holding> {
        self.report.borrow().as_ref()?.holding.clone()
    }

    /// Notes whether it takes no new work for an order's sake.
    pub fn set_loading(&self, loading: bool) {
        self.loading.set(loading);
    }

    /// Notes that the engine started at `born` may have loaded `weights` with pieces of another version.
    pub fn set_mixed(&self, weights: Holding, born: u64) {
        *self.mixed.borrow_mut() = Some((weights, born));
    }

    /// Whether it takes no new work: for an order's sake, as it carries one out, as it does not answer, or
    /// as what it serves may be of two versions.
    pub fn takes_nothing(&self) -> bool {
        let report = self.report.borrow();
        let Some(report) = report.as_ref() else {
            return true;
        };
        self.loading.get() || report.busy || self.is_mixed(report)
    }

    fn is_mixed(&self, report: &EngineReport) -> bool {
        let mixed = self.mixed.borrow();
        mixed.as_ref().is_some_and(|(weights, born)| {
            report.holding.as_ref() == Some(weights) && report.born == *born
        })
    }

    /// Told whenever it serves other weights, or answers again.
    pub fn watch(&self) -> watch::Receiver<u64> {
        self.news.subscribe()
    }

    /// Calls the engine on a kept connection, one call at a time.
    ///
    /// An engine may drop an idle connection without notice. A call that fails on a kept one is
    /// made again on a new one: taken for a failure of the engine, it would make an agent report it
    /// as gone, and fetch again what lies staged there. These calls may be made twice, and at two
    /// starts of the engine: pieces are put and read by number. An order may not; it has a [`Visit`].
    ///
    /// [`Visit`]: crate::agent::visit::Visit
    ///
    /// # Errors
    /// [`CallFailure`].
    pub async fn call(&self, outgoing: Outgoing) -> Result<Bytes, CallFailure> {
        let mut kept = self.kept.lock().await;
        let work = async {
            if let Some(usable) = kept.take().filter(Connection::is_ready) {
                let answer = self.exchange(&mut kept, usable, outgoing.clone()).await;
                if !matches!(answer, Err(CallFailure::Broken(_))) {
                    return answer;
                }
            }
            let opened = Connection::open(self.addr, PATIENCE).await?;
            self.exchange(&mut kept, opened, outgoing).await
        };
        timeout(PATIENCE, work)
            .await
            .unwrap_or(Err(CallFailure::Timeout))
    }

    /// Makes one call and keeps the connection if it may be used again.
    async fn exchange(
        &self,
        kept: &mut Option<Connection>,
        mut connection: Connection,
        outgoing: Outgoing,
    ) -> Result<Bytes, CallFailure> {
        let answer = exchange(&mut connection, self.addr, outgoing, LONGEST).await;
        // A status is an answer like any other; after any other failure the connection goes.
        let whole = matches!(answer, Ok(_) | Err(CallFailure::Status(_)));
        *kept = Some(connection).filter(|_| whole);
        answer
    }

    /// Asks for a report now.
    ///
    /// # Errors
    /// Why there is none.
    pub async fn ask_now(&self) -> Result<EngineReport, String> {
        let answer = self.call(ask_report()).await;
        let body = answer.map_err(|e| e.to_string())?;
        read_report(&body).map_err(|e| e.to_string())
    }

    /// Asks for a report, notes it and tells what changed.
    pub async fn ask(&self) {
        let read = self.ask_now().await;
        let before = self.report.borrow().clone();
        let after = match read {
            Ok(report) => Some(report),
            Err(error) => {
                if before.is_some() {
                    info!("engine does not report", kv: { error = error });
                }
                None
            }
        };
        tell_changes(before.as_ref(), after.as_ref());
        let held =
            |report: &Option<EngineReport>| report.as_ref().map(|r| (r.holding.clone(), r.born));
        let changed = held(&before) != held(&after);
        *self.report.borrow_mut() = after;
        if changed {
            self.news.send_modify(|count| *count += 1);
        }
    }
}

/// Logs what an engine did since it was last asked: an order that got no answer may be begun at any
/// time, and only its count of orders shows when.
fn tell_changes(before: Option<&EngineReport>, after: Option<&EngineReport>) {
    let Some(after) = after else {
        return;
    };
    let known = before.filter(|before| before.born == after.born);
    if known.is_none() {
        info!("engine reports", kv: { born = after.born, sequence = after.sequence });
    } else if known.is_some_and(|before| before.sequence != after.sequence) {
        info!("engine began an order", kv: { born = after.born, sequence = after.sequence });
    }
}
