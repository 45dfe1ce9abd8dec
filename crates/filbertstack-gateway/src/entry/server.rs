//! The HTTP server, which also ends connections in an orderly way when the process stops.

use std::cell::Cell;
use std::cell::OnceCell;
use std::convert::Infallible;
use std::future::poll_fn;
use std::io;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use filbertstack_policy::connections::Phase;
use http::Request;
use http::Response;
use http_body::Body;
use http_body::Frame;
use http_body::SizeHint;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use socket2::SockRef;
use spdlog::info;
use tokio::net::TcpListener;
use tokio::net::TcpSocket;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::task::spawn_local;
use tokio::task::yield_now;
use tokio::time::timeout;

use crate::ACCEPT_PAUSE;
use crate::BACKLOG;
use crate::RECEIVE_BYTES;
use crate::UNSENT_BYTES;
use crate::link::set_ack_timeout;
use crate::meter::Meter;
use crate::meter::Metered;
use crate::meter::Received;
use crate::slots::Slot;
use crate::slots::Slots;

/// How long a caller may leave bytes unread or unacknowledged before its connection is closed. A caller may pause
/// its reading for seconds, and the system counts that like a partition; without a limit, callers behind a
/// partition would use up the descriptors.
const CALLER_TIMEOUT: Duration = Duration::from_secs(20);

/// How many bytes of a request may come without content beside its head: the framing of a small body.
const MAX_EMPTY_BYTES: usize = 64 << 10;

/// How long an idle connection that is closed for another may take to send what is left of its last answer.
const CLOSE_TIME: Duration = Duration::from_millis(50);

/// How long a client whose body was refused may go on sending it.
const LINGER_TIME: Duration = Duration::from_secs(5);

/// How many bytes it may send: twice the longest body.
const LINGER_BYTES: usize = 8 << 20;

/// How many of these bytes are read at once.
const LINGER_BUFFER: usize = 8 << 10;

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
    // Connections inherit the bounds. A system that refuses one keeps its own.
    let _ = socket.set_recv_buffer_size(RECEIVE_BYTES);
    let _ = SockRef::from(&socket).set_tcp_notsent_lowat(UNSENT_BYTES);
    socket.bind(addr)?;
    socket.listen(BACKLOG)
}

/// Accepts connections until the process ends. Once `leaving` is true, each connection closes after
/// the answer in progress, and a new one after its first answer. `active` counts the connections that
/// have received a request, and `slots` bounds all.
pub async fn serve<S: Service>(
    listener: TcpListener,
    service: Rc<S>,
    leaving: watch::Receiver<bool>,
    active: ActiveConnections,
    slots: Slots,
) {
    loop {
        match listener.accept().await {
            Ok((stream, caller)) => {
                let Some(slot) = slots.admit().await else {
                    continue;
                };
                let client = Client {
                    stream,
                    caller,
                    slot: Rc::new(slot),
                };
                let (leaving, active) = (leaving.clone(), active.clone());
                spawn_local(run_connection(client, service.clone(), leaving, active));
            }
            Err(error) => {
                spdlog::warn!("connection not accepted", kv: { error = error.to_string() });
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

/// A connection that was accepted.
struct Client {
    stream: TcpStream,
    caller: SocketAddr,
    slot: Rc<Slot>,
}

async fn run_connection<S: Service>(
    client: Client,
    service: Rc<S>,
    mut leaving: watch::Receiver<bool>,
    active: ActiveConnections,
) {
    let Client {
        stream,
        caller,
        slot,
    } = client;
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
        let received = |body| Received::of_client(body, meter.clone(), slot.clone());
        let request = request.map(received);
        let slot = slot.clone();
        Box::pin(async move {
            let response = service.answer(request).await;
            Ok::<_, Infallible>(response.map(|body| Answered::new(body, slot)))
        })
    });
    let mut connection = builder.serve_connection(TokioIo::new(metered), answer);
    let mut is_last = stopping;
    loop {
        tokio::select! {
            ended = poll_fn(|cx| connection.poll_without_shutdown(cx)) => {
                if ended.is_ok() {
                    break;
                }
                // A caller that disconnects or sends an invalid request ends only its own connection.
                return log_end(caller, ended);
            }
            () = slot.closed() => {
                if slot.is_idle() {
                    Pin::new(&mut connection).graceful_shutdown();
                    let _ = timeout(CLOSE_TIME, connection).await;
                }
                return;
            }
            signal = leaving.wait_for(|leaving| *leaving), if !is_last => {
                is_last = true;
                // Without a sender the signal never comes: the connection is served to its end.
                if signal.is_ok() {
                    Pin::new(&mut connection).graceful_shutdown();
                }
            }
        }
    }
    let stream = connection.into_parts().io.into_inner().into_stream();
    // Its answer has been sent: the end of the process need not wait for it.
    drop(guard);
    tokio::select! {
        _ = timeout(LINGER_TIME, close(stream, &slot)) => {}
        () = slot.closed() => {}
    }
}

/// Closes a connection once what its client still sends of a refused body has been read. Closing it with bytes that were
/// not read would reset it, and the client could lose the answer.
async fn close(stream: TcpStream, slot: &Slot) -> io::Result<()> {
    SockRef::from(&stream).shutdown(Shutdown::Write)?;
    let mut left = if slot.has_unread() { LINGER_BYTES } else { 0 };
    while left > 0 {
        stream.readable().await?;
        match stream.try_read(&mut [0; LINGER_BUFFER]) {
            Ok(0) => break,
            Ok(n) => left = left.saturating_sub(n),
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
            Err(error) => return Err(error),
        }
        // A client that sends fast must not hold up the others.
        yield_now().await;
    }
    Ok(())
}

/// The body of an answer. Its connection counts as busy until it has been handed over.
struct Answered<B> {
    body: Pin<Box<B>>,
    slot: Rc<Slot>,
}

impl<B> Answered<B> {
    fn new(body: B, slot: Rc<Slot>) -> Self {
        let body = Box::pin(body);
        Self { body, slot }
    }
}

impl<B> Drop for Answered<B> {
    fn drop(&mut self) {
        self.slot.enter(Phase::Idle);
    }
}

impl<B: Body> Body for Answered<B> {
    type Data = B::Data;
    type Error = B::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<B::Data>, B::Error>>> {
        self.body.as_mut().poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
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
