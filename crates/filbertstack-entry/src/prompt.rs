//! Reads from a request's body what routing needs: the model, the cost and the prefix of the prompt.

use filbertstack_core::names::ModelName;
use filbertstack_policy::cost::Cost;
use serde::Deserialize;
use serde_json::Value;

/// The size of a prompt block in bytes: each prefix hash covers one block more than the one before.
const BLOCK_BYTES: usize = 256;

/// The largest number of leading blocks that are hashed. A shared system prompt fits into these; more
/// blocks would add no information.
const MAX_BLOCKS: usize = 16;

/// The approximate size of a token in bytes.
const BYTES_PER_TOKEN: usize = 4;

/// The assumed number of generated tokens if a request sets no limit.
const DEFAULT_OUTPUT_TOKENS: u32 = 256;

/// The fields of a request to a model that routing reads. The text of a JSON error names this type and
/// reaches the caller.
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

/// The properties of a request to a model that routing uses.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Prompt {
    /// The requested model.
    pub model: ModelName,
    /// The expected cost of the request.
    pub cost: Cost,
    /// The hashes of the prompt's leading blocks; each also covers all blocks before it.
    pub prefix: Vec<u64>,
}

/// The reason that a body is not a valid request to a model.
#[derive(Debug, thiserror::Error)]
pub enum PromptError {
    /// The body is not JSON, or its fields have other types.
    #[error("the body is no request to a model ({0}): send JSON as the OpenAI API has it")]
    Json(#[from] serde_json::Error),
    /// The body names no model, or the name is not valid.
    #[error("the body names no model: set \"model\" to one of GET /v1/models")]
    NoModel,
}

impl Prompt {
    /// Parses the body of a request to a model.
    ///
    /// # Errors
    /// Returns a [`PromptError`] whose text tells the caller what to correct.
    pub fn parse(body: &[u8]) -> Result<Self, PromptError> {
        let body: Body = serde_json::from_slice(body)?;
        let model = body.model.as_deref().and_then(|model| model.parse().ok());
        let model = model.ok_or(PromptError::NoModel)?;
        let text = body.text();
        let prompt = u32::try_from(text.len() / BYTES_PER_TOKEN).unwrap_or(u32::MAX);
        let output = body
            .max_completion_tokens
            .or(body.max_tokens)
            .unwrap_or(DEFAULT_OUTPUT_TOKENS);
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
    let blocks = text.chunks_exact(BLOCK_BYTES).take(MAX_BLOCKS);
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
