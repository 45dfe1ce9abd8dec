//! Finds out which version an earlier agent process may have ordered its engine to load.

use std::rc::Rc;

use filbertstack_core::Millis;
use filbertstack_platform::engine::PieceList;
use filbertstack_policy::inherited::InheritedOrder;
use filbertstack_policy::inherited::VersionMatch;
use filbertstack_policy::inherited::inherited_order;
use filbertstack_policy::rollout::MAX_CALL_DELAY;
use spdlog::info;

use crate::agent::Agent;
use crate::agent::contents::Contents;
use crate::agent::contents::ContentsError;
use crate::agent::contents::latest_list;
use crate::agent::session::Progress;
use crate::agent::session::Session;
use crate::agent::stage::PendingOrder;
use crate::weights;

/// The staged pieces are compared again after this time while their version is unknown: reading all pieces
/// takes long, and the voters get new lists within a second.
const RETRY_INTERVAL: Millis = Millis(1_000);

/// `Predecessor` tracks the orders of earlier processes, until the engine can begin none of them any more or
/// the version of the pending one is known.
pub struct Predecessor {
    started: Millis,
    resolved: bool,
    /// When the staged pieces were last found to be of an unknown version.
    unknown_at: Option<Millis>,
}

impl Predecessor {
    /// Creates the state of a process that starts at `now` and knows nothing of earlier ones.
    pub fn new(now: Millis) -> Self {
        Self {
            started: now,
            resolved: false,
            unknown_at: None,
        }
    }

    /// Returns whether pieces may be staged.
    pub fn is_resolved(&self) -> bool {
        self.resolved
    }

    /// Inspects the pieces staged at the engine, which serves the version `served` of `model`. The earlier
    /// process may have been killed before its order was answered. If the agent staged the next version over
    /// those pieces, the engine would load a mix of both.
    pub async fn resolve(&mut self, agent: &Agent, model: &str, served: u64) {
        let now = agent.node.clock.now();
        let is_recent = |at: Millis| now.since(at) < RETRY_INTERVAL;
        if self.resolved || self.unknown_at.is_some_and(is_recent) {
            return;
        }
        match compare(agent, model, served).await {
            Ok(InheritedOrder::Unknown) => {
                info!("pieces of no known version are staged, an order for them may be pending",
                    kv: { served = served, age_ms = now.since(self.started).0 });
                self.unknown_at = Some(now);
            }
            Ok(InheritedOrder::Nothing | InheritedOrder::Order(_)) => self.resolved = true,
            Err(error) => info!("staged pieces not compared", kv: { error = error.to_string() }),
        }
        self.resolved |= now.since(self.started) >= MAX_CALL_DELAY;
    }
}

/// Compares the staged pieces with the lists that the voters keep, and records the version that may be
/// ordered as a pending order. It asks for older lists only while some pieces are unknown.
async fn compare(agent: &Agent, model: &str, served: u64) -> Result<InheritedOrder, ContentsError> {
    let mut next = latest_list(agent, model, u64::MAX).await?;
    let mut session = Session::open(agent.engine.addr()).await?;
    let progress = session.progress();
    let mut contents = Contents::default();
    contents.read(&mut session, model, 1).await?;
    let mut lists: Vec<Rc<PieceList>> = Vec::new();
    while let Some(list) = next {
        let (version, pieces) = (list.weights.version, list.digests.len());
        contents.read(&mut session, model, pieces).await?;
        lists.push(list);
        let known = contents.others(&lists).unknown == 0;
        next = match version.checked_sub(1).filter(|_| !known) {
            Some(older) => latest_list(agent, model, older).await?,
            None => None,
        };
    }
    let fits: Vec<VersionMatch> = lists.iter().map(|list| contents.fit(list)).collect();
    let verdict = inherited_order(served, &fits, contents.others(&lists));
    if let InheritedOrder::Order(version) = verdict
        && let Some(list) = lists.iter().find(|list| list.weights.version == version)
    {
        assume_ordered(agent, list, progress, &contents);
    }
    Ok(verdict)
}

/// Records a version as ordered; those of its pieces that are not staged are missing.
fn assume_ordered(agent: &Agent, list: &Rc<PieceList>, progress: Progress, contents: &Contents) {
    let present = (0..weights::piece_count(list)).filter(|n| contents.fits(list, *n as usize));
    let present: Vec<u32> = present.collect();
    info!("staged pieces found, an order for them may be pending", kv: {
        version = list.weights.version, bad = list.digests.len() - present.len()
    });
    agent.stage.begin(list.clone());
    for number in present {
        agent.stage.add_piece(number);
    }
    agent.stage.set_pending_order(Some(PendingOrder {
        weights: list.weights.clone(),
        progress,
        send_count: 0,
        recorded: agent.node.clock.now(),
        rewritten: false,
    }));
}
