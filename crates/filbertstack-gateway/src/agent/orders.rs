//! Sends orders to load, and finds out their outcome.

use std::rc::Rc;
use std::time::Duration;

use filbertstack_core::Millis;
use filbertstack_platform::engine::PieceList;
use filbertstack_platform::engine::WeightsVersion;
use filbertstack_policy::rollout::MAX_CALL_DELAY;
use filbertstack_policy::rollout::resend_delay;
use filbertstack_policy::verification::Check;
use spdlog::info;
use spdlog::warn;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::agent::Agent;
use crate::agent::contents::latest_list;
use crate::agent::session::Outcome;
use crate::agent::session::Progress;
use crate::agent::session::Session;
use crate::agent::session::SessionError;
use crate::agent::session::Verified;
use crate::agent::stage::PendingOrder;
use crate::weights::piece_count;

/// The engine is polled at this interval for whether it has begun an order, as often as for its reports.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// An engine that does not give up its weights is ordered to this many times, over about 16 s.
const MAX_UNLOADS: u32 = 8;

/// Sends the order to load the verified pieces, records what is known of its outcome, and checks what the engine
/// has loaded.
///
/// # Errors
/// The reason why the engine may not have accepted the order.
pub async fn send(agent: &Agent, verified: Verified) -> Result<(), String> {
    let progress = verified.progress();
    let weights = verified.weights().clone();
    let age = verified.age();
    let earlier = agent
        .stage
        .pending_order()
        .filter(|order| order.progress == progress);
    let send_count = earlier.as_ref().map_or(0, |order| order.send_count) + 1;
    let now = agent.node.clock.now();
    let recorded = earlier.as_ref().map_or(now, |order| order.recorded);
    let rewritten = earlier.as_ref().is_some_and(|order| order.rewritten);
    // Recorded before it is sent, as the engine may begin the order even if this task is dropped.
    agent.stage.set_pending_order(Some(PendingOrder {
        weights: weights.clone(),
        progress,
        send_count,
        recorded,
        rewritten,
    }));
    let outcome = verified.order().await;
    match outcome {
        Outcome::Begun | Outcome::BegunEarlier => {
            info!("engine ordered to load", kv: {
                version = weights.version, born = progress.born, sequence = progress.sequence,
                checked_ms = age.0
            });
            // This copy of the order began after the pieces that were written had been read back.
            let rewritten = rewritten && matches!(outcome, Outcome::BegunEarlier);
            check_loaded(agent, &weights, progress.born, rewritten).await;
            agent.stage.set_pending_order(None);
            Ok(())
        }
        Outcome::Refused(status) => {
            agent.stage.set_pending_order(earlier);
            Err(format!("answered {status}"))
        }
        Outcome::NotSent(error) => {
            agent.stage.set_pending_order(earlier);
            Err(error.to_string())
        }
        Outcome::Unknown(error) => {
            agent.metrics.agent.orders.add("unknown", 1);
            Err(error.to_string())
        }
    }
}

/// Finds out whether an order with an unknown outcome may still be begun. The engine refuses the order once
/// it has begun any other.
pub async fn resolve(agent: &Agent) {
    let Some(order) = agent.stage.pending_order() else {
        return;
    };
    let age = agent.node.clock.now().since(order.recorded);
    if order.send_count == 0 && agent.stage.complete_list().is_none() && age >= MAX_CALL_DELAY {
        // The pieces are no longer available, and waiting for them would never end.
        info!("order abandoned", kv: { version = order.weights.version, age_ms = age.0 });
        agent.stage.set_pending_order(None);
        return;
    }
    // An engine that does not answer may begin the order later.
    let Ok(report) = agent.engine.request_report().await else {
        return;
    };
    if Progress::from(&report) != order.progress {
        info!("order resolved", kv: { born = report.born, sequence = report.sequence });
        if report.born == order.progress.born {
            check_loaded(agent, &order.weights, report.born, order.rewritten).await;
        }
        agent.stage.set_pending_order(None);
    }
}

/// What is known of the pieces that an engine has loaded.
enum Loaded {
    /// All of them were right.
    Right,
    /// The engine has restarted and holds none any more.
    Lost,
    /// Some may have been wrong.
    Unproven,
}

/// Reads the pieces once more after the engine started at `born` began to load them, and records whether they may
/// have been wrong. Such an engine gets no requests until it has loaded again.
///
/// Pieces that were `rewritten` since the order was sent say nothing about what was loaded.
async fn check_loaded(agent: &Agent, weights: &WeightsVersion, born: u64, rewritten: bool) {
    let loaded = if rewritten {
        Loaded::Unproven
    } else {
        read_loaded(agent, weights, born).await
    };
    match loaded {
        Loaded::Right => agent.engine.set_sound(),
        Loaded::Lost => {}
        Loaded::Unproven => {
            warn!("engine may have loaded corrupt pieces or pieces of two versions, it gets no requests until it has loaded again",
                kv: { version = weights.version, born = born, rewritten = rewritten });
            agent.engine.set_unsound(weights.clone(), born);
        }
    }
}

