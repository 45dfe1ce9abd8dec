//! Generates the requests of a run, each as a pure function of the settings and its number.

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
use crate::load::config::RequestKind;
use crate::service;

/// A request and its expected answer.
#[derive(Clone, Debug)]
pub struct Request {
    /// The request's id, sent as `x-request-id`.
    pub id: String,
    /// The index of the organisation in the settings.
    pub organisation: usize,
    /// The method.
    pub method: &'static str,
    /// The path.
    pub path: String,
    /// The body; empty for a `GET`.
    pub body: String,
    /// The value of `Idempotency-Key`, if the request has one.
    pub key: Option<String>,
    /// The answer that the request must get.
    pub expected: Expected,
}

/// Generates the requests of a run.
#[derive(Clone, Debug)]
pub struct Plan {
    config: LoadConfig,
}

impl Plan {
    /// Creates the plan of a run with these settings.
    pub fn new(config: &LoadConfig) -> Self {
        Self {
            config: config.clone(),
        }
    }

    /// Returns the random number generator of one request and one purpose.
    fn generator(&self, number: u64, purpose: u64) -> ChaCha8Rng {
        let mut rng = ChaCha8Rng::seed_from_u64(self.config.seed);
        rng.set_stream(number * 2 + purpose);
        rng
    }

    /// Returns the time between the previous request and request `number` in an open loop. The times are
    /// exponentially distributed, so that arrivals are independent of each other.
    pub fn gap(&self, number: u64) -> Duration {
        let Arrivals::Open { per_second } = self.config.arrivals else {
            return Duration::ZERO;
        };
        let uniform: f64 = self.generator(number, 1).random();
        let seconds = -(1.0 - uniform).ln() / per_second.max(1e-3);
        Duration::from_secs_f64(seconds.min(3600.0))
    }

    /// Returns request `number`.
    pub fn request(&self, number: u64) -> Request {
        let mut rng = self.generator(number, 0);
        let weights = self.config.organisations.iter().map(|org| org.weight);
        let organisation = weighted_index(&mut rng, weights);
        let kind = weighted_index(&mut rng, self.config.kinds.iter().map(|(share, _)| *share));
        let id = format!("load-{}-{number}", self.config.seed);
        match &self.config.kinds[kind].1 {
            RequestKind::Completion => self.completion(&mut rng, id, organisation),
            RequestKind::Chat => self.chat(&mut rng, id, organisation),
            RequestKind::Booking { service, path } => {
                let body = json!({"organisation": organisation, "booking": number}).to_string();
                let request =
                    service_request(id, organisation, "POST", service, path, number, body);
                let key = Some(format!("key-{}", request.id));
                Request { key, ..request }
            }
            RequestKind::Lookup { service, path } => service_request(
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

    /// Returns a prompt whose first words depend on the organisation alone, like an instruction that all
    /// of its callers send.
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
        // A repeated model request would yield a second answer, so each has an idempotency key of its own.
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

/// Returns a request to a plain service, which must echo it.
fn service_request(
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

/// Returns an index drawn by weight, or 0 if all weights are 0.
fn weighted_index(rng: &mut impl Rng, weights: impl Iterator<Item = u32> + Clone) -> usize {
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
