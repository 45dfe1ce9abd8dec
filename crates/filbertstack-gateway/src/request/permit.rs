//! The question that each way to a target asks before a request is sent, and what follows from a denial.

use filbertstack_policy::crashes::Verdict;
use filbertstack_policy::permit;
use filbertstack_policy::permit::Permit;
use filbertstack_policy::permit::Way;
use spdlog::info;

use crate::request::Call;
use crate::request::Requests;
use crate::request::answer::Refusal;
use crate::request::targets::Chosen;
use crate::request::targets::instance_of;

/// Returns the refusal of a request that may be sent to no target, as it crashes those that run it.
pub fn refusal(requests: &Requests, call: &Call) -> Option<Refusal> {
    let permit = permit::may_send(verdict(requests, call));
    let Permit::Nowhere { retry_after, .. } = permit else {
        return None;
    };
    let why = permit.denial()?;
    Some(Refusal::busy(why, retry_after.into()))
}

/// Returns whether a request may be sent now to the target that was chosen for it, and records it and a probe. What
/// is known may have changed while the request waited for a target or for its connection.
pub fn may_send_to(requests: &Requests, call: &Call, chosen: &Chosen, way: Way) -> bool {
    let residency = call.residency(&requests.node);
    let obstacle = requests.targets.obstacle(chosen, way, residency.as_ref());
    let permit = permit::may_send_to(way, verdict(requests, call), obstacle);
    if let Some(why) = permit.denial() {
        info!("send denied", kv: {
            request = call.head.id(), target = instance_of(&chosen.id), way = way.name(), why = why
        });
        requests.metrics.entry.denials.add(why, 1);
    }
    let may_send = match permit {
        Permit::Send => true,
        Permit::Probe => requests.node.record_probe(call.suspects(), &chosen.id),
        Permit::NotThere(_) | Permit::Nowhere { .. } => false,
    };
    if may_send {
        requests.targets.record_written(chosen);
    }
    may_send
}

fn verdict(requests: &Requests, call: &Call) -> Verdict {
    requests.node.crash_verdict(|| call.suspects())
}
