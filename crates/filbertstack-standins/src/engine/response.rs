//! The response bodies of the API in its two formats: text completion and chat completion.

use serde::Serialize;

/// The format of an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseFormat {
    /// The text completion format, `text_completion`.
    Text,
    /// The chat completion format, `chat.completion`.
    Chat,
}

/// The number of tokens that a request used.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct Usage {
    /// The tokens of the prompt, counted as words.
    #[serde(rename = "prompt_tokens")]
    pub prompt: usize,
    /// The tokens of the answer.
    #[serde(rename = "completion_tokens")]
    pub answer: usize,
    /// The tokens of the prompt and the answer together.
    #[serde(rename = "total_tokens")]
    pub total: usize,
}

/// The body of a whole answer or of one event.
#[derive(Clone, Debug, Serialize)]
pub struct Body<'a> {
    id: &'a str,
    object: &'static str,
    created: u64,
    model: &'a str,
    choices: Vec<Choice<'a>>,
    #[serde(skip_serializing_if = "Option::is_none")]
    usage: Option<Usage>,
}

#[derive(Clone, Debug, Serialize)]
struct Choice<'a> {
    index: u32,
    #[serde(skip_serializing_if = "Option::is_none")]
    text: Option<&'a str>,
    #[serde(skip_serializing_if = "Option::is_none")]
    message: Option<Content<'a>>,
    #[serde(skip_serializing_if = "Option::is_none")]
    delta: Option<Content<'a>>,
    finish_reason: Option<&'static str>,
}

#[derive(Clone, Debug, Default, Serialize)]
struct Content<'a> {
    #[serde(skip_serializing_if = "Option::is_none")]
    role: Option<&'static str>,
    #[serde(skip_serializing_if = "Option::is_none")]
    content: Option<&'a str>,
}

/// The finish reason of every answer, which always ends at its `max_tokens`.
const FINISH_REASON: &str = "length";

impl ResponseFormat {
    fn body<'a>(self, id: &'a str, model: &'a str, is_chunk: bool, choice: Choice<'a>) -> Body<'a> {
        let object = match (self, is_chunk) {
            (Self::Text, _) => "text_completion",
            (Self::Chat, false) => "chat.completion",
            (Self::Chat, true) => "chat.completion.chunk",
        };
        Body {
            id,
            object,
            // Zero, so that two runs of a request give the same bytes.
            created: 0,
            model,
            choices: vec![choice],
            usage: None,
        }
    }

    /// Returns the body of a whole answer.
    pub fn whole<'a>(self, id: &'a str, model: &'a str, text: &'a str, usage: Usage) -> Body<'a> {
        let message = Content {
            role: Some("assistant"),
            content: Some(text),
        };
        let chat = self == Self::Chat;
        let choice = Choice {
            index: 0,
            text: (!chat).then_some(text),
            message: chat.then_some(message),
            delta: None,
            finish_reason: Some(FINISH_REASON),
        };
        let mut body = self.body(id, model, false, choice);
        body.usage = Some(usage);
        body
    }

    /// Returns the event of one token.
    pub fn token<'a>(self, id: &'a str, model: &'a str, text: &'a str) -> Body<'a> {
        let delta = Content {
            role: None,
            content: Some(text),
        };
        let chat = self == Self::Chat;
        let choice = Choice {
            index: 0,
            text: (!chat).then_some(text),
            message: None,
            delta: chat.then_some(delta),
            finish_reason: None,
        };
        self.body(id, model, true, choice)
    }

    /// Returns the event after the last token.
    pub fn last<'a>(self, id: &'a str, model: &'a str, usage: Option<Usage>) -> Body<'a> {
        let chat = self == Self::Chat;
        let choice = Choice {
            index: 0,
            text: (!chat).then_some(""),
            message: None,
            delta: chat.then(Content::default),
            finish_reason: Some(FINISH_REASON),
        };
        let mut body = self.body(id, model, true, choice);
        body.usage = usage;
        body
    }
}
