//! `filbertstack apply` changes the declarations.

use std::fs;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use filbertstack_entry::operators::ApplyRequest;
use serde_json::Value;

use super::Failure;
use super::print_answer;
use crate::client::Client;
use crate::client::ClientError;
use crate::flags;

/// The interval at which `--wait` asks the entry.
const POLL_INTERVAL: Duration = Duration::from_millis(200);

pub fn run(flags: flags::Apply) -> Result<(), Failure> {
    let client = Client::new(flags.entry, flags.key_file)?;
    let text = fs::read_to_string(&flags.file);
    let text = text.map_err(|source| ClientError::File {
        file: flags.file,
        source,
    })?;
    let request = ApplyRequest {
        request: flags.request_id.unwrap_or_else(random_id),
        expected: flags.revision,
        issued: unix_millis(),
        text,
        removals: flags.remove,
    };
    let answer = client.post("apply", &request)?;
    print_answer(&answer, flags.json, |body| {
        let accepted = &body["accepted"];
        let warnings = accepted["warnings"].as_array();
        let warnings = warnings.into_iter().flatten().filter_map(Value::as_str);
        let lines = [format!("accepted as revision {}", accepted["revision"])];
        let lines = lines
            .into_iter()
            .chain(warnings.map(|text| format!("warning: {text}")));
        lines.collect::<Vec<_>>().join("\n")
    })?;
    if flags.wait {
        let revision = answer.body["accepted"]["revision"]
            .as_u64()
            .unwrap_or_default();
        wait_in_force(&client, revision)?;
    }
    Ok(())
}

/// Waits until every follower has the revision or cannot answer from an older one any more.
fn wait_in_force(client: &Client, revision: u64) -> Result<(), Failure> {
    let mut printed = String::new();
    loop {
        let answer = client.get(&format!("in-force?revision={revision}"))?;
        if answer.body["everywhere"] == Value::Bool(true) {
            eprintln!("revision {revision} is in force everywhere");
            return Ok(());
        }
        let waiting = answer.body["waiting"].as_array();
        let waiting: Vec<&str> = waiting
            .into_iter()
            .flatten()
            .filter_map(Value::as_str)
            .collect();
        let line = format!("revision {revision}: waiting for {}", waiting.join(", "));
        if line != printed {
            eprintln!("{line}");
            printed = line;
        }
        std::thread::sleep(POLL_INTERVAL);
    }
}

fn random_id() -> String {
    let number: u128 = rand::random();
    format!("{number:032x}")
}

fn unix_millis() -> u64 {
    let now = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(now.as_millis()).unwrap_or(u64::MAX)
}
