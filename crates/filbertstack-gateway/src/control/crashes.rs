//! Shares the requests that crash targets between entries, over the voters.
//!
//! Entries tell their voter under which requests they lost targets. Voters tell each other all of them,
//! and the other entries only those of the requests that are refused: a rack that is lost takes along
//! thousands of requests that nobody repeats.

use std::cell::RefCell;

use bytes::Bytes;
use filbertstack_core::Millis;
use filbertstack_core::RequestDigest;
use filbertstack_policy::crashes::CRASH_LIMIT;
use filbertstack_policy::crashes::CrashReport;
use filbertstack_policy::crashes::Crashes;
use filbertstack_policy::crashes::Verdict;
use filbertstack_policy::crashes::prober;
use filbertstack_policy::dispatch::TargetId;
use spdlog::info;

use crate::control::node::Node;
use crate::link::messages::CrashRow;
use crate::link::messages::Crashes as CrashesMessage;
use crate::link::messages::Interest;
use crate::link::messages::Kind;
use crate::link::messages::Notification;

/// The records of one node.
#[derive(Default)]
pub struct CrashRecords {
    crashes: RefCell<Crashes>,
}

impl Node {
    /// Returns whether a request may be sent.
    pub fn crash_verdict(&self, request: impl FnOnce() -> RequestDigest) -> Verdict {
        let crashes = self.crashes.crashes.borrow();
        if crashes.is_empty() {
            return Verdict::Allowed;
        }
        let request = request();
        if crashes.count(&request) < CRASH_LIMIT {
            return Verdict::Allowed;
        }
        crashes.verdict(self.clock.now(), &request, self.is_prober(&request))
    }

    fn is_prober(&self, request: &RequestDigest) -> bool {
        let rows = self.registry.present();
        let entries = rows.iter().filter_map(|(id, kind, _)| match &**kind {
            Kind::Entry(row) if !row.leaving => Some(&**id),
            _ => None,
        });
        prober(request, entries) == Some(&self.entry_id())
    }

    /// Records that a target was lost while it ran a request.
    pub fn record_crash(&self, request: RequestDigest, target: &TargetId) {
        let mut crashes = self.crashes.crashes.borrow_mut();
        crashes.record_loss(self.clock.now(), request, target);
        let count = crashes.count(&request);
        if count >= CRASH_LIMIT {
            info!("request refused: it was lost with several targets", kv: {
                digest = request.to_string(), targets = count
            });
        }
    }

    /// Records that a refused request is sent as a probe. Returns whether it may be sent.
    pub fn record_probe(&self, request: RequestDigest, target: &TargetId) -> bool {
        info!("refused request probed", kv: {
            digest = request.to_string(), target = target.to_string()
        });
        let mut crashes = self.crashes.crashes.borrow_mut();
        crashes.record_probe(self.clock.now(), request, target)
    }

    /// Records that a request was answered completely and with success.
    pub fn record_answer(&self, request: impl FnOnce() -> RequestDigest) {
        let mut crashes = self.crashes.crashes.borrow_mut();
        if crashes.is_empty() {
            return;
        }
        let request = request();
        let refuted = crashes.record_answer(self.clock.now(), &request);
        if refuted > 0 {
            info!("losses refuted: the request was answered", kv: {
                digest = request.to_string(), losses = refuted
            });
        }
    }

    /// Records that bytes arrived from a target.
    pub fn record_life(&self, target: &str) {
        let mut crashes = self.crashes.crashes.borrow_mut();
        if crashes.is_empty() {
            return;
        }
        let refuted = crashes.record_life(self.clock.now(), target);
        if refuted > 0 {
            info!("losses refuted: the target is alive", kv: { target = target, losses = refuted });
        }
    }

    /// Merges the reports of another process.
    pub fn merge_crashes(&self, message: &CrashesMessage) {
        let now = self.clock.now();
        let mut crashes = self.crashes.crashes.borrow_mut();
        for report in message.rows.iter().filter_map(decode) {
            let before = crashes.count(&report.request);
            crashes.merge(now, &report);
            let count = crashes.count(&report.request);
            if before < CRASH_LIMIT && count >= CRASH_LIMIT {
                info!("request refused: it was lost with several targets", kv: {
                    digest = report.request.to_string(), targets = count
                });
            }
        }
    }

    /// Returns the changes since `since` for a peer with this interest; `None` if there are none.
    pub fn crashes_since(&self, since: Millis, interest: Interest) -> Option<Notification> {
        let crashes = self.crashes.crashes.borrow();
        let reports = match interest {
            Interest::All => crashes.refused_since(since),
            Interest::Registered => crashes.reports_since(since),
            Interest::Weights => Vec::new(),
        };
        (!reports.is_empty()).then(|| message(&reports))
    }

    /// Reports the losses that have been suspected for long enough, and drops the old ones.
    pub fn update_crashes(&self) {
        let mut crashes = self.crashes.crashes.borrow_mut();
        crashes.update(self.clock.now());
    }

    /// Returns all records, as a message.
    pub fn crash_records(&self) -> CrashesMessage {
        let crashes = self.crashes.crashes.borrow();
        let rows = crashes.reports_since(Millis::ZERO);
        CrashesMessage {
            rows: rows.iter().map(encode).collect(),
        }
    }

    /// Returns whether a record has changed since `since`.
    pub fn crashes_changed(&self, since: Millis) -> bool {
        let crashes = self.crashes.crashes.borrow();
        !crashes.reports_since(since).is_empty()
    }
}

fn message(reports: &[CrashReport]) -> Notification {
    let rows = reports.iter().map(encode).collect();
    Notification::Crashes(CrashesMessage { rows })
}

fn encode(report: &CrashReport) -> CrashRow {
    CrashRow {
        request: Bytes::copy_from_slice(report.request.as_bytes()),
        target: report.target.to_string(),
        probe: report.probe,
        refuted: report.refuted,
    }
}

/// Decodes a row; `None` if its digest has another length, as a later release may have.
fn decode(row: &CrashRow) -> Option<CrashReport> {
    Some(CrashReport {
        request: RequestDigest::from_slice(&row.request)?,
        target: row.target.as_str().into(),
        probe: row.probe,
        refuted: row.refuted,
    })
}
