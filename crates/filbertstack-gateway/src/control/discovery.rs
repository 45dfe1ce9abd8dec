//! Asking nodes who they are and whom they know.

use std::net::SocketAddr;
use std::time::Duration;

use futures_util::StreamExt as _;
use futures_util::future::join_all;
use futures_util::stream::FuturesUnordered;

use crate::control::search::Search;
use crate::link::Dialer;
use crate::link::LinkError;
use crate::link::messages::Nothing;
use crate::link::messages::Question;
use crate::link::messages::Reply;
use crate::link::messages::Standing;

/// How long a node is waited for when it is asked who it is: some hundred times the way there.
const STANDING: Duration = Duration::from_millis(500);

/// Asks on until somebody names the leader or nobody is left to ask. Nodes that are down hold up
/// nobody: whoever is named is asked at once.
pub async fn seek_leader(dialer: &Dialer, search: &mut Search) {
    let mut asking = FuturesUnordered::new();
    loop {
        for node in search.take_next() {
            asking.push(async move { (node, ask(dialer, node).await) });
        }
        let Some((node, answer)) = asking.next().await else {
            return;
        };
        match answer {
            Ok(standing) => search.hear(node, &standing),
            Err(error) => search.miss(node, error.to_string()),
        }
        if search.leader().is_some() {
            return;
        }
    }
}

/// Asks all of `nodes` but this one, and returns what those who answer in time say.
pub async fn hear_all(dialer: &Dialer, own: SocketAddr, nodes: &[SocketAddr]) -> Vec<Standing> {
    let others = nodes.iter().filter(|node| **node != own);
    let answers = join_all(others.map(|node| ask(dialer, *node))).await;
    // Whoever does not answer is asked again in the next round.
    answers.into_iter().filter_map(Result::ok).collect()
}

async fn ask(dialer: &Dialer, node: SocketAddr) -> Result<Standing, LinkError> {
    let question = Question::Standing(Nothing {});
    match dialer.ask(node, question, STANDING).await? {
        Reply::Standing(standing) => Ok(standing),
        _ => Err(LinkError::Unfit),
    }
}
