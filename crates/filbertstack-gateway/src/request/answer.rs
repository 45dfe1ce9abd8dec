//! Bodies of answers, and answers of our own.

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
    /// One of our own, whole.
    Whole(Full<Bytes>),
    /// A target's, as it comes.
    Relayed(Box<Relay>),
}

impl AnswerBody {
    /// A body of our own.
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

/// An answer of our own in place of a target's.
#[derive(Debug)]
pub struct Refusal {
    /// Its status.
    pub status: StatusCode,
    /// When the caller may come back: only where the request certainly has not run.
    pub after: Option<Duration>,
    /// Why, for logs and metrics.
    pub why: &'static str,
}

impl Refusal {
    /// A request that can't be served as it is.
    pub fn own(status: StatusCode, why: &'static str) -> Self {
        Self {
            status,
            after: None,
            why,
        }
    }

    /// A request that has not run and never will; the caller may come back.
    pub fn busy(why: &'static str, after: Duration) -> Self {
        Self {
            status: StatusCode::SERVICE_UNAVAILABLE,
            after: Some(after),
            why,
        }
    }

    /// A request of which it is not known whether it ran.
    pub fn unknown(why: &'static str) -> Self {
        Self::own(StatusCode::BAD_GATEWAY, why)
    }

    /// A request whose time has run out.
    pub fn late() -> Self {
        Self::own(StatusCode::GATEWAY_TIMEOUT, "the time has run out")
    }

    /// The body: why.
    pub fn body(&self) -> Bytes {
        Bytes::from_static(self.why.as_bytes())
    }

    /// Logs the refusal of the request `id` of `prompt` tokens, judged by that version of the
    /// configuration.
    pub fn log(&self, id: &str, prompt: u32, configuration: u64) {
        let after = self.after.map_or(0, |a| a.as_millis());
        spdlog::info!("refused", kv: {
            request = id, status = self.status.as_u16(), why = self.why, after_ms = after,
            prompt = prompt,
            configuration = configuration
        });
    }
}
