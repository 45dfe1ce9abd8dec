//! Every entry knows all entries and all targets, whichever entries a target connects to.

use std::collections::BTreeSet;
use std::fs;
use std::net::SocketAddr;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use serde_json::Value;
use serde_json::json;

use crate::support::CALLER_KEY;
use crate::support::OPERATOR_KEY;
use crate::support::Process;
use crate::support::System;
use crate::support::TEST_TIMEOUT;
use crate::support::Weights;
use crate::support::completion_text;
use crate::support::declaration;
use crate::support::post;
use crate::support::try_post;

/// The number of entries; the first three are voters, and agents' settings name only these.
const ENTRIES: usize = 5;

/// An entry that is no voter and that only its own settings name.
const LAST_ENTRY: usize = ENTRIES - 1;

struct Fleet {
    system: System,
    entries: Vec<Process>,
    agents: Vec<Process>,
    engines: Vec<Process>,
    weights: Weights,
    _origin: Process,
}

/// Starts five entries, and two engines that serve one model.
fn start_fleet() -> Fleet {
    let system = System::with_voters(ENTRIES, 3);
    for entry in &system.entries {
        let text = fs::read_to_string(&entry.settings).expect("readable");
        let text = text.replace("max-age = 1s", "max-age = 10s");
        fs::write(&entry.settings, text).expect("written");
    }
    let entries = system.start_entries();
    let weights = system.weights(6, 1 << 20);
    let origin = Process::start(&["stand-in", "origin", weights.dir()]);
    let url = format!("http://{}", origin.addr("listening"));
    let (mut agents, mut engines) = (Vec::new(), Vec::new());
    for n in 0..2 {
        let engine = Process::start(&["stand-in", "engine", "--step-ms", "2"]);
        agents.push(start_agent(&system, n, engine.addr("listening")));
        engines.push(engine);
    }
    let dir = weights.dir();
    let version = system.run_command(&["publish", dir, "--model", "draft-model", "--origin", &url]);
    system.wait_status("two targets", |status| target_names(status).len() == 2);
    system.apply(&declaration(&version, 2, true));
    system.wait_met();
    Fleet {
        system,
        entries,
        agents,
        engines,
        weights,
        _origin: origin,
    }
}

/// Starts an agent whose settings name only the voters.
fn start_agent(system: &System, n: usize, url: SocketAddr) -> Process {
    let path = system.agent_settings(&format!("engine-{n}"), "engine", url, "role=llm");
    let mut text = fs::read_to_string(&path).expect("readable");
    for entry in &system.entries[3..] {
        text = text.replace(&format!(", {}", entry.links), "");
    }
    fs::write(&path, text).expect("written");
    Process::start(&["agent", "--settings", path.to_str().expect("UTF-8")])
}

fn get_json(addr: SocketAddr, path: &str, key: &str) -> Option<Value> {
    let call = ureq::get(format!("http://{addr}{path}"));
    let call = call.header("authorization", format!("Bearer {key}"));
    let mut response = call.call().ok()?;
    let text = response.body_mut().read_to_string().ok()?;
    serde_json::from_str(&text).ok()
}

/// Returns the entries that the entry at `addr` lists for callers.
fn listed_entries(addr: SocketAddr) -> BTreeSet<String> {
    let answer = get_json(addr, "/v1/entries", CALLER_KEY).unwrap_or_default();
    let entries = answer["entries"].as_array().cloned().unwrap_or_default();
    let addrs = entries.iter().filter_map(|entry| entry["addr"].as_str());
    addrs.map(ToOwned::to_owned).collect()
}

fn target_names(status: &Value) -> BTreeSet<String> {
    let targets = status["targets"].as_array().cloned().unwrap_or_default();
    let names = targets.iter().filter_map(|target| target["name"].as_str());
    names.map(ToOwned::to_owned).collect()
}

