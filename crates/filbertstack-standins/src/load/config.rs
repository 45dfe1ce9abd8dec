//! What the load tool is to do.

use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::time::Duration;

use filbertstack_core::Digest;

/// An organisation whose members call.
#[derive(Clone, Debug)]
pub struct Organisation {
    /// Its name in the report.
    pub name: String,
    /// The key that its members send as `Authorization: Bearer KEY`.
    pub key: String,
    /// Its share of the requests, relative to the others.
    pub weight: u32,
}

impl Organisation {
    /// An organisation of weight 1.
    pub fn new(name: impl Into<String>, key: impl Into<String>) -> Self {
        Self {
            name: name.into(),
            key: key.into(),
            weight: 1,
        }
    }
}

/// A version that may answer.
#[derive(Clone, Debug)]
pub struct Version {
    /// Its name, as the header `x-filbertstack-version` gives it.
    pub digest: String,
    /// The weights that engines read for it; see [`weights_digest`](crate::answer::weights_digest).
    pub weights: Digest,
}

/// How requests arrive.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Arrivals {
    /// At random at this mean rate, whatever becomes of the earlier ones.
    Open {
        /// Requests a second.
        per_second: f64,
    },
    /// From so many callers, each with one request at a time.
    Closed {
        /// The callers.
        callers: usize,
    },
}

/// A kind of request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Work {
    /// `POST /v1/completions`
    Completion,
    /// `POST /v1/chat/completions`
    Chat,
    /// A `POST` below `path` of the plain service `service`, each with its own `Idempotency-Key`.
    Booking {
        /// The service's name, which its answers carry.
        service: String,
        /// The path that the number of the request is added to.
        path: String,
    },
    /// A `GET` below `path` of the plain service `service`.
    Lookup {
        /// The service's name, which its answers carry.
        service: String,
        /// The path that the number of the request is added to.
        path: String,
    },
}

/// The settings of a run.
#[derive(Clone, Debug)]
pub struct LoadConfig {
    /// Entries to ask for the addresses to use.
    pub bootstrap: Vec<SocketAddr>,
    /// Who calls.
    pub organisations: Vec<Organisation>,
    /// The model that is asked for.
    pub model: String,
    /// The versions that may answer.
    pub versions: Vec<Version>,
    /// How requests arrive.
    pub arrivals: Arrivals,
    /// What is asked, each with its share relative to the others.
    pub work: Vec<(u32, Work)>,
    /// The most requests.
    pub requests: u64,
    /// The longest time in which requests are begun.
    pub duration: Duration,
    /// The most requests at once of an open loop; further ones are counted as overrun.
    pub max_in_flight: usize,
    /// The number of different prompts.
    pub prompts: u64,
    /// The words of a prompt that all prompts of an organisation begin with.
    pub shared_words: usize,
    /// The words of a prompt besides.
    pub own_words: usize,
    /// The tokens of an answer, spread evenly.
    pub max_tokens: RangeInclusive<usize>,
    /// The share of model requests that are streamed, from 0 to 1.
    pub stream: f64,
    /// How long a caller waits for the end of an answer.
    pub deadline: Duration,
    /// How often a caller asks again after "not run", each time when it was told to.
    pub retries: u32,
    /// The same seed gives the same requests.
    pub seed: u64,
}

impl LoadConfig {
    /// Four callers, 100 streamed completions of `model`, half a minute at most.
    pub fn new(model: impl Into<String>) -> Self {
        Self {
            bootstrap: Vec::new(),
            organisations: Vec::new(),
            model: model.into(),
            versions: Vec::new(),
            arrivals: Arrivals::Closed { callers: 4 },
            work: vec![(1, Work::Completion)],
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
