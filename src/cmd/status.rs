//! `filbertstack status`.

use std::fmt::Write;

use serde_json::Value;

use super::Failure;
use super::print;
use crate::client::Client;
use crate::flags;

pub fn run(flags: flags::Status) -> Result<(), Failure> {
    let client = Client::new(flags.entry, flags.key_file)?;
    let answer = client.get("status")?;
    print(&answer, flags.json, show)
}

fn show(status: &Value) -> String {
    let mut text = format!("revision {}, term {}\n", status["revision"], status["term"]);
    text.push_str(&control(&status["control"]));
    for one in list(&status["deployments"]) {
        let difference = if one["met"] == true {
            "as declared"
        } else {
            "NOT AS DECLARED"
        };
        let _ = writeln!(
            text,
            "deployment {}: serving {} of {}: {difference}",
            plain(&one["deployment"]),
            one["serving"],
            one["declared"],
        );
        for why in list(&one["why"]) {
            let _ = writeln!(text, "  {}", plain(why));
        }
    }
    for one in list(&status["targets"]) {
        let leaving = if one["leaving"] == true {
            ", leaving"
        } else {
            ""
        };
        let _ = writeln!(
            text,
            "target {} in {}{leaving}",
            plain(&one["name"]),
            plain(&one["zone"])
        );
        for held in list(&one["held"]) {
            let _ = writeln!(
                text,
                "  {}: {}{}",
                plain(&held["deployment"]),
                plain(&held["stage"]),
                trouble(&held["trouble"])
            );
        }
    }
    for one in list(&status["lost"]) {
        let _ = writeln!(text, "target {}: lost", plain(one));
    }
    text.trim_end().to_owned()
}

fn list(value: &Value) -> impl Iterator<Item = &Value> {
    value.as_array().into_iter().flatten()
}

fn plain(value: &Value) -> &str {
    value.as_str().unwrap_or_default()
}

fn trouble(value: &Value) -> String {
    match plain(value) {
        "" => String::new(),
        text => format!(" ({text})"),
    }
}

/// What is wrong with the group of voters or this voter's disk.
fn control(control: &Value) -> String {
    let names = |key: &str| -> Vec<&str> {
        list(&control[key])
            .map(|member| plain(&member["name"]))
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