/// Reads all pieces that the engine started at `born` has loaded. What matches now was right when it was loaded. What
/// does not may have been loaded: it turned bad after it was read back, as the check took long or the engine began
/// the order late, or the engine carried out a write that an earlier process left without an answer.
///
/// What was read once is not read again after a failure, so that the check also ends at an engine that leaves some
/// calls without an answer.
async fn read_loaded(agent: &Agent, weights: &WeightsVersion, born: u64) -> Loaded {
    let Some(list) = await_list(agent, weights).await else {
        info!("no list of the loaded pieces", kv: { version = weights.version });
        return Loaded::Unproven;
    };
    let mut check = Check::once(piece_count(&list), list.bytes);
    loop {
        match read_rest(agent, &list, &mut check, born).await {
            Ok(true) => break,
            Ok(false) => return Loaded::Lost,
            Err(error) => info!("loaded pieces not read", kv: { error = error.to_string() }),
        }
        sleep(POLL_INTERVAL).await;
    }
    for &number in check.bad() {
        warn!("loaded piece is corrupt", kv: { number = number, version = weights.version });
        agent.stage.remove_piece(number);
    }
    if check.bad().is_empty() {
        Loaded::Right
    } else {
        Loaded::Unproven
    }
}

/// Reads the pieces that `check` asks for. Returns false if the engine is not the one started at `born`.
async fn read_rest(
    agent: &Agent,
    list: &PieceList,
    check: &mut Check,
    born: u64,
) -> Result<bool, SessionError> {
    let session = Session::open(agent.engine.addr()).await?;
    if session.progress().born != born {
        return Ok(false);
    }
    session.check(list, check, agent.node.clock).await?;
    Ok(true)
}

/// Returns the list of the pieces of `weights`; `None` if the voters have none.
async fn await_list(agent: &Agent, weights: &WeightsVersion) -> Option<Rc<PieceList>> {
    loop {
        if let Some(list) = agent.stage.list(weights) {
            return Some(list);
        }
        match latest_list(agent, &weights.model, weights.version).await {
            Ok(list) => return list.filter(|list| list.weights == *weights),
            Err(error) => info!("voters not asked for a list", kv: { error = error.to_string() }),
        }
        sleep(POLL_INTERVAL).await;
    }
}

/// `Unload` makes an engine give up weights that it may have loaded wrongly, so that it loads them again. It answers
/// an order to load the version that it serves without loading anything.
#[derive(Debug, Default)]
pub struct Unload {
    /// The weights, and how often the order was sent.
    sent: Option<(WeightsVersion, u32)>,
    /// When the order was last sent.
    at: Millis,
}

impl Unload {
    /// Orders the engine to give up its weights if they may be wrong and the order is due. An order that comes
    /// late is refused, as the engine has begun another one by then.
    pub async fn send_if_due(&mut self, agent: &Agent) {
        let Some(weights) = agent.engine.unsound() else {
            self.sent = None;
            return;
        };
        let earlier = self.sent.take().filter(|(sent, _)| *sent == weights);
        let count = earlier.map_or(0, |(_, count)| count);
        let now = agent.node.clock.now();
        let is_due = count == 0 || now.since(self.at) >= resend_delay(count);
        if !is_due || count >= MAX_UNLOADS {
            self.sent = Some((weights, count));
            return;
        }
        let outcome = match Session::open(agent.engine.addr()).await {
            Ok(session) => session.order_unload(&weights).await,
            Err(error) => Outcome::NotSent(error),
        };
        info!("engine ordered to give up its weights", kv: {
            version = weights.version, outcome = format!("{outcome:?}")
        });
        if count + 1 == MAX_UNLOADS {
            warn!("engine keeps weights that may be wrong: name a newer version or restart the engine",
                kv: { version = weights.version });
        }
        self.sent = Some((weights, count + 1));
        self.at = now;
    }
}

/// Waits until the outcome of an order is known, or until `pause` has passed and the order is due again.
pub async fn await_outcome(agent: &Agent, pause: Millis) {
    let known = async {
        while agent.stage.pending_order().is_some() {
            sleep(POLL_INTERVAL).await;
            resolve(agent).await;
        }
    };
    // The caller reads from the stage whether it is known.
    let _ = timeout(pause.into(), known).await;
}
