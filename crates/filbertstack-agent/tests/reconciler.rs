//! Tests of the reconciler with a simulated engine.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use filbertstack_agent::copying::CopyHandle;
use filbertstack_agent::copying::NetworkFetcher;
use filbertstack_agent::gate::Gate;
use filbertstack_agent::mesh::Mesh;
use filbertstack_agent::reconciler::Fetcher;
use filbertstack_agent::reconciler::Reconciler;
use filbertstack_agent::shared::SharedState;
use filbertstack_agent::target::Target;
use filbertstack_core::Digest;
use filbertstack_weights::Manifest;
use filbertstack_weights::Store;
use filbertstack_wire::Dialer;
use filbertstack_wire::Keyring;
use filbertstack_wire::Remote;
use filbertstack_wire::Responder;
use filbertstack_wire::messages::Ask;
use filbertstack_wire::messages::Assignment;
use filbertstack_wire::messages::Duty;
use filbertstack_wire::messages::Fence;
use filbertstack_wire::messages::Orders;
use serde_json::Value;
use serde_json::json;
use tiny_http::Method;
use tiny_http::Request;
use tiny_http::Response;
use tiny_http::Server;

const TEST_TIMEOUT: Duration = Duration::from_secs(60);

/// The longest delay after which the engine carries out an order that it left unanswered.
const MAX_ORDER_DELAY: Duration = Duration::from_secs(12);

/// An engine that ignores fencing numbers.
#[derive(Default)]
struct SimulatedEngine {
    served_version: Option<String>,
    /// How many more load orders the engine leaves unanswered and carries out late: right after it
    /// reported that it serves another version, which is the worst moment, or else after [`MAX_ORDER_DELAY`].
    late_loads: u32,
    late_order: Option<(String, Instant)>,
}

impl SimulatedEngine {
    fn report(&mut self) -> Value {
        let overdue = |(_, sent): &(String, Instant)| sent.elapsed() >= MAX_ORDER_DELAY;
        if self.late_order.as_ref().is_some_and(overdue) {
            self.apply_late_order();
        }
        let state = match &self.served_version {
            Some(digest) => json!({ "state": "serving", "digest": digest }),
            None => json!({ "state": "empty" }),
        };
        if self.served_version.is_some() {
            self.apply_late_order();
        }
        state
    }

    fn apply_late_order(&mut self) {
        if let Some((digest, _)) = self.late_order.take() {
            self.served_version = Some(digest);
        }
    }

    /// Takes a load order and returns whether the engine answers it.
    fn load(&mut self, digest: String) -> bool {
        if self.late_loads > 0 {
            self.late_loads -= 1;
            self.late_order = Some((digest, Instant::now()));
            return false;
        }
        self.served_version = Some(digest);
        true
    }
}

#[derive(Clone, Default)]
struct EngineServer(Arc<Mutex<SimulatedEngine>>);

impl EngineServer {
    fn lock(&self) -> MutexGuard<'_, SimulatedEngine> {
        self.0.lock().expect("not poisoned")
    }

    fn start(&self) -> SocketAddr {
        let server = Server::http("127.0.0.1:0").expect("a free port");
        let addr = server.server_addr().to_ip().expect("an address");
        let engine_server = self.clone();
        thread::spawn(move || {
            for request in server.incoming_requests() {
                engine_server.answer(request);
            }
        });
        addr
    }

    fn answer(&self, mut request: Request) {
        let mut body = String::new();
        request
            .as_reader()
            .read_to_string(&mut body)
            .expect("a body");
        if *request.method() == Method::Get {
            let report = self.lock().report().to_string();
            let _ = request.respond(Response::from_string(report));
            return;
        }
        if request.url() != "/admin/load" {
            self.lock().served_version = None;
            let _ = request.respond(Response::empty(202));
            return;
        }
        let order: Value = serde_json::from_str(&body).expect("JSON");
        let digest = order["digest"].as_str().expect("a digest").to_owned();
        if self.lock().load(digest) {
            let _ = request.respond(Response::empty(202));
        } else {
            // The engine closes the connection without an answer.
            drop(request.into_writer());
        }
    }
}

