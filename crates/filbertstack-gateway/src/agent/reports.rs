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

/// How often the engine is asked: about two passes of a full batch. More often costs processor
/// time and tells little; less often, entries send to an engine that has filled up since.
const PERIOD: Duration = Duration::from_millis(100);

/// How often what has not changed is told again, so that it counts as alive.
const AGAIN: Duration = Duration::from_millis(900);

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
        engine: agent.engine.addr().to_string(),
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
        engine: agent.engine.addr().to_string(),
        running: report.running,
        waiting: report.waiting,
        pace,
        turn,
    }))
}
