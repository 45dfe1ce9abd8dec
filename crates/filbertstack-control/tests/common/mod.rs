//! Helpers that the tests of the control state share.

use filbertstack_control::ControlState;
use filbertstack_control::command::Apply;
use filbertstack_control::command::Body;
use filbertstack_control::command::Command;
use filbertstack_control::command::Instance;
use filbertstack_control::command::Publish;
use filbertstack_control::command::Register;
use filbertstack_control::outcome::Outcome;
use filbertstack_control::outcome::Reply;
use filbertstack_core::Digest;

pub const START_MS: u64 = 1_700_000_000_000;

pub fn run(state: &mut ControlState, now: u64, body: Body) -> Outcome {
    let index = state.index() + 1;
    state.apply(index, &Command::new(now, body).to_bytes())
}

pub fn version(n: u8) -> Digest {
    Digest::of(&[n])
}

pub fn publish(model: &str, n: u8) -> Body {
    Body::Publish(Publish {
        root: version(n).to_vec(),
        model: model.into(),
        weights: 4 << 30,
        manifest: 1000,
        chunks: 10,
        operator: "ann".into(),
        ..Publish::default()
    })
}

pub fn instance(name: &str, labels: &str, memory: u64) -> Instance {
    Instance {
        name: name.into(),
        labels: labels.into(),
        memory,
    }
}

/// Returns a state with three engines in three zones, a plain service and versions 1 and 2 of a model.
pub fn populated_state() -> ControlState {
    let mut state = ControlState::default();
    let zones = ["regina-hall", "winnipeg-hall", "calgary-hall"];
    let mut instances: Vec<_> = zones
        .iter()
        .map(|zone| instance(zone, &format!("role=llm, zone={zone}"), 16 << 30))
        .collect();
    instances.push(instance("desk", "role=desk, zone=regina-hall", 0));
    let rows = Register {
        instances,
        gone: Vec::new(),
    };
    run(&mut state, START_MS, Body::Register(rows));
    run(&mut state, START_MS, publish("draft", 1));
    run(&mut state, START_MS, publish("draft", 2));
    state
}

pub fn apply(request: &str, expected: Option<u64>, text: &str) -> Apply {
    Apply {
        request: request.into(),
        operator: "ann".into(),
        expected,
        issued: START_MS,
        text: text.into(),
        removals: Vec::new(),
    }
}

/// Returns a deployment of version `n` on `replicas` instances, with its pool and its rule.
pub fn full_declarations(n: u8, replicas: u32) -> String {
    format!(
        "[deployment drafting]\nlabels = team=drafting\nmodel = draft\nversion = {}\n\
         replicas = {replicas}\nmemory = 8GiB\npools = tier=large\n\
         [pool halls]\nlabels = tier=large\ninstances = role=llm\n\
         [rule drafting]\norder = 10\nrequests = model=draft\ndeployments = team=drafting\n",
        version(n)
    )
}

/// Returns the reasons of a refusal as text, one per line.
pub fn reasons(outcome: &Outcome) -> String {
    let Some(Reply::Rejected(rejected)) = &outcome.reply else {
        return format!("{outcome:?}");
    };
    let lines: Vec<_> = rejected.reasons.iter().map(ToString::to_string).collect();
    lines.join("\n")
}

pub fn revision(outcome: &Outcome) -> Option<u64> {
    match &outcome.reply {
        Some(Reply::Accepted(accepted)) => Some(accepted.revision),
        _ => None,
    }
}
