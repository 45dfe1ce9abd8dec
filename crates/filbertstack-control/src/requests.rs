//! The memory of request identifiers: a resend gets the first outcome.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use filbertstack_core::Digest;
use prost::Message;

use crate::command::Apply;
use crate::limits::Limits;
use crate::limits::MAX_AHEAD;
use crate::outcome::Fault;
use crate::outcome::Outcome;
use crate::outcome::Reason;

/// A request identifier within its operator: two operators never meet.
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
pub(crate) struct Remembered {
    pub(crate) body: Digest,
    pub(crate) outcome: Outcome,
    /// When it was decided, by the state's clock.
    pub(crate) at: u64,
    /// The client's time, if the request named no expected revision.
    pub(crate) issued: Option<u64>,
}

/// The decided requests, bounded by count and age.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct Requests {
    pub(crate) rows: BTreeMap<RequestKey, Remembered>,
    /// The keys in the order they were decided.
    pub(crate) order: VecDeque<RequestKey>,
    /// The latest client's time of any unconditional request that was forgotten.
    ///
    /// A request that names no revision is not protected by compare-and-set. If its identifier
    /// was forgotten, a late resend would apply again and undo what came after. Every forgotten
    /// one has a time at or under this mark, so refusing those is enough.
    pub(crate) mark: u64,
}

impl Requests {
    /// The first outcome if this is a resend, a refusal if it may not run, `None` if it is new.
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
        if apply.issued > clock.saturating_add(MAX_AHEAD) {
            let what = "the request is stamped ahead of the leader's clock: set the client's clock";
            return Some(Reason::new(Fault::FromFuture, "", what).into());
        }
        let what = "the request is older than what is remembered, it may have been applied: look \
                    with 'get', then apply anew";
        let expired = apply.issued <= self.mark;
        expired.then(|| Reason::new(Fault::Expired, "", what).into())
    }

    pub(crate) fn remember(&mut self, apply: &Apply, outcome: &Outcome, at: u64) {
        let key = RequestKey::of(apply);
        let issued = apply.expected.is_none().then_some(apply.issued);
        let row = Remembered {
            body: body_digest(apply),
            outcome: outcome.clone(),
            at,
            issued,
        };
        self.rows.insert(key.clone(), row);
        self.order.push_back(key);
    }

    /// Forgets what is over the limits, the oldest first.
    pub(crate) fn trim(&mut self, clock: u64, limits: &Limits) {
        while let Some(key) = self.order.front() {
            let Some(row) = self.rows.get(key) else {
                self.order.pop_front();
                continue;
            };
            let old = row.at.saturating_add(limits.request_age) < clock;
            if !old && self.rows.len() <= limits.requests {
                return;
            }
            self.mark = self.mark.max(row.issued.unwrap_or(0));
            self.rows.remove(key);
            self.order.pop_front();
        }
    }
}

/// The digest of what the request asks for, without who asks, under which identifier and when: an
/// operator who runs the client again under one identifier sends another time.
fn body_digest(apply: &Apply) -> Digest {
    let body = Apply {
        request: String::new(),
        operator: String::new(),
        issued: 0,
        ..apply.clone()
    };
    Digest::of(&body.encode_to_vec())
}