/// A fetcher that has every manifest; the store holds every chunk.
struct LocalFetcher {
    manifests: BTreeMap<Vec<u8>, Arc<Manifest>>,
    network: NetworkFetcher,
}

impl Fetcher for LocalFetcher {
    fn manifest(&self, assignment: &Assignment) -> Result<Option<Arc<Manifest>>, String> {
        Ok(self.manifests.get(&assignment.digest[..]).cloned())
    }

    fn start_copy(&self, manifest: &Arc<Manifest>, assignment: &Assignment) -> CopyHandle {
        self.network.start_copy(manifest, assignment)
    }
}

fn publish(dir: &Path, text: &str, store: &Store) -> Arc<Manifest> {
    std::fs::create_dir_all(dir).expect("a folder");
    std::fs::write(dir.join("model.bin"), text).expect("written");
    let manifest = Manifest::from_dir(dir, 4096).expect("a manifest");
    let bytes = bytes::Bytes::copy_from_slice(text.as_bytes());
    store.put(Digest::of(&bytes), bytes).expect("stored");
    Arc::new(manifest)
}

fn assign_version(shared: &SharedState, version: Digest, sequence: u64) {
    let assignment = Assignment {
        deployment: "draft".into(),
        model: "draft-model".into(),
        digest: version.to_vec(),
        duty: Duty::Serve.into(),
        ..Assignment::default()
    };
    shared.set_orders(Orders {
        fence: Some(Fence { term: 1, sequence }),
        serve: vec![assignment],
        ..Orders::default()
    });
}

// Guards against answers of version A to callers of version B: an engine that ignores fencing numbers
// leaves the order to load A unanswered, B is declared in its place, loaded and served, and then the
// engine carries out the order for A. The gate would admit requests for B until the next check of the
// engine's state.
#[test]
fn no_version_is_served_while_another_load_is_unanswered() {
    let dir = tempfile::tempdir().expect("a folder");
    let store = Arc::new(Store::memory(1 << 20));
    let first = publish(&dir.path().join("a"), "weights of A", &store);
    let second = publish(&dir.path().join("b"), "weights of B", &store);
    let engine_server = EngineServer::default();
    engine_server.lock().late_loads = 1;
    let target = Target::new(&format!("http://{}", engine_server.start()));
    let (shared, gate) = (Arc::new(SharedState::new()), Gate::engine(4));
    let refuse = |_: &Remote, _: Ask, responder: Responder| responder.refuse("a test", 0);
    let dialer = Arc::new(Dialer::new("agent", Keyring::default(), Arc::new(refuse)));
    let mesh = Mesh::start("agent", dialer, store.clone(), shared.clone());
    let all = [&first, &second].map(|one| (one.root().to_vec(), one.clone()));
    let fetcher = LocalFetcher {
        manifests: BTreeMap::from(all),
        network: NetworkFetcher { mesh: mesh.clone() },
    };
    let files = dir.path().join("files");
    let reconciler = Reconciler::new(shared.clone(), gate.clone(), target, store, files, fetcher);
    let reconciler_thread = thread::spawn(move || reconciler.run());
    assign_version(&shared, first.root(), 1);
    let until = Instant::now() + TEST_TIMEOUT;
    while engine_server.lock().late_order.is_none() {
        assert!(
            Instant::now() < until,
            "the load of A was not ordered in time"
        );
        thread::sleep(Duration::from_millis(10));
    }
    assign_version(&shared, second.root(), 2);
    let wanted = second.root().to_string();
    let mut admitted = 0;
    // Long enough for the reconciler to check the engine again and for the late order to take effect.
    while admitted < 20 {
        assert!(Instant::now() < until, "B was not served in time");
        thread::sleep(Duration::from_millis(10));
        let engine = engine_server.lock();
        if gate.admit(Some(second.root())).is_ok() {
            assert_eq!(
                engine.served_version.as_ref(),
                Some(&wanted),
                "the engine serves B when the gate admits a request for B"
            );
            admitted += 1;
        }
    }
    shared.stop();
    mesh.stop();
    reconciler_thread.join().expect("ends");
}
