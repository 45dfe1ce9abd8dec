//! The orders of an engine: loads, fencing and the effects of mixed weights.

mod common;

use std::fs;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use filbertstack_standins::Engine;
use filbertstack_standins::EngineConfig;
use filbertstack_standins::answer;
use filbertstack_standins::engine::EngineFaults;
use filbertstack_standins::engine::Fencing;
use filbertstack_standins::engine::Pace;
use filbertstack_standins::engine::Phase;
use filbertstack_standins::engine::StepGate;
use filbertstack_standins::engine::weights::adapted_digest;
use serde_json::Value;
use serde_json::json;

use common::MODEL;
use common::completion;
use common::get;
use common::post;
use common::wait_until;
use common::weights;

fn start_engine(fencing: Fencing) -> Engine {
    let config = EngineConfig {
        step: Duration::ZERO,
        load_time: Duration::ZERO,
        fencing,
        ..EngineConfig::default()
    };
    Engine::start(config).unwrap()
}

fn load_order(dir: &Path, digest: &str, fence: u64) -> Value {
    json!({"model": MODEL, "digest": digest, "dir": dir, "fence": fence})
}

fn load(engine: &Engine, dir: &Path, digest: &str, fence: u64) {
    let answer = post(
        &engine.addr(),
        "/admin/load",
        &load_order(dir, digest, fence),
    );
    assert_eq!(answer.status(), 202);
    wait_for_load(engine);
}

fn wait_for_load(engine: &Engine) {
    wait_until("the end of the load", || {
        engine.state().state != Phase::Loading
    });
}

fn complete(addr: &SocketAddr, model: &str) -> String {
    let mut body = completion("hello", 4, false);
    body["model"] = json!(model);
    let answer = post(addr, "/v1/completions", &body).json();
    answer["choices"][0]["text"].as_str().unwrap().to_owned()
}

#[test]
fn an_engine_answers_from_the_weights_it_read() {
    let (one, two) = (weights("one"), weights("two"));
    let engine = start_engine(Fencing::Enforced);
    let early = post(
        &engine.addr(),
        "/v1/completions",
        &completion("x", 1, false),
    );
    assert_eq!(early.status(), 404);
    for (dir, fence) in [(&one, 1), (&two, 2)] {
        load(&engine, dir.path(), "v", fence);
        let digest = answer::weights_digest(dir.path()).unwrap();
        assert_eq!(
            complete(&engine.addr(), MODEL),
            answer::text(&digest, "hello", 4)
        );
    }
    let models = get(&engine.addr(), "/v1/models").json();
    assert_eq!(models["data"][0]["id"], MODEL);
    post(&engine.addr(), "/admin/unload", &json!({"fence": 3}));
    assert_eq!(engine.state().state, Phase::Empty);
    let models = get(&engine.addr(), "/v1/models").json();
    assert_eq!(models["data"], json!([]));
}

// A directory has files of two versions, lacks a file or has a truncated file. The engine loads it without an
// error, as real engines do; its answers must differ from those of every complete version, so that a caller's
// check detects the fault.
#[test]
fn mixed_and_partial_weights_answer_unlike_every_version() {
    let (one, two) = (weights("one"), weights("two"));
    let mixed = tempfile::tempdir().unwrap();
    let copy = |from: &Path, file: &str| {
        fs::copy(from.join(file), mixed.path().join(file)).unwrap();
    };
    let mut digests = Vec::new();
    let mut record = |dir: &Path| digests.push(answer::weights_digest(dir).unwrap());
    record(one.path());
    record(two.path());
    copy(one.path(), "config.json");
    record(mixed.path());
    copy(two.path(), "weights.bin");
    record(mixed.path());
    fs::write(mixed.path().join("weights.bin"), b"oneone").unwrap();
    record(mixed.path());
    for (i, digest) in digests.iter().enumerate() {
        assert!(!digests[..i].contains(digest), "{i}");
    }
    let engine = start_engine(Fencing::Enforced);
    load(&engine, mixed.path(), "v1", 1);
    let state = engine.state();
    assert_eq!(
        (state.state, state.digest.as_deref()),
        (Phase::Serving, Some("v1"))
    );
    assert_eq!(state.weights, digests.last().copied());
    assert_eq!(
        complete(&engine.addr(), MODEL),
        answer::text(&digests[4], "hello", 4)
    );
}

#[test]
fn bytes_moved_between_names_and_contents_change_the_digest() {
    let dir = |files: &[(&str, &str)]| {
        let dir = tempfile::tempdir().unwrap();
        for (name, content) in files {
            let path = dir.path().join(name);
            fs::create_dir_all(path.parent().unwrap()).unwrap();
            fs::write(path, content).unwrap();
        }
        answer::weights_digest(dir.path()).unwrap()
    };
    let base = dir(&[("a", "xy"), ("b", "z")]);
    assert_eq!(base, dir(&[("b", "z"), ("a", "xy")]));
    for other in [
        dir(&[("a", "x"), ("b", "yz")]),
        dir(&[("ax", "y"), ("b", "z")]),
        dir(&[("a", "xy"), ("c", "z")]),
        dir(&[("a", "xy"), ("b", "z"), ("c", "")]),
        dir(&[("a", "xy"), ("sub/b", "z")]),
    ] {
        assert_ne!(base, other);
    }
    let empty = tempfile::tempdir().unwrap();
    assert!(answer::weights_digest(empty.path()).is_err());
}

