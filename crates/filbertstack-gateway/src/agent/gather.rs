//! Fetches all pieces of one version and stages them at the engine.

use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use filbertstack_platform::engine::PieceList;
use filbertstack_platform::engine::WeightsVersion;
use filbertstack_platform::engine::ask_staged;
use filbertstack_platform::engine::stage_piece;
use futures_util::StreamExt as _;
use futures_util::stream;
use spdlog::info;
use spdlog::warn;
use tokio::task::spawn_local;
use tokio::time::sleep;

use crate::agent::Agent;
use crate::client::CallFailure;
use crate::weights;
use crate::weights::fetch::Fetch;

/// At most this many pieces are looked for at once. Waiting for one costs only a question, and a piece whose
/// owner is slow must not keep the agent from looking for others.
const MAX_LOOKUPS: usize = 64;

/// At most this many pieces are downloaded at once, enough to fill the link. More would wait in its queue,
/// before events of live streams and the reports of the engine's load.
const MAX_DOWNLOADS: u32 = 2;

/// The agent pauses for this time after the engine did not accept a piece: it has ended or is restarting.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// `PieceResult` is the result of fetching and staging one piece.
#[derive(Clone, Copy, PartialEq, Eq)]
enum PieceResult {
    /// The engine holds the piece.
    Staged,
    /// The piece was fetched, but the engine did not accept it.
    Rejected,
    /// The fetched bytes do not match the list.
    Mismatch,
}

/// Fetches the pieces of `weights` and stages them at the engine. Returns when all are staged. If the future
/// is dropped, fetching stops and the staged pieces remain.
pub async fn gather(agent: Rc<Agent>, weights: WeightsVersion) {
    let began = Instant::now();
    let fetch = Fetch::new(
        agent.node.clone(),
        &agent.id(),
        weights.clone(),
        MAX_DOWNLOADS,
    );
    let mut wrong: Option<Rc<PieceList>> = None;
    loop {
        let list = match (agent.stage.list(&weights), &wrong) {
            (Some(list), _) => list,
            (None, Some(wrong)) => Rc::new(fetch.list_after(wrong).await),
            (None, None) => Rc::new(fetch.list().await),
        };
        agent.stage.begin(list.clone());
        find_staged(&agent, &list).await;
        match fetch_missing(&agent, &fetch, &list).await {
            PieceResult::Staged => {
                info!("all pieces are staged", kv: {
                    version = weights.version, took_ms = began.elapsed().as_millis()
                });
                return;
            }
            PieceResult::Rejected => sleep(RETRY_DELAY).await,
            PieceResult::Mismatch => {
                warn!("pieces do not match their list, fetching the list again",
                    kv: { version = weights.version });
                agent.stage.clear();
                wrong = Some(list);
            }
        }
    }
}

/// Records the pieces that are staged already: by an earlier process, or before another version was begun.
async fn find_staged(agent: &Agent, list: &PieceList) {
    let missing = (0..weights::piece_count(list)).filter(|number| !agent.stage.has(*number));
    for number in missing.collect::<Vec<_>>() {
        if is_staged(agent, list, number).await {
            agent.stage.add_piece(number);
        }
    }
}

/// Returns whether a staged piece matches the list.
async fn is_staged(agent: &Agent, list: &PieceList, number: u32) -> bool {
    let staged = agent.engine.call(ask_staged(&list.weights.model, number));
    let staged = staged.await;
    staged.is_ok_and(|bytes| weights::matches_bytes(list, number, &bytes))
}

async fn fetch_missing(agent: &Rc<Agent>, fetch: &Fetch, list: &Rc<PieceList>) -> PieceResult {
    let order = fetch.layout(list).order(weights::piece_count(list));
    let missing = order.into_iter().filter(|n| !agent.stage.has(*n));
    let mut pieces = stream::iter(missing)
        .map(|number| fetch_one(agent, fetch, list, number))
        .buffer_unordered(MAX_LOOKUPS);
    while let Some(result) = pieces.next().await {
        if result != PieceResult::Staged {
            return result;
        }
    }
    PieceResult::Staged
}

async fn fetch_one(
    agent: &Rc<Agent>,
    fetch: &Fetch,
    list: &Rc<PieceList>,
    number: u32,
) -> PieceResult {
    let Some(bytes) = fetch.piece(list, number).await else {
        return PieceResult::Mismatch;
    };
    // In a task of its own: a write that is dropped half way, as another version is chosen, would have an
    // unknown outcome.
    let put = spawn_local(put_piece(agent.clone(), list.clone(), number, bytes));
    put.await.unwrap_or(PieceResult::Rejected)
}

/// Writes a piece to the engine, unless another version is being staged by now.
async fn put_piece(
    agent: Rc<Agent>,
    list: Rc<PieceList>,
    number: u32,
    bytes: Bytes,
) -> PieceResult {
    let stage = &agent.stage;
    let weights = &list.weights;
    if stage.weights().as_ref() != Some(weights) {
        return PieceResult::Rejected;
    }
    let length = bytes.len() as u64;
    let born = agent.engine.report().map_or(0, |report| report.born);
    let pending = stage.begin_put(weights, born, agent.node.clock.now());
    let put = stage_piece(&weights.model, number, bytes);
    let answer = agent.engine.call(put).await;
    let failure = answer.as_ref().err();
    let certain = failure.is_none_or(CallFailure::never_executed);
    if certain {
        stage.end_put(pending);
    }
    match answer {
        Ok(_) => {
            if stage.weights().as_ref() == Some(weights) {
                stage.add_piece(number);
            }
            agent.metrics.weights.fetched.add("staged", length);
            PieceResult::Staged
        }
        Err(error) => {
            warn!("piece not staged", kv: {
                number, version = weights.version, may_be_put = !certain, error = error.to_string()
            });
            PieceResult::Rejected
        }
    }
}
