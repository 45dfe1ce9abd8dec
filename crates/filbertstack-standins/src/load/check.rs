//! Compares received answers with the expected ones, without any I/O.

use filbertstack_core::Digest;
use serde::Deserialize;
use serde::Serialize;

use crate::answer;
use crate::load::config::Version;

/// The class of what a caller received.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Class {
    /// The whole expected answer, byte for byte.
    Exact,
    /// Another answer than the expected one, or one from other weights than its version has.
    Wrong,
    /// The beginning of the expected answer only.
    Truncated,
    /// A refusal that states that the request did not run.
    NotRun,
    /// It is unknown whether the request ran.
    Unknown,
    /// A refusal without a known outcome, or a failed connection.
    Error,
}

/// The answer that a request must get.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Expected {
    /// An answer of an engine.
    Answer {
        /// The prompt.
        prompt: String,
        /// The number of tokens.
        max_tokens: usize,
        /// Whether the answer is streamed.
        stream: bool,
    },
    /// A body of exactly these bytes.
    Bytes(Vec<u8>),
}

/// The received part of an answer of status 200.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Received {
    /// The version that the answer's header names.
    pub version: Option<String>,
    /// The answer's text, or its bytes for a service.
    pub bytes: Vec<u8>,
    /// Whether the answer is complete: a stream with its last event, a body of its full length.
    pub whole: bool,
}

/// Classifies an answer of status 200.
pub fn classify(expected: &Expected, versions: &[Version], received: &Received) -> Class {
    let correct = match expected {
        Expected::Bytes(bytes) => bytes.clone(),
        Expected::Answer {
            prompt, max_tokens, ..
        } => {
            let version = received.version.as_deref();
            let Some(weights) = version.and_then(|name| weights(versions, name)) else {
                return Class::Wrong;
            };
            answer::text(&weights, prompt, *max_tokens).into_bytes()
        }
    };
    if received.whole {
        return if received.bytes == correct {
            Class::Exact
        } else {
            Class::Wrong
        };
    }
    // An engine's answer without streaming is either complete or has no bytes here.
    if correct.starts_with(&received.bytes) {
        Class::Truncated
    } else {
        Class::Wrong
    }
}

fn weights(versions: &[Version], digest: &str) -> Option<Digest> {
    let version = versions.iter().find(|version| version.digest == digest)?;
    Some(version.weights)
}

/// Classifies an answer of another status than 200 by its header `x-filbertstack-outcome`.
pub fn classify_refusal(outcome: Option<&str>) -> Class {
    match outcome {
        Some("not-run") => Class::NotRun,
        Some("unknown") => Class::Unknown,
        _ => Class::Error,
    }
}
