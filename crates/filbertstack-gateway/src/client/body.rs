//! The body of a request to a target, engine or origin.

use std::io;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;

use bytes::Bytes;
use http_body::Body;
use http_body::Frame;
use http_body::SizeHint;
use tokio::sync::oneshot;

/// Lets the body of a request go. If it is dropped, the request breaks off before its body.
#[derive(Debug)]
pub struct Release(oneshot::Sender<()>);

impl Release {
    /// Sends the body.
    pub fn release(self) {
        // The request has ended if nobody waits for its body.
        let _ = self.0.send(());
    }
}

/// The body of a request. Its length is known before it is sent.
#[derive(Debug)]
pub struct RequestBody {
    /// What is left to send; `None` if nothing is.
    data: Option<Bytes>,
    /// Holds the body back until it is released.
    held: Option<oneshot::Receiver<()>>,
}

impl RequestBody {
    /// Creates a body that follows its head at once.
    pub fn new(data: Bytes) -> Self {
        let data = Some(data).filter(|data| !data.is_empty());
        Self { data, held: None }
    }

    /// Creates a body that is sent when it is released.
    pub fn held(data: Bytes) -> (Self, Release) {
        let (release, held) = oneshot::channel();
        let body = Self {
            held: Some(held),
            ..Self::new(data)
        };
        (body, Release(release))
    }
}

impl Body for RequestBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        if let Some(held) = &mut self.held {
            let released = std::task::ready!(Pin::new(held).poll(cx));
            self.held = None;
            if released.is_err() {
                let given_up = io::Error::other("the request was given up before its body");
                return Poll::Ready(Some(Err(given_up)));
            }
        }
        Poll::Ready(self.data.take().map(|data| Ok(Frame::data(data))))
    }

    fn is_end_stream(&self) -> bool {
        self.data.is_none()
    }

    fn size_hint(&self) -> SizeHint {
        let left = self.data.as_ref().map_or(0, Bytes::len);
        SizeHint::with_exact(left as u64)
    }
}
