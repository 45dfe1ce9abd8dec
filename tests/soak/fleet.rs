//! The processes of one play, its engines and their links.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use serde_json::Value;
use serde_json::json;

use crate::cluster::Cluster;
use crate::cluster::document;
use crate::cluster::exchange;
use crate::cluster::get;
use crate::cluster::wait_until;
use crate::engine::Engine;
use crate::engine::Received;
use crate::engine::answer;
use crate::engine::stream;
use crate::model::Model;
use crate::model::Origin;
use crate::model::services;
use crate::proxy::Harm;
use crate::proxy::Proxy;

/// Entries with a disk.
pub const VOTERS: usize = 3;

/// All entries.
pub const ENTRIES: usize = 4;

/// Events of a whole stream.
pub const EVENTS: u64 = 12;

/// The pause between two events of a stream.
const PACE: Duration = Duration::from_millis(15);

/// How often an engine announces itself.
const BEAT: Duration = Duration::from_millis(300);

/// One engine and what stands before it.
pub struct Target {
    /// The service.
    pub service: &'static str,
    /// What all connections to it pass.
    pub proxy: Proxy,
    /// Its weights, if it is a model engine.
    pub model: Model,
    /// The Unix millisecond of its last start.
    born: AtomicU64,
    sequence: AtomicU64,
    runs: Arc<Mutex<BTreeMap<String, u32>>>,
}

/// The pause between two versions of the weights that follow each other.
const BETWEEN_NAMES: Duration = Duration::from_millis(250);

/// Everything of one play.
#[derive(Clone)]
pub struct Fleet(Arc<Parts>);

struct Parts {
    world: Mutex<Cluster>,
    targets: Vec<Target>,
    agents: Vec<usize>,
    published: Origin,
    origin: Proxy,
    /// How many versions of the weights are named one after the other where one is.
    names: u32,
    over: AtomicBool,
    /// The document's version that was acknowledged last, and the newest sent.
    acknowledged: AtomicU64,
    version: AtomicU64,
    weights: AtomicU64,
    answers: Mutex<BTreeMap<String, u32>>,
}

impl Fleet {
    /// Starts four entries, two engines for each plain service, and two model engines with agents. Where
    /// weights are named, `names` versions follow each other.
    pub fn start(seed: u64, names: u32) -> Self {
        let mut world = Cluster::start(VOTERS, ENTRIES - VOTERS);
        let published = Origin::default();
        let origin = Proxy::start(published.start().addr);
        let services = ["safe", "safe", "once", "once", "stream", "stream"];
        let targets: Vec<Target> = services.into_iter().map(Target::start).collect();
        let models = targets.iter().filter(|t| t.service == "stream");
        let agents = models
            .map(|t| world.start_agent("stream", t.proxy.addr))
            .collect();
        let fleet = Self(Arc::new(Parts {
            world: Mutex::new(world),
            targets,
            agents,
            published,
            origin,
            names,
            over: AtomicBool::new(false),
            acknowledged: AtomicU64::new(0),
            version: AtomicU64::new(seed % 7),
            weights: AtomicU64::new(1),
            answers: Mutex::default(),
        }));
        fleet.change();
        wait_until("the first document is acknowledged", || {
            fleet.acknowledged() > 0
        });
        fleet.beat();
        fleet.await_service();
        fleet
    }

