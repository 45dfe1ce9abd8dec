//! `filbertstack status` prints the declared and the actual state.

use std::fmt::Write;

use serde_json::Value;

use super::Failure;
use super::print_answer;
use crate::client::Client;
use crate::flags;

pub fn run(flags: flags::Status) -> Result<(), Failure> {
    let client = Client::new(flags.entry, flags.key_file)?;
    let answer = client.get("status")?;
    print_answer(&answer, flags.json, render)
}

fn render(status: &Value) -> String {
    let mut text = format!("revision {}, term {}\n", status["revision"], status["term"]);
    text.push_str(&render_control(&status["control"]));
    for deployment in items(&status["deployments"]) {
        let verdict = if deployment["met"] == true {
            "as declared"
        } else {
            "NOT AS DECLARED"
        };
        let _ = writeln!(
            text,
            "deployment {}: serving {} of {}: {verdict}",
            as_text(&deployment["deployment"]),
            deployment["serving"],
            deployment["declared"],
        );
        for reason in items(&deployment["why"]) {
            let _ = writeln!(text, "  {}", as_text(reason));
        }
    }
    for target in items(&status["targets"]) {
        let leaving = if target["leaving"] == true {
            ", leaving"
        } else {
            ""
        };
        let _ = writeln!(
            text,
            "target {} in {}{leaving}",
            as_text(&target["name"]),
            as_text(&target["zone"])
        );
        for held in items(&target["held"]) {
            let _ = writeln!(
                text,
                "  {}: {}{}",
                as_text(&held["deployment"]),
                as_text(&held["stage"]),
                trouble_suffix(&held["trouble"])
            );
        }
    }
    for name in items(&status["lost"]) {
        let _ = writeln!(text, "target {}: lost", as_text(name));
    }
    text.trim_end().to_owned()
}

fn items(value: &Value) -> impl Iterator<Item = &Value> {
    value.as_array().into_iter().flatten()
}

fn as_text(value: &Value) -> &str {
    value.as_str().unwrap_or_default()
}

fn trouble_suffix(value: &Value) -> String {
    match as_text(value) {
        "" => String::new(),
        text => format!(" ({text})"),
    }
}

/// Returns the lines about the voters: their names, and faults of their group or of the disk of the
/// voter that answered.
fn render_control(control: &Value) -> String {
    let names = |key: &str| -> Vec<&str> {
        items(&control[key])
            .map(|member| as_text(&member["name"]))
            .collect()
    };
    if control.is_null() {
        return String::new();
    }
    let mut text = format!("voters {}\n", names("voters").join(", "));
    if control["forming"] != 0 {
        text.push_str("the group of voters is still forming: start the missing ones\n");
    }
    if control["disk-full"] == true {
        text.push_str("the disk of the voter asked is full: free space\n");
    }
    if let Some(why) = control["failed"].as_str() {
        let _ = writeln!(text, "the voter asked has stopped: {why}");
    }
    for learner in names("learners") {
        let _ = writeln!(text, "{learner} copies the log and does not vote yet");
    }
    text
}
