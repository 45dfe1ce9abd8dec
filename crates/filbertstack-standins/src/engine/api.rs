//! The OpenAI HTTP API: completions and chat, whole or as server-sent events.

use std::io;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::answer;
use crate::engine::batch::Sequence;
use crate::engine::config::EngineFaults;
use crate::engine::core::Core;
use crate::engine::core::Output;
use crate::engine::core::QueuedSequence;
use crate::engine::core::Refusal;
use crate::engine::response::ResponseFormat;
use crate::engine::response::Usage;
use crate::http::Call;
use crate::http::ChunkWriter;
use crate::http::Reply;

/// The number of tokens of an answer whose request gives none; it is the API's default.
const DEFAULT_MAX_TOKENS: usize = 16;

/// The most tokens that a request may ask for.
const MAX_TOKENS: usize = 100_000;

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct StreamOptions {
    include_usage: bool,
}

/// The fields that completion and chat requests share.
#[derive(Debug, Deserialize)]
struct Params {
    model: String,
    max_tokens: Option<usize>,
    max_completion_tokens: Option<usize>,
    #[serde(default)]
    stream: bool,
    #[serde(default)]
    stream_options: StreamOptions,
    #[serde(default)]
    priority: i64,
    #[serde(default)]
    resume_from: usize,
}

#[derive(Debug, Deserialize)]
struct Completion {
    prompt: String,
    #[serde(flatten)]
    params: Params,
}

#[derive(Debug, Deserialize)]
struct Message {
    role: String,
    content: String,
}

#[derive(Debug, Deserialize)]
struct Chat {
    messages: Vec<Message>,
    #[serde(flatten)]
    params: Params,
}

/// A request of either kind, parsed and checked.
struct Request {
    format: ResponseFormat,
    prompt: String,
    params: Params,
    start: usize,
    end: usize,
}

impl Request {
    fn new(
        format: ResponseFormat,
        prompt: String,
        params: Params,
        call: &Call,
    ) -> Result<Self, Reply> {
        let requested = params.max_completion_tokens.or(params.max_tokens);
        let end = requested.unwrap_or(DEFAULT_MAX_TOKENS);
        if end == 0 || end > MAX_TOKENS {
            let message = format!("max_tokens is {end}: give 1 to {MAX_TOKENS}");
            return Err(Reply::error(400, "invalid_request_error", message));
        }
        let last_event_id = call.header("Last-Event-ID").and_then(|id| id.parse().ok());
        let start = last_event_id.map_or(params.resume_from, |id: usize| id + 1);
        Ok(Self {
            format,
            prompt,
            params,
            start: start.min(end),
            end,
        })
    }

    fn read(call: &mut Call) -> Result<Self, Reply> {
        if call.path() == "/v1/completions" {
            let request: Completion = call.json()?;
            return Self::new(ResponseFormat::Text, request.prompt, request.params, call);
        }
        let request: Chat = call.json()?;
        let messages = request.messages.iter();
        let pairs = messages.map(|m| (m.role.as_str(), m.content.as_str()));
        let prompt = answer::chat_prompt(pairs);
        Self::new(ResponseFormat::Chat, prompt, request.params, call)
    }

    fn usage(&self, generated: usize) -> Usage {
        let prompt = self.prompt.split_whitespace().count();
        Usage {
            prompt,
            answer: generated,
            total: prompt + generated,
        }
    }
}

/// Answers `POST /v1/completions` and `POST /v1/chat/completions`.
pub fn handle(core: &Arc<Core>, mut call: Call) {
    let request = match Request::read(&mut call) {
        Ok(request) => request,
        Err(reply) => return call.reply(reply),
    };
    let faults = core.lock().faults.clone();
    if faults.refuse {
        let reply = Reply::error(503, "unavailable", "refused by an injected fault");
        return call.reply(reply.with("Retry-After", "1"));
    }
    let sequence = Sequence {
        priority: request.params.priority,
        prefill_steps: 0,
        next: request.start,
        end: request.end,
    };
    match core.submit(&request.params.model, &request.prompt, sequence) {
        Err(refusal) => call.reply(refusal_reply(refusal, &request.params.model)),
        Ok(queued) => {
            core.runs
                .begin(call.header("x-request-id"), call.header("Idempotency-Key"));
            respond(core, &request, call, queued, &faults);
        }
    }
}

