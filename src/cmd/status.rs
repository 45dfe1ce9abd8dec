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
