//! The agent's `/metrics` endpoint, for a collector on the instance or its network.

use std::io::Write as _;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::sync::Arc;
use std::thread;

use filbertstack_guard::Guard;
use filbertstack_guard::HELLO;
use filbertstack_guard::HELLO_ANSWER;
use filbertstack_guard::Limits;
use filbertstack_telemetry::Telemetry;
use filbertstack_telemetry::metrics::CONTENT_TYPE;
use tiny_http::Header;
use tiny_http::Response;
use tiny_http::Server;

/// The most collectors at once: those that read the metrics of an instance, and some that hang.
const MAX_COLLECTORS: usize = 32;

/// The bodies of requests are not read; the memory is that of connections.
const LIMITS: Limits = Limits {
    body: 0,
    connections: MAX_COLLECTORS,
    memory: 1 << 20,
};

/// An HTTP server that answers scrapes until it is dropped.
pub struct Scrape {
    server: Arc<Server>,
    /// Accepts the connections of collectors.
    _guard: Guard,
}

impl std::fmt::Debug for Scrape {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Scrape").finish_non_exhaustive()
    }
}

impl Scrape {
    /// Starts the server at `addr`; it calls `refresh` to update the metrics before each answer.
    ///
    /// # Errors
    /// Returns an error if the address is in use or not an address of this instance.
    pub fn start(
        addr: SocketAddr,
        telemetry: Arc<Telemetry>,
        refresh: impl Fn(&Telemetry) + Send + 'static,
    ) -> std::io::Result<Self> {
        let socket = TcpListener::bind(addr)?;
        let inner_socket = TcpListener::bind("127.0.0.1:0")?;
        filbertstack_guard::set_nodelay(&inner_socket)?;
        let inner_addr = inner_socket.local_addr()?;
        let server = Server::from_listener(inner_socket, None).map_err(std::io::Error::other)?;
        let server = Arc::new(server);
        let answering = server.clone();
        thread::spawn(move || {
            for request in answering.incoming_requests() {
                if request.url() == HELLO {
                    let mut writer = request.into_writer();
                    // The guard sees a failure by the answer that it does not get.
                    let _ = writer.write_all(HELLO_ANSWER).and_then(|()| writer.flush());
                    continue;
                }
                if request.url() != "/metrics" {
                    let _ = request.respond(Response::empty(404));
                    continue;
                }
                refresh(&telemetry);
                let text = Response::from_string(telemetry.metrics.render());
                let kind = Header::from_bytes("content-type", CONTENT_TYPE);
                let _ = request.respond(kind.into_iter().fold(text, Response::with_header));
            }
        });
        let guard = Guard::start(socket, inner_addr, LIMITS)?;
        Ok(Self {
            server,
            _guard: guard,
        })
    }
}

impl Drop for Scrape {
    fn drop(&mut self) {
        self.server.unblock();
    }
}
