//! The calls about load and cache: the load report, the cache events, and the KV cache blocks that are
//! exported to or imported from another engine.

use serde::Deserialize;
use serde::Serialize;

use crate::engine::cache;
use crate::engine::cache::BlockId;
use crate::engine::core::Core;
use crate::engine::weights::Phase;
use crate::http::Call;
use crate::http::Reply;

/// Answers `GET /metrics`.
pub fn metrics(core: &Core) -> Reply {
    let shared = core.lock();
    let load = shared.load_report.read(core.now());
    let model = shared.weights.model.as_deref().unwrap_or_default();
    Reply::text(200, load.render(model))
}

/// Answers `GET /cache/events?after=SEQ`.
pub fn events(core: &Core, call: &Call) -> Reply {
    let after = call.query("after").and_then(|text| text.parse().ok());
    let until = core.now().checked_sub(core.config.lag);
    let shared = core.lock();
    let events = until.map(|until| shared.cache.events(after.unwrap_or(0), until));
    Reply::json(200, &events.unwrap_or_default())
}

#[derive(Deserialize)]
struct Export {
    prompt: String,
}

/// The block ids that stand for exported cache content. Only an engine with the same weights can use the
/// blocks.
#[derive(Serialize, Deserialize)]
struct Moved {
    weights: String,
    blocks: Vec<BlockId>,
}

/// Answers `POST /kv/export` and `POST /kv/import`.
pub fn handle(core: &Core, mut call: Call) {
    let reply = if call.path() == "/kv/export" {
        call.json().and_then(|export| export_blocks(core, &export))
    } else {
        call.json().and_then(|moved| import_blocks(core, &moved))
    };
    call.reply(reply.unwrap_or_else(|refusal| refusal));
}

/// Returns the digest of the served weights as text.
fn served_weights(core: &Core) -> Result<String, Reply> {
    let shared = core.lock();
    let serving = shared.weights.state == Phase::Serving;
    let weights = shared.weights.weights.filter(|_| serving);
    let weights = weights.ok_or_else(|| Reply::error(409, "conflict", "load a model first"))?;
    Ok(weights.to_string())
}

fn export_blocks(core: &Core, export: &Export) -> Result<Reply, Reply> {
    let weights = served_weights(core)?;
    let mut blocks = cache::blocks(&export.prompt);
    let cached = core.lock().cache.cached(&blocks);
    blocks.truncate(cached);
    Ok(Reply::json(200, &Moved { weights, blocks }))
}

fn import_blocks(core: &Core, moved: &Moved) -> Result<Reply, Reply> {
    if served_weights(core)? != moved.weights {
        return Err(Reply::error(
            409,
            "conflict",
            "the blocks are of other weights",
        ));
    }
    let mut shared = core.lock();
    for block in &moved.blocks {
        shared.cache.store(*block, core.now());
    }
    Ok(Reply::json(200, moved))
}
