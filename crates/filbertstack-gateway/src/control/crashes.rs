//! Shares the requests and parts of prompts that crash targets between entries, over the voters.
//!
//! Entries tell their voter under which of them they lost targets. Voters tell each other all of them,
//! and the other entries only those that may be refused: a rack that is lost takes along thousands of requests
//! that nobody repeats.

use std::cell::RefCell;
use std::time::Duration;

use bytes::Bytes;
use filbertstack_core::ContentDigest;
use filbertstack_core::Millis;
use filbertstack_policy::crashes::CrashReport;
use filbertstack_policy::crashes::Crashes;
use filbertstack_policy::crashes::Suspect;
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
    /// Returns whether a request with these suspects may be sent.
    pub fn crash_verdict<'a>(&self, suspects: impl FnOnce() -> &'a [Suspect]) -> Verdict {
        let crashes = self.crashes.crashes.borrow();
        if crashes.is_empty() {
            return Verdict::Allowed;
        }
        let is_prober = |suspect: &Suspect| self.is_prober(suspect);
        crashes.verdict(self.clock.now(), suspects(), is_prober)
    }

    fn is_prober(&self, suspect: &Suspect) -> bool {
        let rows = self.registry.present();
        let entries = rows.iter().filter_map(|(id, kind, _)| match &**kind {
            Kind::Entry(row) if !row.leaving => Some(&**id),
            _ => None,
        });
        prober(suspect, entries) == Some(&self.entry_id())
    }

    /// Records that a target was lost while it ran a request with these suspects.
    pub fn record_crash(&self, suspects: &[Suspect], target: &TargetId) {
        let mut crashes = self.crashes.crashes.borrow_mut();
        crashes.record_loss(self.clock.now(), suspects, target);
        let blamed = suspects.iter().filter(|s| crashes.is_blamed(s));
        blamed.for_each(|suspect| log_blamed(&crashes, suspect));
    }

    /// Records that a request with these suspects is sent as a probe. Returns whether it may be sent.
    pub fn record_probe(&self, suspects: &[Suspect], target: &TargetId) -> bool {
        let mut crashes = self.crashes.crashes.borrow_mut();
        let may_send = crashes.record_probe(self.clock.now(), suspects, target);
        if may_send {
            let blamed = suspects.iter().filter(|s| crashes.is_blamed(s));
            let digests: Vec<String> = blamed.map(|s| s.digest().to_string()).collect();
            info!("refused request probed", kv: {
                digest = digests.join(","), target = target.to_string()
            });
        }
        may_send
    }

    /// Records that a request with these suspects was answered completely and with success.
    pub fn record_answer(&self, suspects: &[Suspect]) {
        let mut crashes = self.crashes.crashes.borrow_mut();
        let refuted = crashes.record_answer(self.clock.now(), suspects);
        if refuted > 0 {
            info!("losses refuted: the request was answered", kv: {
                digest = suspects[0].digest().to_string(), losses = refuted
            });
        }
    }

    /// Records an answer with success to a request with these suspects, whose end is that of its connection.
    pub fn record_unconfirmed(&self, suspects: &[Suspect], target: &TargetId) {
        let mut crashes = self.crashes.crashes.borrow_mut();
        crashes.record_unconfirmed(self.clock.now(), suspects, target);
    }

    /// Records that bytes of an answer arrived from a target whose request was sent so long ago.
    pub fn record_life(&self, target: &str, asked: Duration) {
        let mut crashes = self.crashes.crashes.borrow_mut();
        if crashes.is_empty() {
            return;
        }
        let now = self.clock.now();
        let refuted = crashes.record_life(now, now - Millis::from(asked), target);
        if refuted > 0 {
            info!("losses refuted: the target is alive", kv: { target = target, losses = refuted });
        }
    }

    /// Merges the reports of another process.
    pub fn merge_crashes(&self, message: &CrashesMessage) {
        let now = self.clock.now();
        let mut crashes = self.crashes.crashes.borrow_mut();
        for row in &message.rows {
            let Some(report) = decode(row, now) else {
                continue;
            };
            let before = crashes.is_blamed(&report.suspect);
            crashes.merge(now, &report);
            if !before && crashes.is_blamed(&report.suspect) {
                log_blamed(&crashes, &report.suspect);
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
        (!reports.is_empty()).then(|| {
            let now = self.clock.now();
            let rows = reports.iter().map(|report| encode(report, now));
            Notification::Crashes(CrashesMessage {
                rows: rows.collect(),
            })
        })
    }

    /// Reports the losses that have been suspected for long enough, and drops the old ones.
    pub fn update_crashes(&self) {
        let mut crashes = self.crashes.crashes.borrow_mut();
        crashes.update(self.clock.now());
    }

    /// Returns all records, as a message.
    pub fn crash_records(&self) -> CrashesMessage {
        let crashes = self.crashes.crashes.borrow();
        let now = self.clock.now();
        let reports = crashes.reports_since(Millis::ZERO);
        let rows = reports.iter().map(|report| encode(report, now));
        CrashesMessage {
            rows: rows.collect(),
        }
    }

    /// Returns whether a record has changed since `since`.
    pub fn crashes_changed(&self, since: Millis) -> bool {
        let crashes = self.crashes.crashes.borrow();
        !crashes.reports_since(since).is_empty()
    }
}

fn log_blamed(crashes: &Crashes, suspect: &Suspect) {
    let (digest, targets) = (suspect.digest().to_string(), crashes.count(suspect));
    let message = match suspect {
        Suspect::Request(_) => "request refused: it was lost with several targets",
        Suspect::Part(_) => "part of prompts refused: it was lost with several targets",
    };
    info!("{message}", kv: { digest = digest, targets = targets });
}

fn encode(report: &CrashReport, now: Millis) -> CrashRow {
    let digest = Bytes::copy_from_slice(report.suspect.digest().as_bytes());
    let (request, part) = match report.suspect {
        Suspect::Request(_) => (digest, Bytes::new()),
        Suspect::Part(_) => (Bytes::new(), digest),
    };
    CrashRow {
        request,
        target: report.target.to_string(),
        probe: report.probe,
        refuted: report.refuted,
        part,
        age_ms: now.since(report.at).0,
    }
}

/// Decodes a row; `None` if its digest has another length, as a later release may have.
fn decode(row: &CrashRow, now: Millis) -> Option<CrashReport> {
    let suspect = if row.part.is_empty() {
        Suspect::Request(ContentDigest::from_slice(&row.request)?)
    } else {
        Suspect::Part(ContentDigest::from_slice(&row.part)?)
    };
    Some(CrashReport {
        suspect,
        target: row.target.as_str().into(),
        at: now - Millis(row.age_ms),
        probe: row.probe,
        refuted: row.refuted,
    })
}
