//! The binary of the entry, the agent, the gateway, the operators' commands, the demo and the
//! stand-ins.

mod client;
mod cmd;
mod demo;
mod flags;

use std::process::ExitCode;

fn main() -> ExitCode {
    cmd::run()
}
