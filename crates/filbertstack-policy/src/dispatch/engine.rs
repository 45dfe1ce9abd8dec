//! This module estimates how long an engine takes, from the figures that its operator publishes. All
//! times are in milliseconds.

use filbertstack_core::serving::EngineModel;

/// The number of passes until a request's first event, without its prefill: the rest of the current
/// pass, which is half of one on average, and one of its own.
const PASSES_TO_FIRST_EVENT: f64 = 1.5;

/// Returns the milliseconds of one pass over a batch of `batch` generating requests.
pub fn pass_ms(engine: &EngineModel, batch: f64) -> f64 {
    let context = (engine.prompt + engine.answer) / 1_000.0 * engine.context_ms;
    let step = engine.step_ms + batch * (engine.request_ms + context);
    step * f64::from(engine.stride)
}

/// Returns the milliseconds of prefilling a prompt, including the attention between its tokens.
pub fn prefill_ms(engine: &EngineModel, prompt: f64) -> f64 {
    let pairs = prompt * prompt / 2.0 / 1e6;
    prompt / engine.read_rate + pairs * engine.pairs_ms
}

/// Returns the milliseconds of one pass in the mean, with the prompts that it prefills: of `batch` requests, one
/// is replaced in each pass for as many passes as an answer takes.
pub(super) fn mean_pass_ms(engine: &EngineModel, batch: f64) -> f64 {
    let replaced = batch / passes_of_answer(engine);
    pass_ms(engine, batch) + replaced * prefill_ms(engine, engine.prompt)
}

/// Returns the number of passes that an answer of the mean length takes.
fn passes_of_answer(engine: &EngineModel) -> f64 {
    (engine.answer / f64::from(engine.stride)).max(1.0)
}

/// Returns the milliseconds from the moment a request gets a slot to its first event, beside `ahead`
/// others.
pub(super) fn first_event_ms(engine: &EngineModel, ahead: f64, prompt: f64) -> f64 {
    let slots = f64::from(engine.slots.max(1));
    // The same passes prefill other requests' prompts: at a full batch, one for each request that ends.
    let prefill_share =
        prefill_ms(engine, engine.prompt) / slot_wait_ms(engine) * (ahead / slots).min(1.0);
    let passes = PASSES_TO_FIRST_EVENT * pass_ms(engine, ahead.min(slots));
    passes / (1.0 - prefill_share) + prefill_ms(engine, prompt)
}

/// Returns the milliseconds between the ends of two requests at a full batch, which is the wait for one
/// slot.
pub fn slot_wait_ms(engine: &EngineModel) -> f64 {
    let slots = f64::from(engine.slots.max(1));
    passes_of_answer(engine) * pass_ms(engine, slots) / slots + prefill_ms(engine, engine.prompt)
}
