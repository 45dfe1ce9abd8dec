//! Reads the logs that entries, agents and gateways write as JSON lines.

use std::fs;
use std::path::PathBuf;

use serde::Deserialize;
use serde_json::Map;
use serde_json::Value;

use super::Failure;

/// One line of a log, as JSON.
#[derive(Deserialize)]
pub struct LogLine {
    /// Milliseconds since 1970, UTC.
    pub timestamp: u64,
    /// The level of the line.
    pub level: String,
    /// The name of the process that wrote the line.
    pub instance: String,
    /// The message.
    pub message: String,
    /// The key values of the message.
    pub fields: Map<String, Value>,
}

impl LogLine {
    /// Returns the text of a field, or an empty one if the field is absent or not text.
    pub fn text(&self, name: &str) -> &str {
        self.fields
            .get(name)
            .and_then(Value::as_str)
            .unwrap_or_default()
    }

    /// Returns the integer in a field, or -1 if the field is absent or not an integer.
    pub fn number(&self, name: &str) -> i64 {
        self.fields.get(name).and_then(Value::as_i64).unwrap_or(-1)
    }
}

/// Returns the log lines of all files in the order of time, and the number of lines that are not
/// log lines.
///
/// # Errors
/// Returns an error if a file cannot be read or has no log line.
pub fn read_all(paths: &[PathBuf]) -> Result<(Vec<LogLine>, usize), Failure> {
    let (mut lines, mut skipped) = (Vec::new(), 0);
    for path in paths {
        let (file_lines, file_skipped) = read_file(path)?;
        lines.extend(file_lines);
        skipped += file_skipped;
    }
    lines.sort_by_key(|line| line.timestamp);
    Ok((lines, skipped))
}

/// Returns the log lines of one file, and the number of lines that are not.
fn read_file(path: &PathBuf) -> Result<(Vec<LogLine>, usize), Failure> {
    let bytes = fs::read(path).map_err(|e| format!("{}: {e}", path.display()))?;
    let text = String::from_utf8_lossy(&bytes);
    let candidates = text.lines().filter(|line| !line.trim().is_empty());
    let (mut lines, mut skipped) = (Vec::new(), 0);
    for line in candidates {
        // A log collector may have put a time or a name before the JSON.
        let start = line.find('{').unwrap_or(0);
        match serde_json::from_str(&line[start..]) {
            Ok(line) => lines.push(line),
            Err(_) => skipped += 1,
        }
    }
    if lines.is_empty() {
        let path = path.display();
        return Err(format!("{path}: no line is a log of ours; give files of JSON lines").into());
    }
    Ok((lines, skipped))
}
