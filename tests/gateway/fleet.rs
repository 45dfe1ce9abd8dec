//! Entries, agents and stand-ins for engines and for the origin of weights.

use std::cell::Cell;
use std::net::SocketAddr;

use serde_json::json;

use crate::cluster::Cluster;
use crate::cluster::document;
use crate::cluster::exchange;
use crate::cluster::get;
use crate::cluster::wait_until;
use crate::engine::Engine;
use crate::engine::answer;
use crate::model::Model;
use crate::model::Origin;
use crate::model::services;

/// Three entries, an origin, and engines with their agents.
pub struct Fleet {
    /// The processes.
    pub world: Cluster,
    /// The origin.
    pub origin: Origin,
    /// What each engine holds.
    pub models: Vec<Model>,
    /// The numbers of the agents, in the order of their engines.
    pub agents: Vec<usize>,
    /// Where each engine serves.
    addrs: Vec<SocketAddr>,
}

impl Fleet {
    /// Starts the entries and `engines` engines that serve nothing yet.
    pub fn start(engines: usize) -> Self {
        let world = Cluster::start(3, 0);
        let origin = Origin::default();
        let served = origin.start();
        let mut declared = document(1);
        declared["services"] = services(served.addr);
        world.put(&[0], &declared);
        let mut fleet = Self {
            world,
            origin,
            models: Vec::new(),
            agents: Vec::new(),
            addrs: Vec::new(),
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

    /// Starts one more engine, which holds what `model` does, and its agent.
    pub fn add_model(&mut self, model: Model) {
        let held = model.clone();
        let engine = Engine::start(Box::new(move |seen| {
            held.answer(seen)
                .unwrap_or_else(|| answer(seen, "200 OK", "served"))
        }));
        self.addrs.push(engine.addr);
        self.agents
            .push(self.world.start_agent("stream", engine.addr));
        self.models.push(model);
    }

    /// Names a version until it is acknowledged.
    pub fn name(&self, version: u64) {
        self.origin.publish(version);
        let body = json!({"model": "m", "version": version}).to_string();
        wait_until("the version is named", || {
            let answer = self.world.control(0, "POST", "/version-put", &body);
            answer.is_some_and(|a| a.status == 200)
        });
    }

    /// Kills all processes at once and starts them again.
    pub fn restart_all(&mut self) {
        let all = 0..=self.agents.iter().copied().max().unwrap_or(2);
        for n in all.clone() {
            self.world.kill(n);
        }
        for n in all {
            self.world.ensure_running(n);
        }
    }

    /// Waits until all engines serve a version.
    pub fn await_version(&self, version: u64) {
        wait_until(&format!("all engines serve version {version}"), || {
            self.models.iter().all(|m| m.state().version == version)
        });
    }

    /// Waits until a caller's request ends with `status`. The first engine announces itself anew before
    /// each, under an id of its own.
    pub fn await_answer(&self, status: u16) {
        let asked = Cell::new(0);
        wait_until(&format!("a request ends with {status}"), || {
            asked.set(asked.get() + 1);
            let id = format!("{status}-{}", asked.get());
            self.world.announce(0, &id, "stream", self.addrs[0]);
            let answer = exchange(&self.world.front_addr(0), &get("/stream/", &id, ""));
            answer.is_some_and(|a| a.status == status)
        });
    }

    /// How many loads began with pieces that were not the version's.
    pub fn bad_loads(&self) -> u32 {
        self.models.iter().map(|m| m.state().bad_loads).sum()
    }
}
