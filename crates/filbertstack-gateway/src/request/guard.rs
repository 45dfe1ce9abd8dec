//! The guard of one attempt: it records what becomes of the request at its target.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use filbertstack_core::Millis;
use filbertstack_policy::begin::Grant;
use filbertstack_policy::begin::Work;
use filbertstack_policy::dispatch::AttemptEnd;
use filbertstack_policy::dispatch::TargetId;
use http::StatusCode;
use spdlog::info;
use tokio::time::Instant;

use crate::client::Connection;
use crate::request::Call;
use crate::request::Requests;
use crate::request::attempt::CHECK_INTERVAL;
use crate::request::events::EventGap;
use crate::request::targets::Chosen;
use crate::request::targets::instance_of;

/// An attempt in progress at a target. Dropping it ends the attempt: the target's slot counts as free, and
/// the connection closes unless it went back to the pool, so that the target stops work for a caller who
/// has disconnected.
pub struct AttemptGuard {
    pub(super) requests: Rc<Requests>,
    call: Rc<Call>,
    pub(super) id: TargetId,
    addr: SocketAddr,
    pub(super) connection: Option<Box<Connection>>,
    pub(super) idle_limit: Option<Duration>,
    pub(super) closes_connection: bool,
    /// Whether the end of the connection is all that marks the end of the answer.
    pub(super) ends_with_connection: bool,
    /// The number of tokens of the prompt; 0 once the target has sent an event, as it has then read the
    /// prompt to the end.
    unread_prompt: u32,
    pub(super) sent_at: Instant,
    /// The last time that the dispatcher was notified of bytes from the target.
    notified_at: Instant,
    /// The time to the first bytes of the answer's body; `None` until they arrive.
    first_bytes: Option<Duration>,
    /// The time until the target showed that it reads, before it got the whole request; `None` if it got it at once.
    sign_after: Option<Duration>,
    /// The time limit that the target was told.
    pub(super) limit: Millis,
    /// When the target ends its work, if that is before the deadline of the request.
    expires_at: Option<Instant>,
    /// The status of the target's answer; 0 until it arrives.
    pub(super) status: u16,
    pub(super) ended: AttemptEnd,
}

impl AttemptGuard {
    /// Creates the guard of a request that is about to be sent.
    pub fn new(requests: &Rc<Requests>, call: &Rc<Call>, chosen: &Chosen) -> Self {
        let now = Instant::now();
        Self {
            requests: requests.clone(),
            call: call.clone(),
            id: chosen.id.clone(),
            addr: chosen.addr,
            connection: None,
            idle_limit: None,
            closes_connection: false,
            ends_with_connection: false,
            unread_prompt: call.prompt(),
            sent_at: now,
            notified_at: now,
            first_bytes: None,
            sign_after: None,
            limit: Millis::ZERO,
            expires_at: None,
            status: 0,
            ended: AttemptEnd::CallerLeft,
        }
    }

    /// Returns the handler of the request.
    pub fn requests(&self) -> Rc<Requests> {
        self.requests.clone()
    }

    /// Returns the id of the target.
    pub fn target(&self) -> &TargetId {
        &self.id
    }

    /// Returns whether the end of the connection is all that marks the end of the answer.
    pub fn ends_with_connection(&self) -> bool {
        self.ends_with_connection
    }

    /// Records that the target showed that it reads, so long after the head of the request was sent.
    pub fn record_sign(&mut self, took: Duration) {
        self.sign_after = Some(took);
    }

    /// Returns the time until the target showed that it reads, in milliseconds; -1 if it got the request at once.
    pub fn sign_ms(&self) -> i64 {
        to_ms(self.sign_after)
    }

    /// Records that bytes of the answer's body arrived, so the target is alive.
    pub fn record_bytes(&mut self) {
        self.record_first_bytes();
        if self.notified_at.elapsed() >= CHECK_INTERVAL {
            self.notified_at = Instant::now();
            self.requests.targets.record_bytes(&self.id);
            self.requests
                .node
                .record_life(&self.id, self.sent_at.elapsed());
        }
    }

