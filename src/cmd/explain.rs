//! `filbertstack explain`: one request's story, or what one process did and believed, from the logs
//! of many processes.

use serde_json::Value;

use super::Failure;
use super::logs;
use super::logs::Line;
use crate::flags;

/// Whether a line tells of what is to be explained.
fn is_wanted(line: &Line, flags: &flags::Explain) -> bool {
    let request = line.fields.get("request").and_then(Value::as_str);
    let of_request = flags
        .request
        .as_deref()
        .is_none_or(|id| request == Some(id));
    let of_node = flags
        .node
        .as_ref()
        .is_none_or(|name| *name == line.instance);
    // What a process believes is told by lines about no single request.
    of_request && of_node && (flags.request.is_some() || request.is_none())
}

fn show(line: &Line, since: u64) -> String {
    let fields = line.fields.iter().filter(|(name, _)| *name != "request");
    let fields = fields.map(|(name, value)| match value {
        Value::String(text) => format!(" {name}={text:?}"),
        value => format!(" {name}={value}"),
    });
    format!(
        "{:>8} ms  {:<24} {:<5} {}{}",
        line.timestamp.saturating_sub(since),
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
    let (mut lines, left_out) = logs::read_all(&flags.files)?;
    lines.retain(|line| is_wanted(line, flags));
    let Some(first) = lines.first() else {
        return Err("no line tells of it: check the id, and give the logs of all entries".into());
    };
    let since = first.timestamp;
    println!("from {since} ms since 1970");
    for line in &lines {
        println!("{}", show(line, since));
    }
    if left_out > 0 {
        println!("lines left out, cut off or not ours: {left_out}");
    }
    Ok(())
}
