//! The OpenAI HTTP API: completions and chat, whole or as server-sent events.

use std::io;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::answer;
use crate::engine::batch::Sequence;
use crate::engine::config::EngineFaults;
use crate::engine::core::Core;
use crate::engine::core::Piece;
use crate::engine::core::Refusal;
use crate::engine::core::Ticket;
use crate::engine::shape::Shape;
use crate::engine::shape::Usage;
use crate::http::Call;
use crate::http::ChunkWriter;
use crate::http::Reply;

/// The tokens of an answer whose request names no number, as the API has it.
const DEFAULT_TOKENS: usize = 16;

/// The most tokens of an answer.
const MAX_TOKENS: usize = 100_000;

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct StreamOptions {
    include_usage: bool,
}

/// What both kinds of request share.
#[derive(Debug, Deserialize)]
struct Common {
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
    common: Common,
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
    common: Common,
}

/// A request in its final form.
struct Ask {
    shape: Shape,
    prompt: String,
    common: Common,
    from: usize,
    end: usize,
}

impl Ask {
    fn new(shape: Shape, prompt: String, common: Common, call: &Call) -> Result<Self, Reply> {
        let wanted = common.max_completion_tokens.or(common.max_tokens);
        let end = wanted.unwrap_or(DEFAULT_TOKENS);
        if end == 0 || end > MAX_TOKENS {
            let message = format!("max_tokens is {end}: give 1 to {MAX_TOKENS}");
            return Err(Reply::error(400, "invalid_request_error", message));
        }
        let seen = call.header("Last-Event-ID").and_then(|id| id.parse().ok());
        let from = seen.map_or(common.resume_from, |id: usize| id + 1);
        Ok(Self {
            shape,
            prompt,
            common,
            from: from.min(end),
            end,
        })
    }

    fn read(call: &mut Call) -> Result<Self, Reply> {
        if call.path() == "/v1/completions" {
            let request: Completion = call.json()?;
            return Self::new(Shape::Text, request.prompt, request.common, call);
        }
        let request: Chat = call.json()?;
        let messages = request.messages.iter();
        let pairs = messages.map(|m| (m.role.as_str(), m.content.as_str()));
        let prompt = answer::chat_prompt(pairs);
        Self::new(Shape::Chat, prompt, request.common, call)
    }

    fn usage(&self, given: usize) -> Usage {
        let prompt = self.prompt.split_whitespace().count();
        Usage {
            prompt,
            answer: given,
            total: prompt + given,
        }
    }
}

/// Answers `POST /v1/completions` and `POST /v1/chat/completions`.
pub fn handle(core: &Arc<Core>, mut call: Call) {
    let ask = match Ask::read(&mut call) {
        Ok(ask) => ask,
        Err(reply) => return call.reply(reply),
    };
    let faults = core.memory().faults.clone();
    if faults.refuse {
        let reply = Reply::error(503, "unavailable", "refused by an injected fault");
        return call.reply(reply.with("Retry-After", "1"));
    }
    let sequence = Sequence {
        priority: ask.common.priority,
        prefill: 0,
        next: ask.from,
        end: ask.end,
    };
    match core.submit(&ask.common.model, &ask.prompt, sequence) {
        Err(refusal) => call.reply(refuse(refusal, &ask.common.model)),
        Ok(ticket) => {
            core.runs
                .begin(call.header("x-request-id"), call.header("Idempotency-Key"));
            run(core, &ask, call, ticket, &faults);
        }
    }
}

fn refuse(refusal: Refusal, model: &str) -> Reply {
    match refusal {
        Refusal::NoModel => {
            let message = format!("the model '{model}' is not served here");
            Reply::error(404, "model_not_found", message)
        }
        Refusal::Full => {
            Reply::error(429, "rate_limit_error", "the queue is full").with("Retry-After", "1")
        }
    }
}

fn run(core: &Arc<Core>, ask: &Ask, call: Call, ticket: Ticket, faults: &EngineFaults) {
    if ask.common.stream {
        // The caller is gone: the ticket has cancelled the sequence.
        let _ = stream(core, ask, call, ticket, faults);
    } else {
        whole(core, ask, call, ticket, faults);
    }
}

/// The models that the engine answers for.
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
    let weights = core.memory().weights.clone();
    let names = weights.model.iter().chain(weights.adapters.keys());
    let served = names.filter(|name| weights.answers(name).is_some());
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

fn whole(core: &Core, ask: &Ask, call: Call, mut ticket: Ticket, faults: &EngineFaults) {
    let pipe = call.pipe();
    let mut text = String::new();
    let mut given = 0;
    loop {
        match ticket.next(|| pipe.is_closed()) {
            Some(Piece::Token(_, token)) => {
                text.push_str(&token);
                given += 1;
            }
            Some(Piece::End) => break,
            Some(Piece::Lost) => {
                let reply = Reply::error(500, "engine_error", "the weights were unloaded");
                return call.reply(reply);
            }
            None => return call.cut(),
        }
        if faults.stall_after.is_some_and(|limit| given >= limit) {
            stall(|| pipe.is_closed());
            return call.cut();
        }
        if faults.cut_after.is_some_and(|limit| given >= limit) {
            return call.cut();
        }
    }
    core.runs.complete();
    let id = call.header("x-request-id").unwrap_or("0").to_owned();
    let body = ask
        .shape
        .whole(&id, &ask.common.model, &text, ask.usage(given));
    call.reply(Reply::json(200, &body));
}

/// Holds an answer until its caller gives up.
fn stall(gone: impl Fn() -> bool) {
    while !gone() {
        std::thread::sleep(std::time::Duration::from_millis(20));
    }
}

fn stream(
    core: &Core,
    ask: &Ask,
    call: Call,
    mut ticket: Ticket,
    faults: &EngineFaults,
) -> io::Result<()> {
    let pipe = call.pipe();
    let id = call.header("x-request-id").unwrap_or("0").to_owned();
    let model = ask.common.model.as_str();
    let mut writer = call.stream("text/event-stream", &[("Cache-Control", "no-cache".into())])?;
    let mut given = 0;
    loop {
        match ticket.next(|| pipe.is_closed()) {
            Some(Piece::Token(index, text)) => {
                let event = ask.shape.token(&id, model, &text);
                send_event(&mut writer, Some(index), &event)?;
                given += 1;
            }
            Some(Piece::End) => break,
            Some(Piece::Lost) | None => return Ok(()),
        }
        if faults.stall_after.is_some_and(|limit| given >= limit) {
            stall(|| pipe.is_closed());
            return Ok(());
        }
        if faults.cut_after.is_some_and(|limit| given >= limit) {
            return Ok(());
        }
    }
    let usage = ask
        .common
        .stream_options
        .include_usage
        .then(|| ask.usage(given));
    send_event(&mut writer, None, &ask.shape.last(&id, model, usage))?;
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
