//! `filbertstack explain`: one request's story, or what one process did and believed, from the logs
//! of many processes.

use std::fs;
use std::path::PathBuf;

use serde::Deserialize;
use serde_json::Map;
use serde_json::Value;

use super::Failure;
use crate::flags;

/// One line of a log.
#[derive(Deserialize)]
struct Line {
    /// Milliseconds since 1970, UTC.
    timestamp: u64,
    level: String,
    instance: String,
    message: String,
    fields: Map<String, Value>,
}

impl Line {
    fn is_wanted(&self, flags: &flags::Explain) -> bool {
        let request = self.fields.get("request").and_then(Value::as_str);
        let of_request = flags
            .request
            .as_deref()
            .is_none_or(|id| request == Some(id));
        let of_node = flags
            .node
            .as_ref()
            .is_none_or(|name| *name == self.instance);
        // What a process believes is told by lines about no single request.
        of_request && of_node && (flags.request.is_some() || request.is_none())
    }

    fn show(&self, since: u64) -> String {
        let fields = self.fields.iter().filter(|(name, _)| *name != "request");
        let fields = fields.map(|(name, value)| match value {
            Value::String(text) => format!(" {name}={text:?}"),
            value => format!(" {name}={value}"),
        });
        format!(
            "{:>8} ms  {:<24} {:<5} {}{}",
            self.timestamp.saturating_sub(since),
            self.instance,
            self.level,
            self.message,
            fields.collect::<String>()
        )
    }
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

pub fn run(flags: &flags::Explain) -> Result<(), Failure> {
    if flags.request.is_none() && flags.node.is_none() {
        return Err("say what to explain: give --request ID or --node NAME".into());
    }
    let (mut lines, mut left_out) = (Vec::new(), 0);
    for path in &flags.files {
        let (read, others) = read(path)?;
        lines.extend(read);
        left_out += others;
    }
    lines.retain(|line| line.is_wanted(flags));
    lines.sort_by_key(|line| line.timestamp);
    let Some(first) = lines.first() else {
        return Err("no line tells of it: check the id, and give the logs of all entries".into());
    };
    let since = first.timestamp;
    println!("from {since} ms since 1970");
    for line in &lines {
        println!("{}", line.show(since));
    }
    if left_out > 0 {
        println!("lines left out, cut off or not ours: {left_out}");
    }
    Ok(())
}
