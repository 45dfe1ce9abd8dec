//! What the choice of a target needs to know of a request's body.

use filbertstack_core::names::ModelName;
use filbertstack_policy::cost::Cost;
use serde::Deserialize;
use serde_json::Value;

/// The bytes of a prompt that one prefix hash covers more than the last.
const BLOCK: usize = 256;

/// How many leading blocks are hashed: a shared system prompt fits, and more tells no more.
const MAX_BLOCKS: usize = 16;

/// The bytes of a token, about.
const TOKEN_BYTES: usize = 4;

/// The tokens generated for a request that names no limit.
const DEFAULT_OUTPUT: u32 = 256;

/// A request to a model, as far as routing reads it.
#[derive(Debug, Deserialize)]
struct Body {
    model: Option<String>,
    prompt: Option<Value>,
    messages: Option<Vec<Message>>,
    max_tokens: Option<u32>,
    max_completion_tokens: Option<u32>,
}

#[derive(Debug, Deserialize)]
struct Message {
    content: Option<Value>,
}

/// What routing needs to know of a request to a model.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Prompt {
    /// The model asked for.
    pub model: ModelName,
    /// What the request is expected to cost.
    pub cost: Cost,
    /// Hashes of the prompt's leading blocks, each covering all before it.
    pub prefix: Vec<u64>,
}

/// Why a body is no request to a model.
#[derive(Debug, thiserror::Error)]
pub enum PromptError {
    /// It is no JSON object of the right shape.
    #[error("the body is no request to a model ({0}): send JSON as the OpenAI API has it")]
    Json(#[from] serde_json::Error),
    /// It names no model.
    #[error("the body names no model: set \"model\" to one of GET /v1/models")]
    NoModel,
}

impl Prompt {
    /// Reads a body.
    ///
    /// # Errors
    /// [`PromptError`] says what to correct.
    pub fn read(body: &[u8]) -> Result<Self, PromptError> {
        let body: Body = serde_json::from_slice(body)?;
        let model = body.model.as_deref().and_then(|model| model.parse().ok());
        let model = model.ok_or(PromptError::NoModel)?;
        let text = body.text();
        let prompt = u32::try_from(text.len() / TOKEN_BYTES).unwrap_or(u32::MAX);
        let output = body
            .max_completion_tokens
            .or(body.max_tokens)
            .unwrap_or(DEFAULT_OUTPUT);
        Ok(Self {
            model,
            cost: Cost { prompt, output },
            prefix: prefix_hashes(text.as_bytes()),
        })
    }
}

impl Body {
    fn text(&self) -> String {
        let mut text = String::new();
        let contents = self
            .messages
            .iter()
            .flatten()
            .filter_map(|m| m.content.as_ref());
        for part in self.prompt.iter().chain(contents) {
            match part {
                Value::String(part) => text.push_str(part),
                other => text.push_str(&other.to_string()),
            }
            text.push('\n');
        }
        text
    }
}

fn prefix_hashes(text: &[u8]) -> Vec<u64> {
    let mut hasher = blake3::Hasher::new();
    let blocks = text.chunks_exact(BLOCK).take(MAX_BLOCKS);
    blocks
        .map(|block| {
            hasher.update(block);
            let hash = hasher.finalize();
            let mut first = [0; 8];
            first.copy_from_slice(&hash.as_bytes()[..8]);
            u64::from_le_bytes(first)
        })
        .collect()
}
