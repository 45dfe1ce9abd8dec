//! The agent process beside a model engine. It reports the engine's load and moves the engine from one
//! version of the weights to the next.

mod contents;
mod engine;
mod gather;
mod inspection;
mod orders;
mod peers;
mod predecessor;
mod read_back;
pub(crate) mod reports;
mod rollout;
mod session;
mod stage;

use std::cell::RefCell;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;

use filbertstack_platform::engine::WeightsVersion;
use filbertstack_telemetry::Metrics;
use spdlog::info;
use thiserror::Error;
use tokio::task::spawn_local;

use crate::agent::engine::Engine;
use crate::agent::inspection::Inspection;
use crate::agent::peers::PieceServer;
use crate::agent::session::Progress;
use crate::agent::stage::Stage;
use crate::clock::Clock;
use crate::control::follow;
use crate::control::node::Node;
use crate::entry::EntryError;
use crate::entry::server::bind;
use crate::entry::wait_for_stop;
use crate::link;
use crate::link::Dialer;
use crate::link::messages::Interest;
use crate::metrics;
use crate::reload::Reload;
use crate::room::Room;
use crate::settings::Settings;
use crate::slots::Slots;
use crate::weights;
use crate::weights::FIRST_VERSION;
use crate::weights::LATEST_VERSIONS;

/// `AgentError` describes why an agent could not start.
#[derive(Debug, Error)]
pub enum AgentError {
    /// The settings name no engine.
    #[error("the settings name no engine: set 'engine' in [target]")]
    NoEngine,
    /// A failure that an entry can have, too.
    #[error(transparent)]
    Entry(#[from] EntryError),
}

/// `Agent` holds the state of one agent process.
pub(crate) struct Agent {
    node: Rc<Node>,
    engine: Engine,
    stage: Stage,
    inspection: RefCell<Inspection>,
    metrics: Rc<Metrics>,
}

impl Agent {
    /// Returns the id of the rows that the agent reports.
    fn id(&self) -> String {
        format!("agent {}", self.node.settings.node.name)
    }

    /// Returns whether the engine accepts no new work. It accepts none until the agent knows what it had loaded when
    /// the agent started. While the outcome of an order is unknown and the
    /// engine has begun something since, it accepts none until the agent has checked what the engine loaded.
    fn refuses_work(&self) -> bool {
        let pending = self.stage.pending_order().zip(self.engine.report());
        let unchecked =
            pending.is_some_and(|(order, report)| Progress::from(&report) != order.progress);
        unchecked || !self.inspection.borrow().is_done() || self.engine.refuses_work()
    }

    /// Returns whether the engine holds a piece of `weights`, as far as the agent knows. An engine holds all
    /// pieces of the version that it serves from its start until another version is staged.
    fn engine_holds(&self, weights: &WeightsVersion, number: u32) -> bool {
        match self.stage.weights() {
            Some(staged) => staged == *weights && self.stage.has(number),
            None => self.engine.holding().as_ref() == Some(weights),
        }
    }

    /// Returns the version of which the engine holds all pieces.
    fn complete_version(&self) -> Option<WeightsVersion> {
        match self.stage.weights() {
            Some(_) => self.stage.complete_list().map(|list| list.weights.clone()),
            None => self.engine.holding(),
        }
    }

    /// Returns the versions that the engine should be moved to: the named ones, or else the newest that any
    /// engine serves, as the weights that engines have from the start are never named.
    fn wanted_versions(&self) -> Vec<WeightsVersion> {
        let declared = &self.node.declared;
        let model = match self.engine.holding() {
            Some(own) => Some(own.model),
            None => declared.model(&self.node.settings.target.service),
        };
        let Some(model) = model else {
            return Vec::new();
        };
        let named = declared.weight_versions(&model).into_iter();
        let mut versions: Vec<u64> = named.map(|named| named.version).collect();
        if versions.is_empty() {
            versions.push(self.newest_served(&model).max(FIRST_VERSION));
        }
        // The origin no longer has older versions.
        let latest = versions.len().saturating_sub(LATEST_VERSIONS);
        let holding = |version| WeightsVersion {
            model: model.clone(),
            version,
        };
        versions.drain(latest..).map(holding).collect()
    }

    /// Returns the newest version that any engine serves.
    fn newest_served(&self, model: &str) -> u64 {
        let agents = weights::agents(&self.node);
        let same = agents.iter().filter(|(_, row)| *row.model == *model);
        same.map(|(_, row)| row.version).max().unwrap_or(0)
    }
}

/// Runs an agent until it receives a signal to stop.
///
/// # Errors
/// [`AgentError`] names the remedy.
pub async fn run(settings: Settings, path: PathBuf, metrics: Metrics) -> Result<(), AgentError> {
    let engine: SocketAddr = settings.target.engine.ok_or(AgentError::NoEngine)?;
    let link = settings.node.link;
    let socket = bind(link).map_err(|source| EntryError::Bind { addr: link, source })?;
    info!("agent started", kv: {
        name = settings.node.name, zone = settings.node.zone, engine = engine.to_string()
    });
    let metrics = Rc::new(metrics);
    metrics::serve(&settings, &metrics, None)?;
    let limits = settings.limits;
    let reload = Rc::new(Reload::new(path, settings.clone()));
    let node = Rc::new(Node::new(
        (settings, reload.seeds()),
        Clock::default(),
        Dialer::default(),
        Interest::Weights,
        None,
    ));
    let agent = Rc::new(Agent {
        engine: Engine::new(engine),
        stage: Stage::default(),
        inspection: RefCell::new(Inspection::new(node.clock.now())),
        metrics,
        node: node.clone(),
    });
    let server = Rc::new(PieceServer::new(agent.clone()));
    let links = link::Listener {
        socket,
        slots: Slots::new("links", limits.shares().links, node.clock),
        room: Room::new(limits.links_room(), node.clock),
    };
    spawn_local(link::serve(links, server));
    spawn_local(follow::follow_group(node));
    spawn_local(reports::watch_engine(agent.clone()));
    spawn_local(rollout::keep_version(agent));
    spawn_local(reload.clone().watch_file());
    wait_for_stop(&reload).await.map_err(EntryError::Signals)?;
    info!("stopped");
    Ok(())
}