fn refusal_reply(refusal: Refusal, model: &str) -> Reply {
    match refusal {
        Refusal::NoModel => {
            let message = format!("the model '{model}' is not served here");
            Reply::error(404, "model_not_found", message)
        }
        Refusal::QueueFull => {
            Reply::error(429, "rate_limit_error", "the queue is full").with("Retry-After", "1")
        }
    }
}

fn respond(
    core: &Arc<Core>,
    request: &Request,
    call: Call,
    queued: QueuedSequence,
    faults: &EngineFaults,
) {
    if request.params.stream {
        // A write fails once the caller is gone; dropping the queued sequence cancels it.
        let _ = respond_stream(core, request, call, queued, faults);
    } else {
        respond_whole(core, request, call, queued, faults);
    }
}

/// The reply to `GET /v1/models`: the models that the engine serves.
#[derive(Serialize)]
struct ModelList {
    object: &'static str,
    data: Vec<ModelEntry>,
}

#[derive(Serialize)]
struct ModelEntry {
    id: String,
    object: &'static str,
    owned_by: &'static str,
}

/// Answers `GET /v1/models`.
pub fn models(core: &Core) -> Reply {
    let weights = core.lock().weights.clone();
    let names = weights.model.iter().chain(weights.adapters.keys());
    let served = names.filter(|name| weights.answer_digest(name).is_some());
    let data = served.map(|name| ModelEntry {
        id: name.clone(),
        object: "model",
        owned_by: "filbertstack",
    });
    let data = data.collect();
    Reply::json(
        200,
        &ModelList {
            object: "list",
            data,
        },
    )
}

fn respond_whole(
    core: &Core,
    request: &Request,
    call: Call,
    mut queued: QueuedSequence,
    faults: &EngineFaults,
) {
    let pipe = call.pipe();
    let mut text = String::new();
    let mut generated = 0;
    loop {
        match queued.next(|| pipe.is_closed()) {
            Some(Output::Token(_, token)) => {
                text.push_str(&token);
                generated += 1;
            }
            Some(Output::End) => break,
            Some(Output::Unloaded) => {
                let reply = Reply::error(500, "engine_error", "the weights were unloaded");
                return call.reply(reply);
            }
            None => return call.cut(),
        }
        if faults.stall_after.is_some_and(|limit| generated >= limit) {
            wait_for_hangup(|| pipe.is_closed());
            return call.cut();
        }
        if faults.cut_after.is_some_and(|limit| generated >= limit) {
            return call.cut();
        }
    }
    core.runs.complete();
    let id = call.header("x-request-id").unwrap_or("0").to_owned();
    let body = request
        .format
        .whole(&id, &request.params.model, &text, request.usage(generated));
    call.reply(Reply::json(200, &body));
}

/// Blocks until the caller closes the connection.
fn wait_for_hangup(gone: impl Fn() -> bool) {
    while !gone() {
        std::thread::sleep(std::time::Duration::from_millis(20));
    }
}

fn respond_stream(
    core: &Core,
    request: &Request,
    call: Call,
    mut queued: QueuedSequence,
    faults: &EngineFaults,
) -> io::Result<()> {
    let pipe = call.pipe();
    let id = call.header("x-request-id").unwrap_or("0").to_owned();
    let model = request.params.model.as_str();
    let mut writer = call.stream("text/event-stream", &[("Cache-Control", "no-cache".into())])?;
    let mut generated = 0;
    loop {
        match queued.next(|| pipe.is_closed()) {
            Some(Output::Token(index, text)) => {
                let event = request.format.token(&id, model, &text);
                send_event(&mut writer, Some(index), &event)?;
                generated += 1;
            }
            Some(Output::End) => break,
            Some(Output::Unloaded) | None => return Ok(()),
        }
        if faults.stall_after.is_some_and(|limit| generated >= limit) {
            wait_for_hangup(|| pipe.is_closed());
            return Ok(());
        }
        if faults.cut_after.is_some_and(|limit| generated >= limit) {
            return Ok(());
        }
    }
    let usage = request
        .params
        .stream_options
        .include_usage
        .then(|| request.usage(generated));
    send_event(&mut writer, None, &request.format.last(&id, model, usage))?;
    core.runs.complete();
    writer.send(b"data: [DONE]\n\n")?;
    writer.finish()
}

fn send_event<T: Serialize>(
    writer: &mut ChunkWriter,
    id: Option<usize>,
    value: &T,
) -> io::Result<()> {
    let json = serde_json::to_string(value)?;
    let event = match id {
        Some(id) => format!("id: {id}\ndata: {json}\n\n"),
        None => format!("data: {json}\n\n"),
    };
    writer.send(event.as_bytes())
}
