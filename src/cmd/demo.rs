//! `filbertstack demo` runs the demo and prints its report.

use super::Failure;
use crate::demo;
use crate::demo::Plan;
use crate::flags;

const DEFAULT_TARGETS: u32 = 24;
const DEFAULT_REQUESTS: u32 = 500;

pub fn run(flags: &flags::Demo) -> Result<(), Failure> {
    let plan = Plan {
        targets: flags.targets.unwrap_or(DEFAULT_TARGETS),
        requests: flags.requests.unwrap_or(DEFAULT_REQUESTS),
    };
    let report = demo::run(plan, |line| eprintln!("{line}"))?;
    println!("{report}");
    if flags.json {
        println!("{}", serde_json::to_string(&report)?);
    }
    if report.all_exact() {
        return Ok(());
    }
    Err("some requests did not get their own whole answer".into())
}
