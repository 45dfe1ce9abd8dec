//! The logs of our processes, read back.

use std::fs;
use std::path::PathBuf;

use serde::Deserialize;
use serde_json::Map;
use serde_json::Value;

use super::Failure;

/// One line of a log.
#[derive(Deserialize)]
pub struct Line {
    /// Milliseconds since 1970, UTC.
    pub timestamp: u64,
    /// Its level.
    pub level: String,
    /// The process that wrote it.
    pub instance: String,
    /// What happened.
    pub message: String,
    /// What it is about.
    pub fields: Map<String, Value>,
}

impl Line {
    /// A field that is text; empty if it isn't there.
    pub fn text(&self, name: &str) -> &str {
        self.fields
            .get(name)
            .and_then(Value::as_str)
            .unwrap_or_default()
    }

    /// A field that is a number; -1 if it isn't there.
    pub fn number(&self, name: &str) -> i64 {
        self.fields.get(name).and_then(Value::as_i64).unwrap_or(-1)
    }
}

/// The lines of some files in the order of time, and how many lines were none of ours.
///
/// # Errors
/// A file that can't be read, or holds no line of ours.
pub fn read_all(paths: &[PathBuf]) -> Result<(Vec<Line>, usize), Failure> {
    let (mut lines, mut left_out) = (Vec::new(), 0);
    for path in paths {
        let (read, others) = read(path)?;
        lines.extend(read);
        left_out += others;
    }
    lines.sort_by_key(|line| line.timestamp);
    Ok((lines, left_out))
}

/// The lines of one file that are logs, and how many are not.
fn read(path: &PathBuf) -> Result<(Vec<Line>, usize), Failure> {
    let bytes = fs::read(path).map_err(|e| format!("{}: {e}", path.display()))?;
    let text = String::from_utf8_lossy(&bytes);
    let all = text.lines().filter(|line| !line.trim().is_empty());
    let (mut lines, mut others) = (Vec::new(), 0);
    for line in all {
        // A collector may have put a time or a name before the line.
        let begin = line.find('{').unwrap_or(0);
        match serde_json::from_str(&line[begin..]) {
            Ok(line) => lines.push(line),
            Err(_) => others += 1,
        }
    }
    if lines.is_empty() {
        let path = path.display();
        return Err(format!("{path}: no line is a log of ours; give files of JSON lines").into());
    }
    Ok((lines, others))
}
