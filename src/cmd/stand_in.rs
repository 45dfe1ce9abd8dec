//! `filbertstack stand-in` runs a stand-in for an engine, an origin or a service; the help text does
//! not list it.

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

/// The burst of a rate limit is the number of bytes that it allows in a tenth of a second.
const BURSTS_PER_SECOND: u64 = 10;

pub fn run(arguments: Vec<OsString>) -> Result<(), Failure> {
    let flags = standin::StandIn::from_vec(arguments).unwrap_or_else(|error| error.exit());
    match flags.subcommand {
        standin::StandInCmd::Engine(flags) => start_engine(&flags),
        standin::StandInCmd::Origin(flags) => start_origin(flags),
        standin::StandInCmd::Service(flags) => start_service(&flags),
    }
}

fn start_engine(flags: &standin::Engine) -> Result<(), Failure> {
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

fn start_origin(flags: standin::Origin) -> Result<(), Failure> {
    let mut config = OriginConfig::new(flags.dir);
    config.addr = flags.listen.unwrap_or(config.addr);
    config.rate = flags.rate.map(|bytes| Rate {
        bytes,
        burst: bytes / BURSTS_PER_SECOND,
    });
    match process::run_origin(config)? {}
}

fn start_service(flags: &standin::Service) -> Result<(), Failure> {
    let mut config = ServiceConfig::new(flags.name.as_str());
    config.addr = flags.listen.unwrap_or(config.addr);
    config.latency = flags
        .latency_ms
        .map_or(config.latency, Duration::from_millis);
    match process::run_service(config)? {}
}
