//! The settings of the load tool.

use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::time::Duration;

use filbertstack_core::Digest;

/// An organisation that sends requests.
#[derive(Clone, Debug)]
pub struct Organisation {
    /// The organisation's name in the report.
    pub name: String,
    /// The key that its callers send as `Authorization: Bearer KEY`.
    pub key: String,
    /// Its share of the requests, relative to the others.
    pub weight: u32,
}

impl Organisation {
    /// Creates an organisation of weight 1.
    pub fn new(name: impl Into<String>, key: impl Into<String>) -> Self {
        Self {
            name: name.into(),
            key: key.into(),
            weight: 1,
        }
    }
}

/// A version whose answers are accepted.
#[derive(Clone, Debug)]
pub struct Version {
    /// The version's digest, as in the header `x-filbertstack-version`.
    pub digest: String,
    /// The digest of the weights that engines load for the version; see
    /// [`weights_digest`](crate::answer::weights_digest).
    pub weights: Digest,
}

/// How requests arrive.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Arrivals {
    /// Requests arrive at random at a mean rate, independently of earlier requests (open loop).
    Open {
        /// The mean number of requests a second.
        per_second: f64,
    },
    /// A fixed number of callers make one request at a time each (closed loop).
    Closed {
        /// The number of callers.
        callers: usize,
    },
}

/// A kind of request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RequestKind {
    /// `POST /v1/completions`
    Completion,
    /// `POST /v1/chat/completions`
    Chat,
    /// A `POST` below `path` of the plain service `service`, each with its own `Idempotency-Key`.
    Booking {
        /// The service's name, which its answers contain.
        service: String,
        /// The path to which the number of the request is appended.
        path: String,
    },
    /// A `GET` below `path` of the plain service `service`.
    Lookup {
        /// The service's name, which its answers contain.
        service: String,
        /// The path to which the number of the request is appended.
        path: String,
    },
}

/// The settings of a run.
#[derive(Clone, Debug)]
pub struct LoadConfig {
    /// The entries that are asked for the current list of entries.
    pub bootstrap: Vec<SocketAddr>,
    /// The organisations that send requests.
    pub organisations: Vec<Organisation>,
    /// The requested model.
    pub model: String,
    /// The versions whose answers are accepted.
    pub versions: Vec<Version>,
    /// How requests arrive.
    pub arrivals: Arrivals,
    /// The kinds of requests, each with its share relative to the others.
    pub kinds: Vec<(u32, RequestKind)>,
    /// The most requests of the run.
    pub requests: u64,
    /// The longest time during which requests are started.
    pub duration: Duration,
    /// The most concurrent requests of an open loop; further requests are skipped and counted as overrun.
    pub max_in_flight: usize,
    /// The number of different prompts.
    pub prompts: u64,
    /// The number of words with which all prompts of an organisation begin.
    pub shared_words: usize,
    /// The number of further words of a prompt.
    pub own_words: usize,
    /// The range of an answer's number of tokens, drawn uniformly.
    pub max_tokens: RangeInclusive<usize>,
    /// The share of model requests that are streamed, from 0 to 1.
    pub stream: f64,
    /// The longest time from a request's due time to the end of its answer.
    pub deadline: Duration,
    /// The most retries after "not run", each after the time in `Retry-After`.
    pub retries: u32,
    /// The seed of the random numbers; equal seeds give equal requests.
    pub seed: u64,
}

impl LoadConfig {
    /// Returns settings of four callers that make 100 streamed completions of `model` in at most 30 s.
    pub fn new(model: impl Into<String>) -> Self {
        Self {
            bootstrap: Vec::new(),
            organisations: Vec::new(),
            model: model.into(),
            versions: Vec::new(),
            arrivals: Arrivals::Closed { callers: 4 },
            kinds: vec![(1, RequestKind::Completion)],
            requests: 100,
            duration: Duration::from_secs(30),
            max_in_flight: 1000,
            prompts: 1000,
            shared_words: 32,
            own_words: 16,
            max_tokens: 8..=32,
            stream: 1.0,
            deadline: Duration::from_secs(30),
            retries: 0,
            seed: 1,
        }
    }
}
