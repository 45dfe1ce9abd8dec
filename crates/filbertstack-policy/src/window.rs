//! Sliding statistics of latencies: quantiles, minimum and mean.

use filbertstack_core::Millis;

/// The number of samples kept. Six of them lie above the p95, and one second of an entry's traffic replaces
/// them all.
const CAPACITY: usize = 128;

/// The smallest number of samples from which a quantile is read.
const MIN_SAMPLES: usize = 20;

/// The most recent latencies of one kind.
#[derive(Clone, Debug, Default)]
pub struct Window {
    samples: Vec<Millis>,
    next: usize,
}

impl Window {
    /// Adds a sample, which replaces the oldest one if the window is full.
    pub fn add(&mut self, sample: Millis) {
        if self.samples.len() < CAPACITY {
            self.samples.push(sample);
            return;
        }
        self.samples[self.next] = sample;
        self.next = (self.next + 1) % CAPACITY;
    }

    /// Returns the sample below which `percent` of the samples lie, or `None` while there are too few
    /// samples.
    pub fn quantile(&self, percent: usize) -> Option<Millis> {
        if self.samples.len() < MIN_SAMPLES {
            return None;
        }
        let mut sorted = self.samples.clone();
        let rank = (sorted.len() - 1) * percent.min(100) / 100;
        let (_, sample, _) = sorted.select_nth_unstable(rank);
        Some(*sample)
    }
}

/// The minimum latency of the last one to two periods: the latency of a request that meets no queue.
#[derive(Clone, Debug, Default)]
pub struct SlidingMin {
    previous: Option<Millis>,
    current: Option<Millis>,
    period_start: Millis,
}

/// The length of a period. If it were shorter, a lasting overload would count as the normal state; if it were
/// longer, a slower new version would be compared with its predecessor's latency.
const PERIOD: Millis = Millis::secs(30);

impl SlidingMin {
    /// Adds a sample.
    pub fn add(&mut self, now: Millis, sample: Millis) {
        if now.since(self.period_start) >= PERIOD {
            self.previous = self.current.take();
            self.period_start = now;
        }
        self.current = Some(self.current.map_or(sample, |least| least.min(sample)));
    }

    /// Returns the smallest sample, if there is one.
    pub fn get(&self) -> Option<Millis> {
        match (self.previous, self.current) {
            (Some(a), Some(b)) => Some(a.min(b)),
            (a, b) => a.or(b),
        }
    }
}

/// An exponentially weighted mean.
#[derive(Clone, Copy, Debug, Default)]
pub struct Mean {
    value: f64,
    samples: u32,
}

impl Mean {
    /// Adds a sample with at least the given weight. The first samples weigh more, as in a plain mean.
    pub fn add(&mut self, sample: f64, weight: f64) {
        self.samples = self.samples.saturating_add(1);
        let weight = weight.max(1.0 / f64::from(self.samples));
        self.value += (sample - self.value) * weight;
    }

    /// Returns the mean if at least `min_samples` samples were added.
    pub fn get(&self, min_samples: u32) -> Option<f64> {
        (self.samples >= min_samples.max(1)).then_some(self.value)
    }
}
