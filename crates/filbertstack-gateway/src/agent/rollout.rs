//! Moves the engine to the version that it should serve.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use filbertstack_core::Millis;
use filbertstack_platform::engine::PieceList;
use filbertstack_platform::engine::WeightsVersion;
use filbertstack_policy::rollout::LoadTiming;
use filbertstack_policy::rollout::Staged;
use filbertstack_policy::rollout::may_order;
use filbertstack_policy::rollout::order_delay;
use filbertstack_policy::rollout::resend_delay;
use filbertstack_policy::rollout::version_to_stage;
use filbertstack_policy::subset::hash;
use filbertstack_policy::verification::Check;
use spdlog::info;
use spdlog::warn;
use tokio::task::JoinHandle;
use tokio::task::spawn_local;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::agent::Agent;
use crate::agent::gather::gather;
use crate::agent::inspection;
use crate::agent::orders;
use crate::agent::orders::Unload;
use crate::agent::predecessor::Predecessor;
use crate::agent::session::ReadBack;
use crate::agent::session::Session;
use crate::agent::session::Verified;
use crate::weights;
use crate::weights::is_at_entries;

/// The agent checks at this interval whether the engine serves the version that it should, and also on every
/// change: the engine's turn to load comes with time alone.
const CHECK_INTERVAL: Duration = Duration::from_millis(150);

/// The agent polls at this interval whether it may order the engine to load.
const ORDER_INTERVAL: Duration = Duration::from_millis(20);

/// The agent pauses for this time after an order or a read back that failed.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// A version may arrive at the entries until this long after it was named: a copy passes the origin's link in
/// 1.3 s. A version that takes longer has failed to arrive.
const ARRIVAL_LIMIT: Millis = Millis(2_000);

/// An accepted order times out after this time; the engine finishes its running work first.
const LOAD_TIMEOUT: Duration = Duration::from_secs(12);

/// Keeps the engine at the version that it should serve, until the process ends.
///
/// The engine keeps the staged pieces of one version only. Where a newer version is named before the staged
/// one is in force, the agent replaces the staged one only when the entries hold all pieces of the newer: the
/// origin may fail right after a version is named, and the engine can then be moved to the staged one only.
pub async fn keep_version(agent: Rc<Agent>) {
    let mut gathering = Gathering::default();
    let mut declared = agent.node.declared.watch();
    let mut engine = agent.engine.watch();
    let mut predecessor = Predecessor::new(agent.node.clock.now());
    let mut unload = Unload::default();
    loop {
        inspection::run(&agent).await;
        orders::resolve(&agent).await;
        unload.send_if_due(&agent).await;
        let is_inspected = agent.inspection.borrow().is_done();
        if let Some(report) = agent.engine.report().filter(|_| is_inspected) {
            let served = report.holding.map_or(0, |holding| holding.version);
            let needed = needed(&agent, served);
            if let Some(newest) = needed.last() {
                predecessor.resolve(&agent, &newest.model, served).await;
            }
            if predecessor.is_resolved() {
                gathering.update(&agent, &needed);
            }
            // While the agent fetches pieces of another version, the staged one is no longer complete.
            let complete = agent
                .stage
                .complete_list()
                .filter(|_| gathering.is_idle() && !report.busy);
            if let Some(list) = complete.filter(|list| is_due(&agent, list, &needed)) {
                update_engine(&agent, &list).await;
                agent.engine.set_loading(false);
            }
        }
        tokio::select! {
            () = sleep(CHECK_INTERVAL) => {}
            _ = declared.changed() => {}
            _ = engine.changed() => {}
            () = agent.stage.await_complete() => {}
        }
    }
}

/// Returns the versions that the engine should be moved to and does not serve, in order.
fn needed(agent: &Agent, served: u64) -> Vec<WeightsVersion> {
    let wanted = agent.wanted_versions().into_iter();
    wanted.filter(|weights| weights.version > served).collect()
}

/// `Gathering` is the version whose pieces are being fetched, and the task that fetches them.
#[derive(Default)]
struct Gathering(Option<(WeightsVersion, JoinHandle<()>)>);

impl Gathering {
    fn is_idle(&self) -> bool {
        self.0.as_ref().is_none_or(|(_, task)| task.is_finished())
    }

    /// Starts to fetch the chosen version, and stops fetching one that is no longer chosen.
    fn update(&mut self, agent: &Rc<Agent>, needed: &[WeightsVersion]) {
        let versions: Vec<u64> = needed.iter().map(|weights| weights.version).collect();
        let at_entries = |version: u64| {
            let weights = needed.iter().find(|weights| weights.version == version);
            weights.is_some_and(|weights| is_at_entries(&agent.node, weights))
        };
        let complete = agent.stage.complete_list().map(|list| list.weights.clone());
        let staged = agent.stage.weights().map(|weights| Staged {
            version: weights.version,
            complete: complete.is_some(),
        });
        let ordered = agent.stage.pending_order().map(|order| order.weights);
        let version = ordered.as_ref().map(|weights| weights.version);
        let chosen = version_to_stage(&versions, staged, version, at_entries);
        let chosen = needed
            .iter()
            .chain(&ordered)
            .find(|weights| Some(weights.version) == chosen);
        self.0 = self.0.take().filter(|(weights, task)| {
            let keep = Some(weights) == chosen;
            if !keep {
                task.abort();
            }
            keep && !task.is_finished()
        });
        let Some(weights) = chosen.filter(|w| self.0.is_none() && complete.as_ref() != Some(w))
        else {
            return;
        };
        info!("fetching pieces", kv: { version = weights.version });
        let task = spawn_local(gather(agent.clone(), weights.clone()));
        self.0 = Some((weights.clone(), task));
    }
}

