//! The subcommands, one file each.

mod account;
mod agent;
mod apply;
mod check;
mod demo;
mod drain;
mod entry;
mod explain;
mod gateway;
mod get;
mod logs;
mod publish;
mod show;
mod signals;
mod stand_in;
mod status;

use std::ffi::OsString;
use std::process::ExitCode;

use serde_json::Value;

use crate::client::Answer;
use crate::client::ClientError;
use crate::client::error_message;
use crate::flags::Filbertstack;
use crate::flags::FilbertstackCmd;

/// The error of a subcommand: its message is printed and the exit code is 1.
type Failure = Box<dyn std::error::Error>;

/// Runs the subcommand that the command line names and returns the exit code of the process.
pub fn run() -> ExitCode {
    let arguments: Vec<OsString> = std::env::args_os().skip(1).collect();
    let outcome = match arguments.first() {
        Some(first) if first == "stand-in" => stand_in::run(arguments[1..].to_vec()),
        _ => dispatch(Filbertstack::from_env_or_exit().subcommand),
    };
    match outcome {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("error: {error}");
            ExitCode::FAILURE
        }
    }
}

fn dispatch(command: FilbertstackCmd) -> Result<(), Failure> {
    match command {
        FilbertstackCmd::Entry(flags) => entry::run(&flags),
        FilbertstackCmd::Agent(flags) => agent::run(&flags),
        FilbertstackCmd::Gateway(flags) => gateway::run_entry(&flags),
        FilbertstackCmd::GatewayAgent(flags) => gateway::run_agent(&flags),
        FilbertstackCmd::Publish(flags) => publish::run(flags),
        FilbertstackCmd::Apply(flags) => apply::run(flags),
        FilbertstackCmd::Get(flags) => get::run(flags),
        FilbertstackCmd::Status(flags) => status::run(flags),
        FilbertstackCmd::Show(flags) => show::run(&flags),
        FilbertstackCmd::Drain(flags) => drain::run(flags),
        FilbertstackCmd::Check(flags) => check::run(&flags),
        FilbertstackCmd::Account(flags) => account::run(&flags),
        FilbertstackCmd::Explain(flags) => explain::run(&flags),
        FilbertstackCmd::Demo(flags) => demo::run(&flags),
    }
}

/// Prints `answer` as JSON or as the text that `render` returns.
///
/// # Errors
/// Returns an error if the status of `answer` is not a success.
fn print_answer(
    answer: &Answer,
    json: bool,
    render: impl Fn(&Value) -> String,
) -> Result<(), Failure> {
    if json {
        println!("{}", answer.body);
    }
    if !(200..300).contains(&answer.status) {
        return Err(ClientError::Refused(refusal_text(&answer.body)).into());
    }
    if !json {
        println!("{}", render(&answer.body));
    }
    Ok(())
}

/// Returns the reasons for which an entry refused a request or a change.
fn refusal_text(body: &Value) -> String {
    if let Some(reasons) = body.pointer("/rejected/reasons").and_then(Value::as_array) {
        let reasons: Vec<&str> = reasons.iter().filter_map(Value::as_str).collect();
        return format!("rejected:\n  {}", reasons.join("\n  "));
    }
    if let Some(conflict) = body.get("conflict") {
        let winner = conflict.get("won").unwrap_or(&Value::Null);
        let author = winner
            .get("operator")
            .and_then(Value::as_str)
            .unwrap_or("another operator");
        let current = conflict.get("current").unwrap_or(&Value::Null);
        return format!(
            "conflict: revision {current} is in force, made by {author}; look at it with 'get all', \
             then apply with --revision {current}"
        );
    }
    error_message(body)
}
