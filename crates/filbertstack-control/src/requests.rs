//! This module remembers the request identifiers of operators, so that a resend gets the first outcome.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use filbertstack_core::Digest;
use prost::Message;

use crate::command::Apply;
use crate::limits::Limits;
use crate::limits::MAX_CLOCK_AHEAD_MS;
use crate::outcome::Fault;
use crate::outcome::Outcome;
use crate::outcome::Reason;

/// A request identifier and its operator: identifiers of two operators are never confused.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct RequestKey {
    pub(crate) operator: String,
    pub(crate) request: String,
}

impl RequestKey {
    pub(crate) fn of(apply: &Apply) -> Self {
        Self {
            operator: apply.operator.clone(),
            request: apply.request.clone(),
        }
    }
}

/// A request that was decided.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct DecidedRequest {
    pub(crate) body: Digest,
    pub(crate) outcome: Outcome,
    /// The state's clock when the request was decided.
    pub(crate) decided_at: u64,
    /// The client's time, if the request gave no expected revision.
    pub(crate) issued: Option<u64>,
}

/// The decided requests, limited by count and age.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct Requests {
    pub(crate) rows: BTreeMap<RequestKey, DecidedRequest>,
    /// The keys in the order in which their requests were decided.
    pub(crate) decided: VecDeque<RequestKey>,
    /// The latest client's time of any forgotten request without an expected revision.
    ///
    /// Compare-and-set does not protect a request without an expected revision. If its identifier was
    /// forgotten, a late resend would apply again and undo later changes. Every forgotten request has a
    /// time at or before this one, so refusing requests with such a time is enough.
    pub(crate) forgotten_until: u64,
}

impl Requests {
    /// Returns the first outcome if this is a resend, a refusal if the request may not run, and `None` if
    /// it is new.
    pub(crate) fn check(&self, apply: &Apply, clock: u64) -> Option<Outcome> {
        if let Some(known) = self.rows.get(&RequestKey::of(apply)) {
            if known.body == body_digest(apply) {
                return Some(known.outcome.clone());
            }
            let what = "this request identifier was used for another change: draw a new one";
            return Some(Reason::new(Fault::RequestReused, "", what).into());
        }
        if apply.expected.is_some() {
            return None;
        }
        if apply.issued > clock.saturating_add(MAX_CLOCK_AHEAD_MS) {
            let what = "the request is stamped ahead of the leader's clock: set the client's clock";
            return Some(Reason::new(Fault::FromFuture, "", what).into());
        }
        let what = "the request is older than what is remembered, it may have been applied: look \
                    with 'get', then apply anew";
        let forgotten = apply.issued <= self.forgotten_until;
        forgotten.then(|| Reason::new(Fault::Expired, "", what).into())
    }

    /// Records the outcome of a request.
    pub(crate) fn remember(&mut self, apply: &Apply, outcome: &Outcome, decided_at: u64) {
        let key = RequestKey::of(apply);
        let issued = apply.expected.is_none().then_some(apply.issued);
        let row = DecidedRequest {
            body: body_digest(apply),
            outcome: outcome.clone(),
            decided_at,
            issued,
        };
        self.rows.insert(key.clone(), row);
        self.decided.push_back(key);
    }

    /// Forgets the oldest requests until the rest is within the limits.
    pub(crate) fn forget_old(&mut self, clock: u64, limits: &Limits) {
        while let Some(key) = self.decided.front() {
            let Some(row) = self.rows.get(key) else {
                self.decided.pop_front();
                continue;
            };
            let expired = row.decided_at.saturating_add(limits.request_age_ms) < clock;
            if !expired && self.rows.len() <= limits.requests {
                return;
            }
            self.forgotten_until = self.forgotten_until.max(row.issued.unwrap_or(0));
            self.rows.remove(key);
            self.decided.pop_front();
        }
    }
}

/// Returns the digest of the request without its operator, identifier and time. An operator who runs the
/// client again under the same identifier sends another time.
fn body_digest(apply: &Apply) -> Digest {
    let body = Apply {
        request: String::new(),
        operator: String::new(),
        issued: 0,
        ..apply.clone()
    };
    Digest::of(&body.encode_to_vec())
}
