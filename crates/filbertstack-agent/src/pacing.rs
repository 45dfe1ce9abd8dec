//! Limits the rate of weight copies in favour of live requests, whose latency it measures.

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

use crate::gate::Gate;
use crate::mesh::Mesh;
use crate::shared::SharedState;

/// The interval between two settings of the rate: a busy target sends several first tokens within it.
const RATE_INTERVAL: Duration = Duration::from_millis(250);

/// The maximum number of samples that are kept per interval.
const MAX_SAMPLES: usize = 1024;

/// The times to the first byte of the requests whose answers began in the current interval.
#[derive(Clone, Debug, Default)]
pub struct FirstByteTimes {
    samples: Arc<Mutex<Vec<Millis>>>,
}

impl FirstByteTimes {
    /// Records the time to the first byte of one request.
    pub fn record(&self, time: Duration) {
        let mut samples = self.lock();
        if samples.len() < MAX_SAMPLES {
            samples.push(time.into());
        }
    }

    /// Returns the 95th percentile since the last call; `None` without a sample.
    fn take_p95(&self) -> Option<Millis> {
        let mut samples = std::mem::take(&mut *self.lock());
        samples.sort_unstable();
        let rank = (samples.len() * 95).div_ceil(100).checked_sub(1)?;
        samples.get(rank).copied()
    }

    fn lock(&self) -> MutexGuard<'_, Vec<Millis>> {
        self.samples.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Sets the copier's rate from the latency of live requests.
pub struct Pacer {
    /// The capacity of the instance's link, in bytes per second.
    pub link_rate: u64,
    /// The times to the first byte of live requests.
    pub first_byte_times: FirstByteTimes,
    /// The gate, which knows the number of requests in progress.
    pub gate: Gate,
    /// The state that shows whether a copy is in progress.
    pub shared: Arc<SharedState>,
    /// The copies whose rate is set.
    pub mesh: Arc<Mesh>,
    /// Stops the pacer when set.
    pub stopped: Arc<AtomicBool>,
}

impl Pacer {
    /// Sets the rate once per interval until the pacer is stopped.
    pub fn run(&self) {
        let mut pace = PaceController::new(PaceConfig::for_link(self.link_rate));
        let mut last_rate = 0;
        while !self.stopped.load(Ordering::Relaxed) {
            let live = LiveTraffic {
                in_flight: self.gate.running(),
                latency: self.first_byte_times.take_p95(),
            };
            let rate = pace.observe(live, self.shared.is_copying());
            if rate != last_rate {
                self.mesh.set_rate(rate);
                last_rate = rate;
            }
            thread::sleep(RATE_INTERVAL);
        }
    }
}
