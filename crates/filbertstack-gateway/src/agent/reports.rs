//! Polls the engine and reports its state and load to the voters.

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

/// The agent polls the engine at this interval, about two passes of a full batch. Polling more often costs
/// processor time and adds little; polling less often lets entries send to an engine that has filled up
/// since.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// The agent repeats an unchanged row after this time, so that it counts as alive.
pub const ROW_REPEAT: Duration = Duration::from_millis(900);

/// The agent repeats an unchanged load after this time: entries miss an engine after 700 ms, and one report
/// may be lost or late.
const LOAD_REPEAT: Duration = Duration::from_millis(300);

/// Polls the engine and reports changes to the voters, until the process ends.
pub async fn watch_engine(agent: Rc<Agent>) {
    let mut reporter = Reporter::new(&agent);
    let mut next = Instant::now();
    loop {
        agent.engine.poll().await;
        reporter.report(&agent);
        // Reports missed during a pause of the whole instance are not made up for.
        next = (next + POLL_INTERVAL).max(Instant::now());
        sleep_until(next).await;
    }
}

/// `Reporter` sends the agent's own row and its engine's load to the voters as they change.
struct Reporter {
    born: u64,
    sequence: u64,
    /// The last row and load sent, and when.
    row: Option<(Kind, Instant)>,
    load: Option<(LoadRow, Instant)>,
}

impl Reporter {
    fn new(agent: &Agent) -> Self {
        info!("reporting rows to the voters", kv: { id = agent.id() });
        Self {
            born: unix_millis(),
            sequence: 0,
            row: None,
            load: None,
        }
    }

    fn report(&mut self, agent: &Agent) {
        let is_silent = agent.inspection.borrow().is_silent(agent.node.clock.now());
        if agent.node.followed().is_none() || is_silent {
            return;
        }
        self.send_row(agent);
        self.send_load(agent);
    }

    fn send_row(&mut self, agent: &Agent) {
        let kind = agent_row(agent);
        if was_sent(self.row.as_ref(), &kind, ROW_REPEAT) {
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

    fn send_load(&mut self, agent: &Agent) {
        let Some(load) = load_row(agent) else {
            self.load = None;
            return;
        };
        if !was_sent(self.load.as_ref(), &load, LOAD_REPEAT) {
            self.load = Some((load, Instant::now()));
            agent.node.tell_load(load);
        }
    }
}

/// Returns whether `current` was sent less than `interval` ago.
fn was_sent<T: PartialEq>(last: Option<&(T, Instant)>, current: &T, interval: Duration) -> bool {
    last.is_some_and(|(sent, at)| sent == current && at.elapsed() < interval)
}

fn agent_row(agent: &Agent) -> Kind {
    let node = &agent.node.settings.node;
    let holding = agent.engine.holding();
    let complete = agent.complete_version();
    let model = holding.as_ref().or(complete.as_ref());
    let model = model.map(|h| h.model.to_string());
    let served = holding.map_or(0, |h| h.version);
    Kind::Agent(AgentRow {
        engine: agent.engine.addr().to_string(),
        link: node.link.to_string(),
        zone: node.zone.clone(),
        model: model.unwrap_or_default(),
        version: served,
        loading: agent.refuses_work(),
        holds: complete.map_or(0, |h| h.version),
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
