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
use http::Response;
use http::StatusCode;
use http::header;
use hyper::ext::on_informational;
use tokio::sync::Notify;
use tokio::time::sleep;

use crate::client;
use crate::client::Release;
use crate::client::RequestBody;
use crate::request::attempt::HeadResult;

/// How long a call to a target may take. A target that stands still may be called again when it goes on.
const CALL_TIME: Duration = Duration::from_secs(1);

/// The pause after a call that failed.
const CALL_PAUSE: Duration = Duration::from_millis(100);

/// How the wait for a sign ended.
pub enum Waited {
    /// The target reads, as it has shown in this way, and may get the body.
    Reads(Sign, Release),
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
        let held = Self {
            handover,
            interim,
            release,
            addr,
        };
        (held, request)
    }

    /// Waits until the target has shown that it reads, or `patience` has ended. `sending` sends the request.
    pub async fn await_sign(
        self,
        mut sending: Pin<&mut impl Future<Output = HeadResult>>,
        patience: impl Future<Output = ()>,
    ) -> Waited {
        let called = async {
            sleep(self.handover.call_after.into()).await;
            await_called(self.addr).await;
        };
        let called_sign = if self.handover.interim {
            Sign::CallFirst
        } else {
            Sign::Call
        };
        let reply = tokio::select! {
            biased;
            reply = &mut sending => reply,
            () = self.interim.notified() => return Waited::Reads(Sign::Interim, self.release),
            () = called => return Waited::Reads(called_sign, self.release),
            () = patience => return Waited::Silent,
        };
        let status = reply.as_ref().map(Response::status);
        if self.handover.interim && status.is_ok_and(|s| s == StatusCode::EXPECTATION_FAILED) {
            return Waited::Unexpected;
        }
        // After an answer, too, the target takes the next bytes for the body.
        self.release.release();
        Waited::Head(reply)
    }
}

/// Waits until a target answers another call, whatever its answer is.
pub async fn await_called(addr: SocketAddr) {
    loop {
        if client::is_answered(addr, ask_report(), CALL_TIME).await {
            return;
        }
        sleep(CALL_PAUSE).await;
    }
}
