//! The orders that an engine takes: loads, fencing and what mixed weights lead to.

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
use filbertstack_standins::engine::Gate;
use filbertstack_standins::engine::Pace;
use filbertstack_standins::engine::Phase;
use filbertstack_standins::engine::weights::adapted;
use serde_json::Value;
use serde_json::json;

use common::MODEL;
use common::completion;
use common::get;
use common::post;
use common::wait_until;
use common::weights;

fn engine(fencing: Fencing) -> Engine {
    let config = EngineConfig {
        step: Duration::ZERO,
        load_time: Duration::ZERO,
        fencing,
        ..EngineConfig::default()
    };
    Engine::start(config).unwrap()
}

fn order(dir: &Path, digest: &str, fence: u64) -> Value {
    json!({"model": MODEL, "digest": digest, "dir": dir, "fence": fence})
}

fn load(engine: &Engine, dir: &Path, digest: &str, fence: u64) {
    let answer = post(&engine.addr(), "/admin/load", &order(dir, digest, fence));
    assert_eq!(answer.status(), 202);
    settled(engine);
}

fn settled(engine: &Engine) {
    wait_until("the end of the load", || {
        engine.state().state != Phase::Loading
    });
}

fn ask(addr: &SocketAddr, model: &str) -> String {
    let mut body = completion("hello", 4, false);
    body["model"] = json!(model);
    let answer = post(addr, "/v1/completions", &body).json();
    answer["choices"][0]["text"].as_str().unwrap().to_owned()
}

#[test]
fn an_engine_answers_from_what_it_read() {
    let (one, two) = (weights("one"), weights("two"));
    let engine = engine(Fencing::Enforced);
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
            ask(&engine.addr(), MODEL),
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

// A directory holds one file of a version and one of another, or lacks a file, or has one cut
// short. The engine loads it without a complaint, as engines do; what it answers must differ from
// the answers of every whole version, so that a caller's check finds it out.
#[test]
fn mixed_and_partial_weights_answer_as_no_version_does() {
    let (one, two) = (weights("one"), weights("two"));
    let mixed = tempfile::tempdir().unwrap();
    let copy = |from: &Path, file: &str| {
        fs::copy(from.join(file), mixed.path().join(file)).unwrap();
    };
    let mut digests = Vec::new();
    let mut note = |dir: &Path| digests.push(answer::weights_digest(dir).unwrap());
    note(one.path());
    note(two.path());
    copy(one.path(), "config.json");
    note(mixed.path());
    copy(two.path(), "weights.bin");
    note(mixed.path());
    fs::write(mixed.path().join("weights.bin"), b"oneone").unwrap();
    note(mixed.path());
    for (i, digest) in digests.iter().enumerate() {
        assert!(!digests[..i].contains(digest), "{i}");
    }
    let engine = engine(Fencing::Enforced);
    load(&engine, mixed.path(), "v1", 1);
    let state = engine.state();
    assert_eq!(
        (state.state, state.digest.as_deref()),
        (Phase::Serving, Some("v1"))
    );
    assert_eq!(state.weights, digests.last().copied());
    assert_eq!(
        ask(&engine.addr(), MODEL),
        answer::text(&digests[4], "hello", 4)
    );
}

#[test]
fn bytes_moved_between_names_and_files_change_the_digest() {
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

// A leader that was cut off sends an order with its old fencing number after a newer leader's. An
// engine that checks refuses it; one that does not carries it out, which is why something else
// must stand before such an engine.
#[test]
fn old_orders_are_refused_or_carried_out_by_setting() {
    let (new, old) = (weights("new"), weights("old"));
    for (fencing, status, version) in [
        (Fencing::Enforced, 409, "new"),
        (Fencing::Ignored, 202, "old"),
    ] {
        let engine = engine(fencing);
        load(&engine, new.path(), "new", 7);
        let late = post(&engine.addr(), "/admin/load", &order(old.path(), "old", 6));
        assert_eq!(late.status(), status);
        settled(&engine);
        assert_eq!(engine.state().digest.as_deref(), Some(version));
        assert_eq!(engine.state().fence, 7);
        // A resend under the same number is no old order.
        load(&engine, new.path(), "new", 7);
    }
}

#[test]
fn every_kind_of_order_is_fenced() {
    let dir = weights("one");
    let engine = engine(Fencing::Enforced);
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
    let engine = engine(Fencing::Enforced);
    load(&engine, base.path(), "v", 1);
    let order = json!({"name": "house-style", "dir": adapter.path(), "fence": 1});
    assert_eq!(post(&engine.addr(), "/admin/adapter", &order).status(), 200);
    let digest = |dir: &Path| answer::weights_digest(dir).unwrap();
    let both = adapted(&digest(base.path()), &digest(adapter.path()));
    assert_eq!(
        ask(&engine.addr(), "house-style"),
        answer::text(&both, "hello", 4)
    );
    let plain = answer::text(&digest(base.path()), "hello", 4);
    assert_eq!(ask(&engine.addr(), MODEL), plain);
}

#[test]
fn a_prefill_engine_generates_nothing() {
    let dir = weights("one");
    let engine = engine(Fencing::Enforced);
    load(&engine, dir.path(), "v", 1);
    post(
        &engine.addr(),
        "/admin/role",
        &json!({"role": "prefill", "fence": 1}),
    );
    assert_eq!(ask(&engine.addr(), MODEL), "");
}

#[test]
fn loads_fail_hang_and_lie_when_told_to() {
    let dir = weights("one");
    let engine = engine(Fencing::Enforced);
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
    let told = get(&engine.addr(), "/admin/state").json();
    assert_eq!(
        (&told["digest"], &told["state"]),
        (&json!("v0"), &json!("serving"))
    );

    faults(EngineFaults {
        hang_loads: true,
        ..EngineFaults::default()
    });
    post(&engine.addr(), "/admin/load", &order(dir.path(), "v", 3));
    assert_eq!(engine.state().state, Phase::Loading);
    let missing = dir.path().join("none");
    faults(EngineFaults::default());
    load(&engine, &missing, "v", 4);
    assert_eq!(engine.state().state, Phase::Failed);
    assert!(engine.state().reason.unwrap().contains("none"));
}

// An order to load another version comes while an answer is being made. Like the engines that it
// stands in for, the stand-in goes on with the new weights in the middle of the answer: whoever
// orders must drain first, and the check of the answer shows it if nobody did.
#[test]
fn a_load_under_a_running_answer_mixes_it() {
    let (one, two) = (weights("one"), weights("two"));
    let gate = Arc::new(Gate::default());
    let config = EngineConfig {
        pace: Pace::Gated(gate.clone()),
        load_time: Duration::ZERO,
        ..EngineConfig::default()
    };
    let engine = Engine::serving(config, MODEL, one.path()).unwrap();
    let addr = engine.addr();
    gate.allow(3); // One step of prefill, two tokens.
    let caller = std::thread::spawn(move || ask(&addr, MODEL));
    wait_until("two tokens", || gate.passes() == 0);
    load(&engine, two.path(), "v2", 1);
    gate.open();
    let digest = |dir: &Path| answer::weights_digest(dir).unwrap();
    let first = &answer::tokens(&digest(one.path()), "hello", 4)[..2];
    let last = &answer::tokens(&digest(two.path()), "hello", 4)[2..];
    assert_eq!(caller.join().unwrap(), [first, last].concat().concat());
}
