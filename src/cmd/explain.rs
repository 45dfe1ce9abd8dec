//! `filbertstack explain` prints the log lines of one request, or of the activity and state of one
//! process, from the logs of many processes.

use serde_json::Value;

use super::Failure;
use super::logs;
use super::logs::LogLine;
use crate::flags;

/// Returns whether the flags select a line.
fn is_selected(line: &LogLine, flags: &flags::Explain) -> bool {
    let request = line.fields.get("request").and_then(Value::as_str);
    let request_matches = flags
        .request
        .as_deref()
        .is_none_or(|id| request == Some(id));
    let node_matches = flags
        .node
        .as_ref()
        .is_none_or(|name| *name == line.instance);
    // Without a request id, only lines that belong to no request show the state of a process.
    request_matches && node_matches && (flags.request.is_some() || request.is_none())
}

fn format_line(line: &LogLine, start_ms: u64) -> String {
    let fields = line.fields.iter().filter(|(name, _)| *name != "request");
    let fields = fields.map(|(name, value)| match value {
        Value::String(text) => format!(" {name}={text:?}"),
        value => format!(" {name}={value}"),
    });
    format!(
        "{:>8} ms  {:<24} {:<5} {}{}",
        line.timestamp.saturating_sub(start_ms),
        line.instance,
        line.level,
        line.message,
        fields.collect::<String>()
    )
}

pub fn run(flags: &flags::Explain) -> Result<(), Failure> {
    if flags.request.is_none() && flags.node.is_none() {
        return Err("say what to explain: give --request ID or --node NAME".into());
    }
    let (mut lines, skipped) = logs::read_all(&flags.files)?;
    lines.retain(|line| is_selected(line, flags));
    let Some(first) = lines.first() else {
        return Err("no line tells of it: check the id, and give the logs of all entries".into());
    };
    let start_ms = first.timestamp;
    println!("from {start_ms} ms since 1970");
    for line in &lines {
        println!("{}", format_line(line, start_ms));
    }
    if skipped > 0 {
        println!("lines left out, cut off or not ours: {skipped}");
    }
    Ok(())
}
