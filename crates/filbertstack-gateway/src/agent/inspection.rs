//! Finds out whether an earlier process let its engine load wrong pieces.
//!
//! What a process knows of its engine ends with it. A process that starts beside an engine that has begun orders
//! therefore reports nothing of it until it knows, so that entries go on by the last row of the earlier process.

use std::rc::Rc;

use filbertstack_core::Millis;
use filbertstack_platform::engine::EngineReport;
use filbertstack_platform::engine::PieceList;
use filbertstack_platform::engine::WeightsVersion;
use filbertstack_policy::verification::Check;
use spdlog::info;
use spdlog::warn;

use crate::agent::Agent;
use crate::agent::contents::ContentsError;
use crate::agent::contents::latest_list;
use crate::agent::session::Session;
use crate::link::messages::Kind;
use crate::weights;
use crate::weights::piece_count;

/// How long a process reports nothing while it does not know what its engine has loaded. Entries forget the row of an
/// earlier process after three seconds, and its loads sooner. After this time it reports that the engine takes no
/// requests.
const MAX_SILENCE: Millis = Millis(2_000);

/// How long a process that follows a voter waits for the rows of other processes, among them that of its predecessor.
const ROWS_TIMEOUT: Millis = Millis(500);

/// `Inspection` tracks what a process knows of the weights that its engine had loaded when the process started.
#[derive(Debug)]
pub struct Inspection {
    started: Millis,
    /// When the process first followed a voter.
    followed: Option<Millis>,
    done: bool,
}

impl Inspection {
    /// Creates the state of a process that starts at `now`.
    pub fn new(now: Millis) -> Self {
        Self {
            started: now,
            followed: None,
            done: false,
        }
    }

    /// Returns whether it is known what the engine has loaded.
    pub fn is_done(&self) -> bool {
        self.done
    }

    /// Returns whether the process reports nothing yet.
    pub fn is_silent(&self, now: Millis) -> bool {
        !self.done && now.since(self.started) < MAX_SILENCE
    }

    /// Returns whether the rows of other processes may still arrive.
    fn awaits_rows(&mut self, agent: &Agent) -> bool {
        let now = agent.node.clock.now();
        if agent.node.followed().is_none() {
            return true;
        }
        let followed = *self.followed.get_or_insert(now);
        now.since(followed) < ROWS_TIMEOUT && agent.node.registry.present().is_empty()
    }
}

/// Inspects the engine, if that is not done yet and all that it takes is known.
pub async fn run(agent: &Agent) {
    // An engine that is busy carries out an order of an earlier process and will hold what that one had staged.
    let Some(report) = agent.engine.report().filter(|report| !report.busy) else {
        return;
    };
    if agent.inspection.borrow().is_done() {
        return;
    }
    let wrong = match &report.holding {
        // An engine that has begun no order holds what it had at its start.
        Some(weights) if report.sequence > 0 => {
            if agent.inspection.borrow_mut().awaits_rows(agent) {
                return;
            }
            if was_used(agent, weights) {
                Ok(false)
            } else {
                holds_wrong(agent, &report, weights).await
            }
        }
        _ => Ok(false),
    };
    match (wrong, report.holding) {
        (Ok(true), Some(weights)) => {
            warn!("engine may have loaded wrong pieces by an earlier process, it gets no requests until it has loaded again",
                kv: { version = weights.version, born = report.born });
            agent.engine.set_unsound(weights, report.born);
        }
        (Ok(_), _) => {}
        (Err(error), _) => {
            info!("loaded pieces not inspected", kv: { error = error.to_string() });
            return;
        }
    }
    agent.inspection.borrow_mut().done = true;
}

/// Returns whether an earlier process last reported that its engine serves `weights` and takes requests: it had
/// checked them after their load.
fn was_used(agent: &Agent, weights: &WeightsVersion) -> bool {
    let Some((kind, _, _)) = agent.node.registry.find(&agent.id()) else {
        return false;
    };
    match &*kind {
        Kind::Agent(row) => {
            !row.loading && row.version == weights.version && *row.model == *weights.model
        }
        _ => false,
    }
}

/// Returns whether the engine may have loaded a wrong piece as `weights`. Only those of a newer version may be staged
/// over them since: a process stages none before it has checked what its engine serves.
async fn holds_wrong(
    agent: &Agent,
    report: &EngineReport,
    weights: &WeightsVersion,
) -> Result<bool, ContentsError> {
    let newest = latest_list(agent, &weights.model, u64::MAX).await?;
    let list = latest_list(agent, &weights.model, weights.version).await?;
    let Some(list) = list.filter(|list| list.weights == *weights) else {
        info!("no list of the loaded pieces", kv: { version = weights.version });
        return Ok(true);
    };
    let mut session = Session::open(agent.engine.addr()).await?;
    if session.progress() != report.into() {
        // Its report is from before a restart or an order.
        return Err(ContentsError::Changed);
    }
    let mut check = Check::once(piece_count(&list), list.bytes);
    session = session.check(&list, &mut check, agent.node.clock).await?;
    let mut wrong = Vec::new();
    for &number in check.bad() {
        wrong.push((number, session.staged_digest(&weights.model, number).await?));
    }
    let mut newer = newest.filter(|newest| newest.weights.version > weights.version);
    while let Some(list) = newer.filter(|_| !wrong.is_empty()) {
        wrong.retain(|(number, found)| !is_of(&list, *number, found.as_ref()));
        newer = newer_before(agent, &list, weights.version).await?;
    }
    Ok(!wrong.is_empty())
}

fn is_of(list: &PieceList, number: u32, found: Option<&weights::PieceDigest>) -> bool {
    found.is_some_and(|digest| weights::matches_digest(list, number, digest))
}

/// Returns the list of the latest version before that of `list` that is newer than `served`.
async fn newer_before(
    agent: &Agent,
    list: &PieceList,
    served: u64,
) -> Result<Option<Rc<PieceList>>, ContentsError> {
    let before = list.weights.version.saturating_sub(1);
    let older = latest_list(agent, &list.weights.model, before).await?;
    Ok(older.filter(|older| older.weights.version > served))
}
