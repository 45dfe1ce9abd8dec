//! Bringing the engine to the version that it should serve.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use filbertstack_core::Millis;
use filbertstack_platform::engine::Holding;
use filbertstack_platform::engine::order_start;
use filbertstack_platform::engine::read_staged;
use filbertstack_platform::engine::stage_piece;
use filbertstack_policy::rollout::Haste;
use filbertstack_policy::rollout::order_after;
use filbertstack_policy::subset::hash;
use spdlog::info;
use spdlog::warn;
use tokio::task::JoinHandle;
use tokio::task::spawn_local;
use tokio::time::sleep;

use crate::agent::Agent;
use crate::agent::fetch::gather;
use crate::agent::peers;
use crate::agent::shelf::Set;

/// How often it is looked whether the engine serves what it should.
const LOOK: Duration = Duration::from_millis(150);

/// How long before the order entries are told to send nothing new: the way of a row to all of
/// them. What is sent in between is refused by the engine as not run.
const AHEAD: Duration = Duration::from_millis(80);

/// The pause after an order or a staging that failed.
const AGAIN: Duration = Duration::from_millis(200);

/// How long an order that was accepted may take: what runs is finished first.
const LOADED: Duration = Duration::from_secs(12);

/// Keeps the engine at the version that it should serve, until the process ends.
///
/// Every named version that the engine does not serve yet is gathered, also those that a newer one
/// has followed: the origin may fail right after a version is named, and then the one before is
/// all that can be brought in time.
pub async fn keep_version(agent: Rc<Agent>) {
    let mut gathering = Gathering::default();
    loop {
        if let Some(report) = agent.engine.report() {
            let served = report.holding.map_or(0, |holding| holding.version);
            gathering.follow(&agent, served);
            if let Some(set) = agent.shelf.newest().filter(|s| is_due(&agent, s, served)) {
                bring(&agent, &set).await;
                agent.engine.set_loading(false);
            }
        }
        sleep(LOOK).await;
    }
}

/// The versions that are being gathered.
#[derive(Default)]
struct Gathering(Vec<(Holding, JoinHandle<()>)>);

impl Gathering {
    /// Begins to gather what is missing, and stops gathering what is no longer needed.
    fn follow(&mut self, agent: &Rc<Agent>, served: u64) {
        let whole = agent.shelf.whole().map_or(0, |holding| holding.version);
        let needed = |weights: &Holding| weights.version > served.max(whole);
        self.0.retain(|(weights, task)| {
            if !needed(weights) {
                task.abort();
            }
            needed(weights) && !task.is_finished()
        });
        for weights in agent.wanted().into_iter().filter(needed) {
            if self.0.iter().any(|(other, _)| *other == weights) {
                continue;
            }
            info!("pieces are gathered", kv: { version = weights.version });
            let task = spawn_local(gather(agent.clone(), weights.clone()));
            self.0.push((weights, task));
        }
    }
}

/// Whether the engine is to be brought to the version of a whole set now.
fn is_due(agent: &Agent, set: &Set, served: u64) -> bool {
    let weights = &set.list.weights;
    weights.version > served && time_to_order(agent, weights) == Millis::ZERO
}

async fn bring(agent: &Agent, set: &Set) {
    let weights = &set.list.weights;
    if !stage(agent, set).await || !order(agent, weights).await {
        sleep(AGAIN).await;
    }
}

/// How long until it is this engine's turn; none for an engine that serves nothing.
fn time_to_order(agent: &Agent, wanted: &Holding) -> Millis {
    let Some(served) = agent.engine.holding() else {
        return Millis::ZERO;
    };
    let named = agent.node.declared.named(&wanted.model);
    let Some(first) = named.iter().find(|named| named.version > served.version) else {
        return Millis::ZERO;
    };
    let mut ids: Vec<Arc<str>> = peers::agents(&agent.node)
        .into_iter()
        .filter(|(_, row)| *row.model == *wanted.model)
        .map(|(id, _)| id)
        .collect();
    ids.sort_by_key(|id| hash(id));
    let bound = Millis::from(agent.node.settings.bounds.rollout);
    let haste = if agent.shelf.is_newer_moving(wanted.version) {
        Haste::LastCall
    } else {
        Haste::Usual
    };
    let turn = first.at + order_after(&agent.id(), &ids, bound, haste);
    turn.since(agent.node.clock.now())
}

/// Stages all pieces and reads them back. What lies at an engine may turn bad there, so that the
/// order must follow at once on a set that was read back whole.
async fn stage(agent: &Agent, set: &Set) -> bool {
    let model = set.list.weights.model.clone();
    for number in 0..set.count() {
        let staged = agent.engine.call(read_staged(&model, number)).await;
        if staged.is_ok_and(|bytes| set.fits(number, &bytes)) {
            continue;
        }
        let Some(bytes) = set.piece(number) else {
            return false;
        };
        let put = agent.engine.call(stage_piece(&model, number, bytes)).await;
        if let Err(error) = put {
            warn!("piece not staged", kv: { number = number, error = error.to_string() });
            return false;
        }
    }
    for number in 0..set.count() {
        let staged = agent.engine.call(read_staged(&model, number)).await;
        if !staged.is_ok_and(|bytes| set.fits(number, &bytes)) {
            warn!("piece turned bad where it lies", kv: { number = number });
            return false;
        }
    }
    true
}

/// Orders the engine to serve the version, and waits until it does.
async fn order(agent: &Agent, wanted: &Holding) -> bool {
    agent.engine.set_loading(true);
    sleep(AHEAD).await;
    if let Err(error) = agent.engine.call(order_start(wanted)).await {
        info!("order not taken", kv: { version = wanted.version, error = error.to_string() });
        agent.engine.set_loading(false);
        return false;
    }
    info!("engine ordered to load", kv: { version = wanted.version });
    let mut news = agent.engine.watch();
    let loaded = async {
        while agent.engine.holding().as_ref() != Some(wanted) {
            if news.changed().await.is_err() {
                return;
            }
        }
    };
    let done = tokio::time::timeout(LOADED, loaded).await.is_ok();
    agent.engine.set_loading(false);
    if done {
        info!("engine serves", kv: { version = wanted.version });
    }
    done
}
