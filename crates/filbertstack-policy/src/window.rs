//! Recent samples of a latency and their quantiles.

use filbertstack_core::Millis;

/// How many samples are kept: enough for a p95 that rests on six samples, few enough that one
/// second of an entry's traffic replaces them.
const CAPACITY: usize = 128;

/// The fewest samples that a quantile is read from.
const MIN_SAMPLES: usize = 20;

/// The most recent latencies of one kind.
#[derive(Clone, Debug, Default)]
pub struct Window {
    samples: Vec<Millis>,
    next: usize,
}

impl Window {
    /// Adds a sample; the oldest makes room.
    pub fn add(&mut self, sample: Millis) {
        if self.samples.len() < CAPACITY {
            self.samples.push(sample);
            return;
        }
        self.samples[self.next] = sample;
        self.next = (self.next + 1) % CAPACITY;
    }

    /// The sample below which `percent` of the samples lie; `None` while they are too few.
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

/// The least latency of the last one to two spans: what a request takes that meets no queue.
#[derive(Clone, Debug, Default)]
pub struct SlidingMin {
    previous: Option<Millis>,
    current: Option<Millis>,
    period_start: Millis,
}

/// How long a least latency counts. Shorter, and a lasting overload would pass for the normal
/// state; longer, and a slower new version would be held to its predecessor's latency.
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

    /// The least sample, if there is one.
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
    /// Adds a sample that counts for `weight`, more while there are few.
    pub fn add(&mut self, sample: f64, weight: f64) {
        self.samples = self.samples.saturating_add(1);
        let weight = weight.max(1.0 / f64::from(self.samples));
        self.value += (sample - self.value) * weight;
    }

    /// The mean, if at least `min_samples` samples were seen.
    pub fn get(&self, min_samples: u32) -> Option<f64> {
        (self.samples >= min_samples.max(1)).then_some(self.value)
    }
}
