//! Has the voters keep the lists of pieces of the versions that engines serve.
//!
//! No node fetches the weights that engines have from the start, and so none would fetch their list. The
//! origin no longer has it once two newer versions are named. Without the list, an agent that starts then
//! can't tell the version that its engine serves from one that a pending order may load.

use std::collections::HashSet;
use std::rc::Rc;
use std::time::Duration;

use filbertstack_control::document::Weights;
use tokio::time::sleep;

use crate::control::node::Node;
use crate::weights;
use crate::weights::fetch::Fetch;

/// The entry checks at this interval which versions engines serve.
const CHECK_INTERVAL: Duration = Duration::from_secs(2);

/// The entry pauses for this time after the origin did not return a list.
const RETRY_DELAY: Duration = Duration::from_secs(5);

/// Has the voters keep the list of each version that an engine serves, until the process ends. `own` is the
/// id of the entry.
pub async fn keep_lists(node: Rc<Node>, own: String) {
    let mut kept = HashSet::new();
    loop {
        sleep(CHECK_INTERVAL).await;
        let served = served(&node);
        kept.retain(|version| served.contains(version));
        for version in served.difference(&kept.clone()) {
            let fetch = Fetch::new(node.clone(), &own, weights::from_wire(version), 1);
            if !fetch.leads_list() {
                continue;
            }
            if fetch.keep_list().await {
                kept.insert(version.clone());
            } else {
                sleep(RETRY_DELAY).await;
            }
        }
    }
}

/// Returns the versions that engines serve.
fn served(node: &Node) -> HashSet<Weights> {
    let agents = weights::agents(node).into_iter();
    let serving = agents.filter(|(_, row)| !row.model.is_empty() && row.version > 0);
    let served = serving.map(|(_, row)| Weights {
        model: row.model,
        version: row.version,
    });
    served.collect()
}
