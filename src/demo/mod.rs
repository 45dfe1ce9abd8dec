//! The demo: a whole system as threads of one process on loopback, over the real protocols.

mod report;
mod world;

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
use world::CALLER_KEY;
use world::SERVICE;
use world::World;

/// The model that the demo serves.
const MODEL: &str = "prairie-draft";

/// How long each step may take.
const PATIENCE: Duration = Duration::from_secs(60);

/// How often progress is looked at.
const POLL: Duration = Duration::from_millis(100);

/// How many callers ask at once.
const CALLERS: usize = 16;

/// How often a caller asks again after "not run".
const RETRIES: u32 = 5;

/// One request in ten is a booking, which must not run twice.
const SHARES: (u32, u32) = (9, 1);

/// What the demo is to do.
#[derive(Clone, Copy, Debug)]
pub struct Plan {
    /// How many model engines.
    pub targets: u32,
    /// How many requests.
    pub requests: u32,
}

/// Why the demo broke off.
#[derive(Debug, Error)]
pub enum DemoError {
    /// Something did not come to be in time.
    #[error("{0} did not come to be within 60 s: see the log above")]
    Late(&'static str),
    /// A part did not start.
    #[error("the demo's {part} did not start: {text}")]
    Start {
        /// The part.
        part: &'static str,
        /// Why.
        text: String,
    },
    /// A change was refused.
    #[error("the demo's change was refused: {0}")]
    Refused(String),
}

/// Runs the demo; `progress` hears what happens.
///
/// # Errors
/// [`DemoError`] says where it broke off.
pub fn run(plan: Plan, progress: impl Fn(&str)) -> Result<Report, DemoError> {
    progress("starting 3 entries, an origin, a plain service and the engines");
    let world = World::start(plan.targets)?;
    let targets = plan.targets as usize;
    wait("targets known", targets + 1, || world.known(), &progress)?;
    let version = world.publish()?;
    progress(&format!("published version {}", &version[..12]));
    let began = Instant::now();
    world.apply(&version, plan.targets)?;
    wait("replicas serving", targets, || world.serving(), &progress)?;
    let time = began.elapsed();
    let copies = world.origin_copies();
    progress(&format!("calling {} times", plan.requests));
    let load = load::run(&load_config(&world, version, plan.requests));
    Ok(Report::new(plan, time, copies, &load))
}

/// Waits until `count` reaches `wanted`.
fn wait(
    what: &'static str,
    wanted: usize,
    count: impl Fn() -> usize,
    progress: &impl Fn(&str),
) -> Result<(), DemoError> {
    let until = Instant::now() + PATIENCE;
    let mut shown = None;
    while Instant::now() < until {
        let now = count();
        if shown != Some(now) {
            progress(&format!("{now} of {wanted} {what}"));
            shown = Some(now);
        }
        if now >= wanted {
            return Ok(());
        }
        std::thread::sleep(POLL);
    }
    Err(DemoError::Late(what))
}

fn load_config(world: &World, version: String, requests: u32) -> LoadConfig {
    let bookings = RequestKind::Booking {
        service: SERVICE.into(),
        path: "/move-in/".into(),
    };
    let mut config = LoadConfig::new(MODEL);
    config.bootstrap = world.callers_entries();
    config.organisations = vec![Organisation::new("prairie-homes", CALLER_KEY)];
    config.versions = vec![Version {
        digest: version,
        weights: world.weights(),
    }];
    config.arrivals = Arrivals::Closed { callers: CALLERS };
    config.kinds = vec![(SHARES.0, RequestKind::Completion), (SHARES.1, bookings)];
    config.requests = requests.into();
    config.duration = PATIENCE;
    config.retries = RETRIES;
    config
}
