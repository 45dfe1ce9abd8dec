//! Weights reach the targets while processes die, bytes are damaged and versions change.

use std::fs;
use std::process::Command;
use std::process::Stdio;
use std::time::Duration;
use std::time::Instant;

use filbertstack_standins::Engine;
use filbertstack_standins::EngineConfig;
use filbertstack_standins::FileFaults;
use filbertstack_standins::Origin;
use filbertstack_standins::OriginConfig;
use filbertstack_standins::Rate;

use crate::support::PATIENCE;
use crate::support::Process;
use crate::support::System;
use crate::support::Weights;
use crate::support::completion_text;
use crate::support::declaration;
use crate::support::post;

const SIZE: usize = 2 << 20;

/// The copy takes some seconds at this rate, so that it can be met half way.
const RATE: u64 = 256 << 10;

/// Entries, agents and their engines.
struct World {
    system: System,
    entries: Vec<Process>,
    engines: Vec<Engine>,
    agents: Vec<Process>,
}

impl World {
    fn new(entries: usize, targets: usize) -> Self {
        let system = System::new(entries);
        let entries = system.start_entries();
        let mut world = Self {
            system,
            entries,
            engines: Vec::new(),
            agents: Vec::new(),
        };
        for n in 0..targets {
            let engine = Engine::start(EngineConfig::default()).expect("an engine");
            world.engines.push(engine);
            world.agents.push(world.agent(n));
        }
        world.system.wait_status("the targets", |status| {
            let all = status["targets"].as_array();
            all.is_some_and(|all| all.len() == targets)
        });
        world
    }

    fn agent(&self, n: usize) -> Process {
        let addr = self.engines[n].addr();
        self.system
            .start_agent(&format!("engine-{n}"), "engine", addr, "role=llm")
    }

    fn publish(&self, seed: u8) -> Published {
        let weights = self.system.weights(seed, SIZE);
        let mut config = OriginConfig::new(weights.dir());
        config.rate = Some(Rate {
            bytes: RATE,
            burst: RATE / 8,
        });
        let origin = Origin::start(config).expect("an origin");
        let url = format!("http://{}", origin.addr());
        let version = self.system.operate(&[
            "publish",
            weights.dir(),
            "--model",
            "draft-model",
            "--origin",
            &url,
            "--chunk-size",
            "32KiB",
        ]);
        Published {
            weights,
            origin,
            version,
        }
    }

    /// Applies the version and does not wait for the client: the copy begins before it ends.
    fn apply(&self, published: &Published, replicas: usize) {
        let path = self.system.dir.path().join(&published.version);
        let text = declaration(&published.version, replicas, true);
        fs::write(&path, text).expect("written");
        let entries = self.system.entries.iter();
        let entries = entries.flat_map(|e| ["--entry".to_owned(), e.http.to_string()]);
        let mut client = Command::new(env!("CARGO_BIN_EXE_filbertstack"))
            .arg("apply")
            .arg(path)
            .args(entries)
            .arg("--key-file")
            .arg(self.system.dir.path().join("operators.keys"))
            .stdout(Stdio::null())
            .spawn()
            .expect("the client runs");
        std::thread::spawn(move || client.wait());
    }

    fn wait_serving(&self, replicas: u64) {
        self.system.wait_status("the replicas", |status| {
            status["deployments"][0]["serving"].as_u64() == Some(replicas)
        });
    }

    fn check_answer(&self, published: &Published) {
        let http = self.system.entries.last().expect("an entry").http;
        let body = r#"{"model":"draft-model","prompt":"list","max_tokens":7}"#;
        let answer = post(http, "/v1/completions", &[], body);
        assert_eq!(answer.status, 200, "{}", answer.text());
        assert_eq!(answer.header("x-filbertstack-version"), published.version);
        let exact = published.weights.answer("list", 7);
        assert_eq!(completion_text(&answer), exact);
    }
}

/// A version at an origin of its own.
struct Published {
    weights: Weights,
    origin: Origin,
    version: String,
}

impl Published {
    /// Percent of the weights' size that has left the origin.
    fn percent(&self) -> u64 {
        self.origin.stats().bytes * 100 / (SIZE as u64)
    }