/// Returns whether the agent should order the engine to load the staged version now. An order without an
/// outcome is sent again: the answer to any copy makes the engine refuse the others. An order that only an
/// earlier process may have sent waits for its turn, as long as the version is needed.
fn is_due(agent: &Agent, list: &PieceList, needed: &[WeightsVersion]) -> bool {
    let Some(report) = agent.engine.report() else {
        return false;
    };
    let now = agent.node.clock.now();
    if agent
        .stage
        .may_be_overwritten(&list.weights, report.born, now)
    {
        return false;
    }
    let pending = agent.stage.pending_order();
    if pending.is_some_and(|order| order.send_count > 0 || !needed.contains(&list.weights)) {
        return true;
    }
    let newer = |weights: &&WeightsVersion| weights.version > list.weights.version;
    let haste = match needed.iter().find(newer) {
        Some(newer) if may_arrive_soon(agent, newer) => LoadTiming::Latest,
        _ => LoadTiming::Even,
    };
    needed.contains(&list.weights) && time_to_order(agent, &list.weights, haste) == Millis::ZERO
}

/// Returns whether a version will be at the entries soon: it is there already, or was named so recently that
/// it may still arrive.
fn may_arrive_soon(agent: &Agent, weights: &WeightsVersion) -> bool {
    let now = agent.node.clock.now();
    let named = agent.node.declared.weight_versions(&weights.model);
    let named = named.iter().find(|named| named.version == weights.version);
    let named_recently = named.is_some_and(|named| now.since(named.at) < ARRIVAL_LIMIT);
    named_recently || is_at_entries(&agent.node, weights)
}

async fn update_engine(agent: &Agent, list: &PieceList) {
    // The pieces are read back before the engine stops accepting requests, so that it does not stop for a
    // corrupt version.
    let check = Check::once(weights::piece_count(list), list.bytes);
    let verified = read_back(agent, list, check).await.is_some();
    if verified && order_load(agent, list).await {
        return;
    }
    agent.engine.set_loading(false);
    match agent.stage.pending_order() {
        Some(order) => orders::await_outcome(agent, resend_delay(order.send_count)).await,
        None => sleep(RETRY_DELAY).await,
    }
}

/// Returns how long it is until the turn of this engine; zero for an engine that serves nothing.
fn time_to_order(agent: &Agent, wanted: &WeightsVersion, haste: LoadTiming) -> Millis {
    let Some(served) = agent.engine.holding() else {
        return Millis::ZERO;
    };
    let named = agent.node.declared.weight_versions(&wanted.model);
    let Some(first) = named.iter().find(|named| named.version > served.version) else {
        return Millis::ZERO;
    };
    let mut ids: Vec<Arc<str>> = weights::agents(&agent.node)
        .into_iter()
        .filter(|(_, row)| *row.model == *wanted.model)
        .map(|(id, _)| id)
        .collect();
    ids.sort_by_key(|id| hash(id));
    let bound = Millis::from(agent.node.settings.bounds.rollout);
    let turn = first.at + order_delay(&agent.id(), &ids, bound, haste);
    turn.since(agent.node.clock.now())
}

/// Reads all staged pieces back. Staged pieces can become corrupt, so the order must follow at once in the
/// session that verified them all; corrupt pieces are fetched again.
async fn read_back(agent: &Agent, list: &PieceList, check: Check) -> Option<Verified> {
    let found = match Session::open(agent.engine.addr()).await {
        Ok(session) => session.read_back(list, check, agent.node.clock).await,
        Err(error) => Err(error),
    };
    match found {
        Ok(ReadBack::Complete(verified)) => return Some(verified),
        Ok(ReadBack::Bad(bad)) => {
            for number in bad {
                warn!("staged piece is corrupt", kv: { number = number });
                agent.stage.remove_piece(number);
            }
        }
        Err(error) => {
            let version = list.weights.version;
            info!("staged pieces not read back", kv: { version = version, error = error.to_string() });
        }
    }
    None
}

/// Waits until the engine gets no new requests. One that serves nothing gets none.
async fn await_no_requests(agent: &Agent) {
    let began = agent.node.clock.now();
    while agent.engine.holding().is_some() && !may_order(agent.node.clock.now().since(began)) {
        sleep(ORDER_INTERVAL).await;
    }
}

/// Orders the engine to serve the version, and waits until it does. Staged pieces may have become corrupt
/// while the engine finished its work, so they are read back once more just before the order.
async fn order_load(agent: &Agent, list: &PieceList) -> bool {
    let wanted = &list.weights;
    agent.engine.set_loading(true);
    await_no_requests(agent).await;
    let check = Check::before_order(weights::piece_count(list), list.bytes);
    let Some(verified) = read_back(agent, list, check).await else {
        return false;
    };
    if let Err(error) = orders::send(agent, verified).await {
        let pending = agent.stage.pending_order().is_some();
        info!("order refused or its outcome unknown", kv: {
            version = wanted.version, may_be_begun = pending, error = error
        });
        return false;
    }
    agent.metrics.agent.orders.add("begun", 1);
    let began = agent.node.clock.now();
    let mut changes = agent.engine.watch();
    let loaded = async {
        while agent.engine.holding().as_ref() != Some(wanted) {
            if changes.changed().await.is_err() {
                return;
            }
        }
    };
    let done = timeout(LOAD_TIMEOUT, loaded).await.is_ok();
    agent.engine.set_loading(false);
    if done {
        let took = agent.node.clock.now().since(began);
        agent.metrics.weights.load.record(took.into());
        info!("engine serves the version", kv: { version = wanted.version, took_ms = took.0 });
    }
    done
}
