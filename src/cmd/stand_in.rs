//! `filbertstack stand-in`, which the help text leaves out.

use std::ffi::OsString;
use std::time::Duration;

use filbertstack_standins::EngineConfig;
use filbertstack_standins::OriginConfig;
use filbertstack_standins::Rate;
use filbertstack_standins::ServiceConfig;
use filbertstack_standins::engine::Fencing;
use filbertstack_standins::process;

use super::Failure;
use crate::flags::standin;

/// A rate's burst is what it sends in a tenth of a second.
const BURSTS: u64 = 10;

pub fn run(arguments: Vec<OsString>) -> Result<(), Failure> {
    let flags = standin::StandIn::from_vec(arguments).unwrap_or_else(|error| error.exit());
    match flags.subcommand {
        standin::StandInCmd::Engine(flags) => engine(&flags),
        standin::StandInCmd::Origin(flags) => origin(flags),
        standin::StandInCmd::Service(flags) => service(&flags),
    }
}

fn engine(flags: &standin::Engine) -> Result<(), Failure> {
    let mut config = EngineConfig::default();
    config.addr = flags.listen.unwrap_or(config.addr);
    config.step = flags.step_ms.map_or(config.step, Duration::from_millis);
    config.load_time = flags
        .load_ms
        .map_or(config.load_time, Duration::from_millis);
    config.slots = flags.slots.unwrap_or(config.slots);
    if flags.ignore_fences {
        config.fencing = Fencing::Ignored;
    }
    match process::run_engine(config, None)? {}
}

fn origin(flags: standin::Origin) -> Result<(), Failure> {
    let mut config = OriginConfig::new(flags.dir);
    config.addr = flags.listen.unwrap_or(config.addr);
    config.rate = flags.rate.map(|bytes| Rate {
        bytes,
        burst: bytes / BURSTS,
    });
    match process::run_origin(config)? {}
}

fn service(flags: &standin::Service) -> Result<(), Failure> {
    let mut config = ServiceConfig::new(flags.name.as_str());
    config.addr = flags.listen.unwrap_or(config.addr);
    config.latency = flags
        .latency_ms
        .map_or(config.latency, Duration::from_millis);
    match process::run_service(config)? {}
}