    fn wait_percent(&self, percent: u64) {
        let until = Instant::now() + PATIENCE;
        while self.percent() < percent {
            assert!(Instant::now() < until, "only {} %", self.percent());
            std::thread::sleep(Duration::from_millis(10));
        }
        assert!(self.percent() < 95, "the copy was over before its middle");
    }
}

// An instance dies while it passes chunks on. Those that fetched from it ask others; the chunks
// that only it had brought in come from the origin once more, and no others do. Without that the
// copy would end one chunk short, or every target would go to the origin.
#[test]
fn an_upstream_that_dies_is_replaced() {
    let mut world = World::new(1, 6);
    let published = world.publish(1);
    world.apply(&published, 6);
    published.wait_percent(40);
    world.agents[0].kill();
    world.wait_serving(5);
    world.check_answer(&published);
    assert!(published.percent() < 150, "{} %", published.percent());
}

// The origin sends damaged bytes, for the manifest as well as for chunks. Nothing of them is
// loaded or passed on: each is fetched anew, and the engines answer from what was published.
#[test]
fn damaged_bytes_from_the_origin_are_fetched_anew() {
    let world = World::new(1, 3);
    let published = world.publish(1);
    let corrupt = |corrupt| {
        published.origin.set_faults(FileFaults {
            corrupt,
            ..FileFaults::default()
        });
    };
    // The manifest is asked for first, and until it is whole.
    corrupt(2);
    world.apply(&published, 3);
    published.wait_percent(10);
    corrupt(6);
    world.wait_serving(3);
    world.check_answer(&published);
    let whole = fs::read(format!("{}/model.bin", published.weights.dir())).expect("readable");
    for n in 0..3 {
        let files = format!("data-engine-{n}/files/{}/model.bin", published.version);
        let loaded = fs::read(world.system.dir.path().join(files)).expect("loaded files");
        assert!(loaded == whole, "engine-{n} loaded damaged bytes");
    }
    assert!(published.percent() < 150, "{} %", published.percent());
}

// The leader is killed in the middle of a copy. Targets go on fetching from each other; the next
// leader takes the chunks that they hold as landed and grants only the rest.
#[test]
fn a_copy_outlives_its_leader() {
    let mut world = World::new(3, 3);
    let published = world.publish(1);
    world.apply(&published, 3);
    published.wait_percent(50);
    let status = world
        .system
        .wait_status("a leader", |status| status["leader"].is_string());
    let leader = status["leader"].as_str().expect("an address").to_owned();
    let entries = &world.system.entries;
    let at = entries
        .iter()
        .position(|entry| entry.links.to_string() == leader);
    world.entries[at.expect("one of the entries")].kill();
    world.wait_serving(3);
    assert!(published.percent() < 130, "{} %", published.percent());
}

// An operator applies the next version while the first is being copied. All targets end at the
// next one, which leaves its origin once; answers come from it alone. A change of version needs a
// spare instance, hence the fourth.
#[test]
fn a_second_version_overtakes_the_first() {
    let world = World::new(1, 4);
    let (first, second) = (world.publish(1), world.publish(2));
    world.apply(&first, 3);
    first.wait_percent(30);
    world.apply(&second, 3);
    world.system.wait_status("the second version", |status| {
        let deployment = &status["deployments"][0];
        deployment["version"].as_str() == Some(&second.version) && deployment["met"] == true
    });
    world.check_answer(&second);
    assert!(second.percent() < 130, "{} %", second.percent());
}

// An agent is killed half way and started again with its disk. The chunks that it had are not
// fetched again: more than the few that were on their way would show at the origin.
#[test]
fn a_restarted_agent_fetches_no_good_chunk_again() {
    let mut world = World::new(1, 1);
    let published = world.publish(1);
    world.apply(&published, 1);
    published.wait_percent(60);
    world.agents[0].kill();
    let chunks = world.system.dir.path().join("data-engine-0/chunks");
    assert!(fs::read_dir(chunks).expect("a folder").next().is_some());
    world.agents[0] = world.agent(0);
    world.wait_serving(1);
    world.check_answer(&published);
    assert!(published.percent() < 130, "{} %", published.percent());
}
