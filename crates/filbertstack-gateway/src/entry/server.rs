//! The HTTP server, which also ends connections in an orderly way when the process stops.

use std::cell::Cell;
use std::cell::OnceCell;
use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use http::Request;
use http::Response;
use http_body::Body;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use spdlog::info;
use tokio::net::TcpListener;
use tokio::net::TcpSocket;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::task::spawn_local;

use crate::ACCEPT_PAUSE;
use crate::BACKLOG;
use crate::link::set_ack_timeout;
use crate::meter::Meter;
use crate::meter::Metered;
use crate::meter::Received;

/// How long a caller may leave bytes unread or unacknowledged before its connection is closed. A caller may pause
/// its reading for seconds, and the system counts that like a partition; without a limit, callers behind a
/// partition would use up the descriptors.
const CALLER_TIMEOUT: Duration = Duration::from_secs(20);

/// How many bytes of a request may come without content beside its head: the framing of a small body.
const MAX_EMPTY_BYTES: usize = 64 << 10;

/// The address of the caller that sent a request, among the extensions of the request.
#[derive(Clone, Copy, Debug)]
pub struct Caller(pub SocketAddr);

/// Answers HTTP requests.
pub trait Service: 'static {
    /// The body of an answer.
    type Body: Body<Data = bytes::Bytes, Error = io::Error> + 'static;

    /// Answers one request. The server drops the future when the caller disconnects.
    fn answer(
        self: Rc<Self>,
        request: Request<Received>,
    ) -> impl Future<Output = Response<Self::Body>>;

    /// Returns the limit for the head of a request, in bytes.
    fn head_limit(&self) -> usize;

    /// Returns how long a connection may wait for the head of a request.
    fn idle_timeout(&self) -> Duration;
}

/// Counts the connections that have received a request, until they end. Once the process stops, each
/// of them ends when its last answer has been sent.
///
/// A request counts as done when the body of its answer has been handed to the server. If the caller
/// reads slowly, a part of the body is not sent yet, and the end of the process would cut it off.
#[derive(Clone, Debug, Default)]
pub struct ActiveConnections(Rc<Cell<usize>>);

impl ActiveConnections {
    /// Returns the number of these connections.
    pub fn count(&self) -> usize {
        self.0.get()
    }

    fn track(&self) -> ConnectionGuard {
        self.0.set(self.0.get() + 1);
        ConnectionGuard(self.clone())
    }
}

/// Counts one connection until it is dropped.
struct ConnectionGuard(ActiveConnections);

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        let count = &self.0.0;
        count.set(count.get() - 1);
    }
}

/// Opens a listening socket whose queue can hold a burst of new connections.
///
/// # Errors
/// Errors of the operating system, such as an address in use.
pub fn bind(addr: SocketAddr) -> io::Result<TcpListener> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(addr)?;
    socket.listen(BACKLOG)
}

/// Accepts connections until the process ends. Once `leaving` is true, each connection closes after
/// the answer in progress, and a new one after its first answer. `active` counts the connections that
/// have received a request.
pub async fn serve<S: Service>(
    listener: TcpListener,
    service: Rc<S>,
    leaving: watch::Receiver<bool>,
    active: ActiveConnections,
) {
    loop {
        match listener.accept().await {
            Ok((stream, caller)) => {
                let (leaving, active) = (leaving.clone(), active.clone());
                let connection = run_connection(stream, caller, service.clone(), leaving, active);
                spawn_local(connection);
            }
            Err(error) => {
                spdlog::warn!("connection not accepted", kv: { error = error.to_string() });
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn run_connection<S: Service>(
    stream: TcpStream,
    caller: SocketAddr,
    service: Rc<S>,
    mut leaving: watch::Receiver<bool>,
    active: ActiveConnections,
) {
    let guard = OnceCell::new();
    let meter = Meter::new(service.head_limit() + MAX_EMPTY_BYTES);
    set_ack_timeout(&stream, CALLER_TIMEOUT);
    let mut builder = http1::Builder::new();
    builder
        .timer(TokioTimer::new())
        .max_buf_size(service.head_limit().max(8 << 10))
        .header_read_timeout(service.idle_timeout());
    // A new connection still serves one request: closed at once, it would fail a request that its
    // caller is just sending.
    let stopping = *leaving.borrow();
    if stopping {
        builder.keep_alive(false);
    }
    let metered = Metered::new(stream, meter.clone());
    let answer = service_fn(|mut request: Request<Incoming>| {
        let service = service.clone();
        guard.get_or_init(|| active.track());
        request.extensions_mut().insert(Caller(caller));
        meter.restart();
        let request = request.map(|body| Received::new(body, meter.clone()));
        async move { Ok::<_, Infallible>(service.answer(request).await) }
    });
    let connection = builder.serve_connection(TokioIo::new(metered), answer);
    let mut connection = std::pin::pin!(connection);
    if stopping {
        log_end(caller, connection.await);
        return;
    }
    // A caller that disconnects or sends an invalid request ends only its own connection.
    tokio::select! {
        ended = &mut connection => return log_end(caller, ended),
        signal = leaving.wait_for(|leaving| *leaving) => {
            // The sender is gone, so the signal never comes: the connection is served to its end.
            if signal.is_err() {
                drop(signal);
                return log_end(caller, connection.await);
            }
        }
    }
    connection.as_mut().graceful_shutdown();
    log_end(caller, connection.await);
}

/// Logs a connection that failed while a request or an answer was on its way. An idle one that times out is
/// not worth a line, and an answer that the entry cuts has one of its own.
fn log_end(caller: SocketAddr, ended: hyper::Result<()>) {
    let Err(error) = ended else {
        return;
    };
    if error.is_timeout() || error.is_user() {
        return;
    }
    let cause = std::error::Error::source(&error).map(ToString::to_string);
    info!("connection to a caller failed", kv: {
        caller = caller.to_string(), error = error.to_string(), cause = cause.unwrap_or_default()
    });
}
