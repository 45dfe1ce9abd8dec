//! Every entry knows every entry and every target, whichever of them a target talks to.

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
use crate::support::PATIENCE;
use crate::support::Process;
use crate::support::System;
use crate::support::Weights;
use crate::support::completion_text;
use crate::support::declaration;
use crate::support::post;
use crate::support::try_post;

/// Entries; the first three of them vote, and only these are told to agents by their settings.
const ENTRIES: usize = 5;

/// An entry that does not vote and that nobody's settings name.
const LAST: usize = ENTRIES - 1;

struct Fleet {
    system: System,
    entries: Vec<Process>,
    agents: Vec<Process>,
    engines: Vec<Process>,
    weights: Weights,
    _origin: Process,
}

/// Five entries, and two engines that serve one model.
fn fleet() -> Fleet {
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
    let version = system.operate(&["publish", dir, "--model", "draft-model", "--origin", &url]);
    system.wait_status("two targets", |status| targets_of(status).len() == 2);
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

/// Starts an agent whose settings name the voters alone.
fn start_agent(system: &System, n: usize, url: SocketAddr) -> Process {
    let path = system.agent_settings(&format!("engine-{n}"), "engine", url, "role=llm");
    let mut text = fs::read_to_string(&path).expect("readable");
    for entry in &system.entries[3..] {
        text = text.replace(&format!(", {}", entry.links), "");
    }
    fs::write(&path, text).expect("written");
    Process::start(&["agent", "--settings", path.to_str().expect("UTF-8")])
}

fn get(addr: SocketAddr, path: &str, key: &str) -> Option<Value> {
    let call = ureq::get(format!("http://{addr}{path}"));
    let call = call.header("authorization", format!("Bearer {key}"));
    let mut response = call.call().ok()?;
    let text = response.body_mut().read_to_string().ok()?;
    serde_json::from_str(&text).ok()
}

/// The entries that `addr` tells a caller to use.
fn told(addr: SocketAddr) -> BTreeSet<String> {
    let answer = get(addr, "/v1/entries", CALLER_KEY).unwrap_or_default();
    let entries = answer["entries"].as_array().cloned().unwrap_or_default();
    let addrs = entries.iter().filter_map(|entry| entry["addr"].as_str());
    addrs.map(ToOwned::to_owned).collect()
}

fn targets_of(status: &Value) -> BTreeSet<String> {
    let targets = status["targets"].as_array().cloned().unwrap_or_default();
    let names = targets.iter().filter_map(|target| target["name"].as_str());
    names.map(ToOwned::to_owned).collect()
}

/// The targets that the entry at `addr` itself knows.
fn targets(addr: SocketAddr) -> BTreeSet<String> {
    targets_of(&get(addr, "/operator/status", OPERATOR_KEY).unwrap_or_default())
}

fn wait(what: &str, wanted: impl Fn() -> bool) {
    let until = Instant::now() + PATIENCE;
    while !wanted() {
        assert!(Instant::now() < until, "{what} did not come to be");
        thread::sleep(Duration::from_millis(50));
    }
}

impl Fleet {
    fn addrs(&self) -> BTreeSet<String> {
        let entries = self.system.entries.iter();
        entries.map(|entry| entry.http.to_string()).collect()
    }

    fn wait_all_told(&self) {
        let all = self.addrs();
        for entry in &self.system.entries {
            wait("all entries told", || told(entry.http) == all);
        }
    }

    fn wait_dropped(&self, n: usize) {
        let mut rest = self.addrs();
        rest.remove(&self.system.entries[n].http.to_string());
        for (other, entry) in self.system.entries.iter().enumerate() {
            if other != n {
                wait("one entry less told", || told(entry.http) == rest);
            }
        }
    }

    /// Whether the answer is right; `Err` says what came instead.
    fn ask(&self, addr: SocketAddr, prompt: &str) -> Result<(), String> {
        let body = json!({ "model": "draft-model", "prompt": prompt, "max_tokens": 3 });
        let answer = try_post(addr, "/v1/completions", &[], &body.to_string())?;
        if answer.status != 200 {
            return Err(answer.text());
        }
        assert_eq!(completion_text(&answer), self.weights.answer(prompt, 3));
        Ok(())
    }
}

// Each entry answers for the model and tells callers of all five, though agents' settings name
// only the voters, and no settings name the last two entries.
// An entry that knew only who talks to itself would refuse every request, and callers would all
// stay with the entry they asked.
#[test]
fn every_entry_knows_all_entries_and_all_targets() {
    let fleet = fleet();
    fleet.wait_all_told();
    for entry in &fleet.system.entries {
        wait("both targets known", || targets(entry.http).len() == 2);
        let body = json!({ "model": "draft-model", "prompt": "hello", "max_tokens": 3 });
        let answer = post(entry.http, "/v1/completions", &[], &body.to_string());
        assert_eq!(answer.status, 200, "{}", answer.text());
        assert_eq!(completion_text(&answer), fleet.weights.answer("hello", 3));
    }
}

// A caller asks an entry where to go, is told of one that is leaving, and goes there: it is
// answered, for as long as any entry tells of it, and once more with the address kept from then.
// The entry gets SIGTERM, the others hear of it, and it is no longer told.
#[test]
fn an_entry_that_leaves_answers_for_as_long_as_callers_are_told_of_it() {
    let fleet = fleet();
    fleet.wait_all_told();
    let leaver = fleet.system.entries[LAST].http;
    wait("the model served", || fleet.ask(leaver, "before").is_ok());
    fleet.entries[LAST].signal("TERM");
    let mut rest = fleet.addrs();
    rest.remove(&leaver.to_string());
    for (n, entry) in fleet.system.entries[..LAST].iter().enumerate() {
        wait("the leaving entry untold", || {
            let answered = fleet.ask(leaver, &format!("told by {n}"));
            assert_eq!(answered, Ok(()), "a caller was told of it");
            told(entry.http) == rest
        });
    }
    assert_eq!(fleet.ask(leaver, "kept"), Ok(()), "a caller had kept it");
    assert!(!told(leaver).contains(&leaver.to_string()));
}

// An entry and an agent are killed without a word. Callers are no longer told of the entry, the
// target is no longer counted on, and after its restart it is back everywhere: what the new process
// says outweighs what was said of the old one.
#[test]
fn the_killed_vanish_and_a_restarted_target_is_back_everywhere() {
    let mut fleet = fleet();
    fleet.wait_all_told();
    for entry in &fleet.system.entries {
        wait("both targets known", || targets(entry.http).len() == 2);
    }
    fleet.entries[LAST].kill();
    fleet.agents[1].kill();
    fleet.wait_dropped(LAST);
    let left = BTreeSet::from(["engine-0".to_owned()]);
    for entry in &fleet.system.entries[..LAST] {
        wait("the killed target gone", || targets(entry.http) == left);
    }
    let url = fleet.engines[1].addr("listening");
    fleet.agents[1] = start_agent(&fleet.system, 1, url);
    for entry in &fleet.system.entries[..LAST] {
        wait("the restarted target back", || {
            targets(entry.http).len() == 2
        });
    }
}

// Two entries whose voters are all away find each other by a seed, an address without a name.
// Entries that asked voters alone would each tell callers of itself only, for as long as those are
// away, and lose their callers with the one address they gave out.
#[test]
fn entries_find_each_other_by_a_seed_while_the_voters_are_away() {
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
        wait("both entries told", || told(entry.http) == both);
    }
}

