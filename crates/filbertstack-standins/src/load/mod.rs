//! The load tool: callers of several organisations that check every answer byte for byte.
//!
//! As other callers do, it fetches the list of entries from the bootstrap addresses, caches it until
//! it expires and connects to these entries. Both the number of requests and the time are bounded.
//!
//! ```no_run
//! use std::time::Duration;
//!
//! use filbertstack_standins::load;
//! use filbertstack_standins::load::Arrivals;
//! use filbertstack_standins::load::LoadConfig;
//! use filbertstack_standins::load::Organisation;
//! use filbertstack_standins::load::Version;
//!
//! # let (digest, weights) = (String::new(), filbertstack_core::Digest::of(b""));
//! let config = LoadConfig {
//!     bootstrap: vec!["127.0.0.1:8080".parse().unwrap()],
//!     organisations: vec![Organisation::new("acme", "acme-key")],
//!     versions: vec![Version { digest, weights }],
//!     arrivals: Arrivals::Open { per_second: 50.0 },
//!     requests: 500,
//!     duration: Duration::from_secs(30),
//!     ..LoadConfig::new("prairie-draft")
//! };
//! let report = load::run(&config);
//! assert_eq!(report.exact, report.sent);
//! println!("{}", serde_json::to_string(&report).unwrap());
//! ```

mod call;
mod check;
mod config;
mod entry_list;
mod plan;
mod report;
mod sse;

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

pub use check::Class;
pub use check::Expected;
pub use config::Arrivals;
pub use config::LoadConfig;
pub use config::Organisation;
pub use config::RequestKind;
pub use config::Version;
pub use plan::Plan;
pub use plan::Request;
pub use report::LoadReport;
pub use report::Percentiles;

use crate::load::call::Caller;
use crate::load::entry_list::EntryList;
use crate::load::report::Tally;

/// Runs the load and returns a report of what the callers received.
pub fn run(config: &LoadConfig) -> LoadReport {
    let run = Arc::new(Run::new(config));
    match config.arrivals {
        Arrivals::Open { .. } => run.clone().open_loop(),
        Arrivals::Closed { callers } => run.clone().closed_loop(callers),
    }
    let elapsed = run.started.elapsed();
    let tally = run.tally.lock().unwrap_or_else(PoisonError::into_inner);
    tally.report(elapsed, run.overrun.load(Ordering::Relaxed))
}

/// The shared state of a run.
struct Run {
    config: LoadConfig,
    plan: Plan,
    caller: Caller,
    entry_lists: Vec<EntryList>,
    started: Instant,
    next: AtomicU64,
    in_flight: AtomicUsize,
    overrun: AtomicU64,
    tally: Mutex<Tally>,
}

impl Run {
    fn new(config: &LoadConfig) -> Self {
        let organisations = config.organisations.iter();
        let entry_lists = organisations.map(|org| EntryList::new(&config.bootstrap, &org.key));
        Self {
            config: config.clone(),
            plan: Plan::new(config),
            caller: Caller::new(config),
            entry_lists: entry_lists.collect(),
            started: Instant::now(),
            next: AtomicU64::new(0),
            in_flight: AtomicUsize::new(0),
            overrun: AtomicU64::new(0),
            tally: Mutex::new(Tally::default()),
        }
    }

    /// Returns the number of the next request, or `None` once the run has reached its bounds.
    fn next_number(&self) -> Option<u64> {
        if self.started.elapsed() >= self.config.duration {
            return None;
        }
        let number = self.next.fetch_add(1, Ordering::Relaxed);
        (number < self.config.requests).then_some(number)
    }

    /// Sends each request at its due time, whether or not earlier requests have ended.
    fn open_loop(self: Arc<Self>) {
        let mut threads = Vec::new();
        let mut due = Duration::ZERO;
        while let Some(number) = self.next_number() {
            due += self.plan.gap(number);
            if due > self.config.duration {
                break;
            }
            thread::sleep(due.saturating_sub(self.started.elapsed()));
            if self.in_flight.load(Ordering::Relaxed) >= self.config.max_in_flight {
                self.overrun.fetch_add(1, Ordering::Relaxed);
                continue;
            }
            let in_flight = InFlight::new(&self);
            let due_at = self.started + due;
            threads.push(thread::spawn(move || in_flight.0.perform(number, due_at)));
        }
        join(threads);
    }

    /// Runs callers that each send the next request when the previous one has ended.
    fn closed_loop(self: Arc<Self>, callers: usize) {
        let spawn = |_| {
            let run = self.clone();
            thread::spawn(move || {
                while let Some(number) = run.next_number() {
                    run.perform(number, Instant::now());
                }
            })
        };
        join((0..callers).map(spawn).collect());
    }

    /// Makes one request. Its times count from `due`, so that they include a late start.
    fn perform(&self, number: u64, due: Instant) {
        let request = self.plan.request(number);
        let entry_list = &self.entry_lists[request.organisation];
        let result = self.caller.perform(&request, entry_list, due);
        let name = &self.config.organisations[request.organisation].name;
        let mut tally = self.tally.lock().unwrap_or_else(PoisonError::into_inner);
        tally.add(name, &result);
    }
}

/// Counts a request as in flight until it is dropped.
struct InFlight(Arc<Run>);

impl InFlight {
    fn new(run: &Arc<Run>) -> Self {
        run.in_flight.fetch_add(1, Ordering::Relaxed);
        Self(run.clone())
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.0.in_flight.fetch_sub(1, Ordering::Relaxed);
    }
}

fn join(threads: Vec<thread::JoinHandle<()>>) {
    for thread in threads {
        // A caller that panicked adds no result, which shows in the totals of the report.
        let _ = thread.join();
    }
}
