//! Parses the text of an answer, from a whole body or from server-sent events.

use serde::Deserialize;

#[derive(Deserialize)]
struct Body {
    choices: Vec<Choice>,
}

#[derive(Deserialize)]
struct Choice {
    text: Option<String>,
    delta: Option<Content>,
    message: Option<Content>,
}

#[derive(Deserialize)]
struct Content {
    content: Option<String>,
}

/// The content of one line of a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Line {
    /// The text of an event, which may be empty.
    Text(String),
    /// The event that ends the stream.
    Done,
    /// A line without data.
    Other,
    /// Data that is not part of an answer, such as an error.
    Invalid,
}

/// Parses a line of a stream.
pub fn parse_line(line: &str) -> Line {
    let Some(data) = line.strip_prefix("data:") else {
        return Line::Other;
    };
    let data = data.trim();
    if data == "[DONE]" {
        return Line::Done;
    }
    answer_text(data.as_bytes()).map_or(Line::Invalid, Line::Text)
}

/// Returns the text of an event or of a whole answer, or `None` if the JSON is neither.
pub fn answer_text(json: &[u8]) -> Option<String> {
    let body: Body = serde_json::from_slice(json).ok()?;
    let choice = body.choices.into_iter().next()?;
    let content = choice.delta.or(choice.message);
    let text = choice.text.or(content.and_then(|content| content.content));
    Some(text.unwrap_or_default())
}
