//! Gathering all pieces of one version.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use filbertstack_control::document::Weights;
use filbertstack_platform::engine::Holding;
use filbertstack_platform::engine::PieceList;
use filbertstack_platform::engine::ask_manifest;
use filbertstack_platform::engine::ask_piece;
use filbertstack_platform::engine::read_manifest;
use filbertstack_policy::pieces::Source;
use filbertstack_policy::pieces::order;
use filbertstack_policy::pieces::sources;
use futures_util::StreamExt as _;
use futures_util::stream;
use spdlog::info;
use spdlog::warn;
use tokio::time::sleep;

use crate::agent::Agent;
use crate::agent::peers;
use crate::agent::peers::OWNER_WAIT;
use crate::agent::shelf::Set;
use crate::client::call;
use crate::link::messages::PieceName;
use crate::link::messages::Question;
use crate::link::messages::Reply;

/// How many pieces are asked for at once: enough that the link is never idle while an owner still
/// waits for its own.
const WINDOW: usize = 12;

/// How long one source may take for a piece: what an owner lets others wait, and the way.
const PEER: Duration = OWNER_WAIT.saturating_add(Duration::from_millis(400));

/// How long the origin may take for a piece while all owners ask at once: a copy of all pieces
/// takes its link a second or two.
const ORIGIN: Duration = Duration::from_secs(3);

/// How long a list of pieces may take: it is short.
const LIST: Duration = Duration::from_millis(800);

/// The pause before sources are asked again that all failed.
const PAUSE: Duration = Duration::from_millis(100);

/// The longest list of pieces, in bytes: those of some thousand pieces.
const LONGEST_LIST: usize = 1 << 20;

/// After how many rounds without a right piece the list itself is doubted and fetched again.
const ROUNDS: u32 = 3;

/// Gathers the pieces of `weights` on the shelf. Ends when they are all there; dropped, it
/// stops, and what came stays.
pub async fn gather(agent: &Rc<Agent>, weights: &Holding) -> Rc<Set> {
    loop {
        let set = match agent.shelf.find(weights) {
            Some(set) => set,
            None => Rc::new(Set::new(fetch_list(agent, weights).await)),
        };
        agent.shelf.begin(set.clone());
        let own = agent.id();
        let zone = &agent.node.settings.node.zone;
        let peers = peers::peers(&agent.node, weights);
        let wanted = order(&own, zone, &peers, set.count());
        let missing = wanted.into_iter().filter(|n| set.piece(*n).is_none());
        let all = stream::iter(missing)
            .map(|number| fetch_piece(agent, &set, number))
            .buffer_unordered(WINDOW)
            .all(|came| async move { came })
            .await;
        if all && set.is_whole() {
            agent.shelf.complete(set.clone());
            info!("all pieces are there", kv: { version = weights.version });
            return set;
        }
        warn!("pieces do not fit their list, which is fetched again",
            kv: { version = weights.version });
        agent.shelf.drop_partial();
        sleep(PAUSE).await;
    }
}

async fn fetch_list(agent: &Rc<Agent>, weights: &Holding) -> PieceList {
    loop {
        let own = agent.id();
        let zone = &agent.node.settings.node.zone;
        let peers = peers::peers(&agent.node, weights);
        for source in sources(&own, zone, &peers, 0) {
            let list = match source {
                Source::Peer(id) => list_of_peer(agent, weights, &id).await,
                Source::Origin => list_of_origin(agent, weights).await,
            };
            if let Some(list) = list {
                return list;
            }
        }
        sleep(PAUSE).await;
    }
}

async fn list_of_peer(agent: &Rc<Agent>, weights: &Holding, id: &str) -> Option<PieceList> {
    let place = peers::place(&agent.node, id)?;
    let question = Question::Manifest(named(weights));
    let reply = agent.node.dialer.ask(place, question, LIST).await.ok()?;
    let Reply::Manifest(manifest) = reply else {
        return None;
    };
    let digests = manifest.digests.chunks_exact(32);
    let digests = digests.filter_map(|digest| digest.try_into().ok());
    Some(PieceList {
        weights: weights.clone(),
        bytes: manifest.bytes,
        digests: digests.collect(),
    })
}

async fn list_of_origin(agent: &Rc<Agent>, weights: &Holding) -> Option<PieceList> {
    let origin = origin(agent)?;
    let answer = call(origin, ask_manifest(weights), LONGEST_LIST, LIST).await;
    let read = answer
        .map_err(|e| e.to_string())
        .and_then(|body| read_manifest(&body).map_err(|e| e.to_string()));
    match read {
        Ok(list) if list.weights == *weights && !list.digests.is_empty() => Some(list),
        Ok(_) => None,
        Err(error) => {
            info!("list of pieces not fetched", kv: { version = weights.version, error = error });
            None
        }
    }
}

/// Fetches one piece from one source after the other; false if none gave the right bytes in
/// several rounds.
async fn fetch_piece(agent: &Rc<Agent>, set: &Rc<Set>, number: u32) -> bool {
    let weights = &set.list.weights;
    let own = agent.id();
    let zone = &agent.node.settings.node.zone;
    for _ in 0..ROUNDS {
        let peers = peers::peers(&agent.node, weights);
        for source in sources(&own, zone, &peers, number) {
            if set.piece(number).is_some() {
                return true;
            }
            let bytes = match &source {
                Source::Peer(id) => piece_of_peer(agent, weights, number, id).await,
                Source::Origin => piece_of_origin(agent, set, number).await,
            };
            if bytes.is_some_and(|bytes| set.put(number, bytes)) {
                return true;
            }
        }
        sleep(PAUSE).await;
    }
    false
}

async fn piece_of_peer(
    agent: &Rc<Agent>,
    weights: &Holding,
    number: u32,
    id: &str,
) -> Option<Bytes> {
    let place = peers::place(&agent.node, id)?;
    let weights = named(weights);
    let question = Question::Piece(PieceName { weights, number });
    match agent.node.dialer.ask(place, question, PEER).await {
        Ok(Reply::Piece(bytes)) => Some(bytes),
        _ => None,
    }
}

async fn piece_of_origin(agent: &Rc<Agent>, set: &Rc<Set>, number: u32) -> Option<Bytes> {
    let longest = set.list.bytes as usize;
    let outgoing = ask_piece(&set.list.weights, number);
    match call(origin(agent)?, outgoing, longest, ORIGIN).await {
        Ok(bytes) => Some(bytes),
        Err(error) => {
            info!("piece not fetched from the origin",
                kv: { number = number, error = error.to_string() });
            None
        }
    }
}

fn origin(agent: &Agent) -> Option<SocketAddr> {
    agent.node.declared.origins().first().copied()
}

fn named(weights: &Holding) -> Weights {
    Weights {
        model: weights.model.to_string(),
        version: weights.version,
    }
}
