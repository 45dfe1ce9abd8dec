//! Entries, agents and stand-ins for engines and for the origin of weights.

use serde_json::json;

use crate::engine::Engine;
use crate::model::Model;
use crate::model::Origin;
use crate::model::services;
use crate::world::World;
use crate::world::document;
use crate::world::until;

/// Three entries, an origin, and engines with their agents.
pub struct Fleet {
    /// The processes.
    pub world: World,
    /// The origin.
    pub origin: Origin,
    /// What each engine holds.
    pub models: Vec<Model>,
    /// The numbers of the agents, in the order of their engines.
    pub agents: Vec<usize>,
}

impl Fleet {
    /// Starts the entries and `engines` engines that serve nothing yet.
    pub fn start(engines: usize) -> Self {
        let world = World::start(3, 0);
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
        let engine = Engine::start(Box::new(move |seen| held.answer(seen).unwrap_or_default()));
        self.agents
            .push(self.world.start_agent("stream", engine.addr));
        self.models.push(model);
    }

    /// Names a version until it is acknowledged.
    pub fn name(&self, version: u64) {
        self.origin.publish(version);
        let body = json!({"model": "m", "version": version}).to_string();
        until("the version is named", || {
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
            self.world.launch_again(n);
        }
    }

    /// Waits until all engines serve a version.
    pub fn await_version(&self, version: u64) {
        until(&format!("all engines serve version {version}"), || {
            self.models.iter().all(|m| m.held().version == version)
        });
    }

    /// How many loads began with pieces that were not the version's.
    pub fn wrong_orders(&self) -> u32 {
        self.models.iter().map(|m| m.held().wrong_orders).sum()
    }
}
