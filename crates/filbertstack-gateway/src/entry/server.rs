//! Accepting HTTP connections.

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
use tokio::net::TcpListener;
use tokio::net::TcpSocket;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::task::spawn_local;

use crate::ACCEPT_PAUSE;
use crate::BACKLOG;
use crate::link::tune;

/// Answers requests.
pub trait Service: 'static {
    /// The body of an answer.
    type Body: Body<Data = bytes::Bytes, Error = io::Error> + 'static;

    /// Answers one request. Dropping the future means that the caller has left.
    fn answer(
        self: Rc<Self>,
        request: Request<Incoming>,
    ) -> impl Future<Output = Response<Self::Body>>;

    /// The longest head of a request, in bytes.
    fn head_limit(&self) -> usize;

    /// How long a connection may stay without a request's head.
    fn idle_timeout(&self) -> Duration;
}

/// Counts the connections whose caller has asked for something, until they end. A connection ends once
/// its last answer is passed on, as soon as the process leaves.
///
/// A request is done when the body of its answer has been handed over. A caller that reads slowly has
/// yet to take a part of it then, which the end of the process would cut off.
#[derive(Clone, Debug, Default)]
pub struct Answering(Rc<Cell<usize>>);

impl Answering {
    /// How many there are.
    pub fn count(&self) -> usize {
        self.0.get()
    }

    fn begin(&self) -> Asked {
        self.0.set(self.0.get() + 1);
        Asked(self.clone())
    }
}

/// Counts one connection for as long as it lives.
struct Asked(Answering);

impl Drop for Asked {
    fn drop(&mut self) {
        let count = &self.0.0;
        count.set(count.get() - 1);
    }
}

/// Opens a listening socket whose queue holds a burst of new connections.
///
/// # Errors
/// Those of the system, such as an address in use.
pub fn bind(addr: SocketAddr) -> io::Result<TcpListener> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(addr)?;
    socket.listen(BACKLOG)
}

/// Accepts connections until the process ends. Once `leaving` is true each connection ends with
/// the answer in progress, and new ones are told to close after theirs; `answering` counts those that
/// have yet to.
pub async fn serve<S: Service>(
    listener: TcpListener,
    service: Rc<S>,
    leaving: watch::Receiver<bool>,
    answering: Answering,
) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let (leaving, answering) = (leaving.clone(), answering.clone());
                spawn_local(attend(stream, service.clone(), leaving, answering));
            }
            Err(error) => {
                spdlog::warn!("connection not accepted", kv: { error = error.to_string() });
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn attend<S: Service>(
    stream: TcpStream,
    service: Rc<S>,
    mut leaving: watch::Receiver<bool>,
    answering: Answering,
) {
    let asked = OnceCell::new();
    tune(&stream);
    let mut builder = http1::Builder::new();
    builder
        .timer(TokioTimer::new())
        .max_buf_size(service.head_limit().max(8 << 10))
        .header_read_timeout(service.idle_timeout());
    // Ended at once, a new connection would close on a caller whose request is still on its way.
    let late = *leaving.borrow();
    if late {
        builder.keep_alive(false);
    }
    let answer = service_fn(|request| {
        let service = service.clone();
        asked.get_or_init(|| answering.begin());
        async move { Ok::<_, Infallible>(service.answer(request).await) }
    });
    let connection = builder.serve_connection(TokioIo::new(stream), answer);
    let mut connection = std::pin::pin!(connection);
    if late {
        let _ = connection.await;
        return;
    }
    // A caller that breaks off or sends what is no request ends its connection only.
    tokio::select! {
        _ = &mut connection => return,
        told = leaving.wait_for(|leaving| *leaving) => {
            // Nobody will tell any more: it is served to its end.
            if told.is_err() {
                drop(told);
                let _ = connection.await;
                return;
            }
        }
    }
    connection.as_mut().graceful_shutdown();
    let _ = connection.await;
}
