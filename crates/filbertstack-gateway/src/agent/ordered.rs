//! What an earlier process may have ordered the engine to load.

use std::rc::Rc;
use std::time::Duration;

use filbertstack_platform::engine::Holding;
use filbertstack_platform::engine::PieceList;
use spdlog::info;
use tokio::time::timeout;

use crate::agent::Agent;
use crate::agent::stage::OpenOrder;
use crate::agent::visit::Found;
use crate::agent::visit::Visit;
use crate::agent::visit::VisitError;
use crate::agent::visit::Whole;
use crate::weights::fetch::Fetch;

/// How long the list of a version is waited for. Entries that start again have it within a second; a
/// list that nobody has keeps the engine from newer versions no longer.
const LIST: Duration = Duration::from_secs(2);

/// Looks once, when the process starts, which of `needed` lies whole at the engine, and counts it as
/// ordered: the process before may have been killed while an order was without an answer, and staged
/// over it, the next version would be loaded with it. Only what lies whole is ever ordered.
///
/// # Errors
/// [`VisitError`]: the engine could not be asked; nothing may be staged yet.
pub async fn find_ordered(agent: &Agent, needed: &[Holding]) -> Result<(), VisitError> {
    for weights in needed {
        let fetch = Fetch::new(agent.node.clone(), &agent.id(), weights.clone(), 1);
        let Ok(list) = timeout(LIST, fetch.list()).await else {
            info!("no list of pieces, not compared with what is staged", kv: {
                version = weights.version
            });
            continue;
        };
        let list = Rc::new(list);
        agent.stage.know(list.clone());
        let visit = Visit::begin(agent.engine.addr()).await?;
        if let Found::Whole(whole) = visit.read_back(&list).await? {
            note(agent, &list, &whole);
            return Ok(());
        }
    }
    Ok(())
}

fn note(agent: &Agent, list: &Rc<PieceList>, whole: &Whole) {
    info!("pieces found, may be ordered", kv: { version = list.weights.version });
    agent.stage.begin(list.clone());
    for number in 0..crate::weights::count(list) {
        agent.stage.put(number);
    }
    let made = whole.progress();
    agent
        .stage
        .set_open_order(Some(OpenOrder { made, sent: 0 }));
}
