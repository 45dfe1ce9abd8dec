//! The agent's `/metrics` endpoint, for a collector on the instance or its network.

use std::net::SocketAddr;
use std::net::TcpListener;
use std::sync::Arc;
use std::thread;

use filbertstack_telemetry::Telemetry;
use filbertstack_telemetry::metrics::CONTENT_TYPE;
use tiny_http::Header;
use tiny_http::Response;
use tiny_http::Server;

/// An HTTP server that answers scrapes until it is dropped.
pub struct Scrape {
    server: Arc<Server>,
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
        let server = Server::from_listener(socket, None).map_err(std::io::Error::other)?;
        let server = Arc::new(server);
        let answering = server.clone();
        thread::spawn(move || {
            for request in answering.incoming_requests() {
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
        Ok(Self { server })
    }
}

impl Drop for Scrape {
    fn drop(&mut self) {
        self.server.unblock();
    }
}
