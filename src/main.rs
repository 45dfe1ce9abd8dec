//! The one binary: entry, agent, the operators' client, the demo and the stand-ins.

mod client;
mod cmd;
mod demo;
mod flags;

use std::process::ExitCode;

fn main() -> ExitCode {
    cmd::run()
}
