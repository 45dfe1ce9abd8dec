//! Which requests are made: a pure function of the settings and the request's number.

use std::time::Duration;

use rand::Rng;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use serde_json::Value;
use serde_json::json;

use crate::answer;
use crate::load::check::Expected;
use crate::load::config::Arrivals;
use crate::load::config::LoadConfig;
use crate::load::config::Work;
use crate::service;

/// One request and what its answer must be.
#[derive(Clone, Debug)]
pub struct Request {
    /// Its id, for `x-request-id`.
    pub id: String,
    /// The index of its organisation.
    pub organisation: usize,
    /// The method.
    pub method: &'static str,
    /// The path.
    pub path: String,
    /// The body; empty for a `GET`.
    pub body: String,
    /// The `Idempotency-Key`, if it has one.
    pub key: Option<String>,
    /// What the answer must be.
    pub expected: Expected,
}

/// Makes the requests of a run.
#[derive(Clone, Debug)]
pub struct Plan {
    config: LoadConfig,
}

impl Plan {
    /// The plan of `config`.
    pub fn new(config: &LoadConfig) -> Self {
        Self {
            config: config.clone(),
        }
    }

    /// Random numbers that belong to one request and one purpose.
    fn random(&self, number: u64, purpose: u64) -> ChaCha8Rng {
        let mut rng = ChaCha8Rng::seed_from_u64(self.config.seed);
        rng.set_stream(number * 2 + purpose);
        rng
    }

    /// The time between the request before `number` and this one in an open loop: exponential, so
    /// that arrivals are independent of each other.
    pub fn gap(&self, number: u64) -> Duration {
        let Arrivals::Open { per_second } = self.config.arrivals else {
            return Duration::ZERO;
        };
        let share: f64 = self.random(number, 1).random();
        let gap = -(1.0 - share).ln() / per_second.max(1e-3);
        Duration::from_secs_f64(gap.min(3600.0))
    }

    /// The request `number`.
    pub fn request(&self, number: u64) -> Request {
        let mut rng = self.random(number, 0);
        let weights = self.config.organisations.iter().map(|org| org.weight);
        let organisation = pick(&mut rng, weights);
        let work = pick(&mut rng, self.config.work.iter().map(|(share, _)| *share));
        let id = format!("load-{}-{number}", self.config.seed);
        match &self.config.work[work].1 {
            Work::Completion => self.completion(&mut rng, id, organisation),
            Work::Chat => self.chat(&mut rng, id, organisation),
            Work::Booking { service, path } => {
                let body = json!({"organisation": organisation, "booking": number}).to_string();
                let request = lookup(id, organisation, "POST", service, path, number, body);
                let key = Some(format!("key-{}", request.id));
                Request { key, ..request }
            }
            Work::Lookup { service, path } => lookup(
                id,
                organisation,
                "GET",
                service,
                path,
                number,
                String::new(),
            ),
        }
    }

    fn completion(&self, rng: &mut ChaCha8Rng, id: String, organisation: usize) -> Request {
        let prompt = self.prompt(rng, organisation);
        let (max_tokens, stream) = self.size(rng);
        let body = json!({
            "model": self.config.model, "prompt": prompt,
            "max_tokens": max_tokens, "stream": stream,
        });
        let path = "/v1/completions";
        model_request(id, organisation, path, &body, prompt, max_tokens, stream)
    }

    fn chat(&self, rng: &mut ChaCha8Rng, id: String, organisation: usize) -> Request {
        let content = self.prompt(rng, organisation);
        let (max_tokens, stream) = self.size(rng);
        let body = json!({
            "model": self.config.model, "messages": [{"role": "user", "content": content}],
            "max_tokens": max_tokens, "stream": stream,
        });
        let prompt = answer::chat_prompt([("user", content.as_str())]);
        let path = "/v1/chat/completions";
        model_request(id, organisation, path, &body, prompt, max_tokens, stream)
    }

    fn size(&self, rng: &mut ChaCha8Rng) -> (usize, bool) {
        let max_tokens = rng.random_range(self.config.max_tokens.clone());
        let stream = rng.random_bool(self.config.stream.clamp(0.0, 1.0));
        (max_tokens, stream)
    }

    /// A prompt whose first words depend on the organisation alone, as a house style's do.
    fn prompt(&self, rng: &mut ChaCha8Rng, organisation: usize) -> String {
        let which = rng.random_range(0..self.config.prompts.max(1));
        let shared = (0..self.config.shared_words).map(|word| format!("s{organisation}w{word}"));
        let own = (0..self.config.own_words).map(|word| format!("p{which}w{word}"));
        let words: Vec<String> = shared.chain(own).collect();
        words.join(" ")
    }
}

fn model_request(
    id: String,
    organisation: usize,
    path: &str,
    body: &Value,
    prompt: String,
    max_tokens: usize,
    stream: bool,
) -> Request {
    Request {
        // A repeated rewrite would be a second version: each has a key of its own.
        key: Some(format!("key-{id}")),
        id,
        organisation,
        method: "POST",
        path: path.to_owned(),
        body: body.to_string(),
        expected: Expected::Answer {
            prompt,
            max_tokens,
            stream,
        },
    }
}

fn lookup(
    id: String,
    organisation: usize,
    method: &'static str,
    service: &str,
    path: &str,
    number: u64,
    body: String,
) -> Request {
    let path = format!("{}/{number}", path.trim_end_matches('/'));
    let expected = Expected::Bytes(service::echo(service, method, &path, &body));
    Request {
        id,
        organisation,
        method,
        path,
        body,
        key: None,
        expected,
    }
}

/// An index drawn by weight; 0 if all weights are 0.
fn pick(rng: &mut impl Rng, weights: impl Iterator<Item = u32> + Clone) -> usize {
    let total: u64 = weights.clone().map(u64::from).sum();
    if total == 0 {
        return 0;
    }
    let mut left = rng.random_range(0..total);
    for (index, weight) in weights.enumerate() {
        let weight = u64::from(weight);
        if left < weight {
            return index;
        }
        left -= weight;
    }
    0
}
