//! What an agent that has ended may have ordered its engine to load.

use std::rc::Rc;

use filbertstack_core::Millis;
use filbertstack_platform::engine::PieceList;
use filbertstack_policy::inherited::Fit;
use filbertstack_policy::inherited::Inherited;
use filbertstack_policy::inherited::inherited;
use filbertstack_policy::rollout::LATE_CALL;
use spdlog::info;

use crate::agent::Agent;
use crate::agent::contents::Contents;
use crate::agent::contents::ContentsError;
use crate::agent::contents::list_upto;
use crate::agent::stage::OpenOrder;
use crate::agent::visit::Progress;
use crate::agent::visit::Visit;
use crate::weights;

/// How often what lies at the engine is read again while it is not known: it takes as long as all pieces
/// take, and lists come within a second of the voters.
const AGAIN: Millis = Millis(1_000);

/// The orders of the processes before, until nothing of theirs may be begun any more or it is known
/// which version may.
pub struct Predecessor {
    began: Millis,
    settled: bool,
    /// When it was last seen that what lies there is not known.
    unknown: Option<Millis>,
}

impl Predecessor {
    /// Nothing is known when the process starts.
    pub fn new(now: Millis) -> Self {
        Self {
            began: now,
            settled: false,
            unknown: None,
        }
    }

    /// Whether pieces may be staged.
    pub fn is_settled(&self) -> bool {
        self.settled
    }

    /// Looks what lies at the engine, which serves the version `served` of `model`. The process before
    /// may have been killed while an order was without an answer, and staged over it, the next version
    /// would be loaded with it.
    pub async fn settle(&mut self, agent: &Agent, model: &str, served: u64) {
        let now = agent.node.clock.now();
        let lately = |at: Millis| now.since(at) < AGAIN;
        if self.settled || self.unknown.is_some_and(lately) {
            return;
        }
        match look(agent, model, served).await {
            Ok(Inherited::Unknown) => {
                info!("pieces of no known version found, may be ordered",
                    kv: { served = served, age_ms = now.since(self.began).0 });
                self.unknown = Some(now);
            }
            Ok(Inherited::Nothing | Inherited::Order(_)) => self.settled = true,
            Err(error) => info!("pieces not compared", kv: { error = error.to_string() }),
        }
        self.settled |= now.since(self.began) >= LATE_CALL;
    }
}

/// Compares what lies at the engine with the lists that the voters keep, and counts the version that may
/// be ordered as such. Older lists are asked for only while pieces are not known.
async fn look(agent: &Agent, model: &str, served: u64) -> Result<Inherited, ContentsError> {
    let mut next = list_upto(agent, model, u64::MAX).await?;
    let mut visit = Visit::begin(agent.engine.addr()).await?;
    let made = visit.progress();
    let mut contents = Contents::default();
    contents.read(&mut visit, model, 1).await?;
    let mut lists: Vec<Rc<PieceList>> = Vec::new();
    while let Some(list) = next {
        let (version, pieces) = (list.weights.version, list.digests.len());
        contents.read(&mut visit, model, pieces).await?;
        lists.push(list);
        let known = contents.others(&lists).unknown == 0;
        next = match version.checked_sub(1).filter(|_| !known) {
            Some(older) => list_upto(agent, model, older).await?,
            None => None,
        };
    }
    let fits: Vec<Fit> = lists.iter().map(|list| contents.fit(list)).collect();
    let judged = inherited(served, &fits, contents.others(&lists));
    if let Inherited::Order(version) = judged
        && let Some(list) = lists.iter().find(|list| list.weights.version == version)
    {
        count_as_ordered(agent, list, made, &contents);
    }
    Ok(judged)
}

/// Counts a version as ordered; the pieces of it that do not lie at the engine are missing.
fn count_as_ordered(agent: &Agent, list: &Rc<PieceList>, made: Progress, contents: &Contents) {
    let there = (0..weights::piece_count(list)).filter(|n| contents.fits(list, *n as usize));
    let there: Vec<u32> = there.collect();
    info!("pieces found, may be ordered", kv: {
        version = list.weights.version, bad = list.digests.len() - there.len()
    });
    agent.stage.begin(list.clone());
    for number in there {
        agent.stage.put(number);
    }
    agent.stage.set_open_order(Some(OpenOrder {
        weights: list.weights.clone(),
        made,
        sent: 0,
        noted: agent.node.clock.now(),
    }));
}
