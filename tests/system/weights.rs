//! Weights reach the targets although processes are killed, bytes are damaged and versions change.

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

use crate::support::Process;
use crate::support::System;
use crate::support::TEST_TIMEOUT;
use crate::support::Weights;
use crate::support::completion_text;
use crate::support::declaration;
use crate::support::post;

/// The size of the weights in bytes.
const WEIGHTS_BYTES: usize = 2 << 20;

/// The origin's rate in bytes per second: a copy takes some seconds, so that a fault can occur during it.
const BYTES_PER_SEC: u64 = 256 << 10;

/// A system of entries, agents and their engines.
struct Cluster {
    system: System,
    entries: Vec<Process>,
    engines: Vec<Engine>,
    agents: Vec<Process>,
}

impl Cluster {
    fn new(entries: usize, targets: usize) -> Self {
        let system = System::new(entries);
        let entries = system.start_entries();
        let mut cluster = Self {
            system,
            entries,
            engines: Vec::new(),
            agents: Vec::new(),
        };
        for n in 0..targets {
            let engine = Engine::start(EngineConfig::default()).expect("an engine");
            cluster.engines.push(engine);
            cluster.agents.push(cluster.start_agent(n));
        }
        cluster.system.wait_status("the targets", |status| {
            let all = status["targets"].as_array();
            all.is_some_and(|all| all.len() == targets)
        });
        cluster
    }

    fn start_agent(&self, n: usize) -> Process {
        let addr = self.engines[n].addr();
        self.system
            .start_agent(&format!("engine-{n}"), "engine", addr, "role=llm")
    }

    fn publish(&self, seed: u8) -> Published {
        let weights = self.system.weights(seed, WEIGHTS_BYTES);
        let mut config = OriginConfig::new(weights.dir());
        config.rate = Some(Rate {
            bytes: BYTES_PER_SEC,
            burst: BYTES_PER_SEC / 8,
        });
        let origin = Origin::start(config).expect("an origin");
        let url = format!("http://{}", origin.addr());
        let version = self.system.run_command(&[
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

    /// Applies the version without waiting for the client, as the copy begins before the client exits.
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

/// A published version and its origin.
struct Published {
    weights: Weights,
    origin: Origin,
    version: String,
}

impl Published {
    /// Returns the bytes that the origin has sent, in percent of the weights' size.
    fn sent_percent(&self) -> u64 {
        self.origin.stats().bytes * 100 / (WEIGHTS_BYTES as u64)
    }

    fn wait_percent(&self, percent: u64) {
        let until = Instant::now() + TEST_TIMEOUT;
        while self.sent_percent() < percent {
            assert!(Instant::now() < until, "only {} %", self.sent_percent());
            std::thread::sleep(Duration::from_millis(10));
        }
        assert!(self.sent_percent() < 95, "the copy had already finished");
    }
}

// An agent is killed while other targets fetch chunks from it. They use other sources; only chunks that
// no other target holds are fetched from the origin again. Otherwise the copy would miss a
// chunk, or every target would fetch from the origin.
#[test]
fn a_killed_source_is_replaced() {
    let mut cluster = Cluster::new(1, 6);
    let published = cluster.publish(1);
    cluster.apply(&published, 6);
    published.wait_percent(40);
    cluster.agents[0].kill();
    cluster.wait_serving(5);
    cluster.check_answer(&published);
    assert!(
        published.sent_percent() < 150,
        "{} %",
        published.sent_percent()
    );
}

// The origin sends damaged bytes of the manifest and of chunks. They are neither loaded nor passed on,
// but fetched again, and the engines answer from the published weights.
#[test]
fn damaged_bytes_from_the_origin_are_fetched_again() {
    let cluster = Cluster::new(1, 3);
    let published = cluster.publish(1);
    let corrupt = |corrupt| {
        published.origin.set_faults(FileFaults {
            corrupt,
            ..FileFaults::default()
        });
    };
    // The manifest is fetched first, and again until it is intact.
    corrupt(2);
    cluster.apply(&published, 3);
    published.wait_percent(10);
    corrupt(6);
    cluster.wait_serving(3);
    cluster.check_answer(&published);
    let whole = fs::read(format!("{}/model.bin", published.weights.dir())).expect("readable");
    for n in 0..3 {
        let files = format!("data-engine-{n}/files/{}/model.bin", published.version);
        let loaded = fs::read(cluster.system.dir.path().join(files)).expect("loaded files");
        assert!(loaded == whole, "engine-{n} loaded damaged bytes");
    }
    assert!(
        published.sent_percent() < 150,
        "{} %",
        published.sent_percent()
    );
}

// The leader is killed during a copy. Targets continue to fetch from each other; the next leader counts
// the chunks that they hold as present and grants only the others.
#[test]
fn a_copy_continues_after_its_leader_is_killed() {
    let mut cluster = Cluster::new(3, 3);
    let published = cluster.publish(1);
    cluster.apply(&published, 3);
    published.wait_percent(50);
    let status = cluster
        .system
        .wait_status("a leader", |status| status["leader"].is_string());
    let leader = status["leader"].as_str().expect("an address").to_owned();
    let entries = &cluster.system.entries;
    let at = entries
        .iter()
        .position(|entry| entry.links.to_string() == leader);
    cluster.entries[at.expect("one of the entries")].kill();
    cluster.wait_serving(3);
    assert!(
        published.sent_percent() < 130,
        "{} %",
        published.sent_percent()
    );
}

// An operator applies a second version while the first is being copied. The deployment ends with the
// second version, which its origin sends only once, and answers come from it. A change of version needs
// a spare instance, so there are four for three replicas.
#[test]
fn a_second_version_replaces_one_being_copied() {
    let cluster = Cluster::new(1, 4);
    let (first, second) = (cluster.publish(1), cluster.publish(2));
    cluster.apply(&first, 3);
    first.wait_percent(30);
    cluster.apply(&second, 3);
    cluster.system.wait_status("the second version", |status| {
        let deployment = &status["deployments"][0];
        deployment["version"].as_str() == Some(&second.version) && deployment["met"] == true
    });
    cluster.check_answer(&second);
    assert!(second.sent_percent() < 130, "{} %", second.sent_percent());
}

// An agent is killed during a copy and restarted with its disk. It does not fetch its chunks again:
// the origin sends again only the few that were in transfer.
#[test]
fn a_restarted_agent_keeps_its_chunks() {
    let mut cluster = Cluster::new(1, 1);
    let published = cluster.publish(1);
    cluster.apply(&published, 1);
    published.wait_percent(60);
    cluster.agents[0].kill();
    let chunks = cluster.system.dir.path().join("data-engine-0/chunks");
    assert!(fs::read_dir(chunks).expect("a folder").next().is_some());
    cluster.agents[0] = cluster.start_agent(0);
    cluster.wait_serving(1);
    cluster.check_answer(&published);
    assert!(
        published.sent_percent() < 130,
        "{} %",
        published.sent_percent()
    );
}
