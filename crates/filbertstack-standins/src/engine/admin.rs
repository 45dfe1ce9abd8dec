//! The administrative calls of an engine: state, runs, faults, steps, and the orders load, unload, adapter
//! and role.

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
use crate::engine::core::SharedState;
use crate::engine::weights::AdapterOrder;
use crate::engine::weights::EngineState;
use crate::engine::weights::LoadOrder;
use crate::engine::weights::Phase;
use crate::engine::weights::RoleOrder;
use crate::engine::weights::UnloadOrder;
use crate::http::Call;
use crate::http::Reply;

/// The body of the reply to an order with an old fencing number.
#[derive(Serialize)]
struct StaleFence {
    error: &'static str,
    fence: u64,
}

/// Answers a call to a path under `/admin/`.
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
            core.lock().faults = faults;
            Reply::json(200, &state(core))
        }),
        ("POST", "/admin/steps") => call.json().and_then(|steps| grant_passes(core, &steps)),
        _ => Err(Reply::error(404, "not_found", "no such order")),
    };
    call.reply(reply.unwrap_or_else(|refusal| refusal));
}

/// Passes for an engine whose pace is [`Pace::Gated`]; the body of `POST /admin/steps`.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
struct Steps {
    steps: u64,
    open: bool,
}

fn grant_passes(core: &Core, steps: &Steps) -> Result<Reply, Reply> {
    let Pace::Gated(gate) = &core.config.pace else {
        return Err(Reply::error(
            409,
            "conflict",
            "the engine's pace is no gate",
        ));
    };
    gate.add_passes(steps.steps);
    if steps.open {
        gate.open();
    }
    Ok(Reply::json(200, &state(core)))
}

/// Returns the state that the engine reports, with the injected version if that fault is set.
pub fn state(core: &Core) -> EngineState {
    let shared = core.lock();
    let mut state = shared.weights.clone();
    if let Some(version) = &shared.faults.report {
        state.digest = Some(version.clone());
    }
    state
}

/// Checks an order's fencing number, records the highest one and counts the order.
fn admit_order(core: &Core, shared: &mut SharedState, fence: u64) -> Result<(), Reply> {
    let highest = shared.weights.fence;
    if fence < highest && core.config.fencing == Fencing::Enforced {
        let error = "the order is older than one carried out already";
        return Err(Reply::json(
            409,
            &StaleFence {
                error,
                fence: highest,
            },
        ));
    }
    shared.weights.fence = highest.max(fence);
    shared.order_count += 1;
    Ok(())
}

/// Starts a load and replies before it ends; `GET /admin/state` reports the end.
///
/// # Errors
/// Returns the reply that refuses an order with an old fencing number.
pub fn load(core: &Arc<Core>, order: LoadOrder) -> Result<Reply, Reply> {
    let mut shared = core.lock();
    admit_order(core, &mut shared, order.fence)?;
    let number = shared.order_count;
    let weights = &mut shared.weights;
    weights.state = Phase::Loading;
    weights.model = Some(order.model);
    weights.digest = Some(order.digest);
    weights.weights = None;
    weights.adapters.clear();
    weights.reason = None;
    shared.cache.clear(core.now());
    drop(shared);
    let loader = core.clone();
    thread::spawn(move || finish_load(&loader, number, &order.dir));
    Ok(Reply::json(202, &state(core)))
}

fn finish_load(core: &Core, number: u64, dir: &Path) {
    thread::sleep(core.config.load_time);
    let result = answer::weights_digest(dir).map_err(|e| e.to_string());
    let mut shared = core.lock();
    if shared.order_count != number || shared.faults.hang_loads {
        return;
    }
    let outcome = if shared.faults.fail_loads > 0 {
        shared.faults.fail_loads -= 1;
        Err("the load failed by an injected fault".to_owned())
    } else {
        result
    };
    record_outcome(&mut shared.weights, outcome);
    drop(shared);
    core.wake();
}

fn record_outcome(weights: &mut EngineState, outcome: Result<Digest, String>) {
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
    let mut shared = core.lock();
    admit_order(core, &mut shared, order.fence)?;
    shared.weights = EngineState {
        fence: shared.weights.fence,
        role: shared.weights.role,
        ..EngineState::default()
    };
    shared.cache.clear(core.now());
    drop(shared);
    core.wake();
    Ok(Reply::json(200, &state(core)))
}

fn load_adapter(core: &Arc<Core>, order: AdapterOrder) -> Result<Reply, Reply> {
    let result = answer::weights_digest(&order.dir);
    let digest = result.map_err(|e| Reply::error(400, "invalid_request_error", e.to_string()))?;
    let mut shared = core.lock();
    if shared.weights.state != Phase::Serving {
        return Err(Reply::error(409, "conflict", "load a model first"));
    }
    admit_order(core, &mut shared, order.fence)?;
    shared.weights.adapters.insert(order.name, digest);
    drop(shared);
    Ok(Reply::json(200, &state(core)))
}

fn set_role(core: &Arc<Core>, order: RoleOrder) -> Result<Reply, Reply> {
    let mut shared = core.lock();
    admit_order(core, &mut shared, order.fence)?;
    shared.weights.role = order.role;
    drop(shared);
    Ok(Reply::json(200, &state(core)))
}
