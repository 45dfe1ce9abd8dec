//! One running replica of a simulated group, and the callers that wait for it.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

use filbertstack_log::Accepted;
use filbertstack_log::Answer;
use filbertstack_log::Node;
use filbertstack_log::NodeId;
use filbertstack_log::Ticket;
use filbertstack_log::Write;
use filbertstack_log::storage::Storage;

use crate::support::checker::Checker;
use crate::support::checker::Violation;
use crate::support::disk::MemoryDisk;
use crate::support::machine::Map;

/// A running replica.
pub(super) struct Running {
    pub(super) node: Node,
    pub(super) storage: Storage<MemoryDisk>,
    pub(super) map: Map,
    pub(super) applied: u64,
    pub(super) started_at: Duration,
    pub(super) writes: VecDeque<Write>,
    pub(super) disk_busy_until: Duration,
    pub(super) tickets: BTreeMap<Ticket, Request>,
    pub(super) appended: BTreeMap<u64, (u64, u64)>,
    pub(super) reads: Vec<(u64, u64)>,
    pub(super) was_leader: bool,
}

/// The request that a ticket identifies.
pub(super) enum Request {
    Put(u64),
    /// A read, with the index that it must see.
    Read(u64),
    Promote(NodeId),
    Other,
}

impl Running {
    pub(super) fn answer(
        &mut self,
        answer: Answer,
        checker: &mut Checker,
        durable: &BTreeMap<NodeId, u64>,
    ) {
        let asked = self.tickets.remove(&answer.ticket);
        match (asked, answer.result) {
            (Some(Request::Put(request)), Ok(Accepted::Appended(place))) => {
                self.appended.insert(place.index, (place.term, request));
            }
            (Some(Request::Read(floor)), Ok(Accepted::Readable(index))) => {
                self.reads.push((floor, index));
            }
            (Some(Request::Promote(node)), Ok(_)) => {
                let commit = self.node.status().commit;
                if let Some(held) = durable.get(&node).copied()
                    && held < commit
                {
                    checker.report(Violation::EarlyVoter { held, commit });
                }
            }
            _ => {}
        }
    }

    pub(super) fn finish_reads(&mut self, checker: &mut Checker) {
        let applied = self.applied;
        for (floor, index) in self.reads.extract_if(.., |(_, index)| *index <= applied) {
            checker.check_read(floor, index);
        }
    }
}
