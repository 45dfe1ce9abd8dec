//! An OTLP collector that stores the spans it receives; it can be held before its first response.

use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::thread;
use std::thread::JoinHandle;

use prost::Message;
use tiny_http::Response;
use tiny_http::Server;

/// The fields of an OTLP span that the tests check.
#[derive(Clone, PartialEq, Message)]
pub struct OtlpSpan {
    #[prost(bytes = "vec", tag = "1")]
    pub trace: Vec<u8>,
    #[prost(bytes = "vec", tag = "2")]
    pub span: Vec<u8>,
    #[prost(bytes = "vec", tag = "4")]
    pub parent: Vec<u8>,
    #[prost(string, tag = "5")]
    pub name: String,
}

#[derive(Clone, PartialEq, Message)]
struct ScopeSpans {
    #[prost(message, repeated, tag = "2")]
    spans: Vec<OtlpSpan>,
}

#[derive(Clone, PartialEq, Message)]
struct ResourceSpans {
    #[prost(message, repeated, tag = "2")]
    scopes: Vec<ScopeSpans>,
}

#[derive(Clone, PartialEq, Message)]
struct ExportRequest {
    #[prost(message, repeated, tag = "1")]
    resources: Vec<ResourceSpans>,
}

#[derive(Default)]
struct State {
    held: bool,
    path: Option<String>,
    spans: Vec<OtlpSpan>,
}

#[derive(Default)]
struct Shared {
    state: Mutex<State>,
    changed: Condvar,
}

pub struct Collector {
    server: Arc<Server>,
    shared: Arc<Shared>,
    thread: Option<JoinHandle<()>>,
}

impl Collector {
    pub fn start() -> Self {
        Self::with_hold(false)
    }

    /// Starts a collector that sends no response before [`Collector::release`].
    pub fn held() -> Self {
        Self::with_hold(true)
    }

    fn with_hold(held: bool) -> Self {
        let server = Arc::new(Server::http("127.0.0.1:0").unwrap());
        let shared = Arc::new(Shared::default());
        shared.state.lock().unwrap().held = held;
        let (server_copy, shared_copy) = (server.clone(), shared.clone());
        let thread = thread::spawn(move || serve(&server_copy, &shared_copy));
        Self {
            server,
            shared,
            thread: Some(thread),
        }
    }

    pub fn url(&self) -> String {
        format!("http://{}", self.server.server_addr())
    }

    pub fn release(&self) {
        self.shared.state.lock().unwrap().held = false;
        self.shared.changed.notify_all();
    }

    pub fn spans(&self) -> Vec<OtlpSpan> {
        self.shared.state.lock().unwrap().spans.clone()
    }

    pub fn path(&self) -> Option<String> {
        self.shared.state.lock().unwrap().path.clone()
    }
}

impl Drop for Collector {
    fn drop(&mut self) {
        self.release();
        self.server.unblock();
        if let Some(thread) = self.thread.take() {
            thread.join().unwrap();
        }
    }
}

fn serve(server: &Server, shared: &Shared) {
    for mut request in server.incoming_requests() {
        let mut body = Vec::new();
        request.as_reader().read_to_end(&mut body).unwrap();
        let export = ExportRequest::decode(body.as_slice()).unwrap();
        let mut state = shared.state.lock().unwrap();
        while state.held {
            state = shared.changed.wait(state).unwrap();
        }
        state.path = Some(request.url().to_owned());
        let scopes = export.resources.into_iter().flat_map(|r| r.scopes);
        state.spans.extend(scopes.flat_map(|scope| scope.spans));
        drop(state);
        request.respond(Response::empty(200)).unwrap();
    }
}
