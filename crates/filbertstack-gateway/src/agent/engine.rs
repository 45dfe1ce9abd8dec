//! Calls the engine beside the agent and keeps its last report.

use std::cell::Cell;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use filbertstack_platform::engine::EngineReport;
use filbertstack_platform::engine::OutgoingCall;
use filbertstack_platform::engine::WeightsVersion;
use filbertstack_platform::engine::ask_report;
use filbertstack_platform::engine::read_report;
use spdlog::info;
use tokio::sync::Mutex;
use tokio::sync::watch;
use tokio::time::timeout;

use crate::client::CallFailure;
use crate::client::Connection;
use crate::client::exchange;

/// A call to the engine times out after this time; the engine runs on the same instance.
pub const CALL_TIMEOUT: Duration = Duration::from_millis(500);

/// An answer of the engine has at most this many bytes: a piece, or a list of models.
pub const MAX_ANSWER: usize = 4 << 20;

/// `Engine` is the engine beside the agent.
pub struct Engine {
    addr: SocketAddr,
    idle: Mutex<Option<Connection>>,
    report: RefCell<Option<EngineReport>>,
    loading: Cell<bool>,
    /// The served version that may have been loaded with pieces that were not its own or had turned bad, and the
    /// start of the engine at which it was loaded.
    unsound: RefCell<Option<(WeightsVersion, u64)>>,
    changes: watch::Sender<u64>,
}

impl Engine {
    /// Creates an engine at `addr` that has not been polled yet.
    pub fn new(addr: SocketAddr) -> Self {
        Self {
            addr,
            idle: Mutex::default(),
            report: RefCell::default(),
            loading: Cell::new(false),
            unsound: RefCell::default(),
            changes: watch::channel(0).0,
        }
    }

    /// Returns the last report; `None` while the engine does not answer.
    pub fn report(&self) -> Option<EngineReport> {
        self.report.borrow().clone()
    }

    /// Returns the address of the engine.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Returns the weights that the engine serves.
    pub fn holding(&self) -> Option<WeightsVersion> {
        self.report.borrow().as_ref()?.holding.clone()
    }

    /// Sets whether the engine accepts no new work because of an order.
    pub fn set_loading(&self, loading: bool) {
        self.loading.set(loading);
    }

    /// Records that the engine started at `born` may have loaded `weights` with wrong pieces.
    pub fn set_unsound(&self, weights: WeightsVersion, born: u64) {
        *self.unsound.borrow_mut() = Some((weights, born));
    }

    /// Records that what the engine loaded last was right.
    pub fn set_sound(&self) {
        *self.unsound.borrow_mut() = None;
    }

    /// Returns the served version if it may have been loaded with wrong pieces.
    pub fn unsound(&self) -> Option<WeightsVersion> {
        let report = self.report.borrow();
        let holding = report.as_ref()?.holding.clone();
        holding.filter(|_| {
            report
                .as_ref()
                .is_some_and(|report| self.is_unsound(report))
        })
    }

    /// Returns whether the engine accepts no new work: because of an order, while it carries one out, while
    /// it does not answer, or because it may have loaded wrong pieces.
    pub fn refuses_work(&self) -> bool {
        let report = self.report.borrow();
        let Some(report) = report.as_ref() else {
            return true;
        };
        self.loading.get() || report.busy || self.is_unsound(report)
    }

    fn is_unsound(&self, report: &EngineReport) -> bool {
        let unsound = self.unsound.borrow();
        unsound.as_ref().is_some_and(|(weights, born)| {
            report.holding.as_ref() == Some(weights) && report.born == *born
        })
    }

    /// Returns a receiver that is notified when the engine serves other weights or answers again.
    pub fn watch(&self) -> watch::Receiver<u64> {
        self.changes.subscribe()
    }

    /// Calls the engine on a kept connection, one call at a time.
    ///
    /// An engine may drop an idle connection without notice. A call that fails on a kept connection is
    /// repeated on a new one: if the agent took it for a failure of the engine, it would report the engine as
    /// gone and fetch the staged pieces again. These calls may run twice, and at two starts of the engine, as
    /// pieces are written and read by number. An order must not; it needs a [`Session`].
    ///
    /// [`Session`]: crate::agent::session::Session
    ///
    /// # Errors
    /// [`CallFailure`].
    pub async fn call(&self, outgoing: OutgoingCall) -> Result<Bytes, CallFailure> {
        let mut idle = self.idle.lock().await;
        let work = async {
            if let Some(usable) = idle.take().filter(Connection::is_ready) {
                let answer = self.exchange(&mut idle, usable, outgoing.clone()).await;
                if !matches!(answer, Err(CallFailure::Broken(_))) {
                    return answer;
                }
            }
            let opened = Connection::open(self.addr, CALL_TIMEOUT).await?;
            self.exchange(&mut idle, opened, outgoing).await
        };
        timeout(CALL_TIMEOUT, work)
            .await
            .unwrap_or(Err(CallFailure::Timeout))
    }

    /// Makes one call and keeps the connection if it can be used again.
    async fn exchange(
        &self,
        idle: &mut Option<Connection>,
        mut connection: Connection,
        outgoing: OutgoingCall,
    ) -> Result<Bytes, CallFailure> {
        let answer = exchange(&mut connection, self.addr, outgoing, MAX_ANSWER).await;
        // A status is a complete answer; after any other failure the connection is dropped.
        let whole = matches!(answer, Ok(_) | Err(CallFailure::Status(_)));
        *idle = Some(connection).filter(|_| whole);
        Ok(answer?.body)
    }

    /// Requests a report.
    ///
    /// # Errors
    /// The reason why there is none.
    pub async fn request_report(&self) -> Result<EngineReport, String> {
        let answer = self.call(ask_report()).await;
        let body = answer.map_err(|e| e.to_string())?;
        read_report(&body).map_err(|e| e.to_string())
    }

    /// Requests a report, stores it and notifies the watchers if the engine's version or start has changed.
    pub async fn poll(&self) {
        let read = self.request_report().await;
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
        log_changes(before.as_ref(), after.as_ref());
        let identity =
            |report: &Option<EngineReport>| report.as_ref().map(|r| (r.holding.clone(), r.born));
        let changed = identity(&before) != identity(&after);
        *self.report.borrow_mut() = after;
        if changed {
            self.changes.send_modify(|count| *count += 1);
        }
    }
}

/// Logs what the engine did since the last poll. The engine may begin an order without an answer at any time,
/// and only its count of orders shows when.
fn log_changes(before: Option<&EngineReport>, after: Option<&EngineReport>) {
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