// A partitioned leader sends an order with its old fencing number after the order of a newer leader. An
// engine that enforces fencing refuses it; an engine that ignores fencing carries it out, which is why such
// an engine needs another check in front of it.
#[test]
fn old_orders_are_refused_only_if_fencing_is_enforced() {
    let (new, old) = (weights("new"), weights("old"));
    for (fencing, status, version) in [
        (Fencing::Enforced, 409, "new"),
        (Fencing::Ignored, 202, "old"),
    ] {
        let engine = start_engine(fencing);
        load(&engine, new.path(), "new", 7);
        let late = post(
            &engine.addr(),
            "/admin/load",
            &load_order(old.path(), "old", 6),
        );
        assert_eq!(late.status(), status);
        wait_for_load(&engine);
        assert_eq!(engine.state().digest.as_deref(), Some(version));
        assert_eq!(engine.state().fence, 7);
        // A repeated order with the same number does not count as old.
        load(&engine, new.path(), "new", 7);
    }
}

#[test]
fn every_kind_of_order_checks_the_fencing_number() {
    let dir = weights("one");
    let engine = start_engine(Fencing::Enforced);
    load(&engine, dir.path(), "v", 5);
    let old = [
        ("/admin/unload", json!({"fence": 4})),
        ("/admin/role", json!({"role": "prefill", "fence": 4})),
        (
            "/admin/adapter",
            json!({"name": "a", "dir": dir.path(), "fence": 4}),
        ),
    ];
    for (path, body) in old {
        let answer = post(&engine.addr(), path, &body);
        assert_eq!(answer.status(), 409, "{path}");
        assert_eq!(answer.json()["fence"], 5);
    }
    let state = engine.state();
    assert_eq!((state.state, state.adapters.len()), (Phase::Serving, 0));
}

#[test]
fn adapters_answer_under_their_own_name() {
    let (base, adapter) = (weights("base"), weights("adapter"));
    let engine = start_engine(Fencing::Enforced);
    load(&engine, base.path(), "v", 1);
    let order = json!({"name": "house-style", "dir": adapter.path(), "fence": 1});
    assert_eq!(post(&engine.addr(), "/admin/adapter", &order).status(), 200);
    let digest = |dir: &Path| answer::weights_digest(dir).unwrap();
    let both = adapted_digest(&digest(base.path()), &digest(adapter.path()));
    assert_eq!(
        complete(&engine.addr(), "house-style"),
        answer::text(&both, "hello", 4)
    );
    let plain = answer::text(&digest(base.path()), "hello", 4);
    assert_eq!(complete(&engine.addr(), MODEL), plain);
}

#[test]
fn a_prefill_engine_generates_no_token() {
    let dir = weights("one");
    let engine = start_engine(Fencing::Enforced);
    load(&engine, dir.path(), "v", 1);
    post(
        &engine.addr(),
        "/admin/role",
        &json!({"role": "prefill", "fence": 1}),
    );
    assert_eq!(complete(&engine.addr(), MODEL), "");
}

#[test]
fn injected_faults_fail_hang_and_misreport_loads() {
    let dir = weights("one");
    let engine = start_engine(Fencing::Enforced);
    let faults = |faults| engine.set_faults(faults);
    faults(EngineFaults {
        fail_loads: 1,
        ..EngineFaults::default()
    });
    load(&engine, dir.path(), "v", 1);
    assert_eq!(engine.state().state, Phase::Failed);
    load(&engine, dir.path(), "v", 2);
    assert_eq!(engine.state().state, Phase::Serving);

    faults(EngineFaults {
        report: Some("v0".to_owned()),
        ..EngineFaults::default()
    });
    let reported = get(&engine.addr(), "/admin/state").json();
    assert_eq!(
        (&reported["digest"], &reported["state"]),
        (&json!("v0"), &json!("serving"))
    );

    faults(EngineFaults {
        hang_loads: true,
        ..EngineFaults::default()
    });
    post(
        &engine.addr(),
        "/admin/load",
        &load_order(dir.path(), "v", 3),
    );
    assert_eq!(engine.state().state, Phase::Loading);
    let missing = dir.path().join("none");
    faults(EngineFaults::default());
    load(&engine, &missing, "v", 4);
    assert_eq!(engine.state().state, Phase::Failed);
    assert!(engine.state().reason.unwrap().contains("none"));
}

// An order to load another version arrives while an answer is generated. Like the engines that it stands in
// for, the stand-in continues the answer with the new weights: the sender of the order must drain the engine
// first, and the check of the answer shows a missing drain.
#[test]
fn a_load_during_an_answer_mixes_its_tokens() {
    let (one, two) = (weights("one"), weights("two"));
    let gate = Arc::new(StepGate::default());
    let config = EngineConfig {
        pace: Pace::Gated(gate.clone()),
        load_time: Duration::ZERO,
        ..EngineConfig::default()
    };
    let engine = Engine::serving(config, MODEL, one.path()).unwrap();
    let addr = engine.addr();
    gate.add_passes(3); // One step of prefill, two tokens.
    let caller = std::thread::spawn(move || complete(&addr, MODEL));
    wait_until("two tokens", || gate.passes() == 0);
    load(&engine, two.path(), "v2", 1);
    gate.open();
    let digest = |dir: &Path| answer::weights_digest(dir).unwrap();
    let first = &answer::tokens(&digest(one.path()), "hello", 4)[..2];
    let last = &answer::tokens(&digest(two.path()), "hello", 4)[2..];
    assert_eq!(caller.join().unwrap(), [first, last].concat().concat());
}