/// Returns the targets that the entry at `addr` knows.
fn known_targets(addr: SocketAddr) -> BTreeSet<String> {
    target_names(&get_json(addr, "/operator/status", OPERATOR_KEY).unwrap_or_default())
}

fn wait_until(what: &str, wanted: impl Fn() -> bool) {
    let until = Instant::now() + TEST_TIMEOUT;
    while !wanted() {
        assert!(Instant::now() < until, "timed out waiting for: {what}");
        thread::sleep(Duration::from_millis(50));
    }
}

impl Fleet {
    fn addrs(&self) -> BTreeSet<String> {
        let entries = self.system.entries.iter();
        entries.map(|entry| entry.http.to_string()).collect()
    }

    fn wait_all_listed(&self) {
        let all = self.addrs();
        for entry in &self.system.entries {
            wait_until("all entries listed", || listed_entries(entry.http) == all);
        }
    }

    fn wait_removed(&self, n: usize) {
        let mut remaining = self.addrs();
        remaining.remove(&self.system.entries[n].http.to_string());
        for (other, entry) in self.system.entries.iter().enumerate() {
            if other != n {
                wait_until("one entry no longer listed", || {
                    listed_entries(entry.http) == remaining
                });
            }
        }
    }

    /// Checks that the answer is exact; `Err` holds the error or the refusal.
    fn check_answer(&self, addr: SocketAddr, prompt: &str) -> Result<(), String> {
        let body = json!({ "model": "draft-model", "prompt": prompt, "max_tokens": 3 });
        let answer = try_post(addr, "/v1/completions", &[], &body.to_string())?;
        if answer.status != 200 {
            return Err(answer.text());
        }
        assert_eq!(completion_text(&answer), self.weights.answer(prompt, 3));
        Ok(())
    }
}

// Each entry serves the model and lists all five entries to callers, although agents' settings name
// only the voters, and no other process's settings name the last two entries.
// An entry that knew only the agents and entries connected to itself would refuse every request, and
// callers would all stay with the first entry they used.
#[test]
fn every_entry_knows_all_entries_and_all_targets() {
    let fleet = start_fleet();
    fleet.wait_all_listed();
    for entry in &fleet.system.entries {
        wait_until("both targets known", || {
            known_targets(entry.http).len() == 2
        });
        let body = json!({ "model": "draft-model", "prompt": "hello", "max_tokens": 3 });
        let answer = post(entry.http, "/v1/completions", &[], &body.to_string());
        assert_eq!(answer.status, 200, "{}", answer.text());
        assert_eq!(completion_text(&answer), fleet.weights.answer("hello", 3));
    }
}

// An entry that is being stopped answers callers for as long as any entry lists it, and also right
// after, for callers that have kept its address.
// The entry gets SIGTERM, the other entries learn of it and no longer list it.
#[test]
fn a_stopped_entry_answers_while_it_is_listed() {
    let fleet = start_fleet();
    fleet.wait_all_listed();
    let leaving = fleet.system.entries[LAST_ENTRY].http;
    wait_until("the model served", || {
        fleet.check_answer(leaving, "before").is_ok()
    });
    fleet.entries[LAST_ENTRY].signal("TERM");
    let mut remaining = fleet.addrs();
    remaining.remove(&leaving.to_string());
    for (n, entry) in fleet.system.entries[..LAST_ENTRY].iter().enumerate() {
        wait_until("the leaving entry no longer listed", || {
            let answered = fleet.check_answer(leaving, &format!("listed by {n}"));
            assert_eq!(answered, Ok(()), "the entry was still listed");
            listed_entries(entry.http) == remaining
        });
    }
    assert_eq!(
        fleet.check_answer(leaving, "kept"),
        Ok(()),
        "a caller had kept its address"
    );
    assert!(!listed_entries(leaving).contains(&leaving.to_string()));
}

