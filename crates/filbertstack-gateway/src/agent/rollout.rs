//! Bringing the engine to the version that it should serve.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use filbertstack_core::Millis;
use filbertstack_platform::engine::Holding;
use filbertstack_platform::engine::PieceList;
use filbertstack_platform::engine::Running;
use filbertstack_policy::rollout::Drain;
use filbertstack_policy::rollout::Haste;
use filbertstack_policy::rollout::Staged;
use filbertstack_policy::rollout::drain;
use filbertstack_policy::rollout::order_after;
use filbertstack_policy::rollout::repeat_after;
use filbertstack_policy::rollout::staged_now;
use filbertstack_policy::subset::hash;
use spdlog::info;
use spdlog::warn;
use tokio::task::JoinHandle;
use tokio::task::spawn_local;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::agent::Agent;
use crate::agent::gather::gather;
use crate::agent::inherited::Predecessor;
use crate::agent::orders;
use crate::agent::visit::Found;
use crate::agent::visit::Visit;
use crate::agent::visit::Whole;
use crate::weights;
use crate::weights::is_at_entries;

/// How often it is looked whether the engine serves what it should, beside whenever something
/// changes: turns to load come with time.
const LOOK: Duration = Duration::from_millis(150);

/// How often it is looked whether an engine that takes nothing new has finished what it runs.
const DRAINING: Duration = Duration::from_millis(20);

/// The pause after an order or a staging that failed.
const AGAIN: Duration = Duration::from_millis(200);

/// How long after it was named a version may still be on its way to the entries: a copy passes the
/// origin's link in 1.3 s. One that takes longer has failed to come.
const ON_ITS_WAY: Millis = Millis(2_000);

/// How long an order that was accepted may take: what runs is finished first.
const LOADED: Duration = Duration::from_secs(12);

/// Keeps the engine at the version that it should serve, until the process ends.
///
/// The engine keeps the pieces of one version only. Where a newer one is named before the one that
/// lies there is in force, the older gives way only when the entries hold all of the newer: the
/// origin may fail right after a version is named, and then the one before is all that can be
/// brought in time.
pub async fn keep_version(agent: Rc<Agent>) {
    let mut gathering = Gathering::default();
    let mut declared = agent.node.declared.watch();
    let mut engine = agent.engine.watch();
    let mut predecessor = Predecessor::new(agent.node.clock.now());
    loop {
        orders::settle(&agent).await;
        if let Some(report) = agent.engine.report() {
            let served = report.holding.map_or(0, |holding| holding.version);
            let needed = needed(&agent, served);
            if let Some(newest) = needed.last() {
                predecessor.settle(&agent, &newest.model, served).await;
            }
            if predecessor.is_settled() {
                gathering.follow(&agent, &needed);
            }
            // While pieces of another version come in, what lies there is no longer whole.
            let whole = agent
                .stage
                .whole()
                .filter(|_| gathering.is_idle() && !report.busy);
            if let Some(list) = whole.filter(|list| is_due(&agent, list, &needed)) {
                bring(&agent, &list).await;
                agent.engine.set_loading(false);
            }
        }
        tokio::select! {
            () = sleep(LOOK) => {}
            _ = declared.changed() => {}
            _ = engine.changed() => {}
            () = agent.stage.becomes_whole() => {}
        }
    }
}

/// The versions that the engine should be brought to and does not serve, in their order.
fn needed(agent: &Agent, served: u64) -> Vec<Holding> {
    let wanted = agent.wanted().into_iter();
    wanted.filter(|weights| weights.version > served).collect()
}

/// The version that is being gathered.
#[derive(Default)]
struct Gathering(Option<(Holding, JoinHandle<()>)>);

impl Gathering {
    fn is_idle(&self) -> bool {
        self.0.as_ref().is_none_or(|(_, task)| task.is_finished())
    }

    /// Gathers what is missing, and stops gathering what is no longer needed.
    fn follow(&mut self, agent: &Rc<Agent>, needed: &[Holding]) {
        let versions: Vec<u64> = needed.iter().map(|weights| weights.version).collect();
        let here = |version: u64| {
            let weights = needed.iter().find(|weights| weights.version == version);
            weights.is_some_and(|weights| is_at_entries(&agent.node, weights))
        };
        let whole = agent.stage.whole().map(|list| list.weights.clone());
        let staged = agent.stage.weights().map(|weights| Staged {
            version: weights.version,
            whole: whole.is_some(),
        });
        let ordered = agent.stage.open_order().map(|order| order.weights);
        let version = ordered.as_ref().map(|weights| weights.version);
        let chosen = staged_now(&versions, staged, version, here);
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
        let Some(weights) = chosen.filter(|w| self.0.is_none() && whole.as_ref() != Some(w)) else {
            return;
        };
        info!("pieces are gathered", kv: { version = weights.version });
        let task = spawn_local(gather(agent.clone(), weights.clone()));
        self.0 = Some((weights.clone(), task));
    }
}

