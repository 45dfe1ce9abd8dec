//! Lets copies of weights yield to live requests: measures these, and sets the copier's rate.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use filbertstack_core::Millis;
use filbertstack_policy::spread::pace::LiveTraffic;
use filbertstack_policy::spread::pace::PaceConfig;
use filbertstack_policy::spread::pace::PaceController;

use crate::desk::Desk;
use crate::gate::Gate;
use crate::mesh::Mesh;

/// How often the rate is set: several first tokens of a busy target fall into it.
const INTERVAL: Duration = Duration::from_millis(250);

/// The most times to a first byte that are kept of one interval.
const MAX_TIMES: usize = 1024;

/// The times to the first byte of the requests that began to be answered of late.
#[derive(Clone, Debug, Default)]
pub struct FirstBytes {
    times: Arc<Mutex<Vec<Millis>>>,
}

impl FirstBytes {
    /// Notes one.
    pub fn note(&self, time: Duration) {
        let mut times = self.lock();
        if times.len() < MAX_TIMES {
            times.push(time.into());
        }
    }

    /// The 95th percentile since this was last asked; `None` if there was none.
    fn take_p95(&self) -> Option<Millis> {
        let mut times = std::mem::take(&mut *self.lock());
        times.sort_unstable();
        let at = (times.len() * 95).div_ceil(100).checked_sub(1)?;
        times.get(at).copied()
    }

    fn lock(&self) -> MutexGuard<'_, Vec<Millis>> {
        self.times.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Sets the copier's rate until it is stopped.
pub struct Pacer {
    /// What the instance's link carries, in bytes a second.
    pub link: u64,
    /// What live requests see.
    pub firsts: FirstBytes,
    /// What is in progress.
    pub gate: Gate,
    /// Whether a copy is in progress.
    pub desk: Arc<Desk>,
    /// The copies.
    pub mesh: Arc<Mesh>,
    /// Ends the pacer.
    pub stopped: Arc<AtomicBool>,
}

impl Pacer {
    /// Runs until stopped.
    pub fn run(&self) {
        let mut pace = PaceController::new(PaceConfig::for_link(self.link));
        let mut last = 0;
        while !self.stopped.load(Ordering::Relaxed) {
            let live = LiveTraffic {
                in_flight: self.gate.running(),
                latency: self.firsts.take_p95(),
            };
            let rate = pace.observe(live, self.desk.is_copying());
            if rate != last {
                self.mesh.set_rate(rate);
                last = rate;
            }
            thread::sleep(INTERVAL);
        }
    }
}
