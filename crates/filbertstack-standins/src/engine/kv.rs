//! What the engine tells of its memory: the load report, cache events, and KV cache moved to or
//! from another engine.

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
    let memory = core.memory();
    let load = memory.late.read(core.now());
    let model = memory.weights.model.as_deref().unwrap_or_default();
    Reply::text(200, load.render(model))
}

/// Answers `GET /cache/events?after=SEQ`.
pub fn events(core: &Core, call: &Call) -> Reply {
    let after = call.query("after").and_then(|text| text.parse().ok());
    let until = core.now().checked_sub(core.config.lag);
    let memory = core.memory();
    let events = until.map(|until| memory.cache.events(after.unwrap_or(0), until));
    Reply::json(200, &events.unwrap_or_default())
}

#[derive(Deserialize)]
struct Export {
    prompt: String,
}

/// What moves between engines in place of the cache's content. Blocks are of use only to an engine
/// with the same weights.
#[derive(Serialize, Deserialize)]
struct Moved {
    weights: String,
    blocks: Vec<BlockId>,
}

/// Answers `POST /kv/export` and `POST /kv/import`.
pub fn handle(core: &Core, mut call: Call) {
    let reply = if call.path() == "/kv/export" {
        call.json().and_then(|export| give(core, &export))
    } else {
        call.json().and_then(|moved| take(core, &moved))
    };
    call.reply(reply.unwrap_or_else(|refusal| refusal));
}

/// The weights that are being served, as text.
fn serving(core: &Core) -> Result<String, Reply> {
    let memory = core.memory();
    let serving = memory.weights.state == Phase::Serving;
    let weights = memory.weights.weights.filter(|_| serving);
    let weights = weights.ok_or_else(|| Reply::error(409, "conflict", "load a model first"))?;
    Ok(weights.to_string())
}

fn give(core: &Core, export: &Export) -> Result<Reply, Reply> {
    let weights = serving(core)?;
    let mut blocks = cache::blocks(&export.prompt);
    let cached = core.memory().cache.cached(&blocks);
    blocks.truncate(cached);
    Ok(Reply::json(200, &Moved { weights, blocks }))
}

fn take(core: &Core, moved: &Moved) -> Result<Reply, Reply> {
    if serving(core)? != moved.weights {
        return Err(Reply::error(
            409,
            "conflict",
            "the blocks are of other weights",
        ));
    }
    let mut memory = core.memory();
    for block in &moved.blocks {
        memory.cache.store(*block, core.now());
    }
    Ok(Reply::json(200, moved))
}
