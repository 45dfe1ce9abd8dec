//! Gathering all pieces of one version at the engine.

use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use filbertstack_platform::engine::Holding;
use filbertstack_platform::engine::PieceList;
use filbertstack_platform::engine::read_staged;
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

/// How many pieces are looked for at once. Waiting for one costs nothing but a question, and a
/// piece whose owner is slow must not keep others from being looked for.
const WINDOW: usize = 64;

/// The most pieces under way at once: enough to fill the link. More would only wait in its queue,
/// before events of live streams and the reports of the engine's load.
const DOWNLOADS: u32 = 2;

/// The pause after a piece could not be staged: the engine has ended, or starts again.
const AGAIN: Duration = Duration::from_millis(200);

/// How a piece was got.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Got {
    /// It lies at the engine.
    Staged,
    /// It came, but the engine did not take it.
    NotTaken,
    /// What comes does not fit the list.
    Unfit,
}

/// Gathers the pieces of `weights` at the engine. Ends when they are all there; dropped, it
/// stops, and what came stays.
pub async fn gather(agent: Rc<Agent>, weights: Holding) {
    let began = Instant::now();
    let fetch = Fetch::new(agent.node.clone(), &agent.id(), weights.clone(), DOWNLOADS);
    loop {
        let list = match agent.stage.list(&weights) {
            Some(list) => list,
            None => Rc::new(fetch.list().await),
        };
        agent.stage.begin(list.clone());
        find_staged(&agent, &list).await;
        match fetch_missing(&agent, &fetch, &list).await {
            Got::Staged => {
                info!("all pieces are there", kv: {
                    version = weights.version, took_ms = began.elapsed().as_millis()
                });
                return;
            }
            Got::NotTaken => sleep(AGAIN).await,
            Got::Unfit => {
                warn!("pieces do not fit their list, which is fetched again",
                    kv: { version = weights.version });
                agent.stage.forget();
            }
        }
    }
}

/// Notes the pieces that lie at the engine from before: from a process that has ended, or from the
/// time before another version was begun.
async fn find_staged(agent: &Agent, list: &PieceList) {
    let missing = (0..weights::piece_count(list)).filter(|number| !agent.stage.has(*number));
    for number in missing.collect::<Vec<_>>() {
        if lies_there(agent, list, number).await {
            agent.stage.put(number);
        }
    }
}

/// Whether a piece lies at the engine as it must be.
async fn lies_there(agent: &Agent, list: &PieceList, number: u32) -> bool {
    let staged = agent.engine.call(read_staged(&list.weights.model, number));
    let staged = staged.await;
    staged.is_ok_and(|bytes| weights::matches_bytes(list, number, &bytes))
}

async fn fetch_missing(agent: &Rc<Agent>, fetch: &Fetch, list: &Rc<PieceList>) -> Got {
    let order = fetch.layout(list).order(weights::piece_count(list));
    let missing = order.into_iter().filter(|n| !agent.stage.has(*n));
    let mut pieces = stream::iter(missing)
        .map(|number| fetch_one(agent, fetch, list, number))
        .buffer_unordered(WINDOW);
    while let Some(got) = pieces.next().await {
        if got != Got::Staged {
            return got;
        }
    }
    Got::Staged
}

async fn fetch_one(agent: &Rc<Agent>, fetch: &Fetch, list: &Rc<PieceList>, number: u32) -> Got {
    let Some(bytes) = fetch.piece(list, number).await else {
        return Got::Unfit;
    };
    // On a task of its own: left half way, as another version is gathered, it would have no outcome.
    let put = spawn_local(put_piece(agent.clone(), list.clone(), number, bytes));
    put.await.unwrap_or(Got::NotTaken)
}

/// Puts a piece at the engine, unless another version is staged by now.
async fn put_piece(agent: Rc<Agent>, list: Rc<PieceList>, number: u32, bytes: Bytes) -> Got {
    let stage = &agent.stage;
    let weights = &list.weights;
    if stage.weights().as_ref() != Some(weights) {
        return Got::NotTaken;
    }
    let length = bytes.len() as u64;
    let born = agent.engine.report().map_or(0, |report| report.born);
    let open = stage.open_put(weights, born, agent.node.clock.now());
    let put = stage_piece(&weights.model, number, bytes);
    let answer = agent.engine.call(put).await;
    let failure = answer.as_ref().err();
    let certain = failure.is_none_or(CallFailure::is_certain);
    if certain {
        stage.settle_put(open);
    }
    match answer {
        Ok(_) => {
            if stage.weights().as_ref() == Some(weights) {
                stage.put(number);
            }
            agent.metrics.weights.fetched.add("staged", length);
            Got::Staged
        }
        Err(error) => {
            warn!("piece not staged", kv: {
                number, version = weights.version, may_be_put = !certain, error = error.to_string()
            });
            Got::NotTaken
        }
    }
}
