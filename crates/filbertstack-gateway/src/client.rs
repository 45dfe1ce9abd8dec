//! HTTP connections to targets, engines and origins.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http::Response;
use http_body_util::BodyExt as _;
use http_body_util::Full;
use http_body_util::Limited;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use thiserror::Error;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;
use tokio::task::spawn_local;
use tokio::time::timeout;

use filbertstack_platform::engine::Outgoing;

use crate::link::tune;

/// The largest head of an answer, in bytes.
const MAX_HEAD: usize = 32 << 10;

/// Why a call brought no answer.
#[derive(Debug, Error)]
pub enum CallFailure {
    /// No connection: nothing was sent.
    #[error("{addr} not reached: {source}; it is tried again")]
    Connect {
        /// Where.
        addr: SocketAddr,
        /// What the system said.
        source: io::Error,
    },
    /// The connection broke after something may have been sent.
    #[error("the connection broke: {0}; whether the call was carried out is not known")]
    Broken(#[from] hyper::Error),
    /// No answer came in time.
    #[error("no answer came in time; whether the call was carried out is not known")]
    Timeout,
    /// The answer is no success.
    #[error("answered {0}")]
    Status(http::StatusCode),
    /// The answer is too long or broke off.
    #[error("the answer broke off or is too long: {0}; ask again")]
    Body(String),
}

impl CallFailure {
    /// Whether the far end certainly does not carry the call out, now or later.
    pub const fn never_executed(&self) -> bool {
        matches!(self, Self::Connect { .. } | Self::Status(_))
    }
}

/// One connection. Dropping it closes it, and with it whatever is under way there.
#[derive(Debug)]
pub struct Connection {
    sender: http1::SendRequest<Full<Bytes>>,
    task: AbortHandle,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Connection {
    /// Opens a connection within `patience`.
    ///
    /// # Errors
    /// [`CallFailure::Connect`].
    pub async fn open(addr: SocketAddr, patience: Duration) -> Result<Self, CallFailure> {
        let failed = |source| CallFailure::Connect { addr, source };
        let stream = timeout(patience, TcpStream::connect(addr)).await;
        let stream = stream.map_err(|_| failed(io::ErrorKind::TimedOut.into()))?;
        let stream = stream.map_err(failed)?;
        tune(&stream);
        // What is dropped is reset: bytes that wait behind a cut or narrow link would else reach
        // the target seconds later, and run for a caller who has left.
        if let Err(error) = SockRef::from(&stream).set_linger(Some(Duration::ZERO)) {
            return Err(failed(error));
        }
        let made = http1::Builder::new()
            .max_buf_size(MAX_HEAD)
            .handshake(TokioIo::new(stream))
            .await;
        let (sender, connection) = made.map_err(|e| failed(io::Error::other(e)))?;
        // How it ends is seen by whoever uses the connection.
        let task = spawn_local(async move { drop(connection.await) });
        Ok(Self {
            sender,
            task: task.abort_handle(),
        })
    }

    /// Whether another request can be sent now.
    pub fn is_ready(&self) -> bool {
        self.sender.is_ready()
    }

    /// Waits until another request can be sent; false once it has ended.
    pub async fn becomes_ready(&mut self) -> bool {
        self.sender.ready().await.is_ok()
    }

    /// Sends a request and waits for the head of its answer.
    ///
    /// # Errors
    /// Those of the connection; the request may have been carried out.
    pub async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, hyper::Error> {
        self.sender.send_request(request).await
    }
}

/// One call on a connection of its own, with its whole answer.
///
/// # Errors
/// [`CallFailure`].
pub async fn call(
    addr: SocketAddr,
    outgoing: Outgoing,
    longest: usize,
    patience: Duration,
) -> Result<Bytes, CallFailure> {
    let work = async {
        let mut connection = Connection::open(addr, patience).await?;
        exchange(&mut connection, addr, outgoing, longest).await
    };
    timeout(patience, work)
        .await
        .unwrap_or(Err(CallFailure::Timeout))
}

/// One call on a connection that is kept.
///
/// # Errors
/// [`CallFailure`]; the connection should then be dropped.
pub async fn exchange(
    connection: &mut Connection,
    addr: SocketAddr,
    outgoing: Outgoing,
    longest: usize,
) -> Result<Bytes, CallFailure> {
    let mut request = Request::new(Full::new(outgoing.body));
    *request.method_mut() = outgoing.method;
    *request.uri_mut() = outgoing.target.parse().unwrap_or_default();
    let host = http::HeaderValue::from_str(&addr.to_string());
    if let Ok(host) = host {
        request.headers_mut().insert(http::header::HOST, host);
    }
    let answer = connection.send(request).await?;
    let status = answer.status();
    let body = Limited::new(answer.into_body(), longest).collect().await;
    let body = body.map_err(|e| CallFailure::Body(e.to_string()))?;
    if !status.is_success() {
        return Err(CallFailure::Status(status));
    }
    Ok(body.to_bytes())
}