    /// Records the first bytes of the answer's body.
    fn record_first_bytes(&mut self) {
        if self.first_bytes.is_none() {
            let first_bytes = self.sent_at.elapsed();
            self.first_bytes = Some(first_bytes);
            self.requests.metrics.entry.first_token.record(first_bytes);
        }
        if self.unread_prompt > 0 {
            let took = self.sent_at.elapsed();
            let targets = &self.requests.targets;
            targets.record_first(&self.id, self.unread_prompt, took);
            targets.report_paces(&self.requests.metrics);
            self.unread_prompt = 0;
        }
    }

    /// Records events of the answer that arrived together.
    pub fn record_events(&self, arrived: EventGap) {
        let targets = &self.requests.targets;
        targets.record_events(&self.id, arrived);
        targets.report_paces(&self.requests.metrics);
    }

    /// Returns how long the target took for a call. What the caller's connection adds while the rest of the answer is
    /// passed on doesn't count.
    fn call_time(&self) -> Duration {
        self.first_bytes.unwrap_or_else(|| self.sent_at.elapsed())
    }

    fn record_call(&self) {
        let targets = &self.requests.targets;
        targets.record_call(&self.id, self.call_time());
        targets.report_paces(&self.requests.metrics);
    }

    /// Records the time that the target gets from now on.
    pub fn set_limit(&mut self, grant: Grant, work: Work) {
        self.limit = grant.limit;
        let is_shorter = grant.limit < work.time_left;
        self.expires_at = is_shorter.then(|| Instant::now() + grant.limit.into());
    }

    /// Returns whether the time limit that the target was told has passed.
    fn has_expired(&self) -> bool {
        self.expires_at.is_some_and(|at| Instant::now() >= at)
    }

    /// Records that the target failed. One that ended its work at its time limit is healthy.
    pub fn fail(&mut self) {
        self.ended = if self.has_expired() {
            AttemptEnd::Superseded
        } else {
            AttemptEnd::Failed
        };
    }

    /// Records that the target was lost: its connection ended before the answer was complete. A request that its
    /// target ends at the time limit does not crash targets.
    pub fn lose(&mut self) {
        self.fail();
        if self.has_expired() {
            return;
        }
        let node = &self.requests.node;
        node.record_crash(self.call.suspects(), &self.id);
    }

    /// Records that the answer is complete, and returns the connection to the pool if a later request may
    /// use it. The connections of requests that may run only once are closed: such requests always open new
    /// ones, and a target resets connections beyond its limit, idle ones included.
    pub fn finish(&mut self) {
        self.ended = AttemptEnd::Answered(Millis::from(self.call_time()));
        self.requests
            .node
            .record_life(&self.id, self.sent_at.elapsed());
        // A target may fail a request without running it.
        if StatusCode::from_u16(self.status).is_ok_and(|status| status.is_success()) {
            self.record_success();
        }
        let keep = !self.closes_connection && self.call.may_repeat();
        let kept = self.connection.take().filter(|_| keep);
        if let Some(connection) = kept {
            self.requests
                .pool
                .put(self.addr, *connection, self.idle_limit);
        }
    }

    fn record_success(&self) {
        self.record_call();
        let node = &self.requests.node;
        if self.ends_with_connection {
            node.record_unconfirmed(self.call.suspects(), &self.id);
        } else {
            node.record_answer(self.call.suspects());
        }
    }
}

impl Drop for AttemptGuard {
    fn drop(&mut self) {
        let outcome = match self.ended {
            AttemptEnd::Answered(_) => "answered",
            AttemptEnd::TurnedAway | AttemptEnd::Refused => "not taken",
            AttemptEnd::Failed => "failed",
            AttemptEnd::CallerLeft => "caller left",
            AttemptEnd::Superseded => "superseded",
        };
        let took = self.sent_at.elapsed();
        self.requests.metrics.entry.duration.record(outcome, took);
        info!("attempt ended", kv: {
            request = self.call.head.id(), target = instance_of(&self.id), outcome = outcome,
            status = self.status, took_ms = took.as_millis(),
            first_ms = to_ms(self.first_bytes), sign_ms = self.sign_ms(), time_limit_ms = self.limit.0
        });
        self.requests
            .targets
            .record_end(&self.id, self.unread_prompt, self.ended);
    }
}

/// Returns a time in milliseconds for logs, -1 for none.
fn to_ms(span: Option<Duration>) -> i64 {
    span.map_or(-1, |span| i64::try_from(span.as_millis()).unwrap_or(-1))
}
