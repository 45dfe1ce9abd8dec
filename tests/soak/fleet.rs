//! The processes of a run, its engines and the proxies of their links.

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
use crate::proxy::LinkFault;
use crate::proxy::Proxy;

/// The number of entries that are voters, with a disk.
pub const VOTERS: usize = 3;

/// The number of all entries.
pub const ENTRIES: usize = 4;

/// The number of events of a whole stream.
pub const STREAM_EVENTS: u64 = 12;

/// The pause between two events of a stream.
const EVENT_PAUSE: Duration = Duration::from_millis(15);

/// The pause in a run in which engines load while streams run for more than a second.
const LONG_EVENT_PAUSE: Duration = Duration::from_millis(120);

/// The interval between two announcements of an engine.
const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(300);

/// A path of each service.
const SERVED_PATHS: [&str; 3] = ["/safe/", "/once/", "/stream/"];

/// The number of lines at the end of a process's log that describe a failed run.
const LOG_TAIL: usize = 8;

/// An engine and the proxy of its connections.
pub struct Target {
    /// The name of its service.
    pub service: &'static str,
    /// The proxy that all connections to it use.
    pub proxy: Proxy,
    /// Its weights, which only a model engine uses.
    pub model: Model,
    /// The Unix time of its last start in milliseconds.
    started_millis: AtomicU64,
    sequence: AtomicU64,
    runs: Arc<Mutex<BTreeMap<String, u32>>>,
}

/// The pause between two versions of the weights that are published in sequence.
const VERSION_PAUSE: Duration = Duration::from_millis(250);

/// The shared state of a run.
#[derive(Clone)]
pub struct Fleet(Arc<FleetState>);

struct FleetState {
    cluster: Mutex<Cluster>,
    targets: Vec<Target>,
    agents: Vec<usize>,
    origin_store: Origin,
    origin_proxy: Proxy,
    /// The number of versions of the weights that are published in sequence at a time.
    version_count: u32,
    /// The largest number of attempts of a stream; `None` if all documents declare the same.
    most_attempts: Option<u64>,
    over: AtomicBool,
    /// The newest acknowledged version of the document.
    acknowledged: AtomicU64,
    /// The newest version of the document that was sent.
    version: AtomicU64,
    weights: AtomicU64,
    outcomes: Mutex<BTreeMap<String, u32>>,
}

impl Fleet {
    /// Starts four entries, two engines for each plain service, and two model engines with agents.
    /// Weights are published as `version_count` versions in sequence.
    pub fn start(seed: u64, version_count: u32) -> Self {
        Self::launch(seed, version_count, EVENT_PAUSE, None)
    }

    /// Starts the same fleet with streams that run for more than a second.
    pub fn with_long_streams(seed: u64) -> Self {
        Self::launch(seed, 1, LONG_EVENT_PAUSE, Some(2))
    }

    /// Starts the same fleet, whose documents allow one to five attempts in turn.
    pub fn with_many_attempts(seed: u64) -> Self {
        Self::launch(seed, 1, LONG_EVENT_PAUSE, Some(5))
    }

    fn launch(
        seed: u64,
        version_count: u32,
        event_pause: Duration,
        most_attempts: Option<u64>,
    ) -> Self {
        let mut cluster = Cluster::start(VOTERS, ENTRIES - VOTERS);
        let origin_store = Origin::default();
        let origin_proxy = Proxy::start(origin_store.start().addr);
        let services = ["safe", "safe", "once", "once", "stream", "stream"];
        let targets: Vec<Target> = services
            .into_iter()
            .map(|service| Target::start(service, event_pause))
            .collect();
        let models = targets.iter().filter(|t| t.service == "stream");
        let agents = models
            .map(|t| cluster.start_agent("stream", t.proxy.addr))
            .collect();
        let fleet = Self(Arc::new(FleetState {
            cluster: Mutex::new(cluster),
            targets,
            agents,
            origin_store,
            origin_proxy,
            version_count,
            most_attempts,
            over: AtomicBool::new(false),
            acknowledged: AtomicU64::new(0),
            version: AtomicU64::new(seed % 7),
            weights: AtomicU64::new(1),
            outcomes: Mutex::default(),
        }));
        fleet.send_document();
        wait_until("the first document is acknowledged", || {
            fleet.acknowledged() > 0
        });
        fleet.announce_all();
        fleet.wait_served();
        fleet
    }