// A caller who comes after the address's time is refused at once, certainly not run, and told when
// to come back; the answer in progress goes on to its end.
// A long answer holds the stopped entry beyond its departure. One that took new requests for as
// long would never end under load.
#[test]
fn an_entry_past_its_departure_refuses_and_finishes_what_it_has() {
    let system = System::new(1);
    let mut entry = system.start_entry(0);
    let service = Process::start(&["stand-in", "service", "desk", "--latency-ms", "12000"]);
    let _agent = system.start_agent("desk-0", "service", service.addr("listening"), "role=desk");
    system.wait_status("the desk", |status| targets_of(status).len() == 1);
    system.apply(
        "[rule desk]\norder = 20\npath = /desk/\ninstances = role=desk\n\
         idempotent = false\ntimeout = 30s\n",
    );
    let addr = system.entries[0].http;
    thread::scope(|scope| {
        let keyed = [("idempotency-key", "long")];
        let long = scope.spawn(move || post(addr, "/desk/long", &keyed, "a long one"));
        wait("the long one begun", || begun(&service));
        entry.signal("TERM");
        let refused = || {
            let late = [("content-type", "text/plain")];
            let answer = try_post(addr, "/nothing", &late, "late").expect("a whole answer");
            let again = !answer.header("retry-after").is_empty();
            answer.status == 503 && again && answer.header("x-filbertstack-outcome") == "not-run"
        };
        wait("new requests refused", refused);
        assert_eq!(long.join().expect("an answer").status, 200);
    });
    assert!(entry.wait().success());
}

/// Whether the call with the key `long` has reached the service.
fn begun(service: &Process) -> bool {
    let url = format!("http://{}/admin/runs", service.addr("listening"));
    let mut response = ureq::get(url).call().expect("answers");
    let text = response.body_mut().read_to_string().expect("a body");
    let runs: Value = serde_json::from_str(&text).expect("JSON");
    runs["by_key"]["long"].is_u64()
}
