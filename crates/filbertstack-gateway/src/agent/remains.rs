//! What an agent that has ended may have ordered its engine to load.

use std::rc::Rc;

use filbertstack_control::document::Weights;
use filbertstack_core::Millis;
use filbertstack_platform::engine::PieceList;
use filbertstack_policy::remains::Fit;
use filbertstack_policy::remains::Others;
use filbertstack_policy::remains::Remains;
use filbertstack_policy::remains::remains;
use filbertstack_policy::rollout::LATE_CALL;
use spdlog::info;
use thiserror::Error;

use crate::agent::Agent;
use crate::agent::stage::OpenOrder;
use crate::agent::visit::Progress;
use crate::agent::visit::Visit;
use crate::agent::visit::VisitError;
use crate::control::node::GroupError;
use crate::weights;
use crate::weights::PieceDigest;
use crate::weights::is_piece;

/// How often what lies at the engine is read again while it is not known: it takes as long as all pieces
/// take, and lists come within a second of the voters.
const AGAIN: Millis = Millis(1_000);

/// Why it could not be looked what may be ordered.
#[derive(Debug, Error)]
enum LookError {
    /// The engine could not be asked.
    #[error(transparent)]
    Visit(#[from] VisitError),
    /// The voters could not.
    #[error(transparent)]
    Group(#[from] GroupError),
}

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
            Ok(Remains::Unknown) => {
                info!("pieces of no known version found, may be ordered",
                    kv: { served = served, age_ms = now.since(self.began).0 });
                self.unknown = Some(now);
            }
            Ok(Remains::Nothing | Remains::Ordered(_)) => self.settled = true,
            Err(error) => info!("pieces not compared", kv: { error = error.to_string() }),
        }
        self.settled |= now.since(self.began) >= LATE_CALL;
    }
}

/// What lies at the engine, by place.
#[derive(Default)]
struct Lying(Vec<Option<PieceDigest>>);

impl Lying {
    fn fits(&self, list: &PieceList, number: usize) -> bool {
        let number = u32::try_from(number).unwrap_or(u32::MAX);
        let lying = self.0.get(number as usize).copied().flatten();
        lying.is_some_and(|digest| is_piece(list, number, &digest))
    }

    fn fit(&self, list: &PieceList) -> Fit {
        let pieces = list.digests.len();
        Fit {
            version: list.weights.version,
            pieces,
            fitting: (0..pieces).filter(|n| self.fits(list, *n)).count(),
        }
    }

    fn others(&self, lists: &[Rc<PieceList>]) -> Others {
        let known = |number| lists.iter().any(|list| self.fits(list, number));
        let empty = self.0.iter().filter(|lying| lying.is_none()).count();
        let strange = (0..self.0.len()).filter(|n| self.0[*n].is_some() && !known(*n));
        Others {
            empty,
            strange: strange.count(),
        }
    }
}

/// Compares what lies at the engine with the lists that the voters keep, and counts the version that may
/// be ordered as such. Older lists are asked for only while pieces are not known.
async fn look(agent: &Agent, model: &str, served: u64) -> Result<Remains, LookError> {
    let mut next = list_upto(agent, model, u64::MAX).await?;
    let mut visit = Visit::begin(agent.engine.addr()).await?;
    let made = visit.progress();
    let mut lying = Lying::default();
    visit.read_places(model, &mut lying.0, 1).await?;
    let mut lists: Vec<Rc<PieceList>> = Vec::new();
    while let Some(list) = next {
        let (version, pieces) = (list.weights.version, list.digests.len());
        visit.read_places(model, &mut lying.0, pieces).await?;
        lists.push(list);
        let known = lying.others(&lists).strange == 0;
        next = match version.checked_sub(1).filter(|_| !known) {
            Some(older) => list_upto(agent, model, older).await?,
            None => None,
        };
    }
    let fits: Vec<Fit> = lists.iter().map(|list| lying.fit(list)).collect();
    let judged = remains(served, &fits, lying.others(&lists));
    if let Remains::Ordered(version) = judged
        && let Some(list) = lists.iter().find(|list| list.weights.version == version)
    {
        count_as_ordered(agent, list, made, &lying);
    }
    Ok(judged)
}

/// The list that the voters keep of the latest version up to `version`.
async fn list_upto(
    agent: &Agent,
    model: &str,
    version: u64,
) -> Result<Option<Rc<PieceList>>, GroupError> {
    let upto = Weights {
        model: model.into(),
        version,
    };
    let list = agent.node.kept_list(upto).await?;
    Ok(list.map(|list| Rc::new(weights::unpacked(&list))))
}

/// Counts a version as ordered; the pieces of it that do not lie at the engine are missing.
fn count_as_ordered(agent: &Agent, list: &Rc<PieceList>, made: Progress, lying: &Lying) {
    let there = (0..weights::count(list)).filter(|n| lying.fits(list, *n as usize));
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
