//! The orders that an engine takes: load, unload, adapter, role, faults.

use std::path::Path;
use std::sync::Arc;
use std::thread;

use filbertstack_core::Digest;
use serde::Deserialize;
use serde::Serialize;

use crate::answer;
use crate::engine::config::Fencing;
use crate::engine::config::Pace;
use crate::engine::core::Core;
use crate::engine::core::Memory;
use crate::engine::weights::AdapterOrder;
use crate::engine::weights::EngineState;
use crate::engine::weights::LoadOrder;
use crate::engine::weights::Phase;
use crate::engine::weights::RoleOrder;
use crate::engine::weights::UnloadOrder;
use crate::http::Call;
use crate::http::Reply;

/// What a refused order gets.
#[derive(Serialize)]
struct StaleFence {
    error: &'static str,
    fence: u64,
}

/// Answers a call below `/admin/`.
pub fn handle(core: &Arc<Core>, mut call: Call) {
    let path = call.path().to_owned();
    let reply = match (call.method(), path.as_str()) {
        ("GET", "/admin/state") => Ok(Reply::json(200, &state(core))),
        ("GET", "/admin/runs") => Ok(Reply::json(200, &core.runs.read())),
        ("POST", "/admin/load") => call.json().and_then(|order| load(core, order)),
        ("POST", "/admin/unload") => call.json().and_then(|order| unload(core, order)),
        ("POST", "/admin/adapter") => call.json().and_then(|order| load_adapter(core, order)),
        ("POST", "/admin/role") => call.json().and_then(|order| set_role(core, order)),
        ("POST", "/admin/faults") => call.json().map(|faults| {
            core.memory().faults = faults;
            Reply::json(200, &state(core))
        }),
        ("POST", "/admin/steps") => call.json().and_then(|steps| allow(core, &steps)),
        _ => Err(Reply::error(404, "not_found", "no such order")),
    };
    call.reply(reply.unwrap_or_else(|refusal| refusal));
}

/// Passes for an engine whose pace is a gate; the body of `POST /admin/steps`.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
struct Steps {
    steps: u64,
    open: bool,
}

fn allow(core: &Core, steps: &Steps) -> Result<Reply, Reply> {
    let Pace::Gated(gate) = &core.config.pace else {
        return Err(Reply::error(
            409,
            "conflict",
            "the engine's pace is no gate",
        ));
    };
    gate.allow(steps.steps);
    if steps.open {
        gate.open();
    }
    Ok(Reply::json(200, &state(core)))
}

/// The state that the engine reports.
pub fn state(core: &Core) -> EngineState {
    let memory = core.memory();
    let mut state = memory.weights.clone();
    if let Some(version) = &memory.faults.report {
        state.digest = Some(version.clone());
    }
    state
}

/// Checks an order's fencing number and keeps the highest.
fn admit(core: &Core, memory: &mut Memory, fence: u64) -> Result<(), Reply> {
    let seen = memory.weights.fence;
    if fence < seen && core.config.fencing == Fencing::Enforced {
        let error = "the order is older than one carried out already";
        return Err(Reply::json(409, &StaleFence { error, fence: seen }));
    }
    memory.weights.fence = seen.max(fence);
    memory.orders += 1;
    Ok(())
}

/// Starts a load; the reply comes before its end, which `GET /admin/state` tells.
///
/// # Errors
/// The refusal of an order with an old fencing number.
pub fn load(core: &Arc<Core>, order: LoadOrder) -> Result<Reply, Reply> {
    let mut memory = core.memory();
    admit(core, &mut memory, order.fence)?;
    let number = memory.orders;
    let weights = &mut memory.weights;
    weights.state = Phase::Loading;
    weights.model = Some(order.model);
    weights.digest = Some(order.digest);
    weights.weights = None;
    weights.adapters.clear();
    weights.reason = None;
    memory.cache.clear(core.now());
    drop(memory);
    let loader = core.clone();
    thread::spawn(move || finish_load(&loader, number, &order.dir));
    Ok(Reply::json(202, &state(core)))
}

fn finish_load(core: &Core, number: u64, dir: &Path) {
    thread::sleep(core.config.load_time);
    let read = answer::weights_digest(dir).map_err(|e| e.to_string());
    let mut memory = core.memory();
    if memory.orders != number || memory.faults.hang_loads {
        return;
    }
    let outcome = if memory.faults.fail_loads > 0 {
        memory.faults.fail_loads -= 1;
        Err("the load failed by an injected fault".to_owned())
    } else {
        read
    };
    settle(&mut memory.weights, outcome);
    drop(memory);
    core.wake();
}

fn settle(weights: &mut EngineState, outcome: Result<Digest, String>) {
    match outcome {
        Ok(digest) => {
            weights.state = Phase::Serving;
            weights.weights = Some(digest);
        }
        Err(reason) => {
            weights.state = Phase::Failed;
            weights.reason = Some(reason);
        }
    }
}

fn unload(core: &Arc<Core>, order: UnloadOrder) -> Result<Reply, Reply> {
    let mut memory = core.memory();
    admit(core, &mut memory, order.fence)?;
    memory.weights = EngineState {
        fence: memory.weights.fence,
        role: memory.weights.role,
        ..EngineState::default()
    };
    memory.cache.clear(core.now());
    drop(memory);
    core.wake();
    Ok(Reply::json(200, &state(core)))
}

fn load_adapter(core: &Arc<Core>, order: AdapterOrder) -> Result<Reply, Reply> {
    let read = answer::weights_digest(&order.dir);
    let digest = read.map_err(|e| Reply::error(400, "invalid_request_error", e.to_string()))?;
    let mut memory = core.memory();
    if memory.weights.state != Phase::Serving {
        return Err(Reply::error(409, "conflict", "load a model first"));
    }
    admit(core, &mut memory, order.fence)?;
    memory.weights.adapters.insert(order.name, digest);
    drop(memory);
    Ok(Reply::json(200, &state(core)))
}

fn set_role(core: &Arc<Core>, order: RoleOrder) -> Result<Reply, Reply> {
    let mut memory = core.memory();
    admit(core, &mut memory, order.fence)?;
    memory.weights.role = order.role;
    drop(memory);
    Ok(Reply::json(200, &state(core)))
}