// After an entry and an agent are killed, the entry is no longer listed to callers and the target is
// no longer known. Once the agent has restarted, all entries know the target again: the state of the
// new process takes precedence over that of the old one.
#[test]
fn killed_processes_are_removed_and_a_restarted_target_returns() {
    let mut fleet = start_fleet();
    fleet.wait_all_listed();
    for entry in &fleet.system.entries {
        wait_until("both targets known", || {
            known_targets(entry.http).len() == 2
        });
    }
    fleet.entries[LAST_ENTRY].kill();
    fleet.agents[1].kill();
    fleet.wait_removed(LAST_ENTRY);
    let left = BTreeSet::from(["engine-0".to_owned()]);
    for entry in &fleet.system.entries[..LAST_ENTRY] {
        wait_until("the killed target removed", || {
            known_targets(entry.http) == left
        });
    }
    let url = fleet.engines[1].addr("listening");
    fleet.agents[1] = start_agent(&fleet.system, 1, url);
    for entry in &fleet.system.entries[..LAST_ENTRY] {
        wait_until("the restarted target back", || {
            known_targets(entry.http).len() == 2
        });
    }
}

// Two entries find each other through a seed, an address without a name, while no voter runs.
// Entries that asked only voters would list only themselves meanwhile, and a caller would lose access
// with the only address it had.
#[test]
fn entries_find_each_other_by_a_seed_without_voters() {
    let system = System::with_voters(3, 1);
    let (seed, other) = (&system.entries[1], &system.entries[2]);
    let text = fs::read_to_string(&other.settings).expect("readable");
    let own = format!("seeds = {}", other.links);
    assert!(text.contains(&own));
    let text = text.replace(&own, &format!("seeds = {}", seed.links));
    fs::write(&other.settings, text).expect("written");
    let _entries = [system.start_entry(1), system.start_entry(2)];
    let both = BTreeSet::from([seed.http.to_string(), other.http.to_string()]);
    for entry in [seed, other] {
        wait_until("both entries listed", || listed_entries(entry.http) == both);
    }
}

// A stopped entry refuses new requests after its departure, as not run and with a retry-after header,
// and finishes the answer in progress.
// A long answer keeps the entry running beyond its departure. An entry that accepted new requests
// meanwhile would never exit under load.
#[test]
fn a_departed_entry_refuses_new_requests_and_finishes_others() {
    let system = System::new(1);
    let mut entry = system.start_entry(0);
    let service = Process::start(&["stand-in", "service", "desk", "--latency-ms", "12000"]);
    let _agent = system.start_agent("desk-0", "service", service.addr("listening"), "role=desk");
    system.wait_status("the desk", |status| target_names(status).len() == 1);
    system.apply(
        "[rule desk]\norder = 20\npath = /desk/\ninstances = role=desk\n\
         idempotent = false\ntimeout = 30s\n",
    );
    let addr = system.entries[0].http;
    thread::scope(|scope| {
        let keyed = [("idempotency-key", "long")];
        let long = scope.spawn(move || post(addr, "/desk/long", &keyed, "a long one"));
        wait_until("the long request started", || long_started(&service));
        entry.signal("TERM");
        let refused = || {
            let late = [("content-type", "text/plain")];
            let answer = try_post(addr, "/nothing", &late, "late").expect("a whole answer");
            let again = !answer.header("retry-after").is_empty();
            answer.status == 503 && again && answer.header("x-filbertstack-outcome") == "not-run"
        };
        wait_until("new requests refused", refused);
        assert_eq!(long.join().expect("an answer").status, 200);
    });
    assert!(entry.wait().success());
}

/// Returns whether the request with the key `long` has reached the service.
fn long_started(service: &Process) -> bool {
    let url = format!("http://{}/admin/runs", service.addr("listening"));
    let mut response = ureq::get(url).call().expect("answers");
    let text = response.body_mut().read_to_string().expect("a body");
    let runs: Value = serde_json::from_str(&text).expect("JSON");
    runs["by_key"]["long"].is_u64()
}
