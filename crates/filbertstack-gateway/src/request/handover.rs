//! The handover of a request to a target that must show that it reads before it gets the whole request.

use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use filbertstack_platform::engine::ask_report;
use filbertstack_policy::handover::Handover;
use filbertstack_policy::handover::Sign;
use http::HeaderValue;
use http::Request;
use http::StatusCode;
use http::header;
use hyper::ext::on_informational;
use tokio::sync::Notify;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::sleep_until;
use tokio::time::timeout_at;

use crate::client;
use crate::client::CallFailure;
use crate::client::Release;
use crate::client::RequestBody;
use crate::request::attempt::HeadResult;

/// The longest report of an engine whose content does not matter, in bytes.
const MAX_REPORT: usize = 64 << 10;

/// How the wait for a sign ended.
pub enum Waited {
    /// The target reads, as it has shown in this way.
    Reads(Sign),
    /// The target answered the head of the request, or its connection failed.
    Head(HeadResult),
    /// The target sends no interim answers and refuses requests that ask for one.
    Unexpected,
    /// The target did not show in time that it reads.
    Silent,
}

/// A request whose body is held back until its target has shown that it reads.
pub struct Held {
    handover: Handover,
    interim: Arc<Notify>,
    release: Release,
    addr: SocketAddr,
    give_up_at: Instant,
}

impl Held {
    /// Creates the request that `addr` is to get, with its body held back.
    pub fn new(
        addr: SocketAddr,
        handover: Handover,
        unsent: Request<()>,
        body: Bytes,
    ) -> (Self, Request<RequestBody>) {
        let (body, release) = RequestBody::held(body);
        let mut request = unsent.map(|()| body);
        let interim = Arc::new(Notify::new());
        if handover.interim {
            let expected = HeaderValue::from_static("100-continue");
            request.headers_mut().insert(header::EXPECT, expected);
            let noticed = interim.clone();
            on_informational(&mut request, move |answer| {
                if answer.status() == StatusCode::CONTINUE {
                    noticed.notify_one();
                }
            });
        }
        let waiting = Self {
            handover,
            interim,
            release,
            addr,
            give_up_at: Instant::now() + handover.give_up.into(),
        };
        (waiting, request)
    }

    /// Waits until the target has shown that it reads, and releases the body then. `sending` sends the request.
    pub async fn hand_over(
        self,
        mut sending: Pin<&mut impl Future<Output = HeadResult>>,
    ) -> Waited {
        let call_after: Duration = self.handover.call_after.into();
        let called = async {
            sleep(call_after).await;
            if answers_call(self.addr, self.give_up_at).await {
                return Waited::Reads(Sign::Call);
            }
            // A target without a connection to spare may still send the interim answer.
            sleep_until(self.give_up_at).await;
            Waited::Silent
        };
        let waited = tokio::select! {
            biased;
            reply = &mut sending => Waited::Head(reply),
            () = self.interim.notified() => Waited::Reads(Sign::Interim),
            waited = called => waited,
        };
        match &waited {
            Waited::Head(Ok(answer)) if self.refuses(answer.status()) => Waited::Unexpected,
            // This entry may have stood still itself since the head was sent.
            Waited::Reads(_) if Instant::now() >= self.give_up_at => Waited::Silent,
            Waited::Silent => waited,
            // After an answer, too, the target takes the next bytes for the body.
            _ => {
                self.release.release();
                waited
            }
        }
    }

    /// Returns whether an answer refuses to send an interim answer.
    fn refuses(&self, status: StatusCode) -> bool {
        self.handover.interim && status == StatusCode::EXPECTATION_FAILED
    }
}

/// Returns whether a target answers another call before `until`, whatever its answer is.
pub async fn answers_call(addr: SocketAddr, until: Instant) -> bool {
    let max_wait = until.saturating_duration_since(Instant::now());
    let call = client::call(addr, ask_report(), MAX_REPORT, max_wait);
    let answered = timeout_at(until, call).await;
    let answers = matches!(answered, Ok(Ok(_) | Err(CallFailure::Status(_))));
    // This entry may have stood still itself meanwhile.
    answers && Instant::now() < until
}
