//! The demo runs all parts of a system as threads of one process. They communicate over loopback with
//! the real protocols.

mod report;
mod system;

use std::time::Duration;
use std::time::Instant;

use filbertstack_standins::load;
use filbertstack_standins::load::Arrivals;
use filbertstack_standins::load::LoadConfig;
use filbertstack_standins::load::Organisation;
use filbertstack_standins::load::RequestKind;
use filbertstack_standins::load::Version;
use thiserror::Error;

pub use report::Report;
use system::CALLER_KEY;
use system::SERVICE;
use system::System;

/// The model that the demo serves.
const MODEL: &str = "prairie-draft";

/// The time limit of each wait, and of the load.
const STEP_TIMEOUT: Duration = Duration::from_secs(60);

/// The interval at which the progress is checked.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// The number of concurrent callers.
const CALLERS: usize = 16;

/// The number of times a caller repeats a request that was refused as not run.
const RETRIES: u32 = 5;

/// The shares of completions and bookings: one request in ten is a booking, which must not run twice.
const WORK_SHARES: (u32, u32) = (9, 1);

/// The size of the demo.
#[derive(Clone, Copy, Debug)]
pub struct Plan {
    /// The number of model engines.
    pub targets: u32,
    /// The number of requests.
    pub requests: u32,
}

/// The reasons for which the demo fails.
#[derive(Debug, Error)]
pub enum DemoError {
    /// A state was not reached within the time limit.
    #[error("{0} did not come to be within 60 s: see the log above")]
    Timeout(&'static str),
    /// A part did not start.
    #[error("the demo's {part} did not start: {text}")]
    Start {
        /// The name of the part.
        part: &'static str,
        /// The text of the error.
        text: String,
    },
    /// The entry refused a change.
    #[error("the demo's change was refused: {0}")]
    Refused(String),
}

/// Runs the demo and reports each step to `progress`.
///
/// # Errors
/// Returns an error if a part does not start, an entry refuses a change or a step exceeds its time
/// limit.
pub fn run(plan: Plan, progress: impl Fn(&str)) -> Result<Report, DemoError> {
    progress("starting 3 entries, an origin, a plain service and the engines");
    let system = System::start(plan.targets)?;
    let targets = plan.targets as usize;
    wait_count(
        "targets known",
        targets + 1,
        || system.known_targets(),
        &progress,
    )?;
    let version = system.publish()?;
    progress(&format!("published version {}", &version[..12]));
    let began = Instant::now();
    system.apply(&version, plan.targets)?;
    wait_count(
        "replicas serving",
        targets,
        || system.serving_replicas(),
        &progress,
    )?;
    let time_to_replicas = began.elapsed();
    let origin_copies = system.origin_copies();
    progress(&format!("calling {} times", plan.requests));
    let load = load::run(&load_config(&system, version, plan.requests));
    Ok(Report::new(plan, time_to_replicas, origin_copies, &load))
}

/// Waits until `count` returns at least `wanted`, and reports each new count to `progress`.
fn wait_count(
    state: &'static str,
    wanted: usize,
    count: impl Fn() -> usize,
    progress: &impl Fn(&str),
) -> Result<(), DemoError> {
    let deadline = Instant::now() + STEP_TIMEOUT;
    let mut reported = None;
    while Instant::now() < deadline {
        let current = count();
        if reported != Some(current) {
            progress(&format!("{current} of {wanted} {state}"));
            reported = Some(current);
        }
        if current >= wanted {
            return Ok(());
        }
        std::thread::sleep(POLL_INTERVAL);
    }
    Err(DemoError::Timeout(state))
}

fn load_config(system: &System, version: String, requests: u32) -> LoadConfig {
    let bookings = RequestKind::Booking {
        service: SERVICE.into(),
        path: "/move-in/".into(),
    };
    let mut config = LoadConfig::new(MODEL);
    config.bootstrap = system.entry_addrs();
    config.organisations = vec![Organisation::new("prairie-homes", CALLER_KEY)];
    config.versions = vec![Version {
        digest: version,
        weights: system.weights(),
    }];
    config.arrivals = Arrivals::Closed { callers: CALLERS };
    config.kinds = vec![
        (WORK_SHARES.0, RequestKind::Completion),
        (WORK_SHARES.1, bookings),
    ];
    config.requests = requests.into();
    config.duration = STEP_TIMEOUT;
    config.retries = RETRIES;
    config
}
