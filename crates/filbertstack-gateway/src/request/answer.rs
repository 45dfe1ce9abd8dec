//! Bodies of answers, and answers that the entry itself gives.

use std::io;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use bytes::Bytes;
use http::StatusCode;
use http_body::Body;
use http_body::Frame;
use http_body::SizeHint;
use http_body_util::Full;

use crate::request::relay::Relay;

/// The body of an answer.
pub enum AnswerBody {
    /// A whole body that the entry made itself.
    Whole(Full<Bytes>),
    /// The body of a target's answer, passed on as it arrives.
    Relayed(Box<Relay>),
}

impl AnswerBody {
    /// Creates a body that the entry made itself.
    pub fn whole(body: Full<Bytes>) -> Self {
        Self::Whole(body)
    }
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        match &mut *self {
            Self::Whole(body) => {
                let frame = Pin::new(body).poll_frame(cx);
                frame.map_err(|never| match never {})
            }
            Self::Relayed(relay) => relay.poll_frame(cx),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Whole(body) => body.is_end_stream(),
            Self::Relayed(_) => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Whole(body) => body.size_hint(),
            Self::Relayed(_) => SizeHint::default(),
        }
    }
}

/// The time after which a caller may retry that a leaving entry refused: almost at once, as other entries
/// accept requests.
const RETRY_ELSEWHERE: Duration = Duration::from_millis(50);

/// An answer that the entry gives in place of a target's.
#[derive(Debug)]
pub struct Refusal {
    /// The HTTP status.
    pub status: StatusCode,
    /// The time after which the caller may retry; set only if the request certainly has not run.
    pub retry_after: Option<Duration>,
    /// The reason, for the caller, logs and metrics.
    pub why: &'static str,
    /// The declared rule behind the reason, for logs.
    pub rule: Option<String>,
}

impl Refusal {
    /// Refuses a request that can't be served as it is.
    pub fn own(status: StatusCode, why: &'static str) -> Self {
        Self {
            status,
            retry_after: None,
            why,
            rule: None,
        }
    }

    /// Refuses a request that has not run and never will. The caller may retry after `retry_after`.
    pub fn busy(why: &'static str, retry_after: Duration) -> Self {
        Self {
            status: StatusCode::SERVICE_UNAVAILABLE,
            retry_after: Some(retry_after),
            why,
            rule: None,
        }
    }

    /// Refuses a request that another entry should serve, as this one is told to stop.
    pub fn leaving() -> Self {
        Self::busy("this entry is leaving", RETRY_ELSEWHERE)
    }

    /// Answers a request of which it is unknown whether it ran.
    pub fn unknown(why: &'static str) -> Self {
        Self::own(StatusCode::BAD_GATEWAY, why)
    }

    /// Answers a request whose deadline has passed.
    pub fn late() -> Self {
        Self::own(StatusCode::GATEWAY_TIMEOUT, "the time has run out")
    }

    /// Returns the body of the answer, which gives the reason.
    pub fn body(&self) -> Bytes {
        Bytes::from_static(self.why.as_bytes())
    }

    /// Logs the refusal of the request `id` with a prompt of `prompt` tokens. `configuration` is the
    /// version of the configuration in force.
    pub fn log(&self, id: &str, prompt: u32, configuration: u64) {
        let after = self.retry_after.map_or(0, |a| a.as_millis());
        if let Some(rule) = &self.rule {
            spdlog::info!("refused", kv: {
                request = id, status = self.status.as_u16(), why = self.why, rule = rule.clone(),
                after_ms = after, prompt = prompt, configuration = configuration
            });
            return;
        }
        spdlog::info!("refused", kv: {
            request = id, status = self.status.as_u16(), why = self.why, after_ms = after,
            prompt = prompt,
            configuration = configuration
        });
    }
}
