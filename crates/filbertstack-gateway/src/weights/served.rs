//! The lists of the versions that engines serve.
//!
//! Weights that were there from the start are never gathered, so that nobody would fetch their list. It
//! is gone from the origin once two newer versions are named; without it, an agent that starts then
//! can't tell what its engine serves from what an order may yet load.

use std::collections::HashSet;
use std::rc::Rc;
use std::time::Duration;

use filbertstack_control::document::Weights;
use tokio::time::sleep;

use crate::control::node::Node;
use crate::weights;
use crate::weights::fetch::Fetch;

/// How often it is looked which versions engines serve.
const LOOK: Duration = Duration::from_secs(2);

/// The pause after the origin did not give a list.
const AGAIN: Duration = Duration::from_secs(5);

/// Has the voters keep the list of each version that an engine serves, until the process ends. `own` is
/// the id of the entry.
pub async fn keep_lists(node: Rc<Node>, own: String) {
    let mut kept = HashSet::new();
    loop {
        sleep(LOOK).await;
        let served = served(&node);
        kept.retain(|version| served.contains(version));
        for version in served.difference(&kept.clone()) {
            let fetch = Fetch::new(node.clone(), &own, weights::holding(version), 1);
            if !fetch.leads_list() {
                continue;
            }
            if fetch.keep_list().await {
                kept.insert(version.clone());
            } else {
                sleep(AGAIN).await;
            }
        }
    }
}

/// The versions that engines serve.
fn served(node: &Node) -> HashSet<Weights> {
    let agents = weights::agents(node).into_iter();
    let serving = agents.filter(|(_, row)| !row.model.is_empty() && row.version > 0);
    let served = serving.map(|(_, row)| Weights {
        model: row.model,
        version: row.version,
    });
    served.collect()
}