    /// Returns the processes.
    pub fn cluster(&self) -> MutexGuard<'_, Cluster> {
        self.0.cluster.lock().expect("not poisoned")
    }

    /// Returns the engines.
    pub fn targets(&self) -> &[Target] {
        &self.0.targets
    }

    /// Returns the model engines.
    pub fn models(&self) -> impl Iterator<Item = &Target> {
        self.0.targets.iter().filter(|t| t.service == "stream")
    }

    /// Returns the process numbers of the agents.
    pub fn agents(&self) -> &[usize] {
        &self.0.agents
    }

    /// Returns the proxy of the weights' origin.
    pub fn origin_proxy(&self) -> &Proxy {
        &self.0.origin_proxy
    }

    /// Returns whether the faults are over.
    pub fn is_over(&self) -> bool {
        self.0.over.load(Ordering::Relaxed)
    }

    /// Returns the newest acknowledged version of the document.
    pub fn acknowledged(&self) -> u64 {
        self.0.acknowledged.load(Ordering::SeqCst)
    }

    /// Returns the newest version of the weights that was published and declared.
    pub fn weights(&self) -> u64 {
        self.0.weights.load(Ordering::SeqCst)
    }

    /// Counts the outcome of a caller's request.
    pub fn count_outcome(&self, outcome: &str) {
        let mut outcomes = self.0.outcomes.lock().expect("not poisoned");
        *outcomes.entry(outcome.into()).or_default() += 1;
    }

    /// Returns the number of requests by outcome.
    pub fn outcome_counts(&self) -> BTreeMap<String, u32> {
        self.0.outcomes.lock().expect("not poisoned").clone()
    }

    /// Sends a call to the control address of an entry. The cluster is not locked meanwhile.
    pub fn control(&self, n: usize, method: &str, path: &str, body: &str) -> Option<Value> {
        let addr = self.cluster().control_addr(n);
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
    pub fn send_document(&self) {
        let version = self.0.version.fetch_add(1, Ordering::SeqCst) + 1;
        let mut declared = document(version);
        declared["services"] = services(self.0.origin_proxy.addr);
        if let Some(most) = self.0.most_attempts {
            declared["routes"][2]["maxAttempts"] = json!(1 + version % most);
        }
        let body = declared.to_string();
        let fleet = self.clone();
        thread::spawn(move || {
            let mut entries = (0..ENTRIES).cycle();
            while let Some(n) = entries.next().filter(|_| !fleet.is_acknowledged(version)) {
                if fleet.control(n, "PUT", "/config", &body).is_some() {
                    fleet.0.acknowledged.fetch_max(version, Ordering::SeqCst);
                    return;
                }
                thread::sleep(Duration::from_millis(50));
            }
        });
    }

    /// Returns whether this or a later version of the document was acknowledged.
    fn is_acknowledged(&self, version: u64) -> bool {
        self.acknowledged() >= version
    }

    /// Publishes and declares the next versions of the weights.
    pub fn publish_weights(&self) {
        for n in 0..self.0.version_count {
            if n > 0 {
                thread::sleep(VERSION_PAUSE);
            }
            self.publish_next();
        }
    }

    fn publish_next(&self) {
        let version = self.weights() + 1;
        self.0.origin_store.publish(version);
        let body = json!({"model": "m", "version": version}).to_string();
        let fleet = self.clone();
        wait_until("the weights are declared", || {
            (0..ENTRIES).any(|n| fleet.control(n, "POST", "/version-put", &body).is_some())
        });
        self.0.weights.store(version, Ordering::SeqCst);
    }

    /// Announces all engines at an interval until the fleet is dropped.
    fn announce_all(&self) {
        for n in 0..self.targets().len() {
            let fleet = Arc::downgrade(&self.0);
            thread::spawn(move || {
                while let Some(state) = fleet.upgrade() {
                    Fleet(state).announce(n);
                    thread::sleep(ANNOUNCE_INTERVAL);
                }
            });
        }
    }

    fn announce(&self, n: usize) {
        let target = &self.targets()[n];
        if target.proxy.is_reset() {
            return;
        }
        let born = target.started_millis.load(Ordering::SeqCst);
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
    fn wait_served(&self) {
        for n in 0..ENTRIES {
            let addr = self.cluster().front_addr(n);
            for path in SERVED_PATHS {
                wait_until(&format!("entry {n} serves {path}"), || {
                    let answer = exchange(&addr, &get(path, &format!("probe-{n}"), ""));
                    answer.is_some_and(|a| a.status == 200)
                });
            }
        }
    }

    /// Ends all link faults and waits until every service is served and every engine has the newest weights.
    pub fn end_faults(&self) {
        for target in self.targets() {
            target.proxy.set(LinkFault::None);
        }
        self.origin_proxy().set(LinkFault::None);
        self.wait_served();
        wait_until("every engine serves the newest weights", || {
            self.models()
                .all(|t| t.model.state().version == self.weights())
        });
        self.0.over.store(true, Ordering::SeqCst);
    }

    /// Ends all processes.
    pub fn end(&self) {
        self.0.over.store(true, Ordering::SeqCst);
        let mut cluster = self
            .0
            .cluster
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        cluster.end();
    }

    /// Returns what each entry answers now, and the end of each process's log.
    ///
    /// A run that fails deletes its logs, and the message of a wait that never ended names no cause.
    pub fn describe(&self) -> String {
        let mut lines = Vec::new();
        for n in 0..ENTRIES {
            let addr = self.cluster().front_addr(n);
            for path in SERVED_PATHS {
                let answer = exchange(&addr, &get(path, &format!("late-probe-{n}"), ""));
                let answer = answer.map_or("no answer".to_owned(), |a| {
                    format!("{} {}", a.status, a.body.trim_end())
                });
                lines.push(format!("entry {n} answers {path}: {answer:.200}"));
            }
        }
        for n in 0..ENTRIES + self.agents().len() {
            let mut cluster = self.cluster();
            let state = if cluster.has_ended(n) {
                "ended"
            } else {
                "runs"
            };
            lines.push(format!("process {n} {state}"));
            let log = cluster.logged(n);
            let last = log.lines().rev().take(LOG_TAIL).collect::<Vec<&str>>();
            lines.extend(last.iter().rev().map(|line| format!("  {line:.400}")));
        }
        lines.join("\n")
    }

    /// Returns a violation if engines got orders to load corrupt or missing pieces.
    pub fn wrong_loads(&self) -> Vec<String> {
        let wrong: u32 = self.models().map(|t| t.model.state().bad_loads).sum();
        let violation = (wrong > 0).then(|| format!("{wrong} loads of corrupt or missing pieces"));
        violation.into_iter().collect()
    }

    /// Returns a violation if engines got requests while they served corrupt, missing or mixed pieces.
    pub fn wrong_answers(&self) -> Vec<String> {
        let wrong: u32 = self.models().map(|t| t.model.state().bad_answers).sum();
        let violation = (wrong > 0).then(|| format!("{wrong} requests ran on wrong weights"));
        violation.into_iter().collect()
    }

    /// Makes the origin send the next `count` lists with the same wrong digit.
    pub fn spoil_lists(&self, count: u64) {
        self.0.origin_store.spoil_lists(count);
    }

    /// Returns the number of runs of a request, at all engines.
    pub fn runs(&self, attempt: &str) -> u32 {
        let targets = self.targets().iter();
        targets.map(|target| target.runs_of(attempt)).sum()
    }
}

impl Target {
    fn start(service: &'static str, event_pause: Duration) -> Self {
        let runs: Arc<Mutex<BTreeMap<String, u32>>> = Arc::default();
        let model = Model::default();
        let (run_counts, weights) = (runs.clone(), model.clone());
        let behaviour = move |seen: &Received| {
            if let Some(answer) = weights.answer(seen) {
                return answer;
            }
            let attempt = seen.header("x-filbertstack-attempt-id");
            *run_counts
                .lock()
                .expect("not poisoned")
                .entry(attempt.into())
                .or_default() += 1;
            match service {
                "stream" => stream(seen, STREAM_EVENTS, 0),
                _ => answer(seen, "200 OK", &format!("answer to {attempt}")),
            }
        };
        let streams = model.state().streams.clone();
        let engine = Engine::with_streams(event_pause, streams, Box::new(behaviour));
        Self {
            service,
            proxy: Proxy::start(engine.addr),
            model,
            started_millis: AtomicU64::new(unix_millis()),
            sequence: AtomicU64::new(1),
            runs,
        }
    }

    fn runs_of(&self, attempt: &str) -> u32 {
        let runs = self.runs.lock().expect("not poisoned");
        runs.get(attempt).copied().unwrap_or(0)
    }

    /// Restarts the engine without loaded weights; if power was lost, staged pieces are lost too.
    pub fn restart(&self, power_lost: bool) {
        self.model.state().restart(power_lost);
        self.started_millis.store(unix_millis(), Ordering::SeqCst);
        self.sequence.store(1, Ordering::SeqCst);
    }
}

fn unix_millis() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    let millis = since.expect("after 1970").as_millis();
    u64::try_from(millis).expect("not for long")
}
