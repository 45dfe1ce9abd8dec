//! Questions to nodes about their place in the group, to find the leader.

use std::net::SocketAddr;
use std::time::Duration;

use futures_util::StreamExt as _;
use futures_util::future::join_all;
use futures_util::stream::FuturesUnordered;

use crate::control::search::LeaderSearch;
use crate::link::Dialer;
use crate::link::LinkError;
use crate::link::messages::Empty;
use crate::link::messages::NodeStatus;
use crate::link::messages::Question;
use crate::link::messages::Reply;

/// How long a node may take to answer: some hundred times the network latency.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(500);

/// Asks nodes until one names the leader or no nodes are left to ask. Each node that an answer names is
/// asked at once, so nodes that are down delay nothing.
pub async fn find_leader(dialer: &Dialer, search: &mut LeaderSearch) {
    let mut asking = FuturesUnordered::new();
    loop {
        for node in search.take_next() {
            asking.push(async move { (node, ask(dialer, node).await) });
        }
        let Some((node, answer)) = asking.next().await else {
            return;
        };
        match answer {
            Ok(standing) => search.record_answer(node, &standing),
            Err(error) => search.record_failure(node, error.to_string()),
        }
        if search.leader().is_some() {
            return;
        }
    }
}

/// Asks all of `nodes` except this one, and returns the answers that arrive in time.
pub async fn ask_all(dialer: &Dialer, own: SocketAddr, nodes: &[SocketAddr]) -> Vec<NodeStatus> {
    let others = nodes.iter().filter(|node| **node != own);
    let answers = join_all(others.map(|node| ask(dialer, *node))).await;
    // A node that does not answer is asked again in the next round.
    answers.into_iter().filter_map(Result::ok).collect()
}

async fn ask(dialer: &Dialer, node: SocketAddr) -> Result<NodeStatus, LinkError> {
    let question = Question::NodeStatus(Empty {});
    match dialer.ask(node, question, ANSWER_TIMEOUT).await? {
        Reply::NodeStatus(standing) => Ok(standing),
        _ => Err(LinkError::UnexpectedReply),
    }
}