/// Whether the engine is to be brought to the version that lies there now. An order without an outcome
/// is sent again: the answer to any of its copies makes the engine refuse all the others. One that an
/// earlier process may have sent waits for its turn, as long as there is one.
fn is_due(agent: &Agent, list: &PieceList, needed: &[Holding]) -> bool {
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
    let open = agent.stage.open_order();
    if open.is_some_and(|order| order.sent > 0 || !needed.contains(&list.weights)) {
        return true;
    }
    let newer = |weights: &&Holding| weights.version > list.weights.version;
    let haste = match needed.iter().find(newer) {
        Some(newer) if is_on_its_way(agent, newer) => Haste::LastCall,
        _ => Haste::Usual,
    };
    needed.contains(&list.weights) && time_to_order(agent, &list.weights, haste) == Millis::ZERO
}

/// Whether a version will be here soon: it is at the entries, or was named so shortly ago that it
/// may be.
fn is_on_its_way(agent: &Agent, weights: &Holding) -> bool {
    let now = agent.node.clock.now();
    let named = agent.node.declared.named(&weights.model);
    let named = named.iter().find(|named| named.version == weights.version);
    let lately = named.is_some_and(|named| now.since(named.at) < ON_ITS_WAY);
    lately || is_at_entries(&agent.node, weights)
}

async fn bring(agent: &Agent, list: &PieceList) {
    // Read back before the engine stops taking requests, so that it does not for nothing.
    let whole = read_back(agent, list).await.is_some();
    if whole && order(agent, list).await {
        return;
    }
    agent.engine.set_loading(false);
    match agent.stage.open_order() {
        Some(order) => orders::await_outcome(agent, repeat_after(order.sent)).await,
        None => sleep(AGAIN).await,
    }
}

/// How long until it is this engine's turn; none for an engine that serves nothing.
fn time_to_order(agent: &Agent, wanted: &Holding, haste: Haste) -> Millis {
    let Some(served) = agent.engine.holding() else {
        return Millis::ZERO;
    };
    let named = agent.node.declared.named(&wanted.model);
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
    let turn = first.at + order_after(&agent.id(), &ids, bound, haste);
    turn.since(agent.node.clock.now())
}

/// Reads all staged pieces back. What lies at an engine may turn bad there, so that the order must
/// follow at once on a visit that found all; what is bad is gathered again.
async fn read_back(agent: &Agent, list: &PieceList) -> Option<Whole> {
    let found = match Visit::begin(agent.engine.addr()).await {
        Ok(visit) => visit.read_back(list).await,
        Err(error) => Err(error),
    };
    match found {
        Ok(Found::Whole(whole)) => return Some(whole),
        Ok(Found::Bad(bad)) => {
            for number in bad {
                warn!("piece turned bad where it lies", kv: { number = number });
                agent.stage.lose(number);
            }
        }
        Err(error) => {
            let version = list.weights.version;
            info!("pieces not read back", kv: { version = version, error = error.to_string() });
        }
    }
    None
}

/// Waits until the engine is to be ordered to load, and tells what becomes of what it runs then. One
/// that serves nothing gets no requests.
async fn drained(agent: &Agent, wanted: &Holding) -> Running {
    let began = agent.node.clock.now();
    while agent.engine.holding().is_some() {
        let spent = agent.node.clock.now().since(began);
        let report = agent.engine.report();
        let work = report.map_or(0, |report| report.running + report.waiting);
        let may_break = agent.node.declared.may_break_off(&wanted.model);
        match drain(spent, work, may_break) {
            Drain::Await => sleep(DRAINING).await,
            Drain::Finish => break,
            Drain::BreakOff => return Running::BreakOff,
        }
    }
    Running::Finish
}

/// Orders the engine to serve the version, and waits until it does. What lies there may have turned
/// bad while the engine finished its work, so it is read back once more just before the order.
async fn order(agent: &Agent, list: &PieceList) -> bool {
    let wanted = &list.weights;
    agent.engine.set_loading(true);
    let running = drained(agent, wanted).await;
    let Some(whole) = read_back(agent, list).await else {
        return false;
    };
    let progress = whole.progress();
    if let Err(error) = orders::send(agent, whole, running).await {
        let open = agent.stage.open_order().is_some();
        info!("order not known to be taken", kv: {
            version = wanted.version, may_be_begun = open, error = error
        });
        return false;
    }
    info!("engine ordered to load", kv: {
        version = wanted.version, breaks_off = running == Running::BreakOff,
        born = progress.born, sequence = progress.sequence
    });
    let outcome = match running {
        Running::Finish => "finishes",
        Running::BreakOff => "breaks off",
    };
    agent.metrics.agent.orders.add(outcome, 1);
    orders::check_loaded(agent, wanted, progress.born).await;
    let began = agent.node.clock.now();
    let mut news = agent.engine.watch();
    let loaded = async {
        while agent.engine.holding().as_ref() != Some(wanted) {
            if news.changed().await.is_err() {
                return;
            }
        }
    };
    let done = timeout(LOADED, loaded).await.is_ok();
    agent.engine.set_loading(false);
    if done {
        let took = agent.node.clock.now().since(began);
        agent.metrics.weights.load.record(took.into());
        info!("engine serves", kv: { version = wanted.version, took_ms = took.0 });
    }
    done
}
