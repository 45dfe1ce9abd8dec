//! The text of an answer, whole or as server-sent events.

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

/// What one line of a stream says.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Line {
    /// More text; empty for an event without any.
    Text(String),
    /// The mark of the end.
    Done,
    /// A line that carries no data.
    Other,
    /// Data that is no part of an answer, such as an error.
    Unreadable,
}

/// Reads a line of a stream.
pub fn read_line(line: &str) -> Line {
    let Some(data) = line.strip_prefix("data:") else {
        return Line::Other;
    };
    let data = data.trim();
    if data == "[DONE]" {
        return Line::Done;
    }
    text(data.as_bytes()).map_or(Line::Unreadable, Line::Text)
}

/// The text of an event or of a whole answer.
pub fn text(json: &[u8]) -> Option<String> {
    let body: Body = serde_json::from_slice(json).ok()?;
    let choice = body.choices.into_iter().next()?;
    let content = choice.delta.or(choice.message);
    let text = choice.text.or(content.and_then(|content| content.content));
    Some(text.unwrap_or_default())
}
