//! HTTP connections to targets, engines and origins.

mod body;

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use bytes::BytesMut;
use http::Request;
use http::Response;
use http_body_util::BodyExt as _;
use http_body_util::Limited;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use thiserror::Error;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;
use tokio::task::spawn_local;
use tokio::time::timeout;

use filbertstack_platform::engine::OutgoingCall;

pub use self::body::Release;
pub use self::body::RequestBody;
use crate::link::set_socket_options;
use crate::meter::Meter;
use crate::meter::Metered;
use crate::meter::Received;

/// The largest head of an answer, in bytes.
const MAX_HEAD_BYTES: usize = 32 << 10;

/// How many bytes of an answer may come without content: several heads, and the framing of a small answer.
const MAX_EMPTY_BYTES: usize = 256 << 10;

/// The longest body of an answer with a status of failure, in bytes. Nobody reads it.
const MAX_FAILURE_BYTES: usize = 64 << 10;

/// The reason why a call has no answer.
#[derive(Debug, Error)]
pub enum CallFailure {
    /// The connection could not be opened: nothing was sent.
    #[error("{addr} not reached: {source}; the call will be retried")]
    Connect {
        /// The address of the far end.
        addr: SocketAddr,
        /// The error of the operating system.
        source: io::Error,
    },
    /// The connection broke after something may have been sent.
    #[error("the connection failed: {0}; it is unknown whether the call was executed")]
    Broken(#[from] hyper::Error),
    /// No answer arrived in time.
    #[error("no answer arrived in time; it is unknown whether the call was executed")]
    Timeout,
    /// The answer has a status other than success.
    #[error("answered {0}")]
    Status(http::StatusCode),
    /// The answer is too long or incomplete.
    #[error("the answer is incomplete or too long: {0}; retry the call")]
    Body(String),
}

impl CallFailure {
    /// Returns whether it is certain that the far end does not execute the call, now or later.
    pub const fn never_executed(&self) -> bool {
        matches!(self, Self::Connect { .. } | Self::Status(_))
    }
}

/// An HTTP/1.1 connection. Dropping it resets it and ends any request in progress on it.
#[derive(Debug)]
pub struct Connection {
    sender: http1::SendRequest<RequestBody>,
    meter: Meter,
    task: AbortHandle,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Connection {
    /// Opens a connection within `max_wait`.
    ///
    /// # Errors
    /// [`CallFailure::Connect`] if the far end can't be reached in time.
    pub async fn open(addr: SocketAddr, max_wait: Duration) -> Result<Self, CallFailure> {
        let failed = |source| CallFailure::Connect { addr, source };
        let stream = timeout(max_wait, TcpStream::connect(addr)).await;
        let stream = stream.map_err(|_| failed(io::ErrorKind::TimedOut.into()))?;
        let stream = stream.map_err(failed)?;
        set_socket_options(&stream);
        // Without lingering, a dropped connection is reset. Bytes that wait behind a partition or a
        // slow network would otherwise reach the target seconds later, and it would run the request
        // of a caller who has left.
        if let Err(error) = SockRef::from(&stream).set_linger(Some(Duration::ZERO)) {
            return Err(failed(error));
        }
        let meter = Meter::new(MAX_EMPTY_BYTES);
        let handshake_result = http1::Builder::new()
            .max_buf_size(MAX_HEAD_BYTES)
            .handshake(TokioIo::new(Metered::new(stream, meter.clone())))
            .await;
        let (sender, connection) = handshake_result.map_err(|e| failed(io::Error::other(e)))?;
        // The user of the connection sees how it ends.
        let task = spawn_local(async move { drop(connection.await) });
        Ok(Self {
            sender,
            meter,
            task: task.abort_handle(),
        })
    }

    /// Returns whether another request can be sent now.
    pub fn is_ready(&self) -> bool {
        self.sender.is_ready()
    }

    /// Waits until another request can be sent. Returns false if the connection has ended.
    pub async fn becomes_ready(&mut self) -> bool {
        self.sender.ready().await.is_ok()
    }

    /// Sends a request and waits for the head of its answer.
    ///
    /// # Errors
    /// Errors of the connection; the request may have been executed.
    pub async fn send(
        &mut self,
        request: Request<RequestBody>,
    ) -> Result<Response<Received>, hyper::Error> {
        self.meter.restart();
        let answer = self.sender.send_request(request).await?;
        Ok(answer.map(|body| Received::new(body, self.meter.clone())))
    }
}

/// Makes one call on a new connection and returns the body of its answer, which has at most `max_body`
/// bytes.
///
/// # Errors
/// [`CallFailure`] if there is no answer with a status of success within `max_wait`.
pub async fn call(
    addr: SocketAddr,
    outgoing: OutgoingCall,
    max_body: usize,
    max_wait: Duration,
) -> Result<Bytes, CallFailure> {
    let work = async {
        let mut connection = Connection::open(addr, max_wait).await?;
        let reply = exchange(&mut connection, addr, outgoing, max_body).await?;
        Ok(reply.body)
    };
    timeout(max_wait, work)
        .await
        .unwrap_or(Err(CallFailure::Timeout))
}

/// Makes one call on a new connection and returns whether the far end begins to answer it within `max_wait`, whatever
/// its answer is.
pub async fn is_answered(addr: SocketAddr, outgoing: OutgoingCall, max_wait: Duration) -> bool {
    let head = async {
        let mut connection = Connection::open(addr, max_wait).await.ok()?;
        connection.send(to_request(addr, outgoing)).await.ok()
    };
    timeout(max_wait, head)
        .await
        .is_ok_and(|head| head.is_some())
}

/// The limits of a call that may take as long as bytes arrive.
#[derive(Clone, Copy, Debug)]
pub struct CallLimits {
    /// The maximum number of bytes of the answer's body.
    pub body: usize,
    /// The time in which the connection must open.
    pub connect: Duration,
    /// The time in which the next bytes must arrive.
    pub silence: Duration,
}

/// Makes one call on a new connection and returns the body of its answer. It waits as long as bytes arrive.
///
/// # Errors
/// [`CallFailure`] if there is no complete answer with a status of success within the limits.
pub async fn call_until_silent(
    addr: SocketAddr,
    outgoing: OutgoingCall,
    limits: CallLimits,
) -> Result<Bytes, CallFailure> {
    let silence = limits.silence;
    let mut connection = Connection::open(addr, limits.connect).await?;
    let request = to_request(addr, outgoing);
    let answer = timeout(silence, connection.send(request)).await;
    let answer = answer.map_err(|_| CallFailure::Timeout)??;
    if !answer.status().is_success() {
        return Err(CallFailure::Status(answer.status()));
    }
    let mut body = Limited::new(answer.into_body(), limits.body);
    let mut received = BytesMut::new();
    while let Some(frame) = timeout(silence, body.frame())
        .await
        .map_err(|_| CallFailure::Timeout)?
    {
        let frame = frame.map_err(|e| CallFailure::Body(e.to_string()))?;
        if let Ok(data) = frame.into_data() {
            received.extend_from_slice(&data);
        }
    }
    Ok(received.freeze())
}

/// An answer with a status of success.
#[derive(Debug)]
pub struct Reply {
    /// The status.
    pub status: http::StatusCode,
    /// The body.
    pub body: Bytes,
}

/// Makes one call on an open connection and returns its answer, whose body has at most `max_body` bytes.
///
/// # Errors
/// [`CallFailure`]; unless it is a status, the connection should then be dropped.
pub async fn exchange(
    connection: &mut Connection,
    addr: SocketAddr,
    outgoing: OutgoingCall,
    max_body: usize,
) -> Result<Reply, CallFailure> {
    let answer = connection.send(to_request(addr, outgoing)).await?;
    let status = answer.status();
    let limit = if status.is_success() {
        max_body
    } else {
        max_body.min(MAX_FAILURE_BYTES)
    };
    let body = answer.into_body().read_whole(limit).await;
    let body = body.map_err(|e| CallFailure::Body(e.to_string()))?;
    if !status.is_success() {
        return Err(CallFailure::Status(status));
    }
    Ok(Reply { status, body })
}

fn to_request(addr: SocketAddr, outgoing: OutgoingCall) -> Request<RequestBody> {
    let mut request = Request::new(RequestBody::new(outgoing.body));
    *request.method_mut() = outgoing.method;
    *request.uri_mut() = outgoing.path.parse().unwrap_or_default();
    let host = http::HeaderValue::from_str(&addr.to_string());
    if let Ok(host) = host {
        request.headers_mut().insert(http::header::HOST, host);
    }
    request
}
