//! How long an engine takes, from the figures that its operator publishes. All times are milliseconds.

use filbertstack_core::serving::EngineModel;

/// How many passes a request lasts to its first event, its reading aside: the rest of the one that
/// is under way, which is half of one in the mean, and one of its own.
const PASSES: f64 = 1.5;

/// Milliseconds of one pass over a batch of `batch` writers.
pub fn pass_ms(engine: &EngineModel, batch: f64) -> f64 {
    let context = (engine.prompt + engine.answer) / 1_000.0 * engine.context_ms;
    let step = engine.step_ms + batch * (engine.request_ms + context);
    step * f64::from(engine.stride)
}

/// Milliseconds that reading a prompt takes, the attention between its tokens included.
pub fn prefill_ms(engine: &EngineModel, prompt: f64) -> f64 {
    let pairs = prompt * prompt / 2.0 / 1e6;
    prompt / engine.read_rate + pairs * engine.pairs_ms
}

/// Milliseconds from a request's turn to its first event, beside `ahead` others.
pub(super) fn start_ms(engine: &EngineModel, ahead: f64, prompt: f64) -> f64 {
    let slots = f64::from(engine.slots.max(1));
    // The engine reads what others send in the same passes: at a full batch as much as it ends.
    let reading =
        prefill_ms(engine, engine.prompt) / slot_wait_ms(engine) * (ahead / slots).min(1.0);
    let passes = PASSES * pass_ms(engine, ahead.min(slots));
    passes / (1.0 - reading) + prefill_ms(engine, prompt)
}

/// Milliseconds between two requests' ends at a full batch: how long one place is waited for.
pub fn slot_wait_ms(engine: &EngineModel) -> f64 {
    let slots = f64::from(engine.slots.max(1));
    let passes = (engine.answer / f64::from(engine.stride)).max(1.0);
    passes * pass_ms(engine, slots) / slots + prefill_ms(engine, engine.prompt)
}