    /// The processes.
    pub fn world(&self) -> MutexGuard<'_, Cluster> {
        self.0.world.lock().expect("not poisoned")
    }

    /// The engines.
    pub fn targets(&self) -> &[Target] {
        &self.0.targets
    }

    /// The model engines.
    pub fn models(&self) -> impl Iterator<Item = &Target> {
        self.0.targets.iter().filter(|t| t.service == "stream")
    }

    /// The numbers of the agents' processes.
    pub fn agents(&self) -> &[usize] {
        &self.0.agents
    }

    /// The link to the origin of weights.
    pub fn origin(&self) -> &Proxy {
        &self.0.origin
    }

    /// Whether the faults are over.
    pub fn is_over(&self) -> bool {
        self.0.over.load(Ordering::Relaxed)
    }

    /// The version of the document that was acknowledged last.
    pub fn acknowledged(&self) -> u64 {
        self.0.acknowledged.load(Ordering::SeqCst)
    }

    /// The newest version of the weights that was named.
    pub fn weights(&self) -> u64 {
        self.0.weights.load(Ordering::SeqCst)
    }

    /// Counts how a caller's request ended.
    pub fn count(&self, ended: &str) {
        let mut answers = self.0.answers.lock().expect("not poisoned");
        *answers.entry(ended.into()).or_default() += 1;
    }

    /// How callers' requests ended.
    pub fn counts(&self) -> BTreeMap<String, u32> {
        self.0.answers.lock().expect("not poisoned").clone()
    }

    /// Sends a call to the control address of an entry. The world is not held meanwhile.
    pub fn control(&self, n: usize, method: &str, path: &str, body: &str) -> Option<Value> {
        let addr = self.world().control_addr(n);
        let request = format!(
            "{method} {path} HTTP/1.1\r\nHost: control\r\nConnection: close\r\n\
             Content-Length: {}\r\n\r\n{body}",
            body.len()
        );
        let answer = exchange(&addr, &request)?;
        let read = serde_json::from_str(&answer.body).unwrap_or(Value::Null);
        (answer.status == 200).then_some(read)
    }

    /// Sends the next document to every entry in turn until one acknowledges it.
    pub fn change(&self) {
        let version = self.0.version.fetch_add(1, Ordering::SeqCst) + 1;
        let mut declared = document(version);
        declared["services"] = services(self.0.origin.addr);
        let body = declared.to_string();
        let fleet = self.clone();
        thread::spawn(move || {
            let mut entries = (0..ENTRIES).cycle();
            while let Some(n) = entries.next().filter(|_| !fleet.is_late(version)) {
                if fleet.control(n, "PUT", "/config", &body).is_some() {
                    fleet.0.acknowledged.fetch_max(version, Ordering::SeqCst);
                    return;
                }
                thread::sleep(Duration::from_millis(50));
            }
        });
    }

    /// Whether nobody asks for a document's acknowledgement any more, as a later one has it.
    fn is_late(&self, version: u64) -> bool {
        self.acknowledged() >= version
    }

    /// Names the next versions of the weights.
    pub fn name_weights(&self) {
        for n in 0..self.0.names {
            if n > 0 {
                thread::sleep(BETWEEN_NAMES);
            }
            self.name_next();
        }
    }

    fn name_next(&self) {
        let version = self.weights() + 1;
        self.0.published.publish(version);
        let body = json!({"model": "m", "version": version}).to_string();
        let fleet = self.clone();
        wait_until("the weights are named", || {
            (0..ENTRIES).any(|n| fleet.control(n, "POST", "/version-put", &body).is_some())
        });
        self.0.weights.store(version, Ordering::SeqCst);
    }

    /// Keeps all engines announced for as long as the play lasts.
    fn beat(&self) {
        for n in 0..self.targets().len() {
            let fleet = Arc::downgrade(&self.0);
            thread::spawn(move || {
                while let Some(parts) = fleet.upgrade() {
                    Fleet(parts).announce(n);
                    thread::sleep(BEAT);
                }
            });
        }
    }

    fn announce(&self, n: usize) {
        let target = &self.targets()[n];
        if target.proxy.is_reset() {
            return;
        }
        let born = target.born.load(Ordering::SeqCst);
        let sequence = target.sequence.fetch_add(1, Ordering::SeqCst);
        let body = json!({
            "service": target.service, "address": target.proxy.addr.to_string(), "zone": "z0",
            "version": "v1", "slots": 4, "state": "ready", "sequence": sequence, "born": born
        });
        let path = format!("/instances/i-{n}");
        for entry in 0..ENTRIES {
            if self
                .control(entry, "PUT", &path, &body.to_string())
                .is_some()
            {
                return;
            }
        }
    }

    /// Waits until every entry serves every service.
    fn await_service(&self) {
        for n in 0..ENTRIES {
            let addr = self.world().front_addr(n);
            for path in ["/safe/", "/once/", "/stream/"] {
                wait_until(&format!("entry {n} serves {path}"), || {
                    let answer = exchange(&addr, &get(path, &format!("probe-{n}"), ""));
                    answer.is_some_and(|a| a.status == 200)
                });
            }
        }
    }

    /// Ends all faults and waits until everything is served, read back and in place.
    pub fn heal(&self) {
        for target in self.targets() {
            target.proxy.set(Harm::None);
        }
        self.origin().set(Harm::None);
        self.await_service();
        wait_until("every engine serves the newest weights", || {
            self.models()
                .all(|t| t.model.state().version == self.weights())
        });
        self.0.over.store(true, Ordering::SeqCst);
    }

    /// Ends all processes, for good.
    pub fn end(&self) {
        self.0.over.store(true, Ordering::SeqCst);
        let mut world = self.0.world.lock().unwrap_or_else(PoisonError::into_inner);
        world.end();
    }

    /// Orders to load that came while a staged piece was not what it must be.
    pub fn wrong_orders(&self) -> Vec<String> {
        let wrong: u32 = self.models().map(|t| t.model.state().bad_loads).sum();
        let told = (wrong > 0).then(|| format!("{wrong} loads of spoilt or missing pieces"));
        told.into_iter().collect()
    }

    /// How often a request ran, at all engines.
    pub fn runs(&self, attempt: &str) -> u32 {
        let targets = self.targets().iter();
        targets.map(|target| target.runs_of(attempt)).sum()
    }
}

impl Target {
    fn start(service: &'static str) -> Self {
        let runs: Arc<Mutex<BTreeMap<String, u32>>> = Arc::default();
        let model = Model::default();
        let (counted, held) = (runs.clone(), model.clone());
        let behaviour = move |seen: &Received| {
            if let Some(answer) = held.answer(seen) {
                return answer;
            }
            let attempt = seen.header("x-filbertstack-attempt-id");
            *counted
                .lock()
                .expect("not poisoned")
                .entry(attempt.into())
                .or_default() += 1;
            match service {
                "stream" => stream(seen, EVENTS, 0),
                _ => answer(seen, "200 OK", &format!("answer to {attempt}")),
            }
        };
        let engine = Engine::paced(PACE, Box::new(behaviour));
        Self {
            service,
            proxy: Proxy::start(engine.addr),
            model,
            born: AtomicU64::new(unix_millis()),
            sequence: AtomicU64::new(1),
            runs,
        }
    }

    fn runs_of(&self, attempt: &str) -> u32 {
        let runs = self.runs.lock().expect("not poisoned");
        runs.get(attempt).copied().unwrap_or(0)
    }

    /// The engine starts again and serves no weights; without power, staged pieces are lost too.
    pub fn restart(&self, power: bool) {
        self.model.state().restart(power);
        self.born.store(unix_millis(), Ordering::SeqCst);
        self.sequence.store(1, Ordering::SeqCst);
    }
}

fn unix_millis() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    let millis = since.expect("after 1970").as_millis();
    u64::try_from(millis).expect("not for long")
}
