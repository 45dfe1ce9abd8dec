//! What the engine says of itself, and what the voters are told of it.

use std::rc::Rc;
use std::time::Duration;

use spdlog::info;
use tokio::time::Instant;
use tokio::time::sleep_until;

use crate::agent::Agent;
use crate::clock::unix_millis;
use crate::link::messages::AgentRow;
use crate::link::messages::Kind;
use crate::link::messages::LoadRow;
use crate::link::messages::Row;
use crate::link::messages::pack_addr;

/// How often the engine is asked: about two passes of a full batch. More often costs processor
/// time and tells little; less often, entries send to an engine that has filled up since.
const PERIOD: Duration = Duration::from_millis(100);

/// How often what has not changed is told again, so that it counts as alive.
pub const AGAIN: Duration = Duration::from_millis(900);

/// How often a load that has not changed is told again: entries miss an engine after 700 ms, and one
/// report may be lost or late.
const LOAD_AGAIN: Duration = Duration::from_millis(300);

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

/// Tells the voters the agent's own row and its engine's load as they change.
struct Teller {
    born: u64,
    sequence: u64,
    /// What was told last, and when.
    row: Option<(Kind, Instant)>,
    load: Option<(LoadRow, Instant)>,
}

impl Teller {
    fn new(agent: &Agent) -> Self {
        info!("rows are told", kv: { id = agent.id() });
        Self {
            born: unix_millis(),
            sequence: 0,
            row: None,
            load: None,
        }
    }

    fn tell(&mut self, agent: &Agent) {
        if agent.node.followed().is_none() {
            return;
        }
        self.tell_row(agent);
        self.tell_load(agent);
    }

    fn tell_row(&mut self, agent: &Agent) {
        let kind = agent_row(agent);
        if is_told(self.row.as_ref(), &kind, AGAIN) {
            return;
        }
        self.row = Some((kind.clone(), Instant::now()));
        self.sequence += 1;
        agent.node.tell_rows(vec![Row {
            id: agent.id(),
            born: self.born,
            sequence: self.sequence,
            gone: false,
            kind: Some(kind),
        }]);
    }

    fn tell_load(&mut self, agent: &Agent) {
        let Some(load) = load_row(agent) else {
            self.load = None;
            return;
        };
        if !is_told(self.load.as_ref(), &load, LOAD_AGAIN) {
            self.load = Some((load, Instant::now()));
            agent.node.tell_load(load);
        }
    }
}

/// Whether `now` was told less than `again` ago.
fn is_told<T: PartialEq>(told: Option<&(T, Instant)>, now: &T, again: Duration) -> bool {
    told.is_some_and(|(told, at)| told == now && at.elapsed() < again)
}

fn agent_row(agent: &Agent) -> Kind {
    let node = &agent.node.settings.node;
    let holding = agent.engine.holding();
    let held = agent.holds();
    let model = holding.as_ref().or(held.as_ref());
    let model = model.map(|h| h.model.to_string());
    let served = holding.map_or(0, |h| h.version);
    Kind::Agent(AgentRow {
        engine: agent.engine.addr().to_string(),
        link: node.link.to_string(),
        zone: node.zone.clone(),
        model: model.unwrap_or_default(),
        version: served,
        loading: agent.takes_nothing(),
        holds: held.map_or(0, |h| h.version),
    })
}

fn load_row(agent: &Agent) -> Option<LoadRow> {
    let report = agent.engine.report()?;
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "a cast saturates, and a pace of thousands says as much"
    )]
    let pace = (report.pace * 100.0) as u32;
    Some(LoadRow {
        engine: pack_addr(agent.engine.addr())?,
        running: report.running,
        waiting: report.waiting,
        pace,
    })
}
