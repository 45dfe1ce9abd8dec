//! What the engine says of itself, and what the voters are told of it.

use std::cell::Cell;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
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
use tokio::time::Instant;
use tokio::time::sleep_until;
use tokio::time::timeout;

use crate::agent::Agent;
use crate::agent::visit::LONGEST;
use crate::agent::visit::PATIENCE;
use crate::client::CallFailure;
use crate::client::Connection;
use crate::client::exchange;
use crate::clock::unix_millis;
use crate::link::messages::AgentRow;
use crate::link::messages::Kind;
use crate::link::messages::LoadRow;
use crate::link::messages::Row;

/// How often the engine is asked: about two passes of a full batch. More often costs processor
/// time and tells little; less often, entries send to an engine that has filled up since.
const PERIOD: Duration = Duration::from_millis(100);

/// How often what has not changed is told again, so that it counts as alive.
const AGAIN: Duration = Duration::from_millis(900);

/// How often a load that has not changed is told again: entries miss an engine after 700 ms, and one
/// report may be lost or late.
const LOAD_AGAIN: Duration = Duration::from_millis(300);

/// The engine beside the agent.
pub struct Engine {
    addr: SocketAddr,
    kept: Mutex<Option<Connection>>,
    report: RefCell<Option<EngineReport>>,
    loading: Cell<bool>,
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

    /// Whether it takes no new work: for an order's sake, as it carries one out, or as it does not
    /// answer.
    fn takes_nothing(&self) -> bool {
        let report = self.report.borrow();
        self.loading.get() || report.as_ref().is_none_or(|report| report.busy)
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

    async fn ask(&self) {
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

/// Asks the engine again and again, and tells the voters what is new.
pub async fn watch_engine(agent: Rc<Agent>) {
    let mut teller = Teller::new(&agent);
    let mut next = Instant::now();
    loop {
        agent.engine.ask().await;
        teller.tell(&agent);
        // After a pause of the whole instance the reports missed are not made up for.
        next = (next + PERIOD).max(Instant::now());
        sleep_until(next).await;
    }
}

/// Tells the voters the agent's own rows as they change.
struct Teller {
    born: u64,
    sequence: u64,
    /// How often a load was told.
    loads: u32,
    told: [(Option<Kind>, Instant); 2],
}

impl Teller {
    fn new(agent: &Agent) -> Self {
        let now = Instant::now();
        info!("rows are told", kv: { id = agent.id() });
        Self {
            born: unix_millis(),
            sequence: 0,
            loads: 0,
            told: [(None, now), (None, now)],
        }
    }

    fn tell(&mut self, agent: &Agent) {
        if agent.node.followed().is_none() {
            return;
        }
        let now = Instant::now();
        let kinds = [Some(agent_row(agent)), load_row(agent, self.loads)];
        let ids = [
            agent.id(),
            format!("load {}", agent.node.settings.node.name),
        ];
        let mut rows = Vec::new();
        let again = [AGAIN, LOAD_AGAIN];
        let rows_told = kinds.into_iter().zip(ids).zip(again).zip(&mut self.told);
        for (((kind, id), again), told) in rows_told {
            if told.0 == kind && now.duration_since(told.1) < again {
                continue;
            }
            let Some(mut kind) = kind else {
                *told = (None, now);
                continue;
            };
            if let Kind::Load(load) = &mut kind {
                self.loads += 1;
                load.turn = self.loads;
            }
            *told = (Some(kind.clone()), now);
            self.sequence += 1;
            rows.push(Row {
                id,
                born: self.born,
                sequence: self.sequence,
                gone: false,
                kind: Some(kind),
            });
        }
        if !rows.is_empty() {
            agent.node.tell_rows(rows);
        }
    }
}

fn agent_row(agent: &Agent) -> Kind {
    let node = &agent.node.settings.node;
    let holding = agent.engine.holding();
    let held = agent.holds();
    let model = holding.as_ref().or(held.as_ref());
    let model = model.map(|h| h.model.to_string());
    let served = holding.map_or(0, |h| h.version);
    Kind::Agent(AgentRow {
        engine: agent.engine.addr.to_string(),
        link: node.link.to_string(),
        zone: node.zone.clone(),
        model: model.unwrap_or_default(),
        version: served,
        loading: agent.engine.takes_nothing(),
        holds: held.map_or(0, |h| h.version),
    })
}

fn load_row(agent: &Agent, turn: u32) -> Option<Kind> {
    let report = agent.engine.report()?;
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "a cast saturates, and a pace of thousands says as much"
    )]
    let pace = (report.pace * 100.0) as u32;
    Some(Kind::Load(LoadRow {
        engine: agent.engine.addr.to_string(),
        running: report.running,
        waiting: report.waiting,
        pace,
        turn,
    }))
}
