//! The keeper of an engine, with an engine that follows a script.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use filbertstack_agent::copying::Copying;
use filbertstack_agent::copying::Network;
use filbertstack_agent::desk::Desk;
use filbertstack_agent::gate::Gate;
use filbertstack_agent::keeper::Fetcher;
use filbertstack_agent::keeper::Keeper;
use filbertstack_agent::mesh::Mesh;
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

const PATIENCE: Duration = Duration::from_secs(60);

/// How long after it was sent the engine may carry out an order that it left without an answer.
const LATEST: Duration = Duration::from_secs(12);

/// An engine that ignores fencing numbers.
#[derive(Default)]
struct Engine {
    serves: Option<String>,
    /// How many orders to load are yet to be left without an answer, and carried out late: at the worst
    /// moment, once the engine has told that it serves another version, or else at the latest.
    late_loads: u32,
    late: Option<(String, Instant)>,
}

impl Engine {
    fn report(&mut self) -> Value {
        let overdue = |(_, sent): &(String, Instant)| sent.elapsed() >= LATEST;
        if self.late.as_ref().is_some_and(overdue) {
            self.carry_out();
        }
        let state = match &self.serves {
            Some(digest) => json!({ "state": "serving", "digest": digest }),
            None => json!({ "state": "empty" }),
        };
        if self.serves.is_some() {
            self.carry_out();
        }
        state
    }

    fn carry_out(&mut self) {
        if let Some((digest, _)) = self.late.take() {
            self.serves = Some(digest);
        }
    }

    /// Whether the order is answered.
    fn load(&mut self, digest: String) -> bool {
        if self.late_loads > 0 {
            self.late_loads -= 1;
            self.late = Some((digest, Instant::now()));
            return false;
        }
        self.serves = Some(digest);
        true
    }
}

#[derive(Clone, Default)]
struct Script(Arc<Mutex<Engine>>);

impl Script {
    fn lock(&self) -> MutexGuard<'_, Engine> {
        self.0.lock().expect("not poisoned")
    }

    fn start(&self) -> SocketAddr {
        let server = Server::http("127.0.0.1:0").expect("a free port");
        let addr = server.server_addr().to_ip().expect("an address");
        let script = self.clone();
        thread::spawn(move || {
            for request in server.incoming_requests() {
                script.answer(request);
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
            self.lock().serves = None;
            let _ = request.respond(Response::empty(202));
            return;
        }
        let order: Value = serde_json::from_str(&body).expect("JSON");
        let digest = order["digest"].as_str().expect("a digest").to_owned();
        if self.lock().load(digest) {
            let _ = request.respond(Response::empty(202));
        } else {
            // The connection is closed without an answer.
            drop(request.into_writer());
        }
    }
}

/// Knows every manifest, and the store holds every chunk.
struct Known {
    manifests: BTreeMap<Vec<u8>, Arc<Manifest>>,
    network: Network,
}

impl Fetcher for Known {
    fn manifest(&self, assignment: &Assignment) -> Result<Option<Arc<Manifest>>, String> {
        Ok(self.manifests.get(&assignment.digest[..]).cloned())
    }

    fn copy(&self, manifest: &Arc<Manifest>, assignment: &Assignment) -> Copying {
        self.network.copy(manifest, assignment)
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

fn serve(desk: &Desk, version: Digest, sequence: u64) {
    let assignment = Assignment {
        deployment: "draft".into(),
        model: "draft-model".into(),
        digest: version.to_vec(),
        duty: Duty::Serve.into(),
        ..Assignment::default()
    };
    desk.order(Orders {
        fence: Some(Fence { term: 1, sequence }),
        serve: vec![assignment],
        ..Orders::default()
    });
}

// Callers of version B get answers of version A.
// An engine that ignores fencing numbers leaves the order to load A without an answer. B is declared in
// its place, ordered and served; then the engine carries A's order out. Requests pass for B until the
// agent asks the engine again what it serves.
#[test]
fn no_version_is_served_while_another_may_yet_be_loaded() {
    let dir = tempfile::tempdir().expect("a folder");
    let store = Arc::new(Store::memory(1 << 20));
    let first = publish(&dir.path().join("a"), "weights of A", &store);
    let second = publish(&dir.path().join("b"), "weights of B", &store);
    let script = Script::default();
    script.lock().late_loads = 1;
    let target = Target::new(&format!("http://{}", script.start()));
    let (desk, gate) = (Arc::new(Desk::new()), Gate::engine(4));
    let refuse = |_: &Remote, _: Ask, responder: Responder| responder.refuse("a test", 0);
    let dialer = Arc::new(Dialer::new("agent", Keyring::default(), Arc::new(refuse)));
    let mesh = Mesh::start("agent", dialer, store.clone(), desk.clone());
    let all = [&first, &second].map(|one| (one.root().to_vec(), one.clone()));
    let known = Known {
        manifests: BTreeMap::from(all),
        network: Network { mesh: mesh.clone() },
    };
    let files = dir.path().join("files");
    let keeper = Keeper::new(desk.clone(), gate.clone(), target, store, files, known);
    let keeping = thread::spawn(move || keeper.run());
    serve(&desk, first.root(), 1);
    let until = Instant::now() + PATIENCE;
    while script.lock().late.is_none() {
        assert!(Instant::now() < until, "A is not ordered");
        thread::sleep(Duration::from_millis(10));
    }
    serve(&desk, second.root(), 2);
    let wanted = second.root().to_string();
    let mut served = 0;
    // Long enough that the keeper asks the engine again and a late order shows.
    while served < 20 {
        assert!(Instant::now() < until, "B is not served");
        thread::sleep(Duration::from_millis(10));
        let engine = script.lock();
        if gate.pass(Some(second.root())).is_ok() {
            assert_eq!(engine.serves.as_ref(), Some(&wanted), "passes for B");
            served += 1;
        }
    }
    desk.stop();
    mesh.stop();
    keeping.join().expect("ends");
}
