//! What an answer must be and what a caller received instead. Nothing here has a network.

use filbertstack_core::Digest;
use serde::Deserialize;
use serde::Serialize;

use crate::answer;
use crate::load::config::Version;

/// What a caller received.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Class {
    /// Its whole answer, byte for byte.
    Exact,
    /// An answer that is not its own, or from other weights than it names.
    Wrong,
    /// The beginning of its answer and no more.
    Truncated,
    /// The word that it did not run.
    NotRun,
    /// No word whether it ran.
    Unknown,
    /// A refusal that says nothing of the kind, or no connection.
    Error,
}

/// What the answer of a request must be.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Expected {
    /// The answer of an engine.
    Answer {
        /// The prompt.
        prompt: String,
        /// The tokens.
        max_tokens: usize,
        /// Whether it comes as a stream.
        stream: bool,
    },
    /// These bytes.
    Bytes(Vec<u8>),
}

/// An answer of status 200 as far as it was received.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Received {
    /// The version that it names.
    pub version: Option<String>,
    /// The answer's text, or its bytes for a service.
    pub bytes: Vec<u8>,
    /// Whether it ended as an answer must: with its last event, or its full length.
    pub whole: bool,
}

/// Judges an answer of status 200.
pub fn judge(expected: &Expected, versions: &[Version], received: &Received) -> Class {
    let right = match expected {
        Expected::Bytes(bytes) => bytes.clone(),
        Expected::Answer {
            prompt, max_tokens, ..
        } => {
            let named = received.version.as_deref();
            let Some(weights) = named.and_then(|name| weights(versions, name)) else {
                return Class::Wrong;
            };
            answer::text(&weights, prompt, *max_tokens).into_bytes()
        }
    };
    if received.whole {
        return if received.bytes == right {
            Class::Exact
        } else {
            Class::Wrong
        };
    }
    // An answer of an engine that is not streamed is read as a whole or not at all.
    if right.starts_with(&received.bytes) {
        Class::Truncated
    } else {
        Class::Wrong
    }
}

fn weights(versions: &[Version], digest: &str) -> Option<Digest> {
    let version = versions.iter().find(|version| version.digest == digest)?;
    Some(version.weights)
}

/// Judges a status other than 200 by the header `x-filbertstack-outcome`.
pub fn judge_refusal(outcome: Option<&str>) -> Class {
    match outcome {
        Some("not-run") => Class::NotRun,
        Some("unknown") => Class::Unknown,
        _ => Class::Error,
    }
}
