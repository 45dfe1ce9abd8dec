//! Runs entries, agents and stand-ins for engines and for the origin of weights.

use std::cell::Cell;
use std::io::Read as _;
use std::io::Write as _;
use std::net::TcpStream;
use std::time::Duration;

use serde_json::json;

use crate::cluster::Cluster;
use crate::cluster::document;
use crate::cluster::exchange;
use crate::cluster::get;
use crate::cluster::wait_until;
use crate::engine::Behaviour;
use crate::engine::Engine;
use crate::engine::answer;
use crate::engine::stream;
use crate::model::Model;
use crate::model::Origin;
use crate::model::services;

/// `Fleet` runs three entries, an origin, and engines with their agents.
pub struct Fleet {
    /// The processes.
    pub cluster: Cluster,
    /// The origin.
    pub origin: Origin,
    /// The model engines.
    pub models: Vec<Model>,
    /// The numbers of the agents, in the order of their engines.
    pub agents: Vec<usize>,
    /// The stand-ins that serve for the models.
    engines: Vec<Engine>,
}

impl Fleet {
    /// Starts the entries and `engines` engines that serve nothing yet.
    pub fn start(engines: usize) -> Self {
        let cluster = Cluster::start(3, 0);
        let origin = Origin::default();
        let served = origin.start();
        let mut declared = document(1);
        declared["services"] = services(served.addr);
        cluster.put_document(&[0], &declared);
        let mut fleet = Self {
            cluster,
            origin,
            models: Vec::new(),
            agents: Vec::new(),
            engines: Vec::new(),
        };
        for _ in 0..engines {
            fleet.add_engine();
        }
        fleet
    }

    /// Starts one more engine and its agent.
    pub fn add_engine(&mut self) {
        self.add_model(Model::default());
    }

    /// Starts one more engine with the state of `model`, and its agent.
    pub fn add_model(&mut self, model: Model) {
        let shared = model.clone();
        let engine = Engine::start(Box::new(move |received| {
            shared
                .answer(received)
                .unwrap_or_else(|| answer(received, "200 OK", "served"))
        }));
        self.agents
            .push(self.cluster.start_agent("stream", engine.addr));
        self.engines.push(engine);
        self.models.push(model);
    }

    /// Starts one more engine and its agent. It answers callers with streams of `events` events and pauses after
    /// each.
    pub fn add_streaming(&mut self, pause: Duration, events: u64) {
        self.add_behaving(pause, Box::new(move |received| stream(received, events, 0)));
    }

    /// Starts one more engine and its agent. It answers callers by `behaviour` and pauses after each event.
    pub fn add_behaving(&mut self, pause: Duration, behaviour: Behaviour) {
        let model = Model::default();
        let (shared, streams) = (model.clone(), model.state().streams.clone());
        let both: Behaviour = Box::new(move |received| {
            let answer = shared.answer(received);
            answer.unwrap_or_else(|| behaviour(received))
        });
        let engine = Engine::with_streams(pause, streams, both);
        self.agents
            .push(self.cluster.start_agent("stream", engine.addr));
        self.engines.push(engine);
        self.models.push(model);
    }

    /// Announces all engines, each under an id of its own.
    pub fn announce_all(&self) {
        for (n, engine) in self.engines.iter().enumerate() {
            let id = format!("i-{n}");
            self.cluster.register(0, &id, "stream", engine.addr);
        }
    }

    /// Announces all engines until each has begun a stream.
    pub fn await_all_serving(&self) {
        let asked = Cell::new(0);
        wait_until("all engines serve streams", || {
            self.announce_all();
            asked.set(asked.get() + 1);
            let request = get("/stream/", &format!("probe-{}", asked.get()), "");
            let mut caller = TcpStream::connect(self.cluster.front_addr(0)).expect("it listens");
            caller.write_all(request.as_bytes()).expect("sent");
            // The caller leaves after the first bytes of its answer.
            caller.read_exact(&mut [0; 12]).expect("an answer");
            self.engines.iter().all(has_streamed)
        });
    }

    /// Names a version, and repeats that until it is acknowledged.
    pub fn name_version(&self, version: u64) {
        self.origin.publish(version);
        let body = json!({"model": "m", "version": version}).to_string();
        wait_until("the version is named", || {
            let answer = self.cluster.control(0, "POST", "/version-put", &body);
            answer.is_some_and(|a| a.status == 200)
        });
    }

    /// Kills all processes at once and starts them again.
    pub fn restart_all(&mut self) {
        let all = 0..=self.agents.iter().copied().max().unwrap_or(2);
        for n in all.clone() {
            self.cluster.kill(n);
        }
        for n in all {
            self.cluster.ensure_running(n);
        }
    }

    /// Waits until all engines serve a version.
    pub fn await_version(&self, version: u64) {
        wait_until(&format!("all engines serve version {version}"), || {
            self.models.iter().all(|m| m.state().version == version)
        });
    }

    /// Waits until a caller's request ends with `status`. The first engine announces itself again before each
    /// request, under a new id.
    pub fn await_answer(&self, status: u16) {
        let asked = Cell::new(0);
        wait_until(&format!("a request ends with {status}"), || {
            asked.set(asked.get() + 1);
            let id = format!("{status}-{}", asked.get());
            self.cluster
                .announce(0, &id, "stream", self.engines[0].addr);
            let answer = exchange(&self.cluster.front_addr(0), &get("/stream/", &id, ""));
            answer.is_some_and(|a| a.status == status)
        });
    }

    /// Counts the loads that began while a piece was missing, corrupt or of another version.
    pub fn bad_loads(&self) -> u32 {
        self.models.iter().map(|m| m.state().bad_loads).sum()
    }
}

fn has_streamed(engine: &Engine) -> bool {
    let received = engine.received();
    received.iter().any(|r| r.line.starts_with("GET /stream/"))
}
