//! The rate limit on weights, so that they leave room for live requests on an instance's link.
//!
//! Load pattern: a new version is copied to instances that continue to serve requests. Answers are
//! small, a few kilobytes per second each, but they wait in the same queues as chunks. Without a
//! limit, a copy at line rate fills those queues and each token waits behind megabytes of weights.
//! The symptom is that the time to first token doubles on all instances at once, just when a model
//! changes.
//!
//! The limit is halved as soon as live requests are slower than without a copy, and rises by a
//! small step while they are not, as in congestion control (additive increase, multiplicative
//! decrease). It never falls below a minimum, because a copy without progress would keep the old
//! model in service indefinitely.

use filbertstack_core::Millis;

/// Measurements of the live requests on the instance during the last interval.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LiveTraffic {
    /// The number of requests in flight.
    pub in_flight: u32,
    /// The 95th percentile of the time to the first byte in the last interval, or `None` if there
    /// was no measurement.
    pub latency: Option<Millis>,
}

/// The parameters of the rate limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PaceConfig {
    /// The capacity of the link in bytes per second.
    pub link_rate: u64,
    /// The minimum share of the link for weights, in percent.
    pub min_percent: u64,
    /// The maximum share of the link for weights while requests are in flight, in percent.
    pub max_percent: u64,
    /// The increase per interval, in percent of the link.
    pub step_percent: u64,
    /// The increase in latency over the baseline, in percent, up to which the limit is not lowered.
    pub slack_percent: u64,
}

impl PaceConfig {
    /// Returns the parameters for a link of `link_rate` bytes per second.
    ///
    /// 90 % leaves a tenth of the link free, while the tokens of a fully loaded engine take less
    /// than a hundredth. 10 % of slack covers the noise of a 95th percentile over a few hundred
    /// requests. Steps of 5 % recover in 18 intervals, a few seconds, after a burst. The minimum of
    /// 10 % completes a copy in five windows, the time that is accepted for a slow link.
    pub fn for_link(link_rate: u64) -> Self {
        Self {
            link_rate,
            min_percent: 10,
            max_percent: 90,
            step_percent: 5,
            slack_percent: 10,
        }
    }

    fn share(self, percent: u64) -> u64 {
        self.link_rate / 100 * percent
    }
}

/// The divisor of the moving average: the newest latency counts for one sixteenth.
const SMOOTHING: u64 = 16;

/// An increase in latency up to this value does not lower the limit, whatever its percentage. An
/// engine's step takes 7 ms, so callers do not notice less.
const MIN_INCREASE: Millis = Millis(5);

/// The controller of the rate limit on weights at one instance.
#[derive(Clone, Copy, Debug)]
pub struct PaceController {
    config: PaceConfig,
    rate: u64,
    /// The latency of requests without a copy.
    baseline: Option<Millis>,
}

impl PaceController {
    /// Creates the controller of an instance without live requests so far.
    pub fn new(config: PaceConfig) -> Self {
        Self {
            config,
            rate: config.share(config.max_percent),
            baseline: None,
        }
    }

    /// Takes the measurements of the last interval, and returns the limit for the next one in bytes
    /// per second.
    ///
    /// `copying` states whether weights were copied in the interval. Without live requests, weights
    /// get the whole link.
    pub fn observe(&mut self, live: LiveTraffic, copying: bool) -> u64 {
        if live.in_flight == 0 && live.latency.is_none() {
            return self.config.link_rate;
        }
        if let Some(latency) = live.latency {
            if !copying {
                self.update_baseline(latency);
            }
            self.adjust_rate(latency);
        }
        self.rate
    }

    /// Updates the baseline. This is called only without a copy in progress: otherwise the baseline
    /// would rise with the delay that the copy causes, and the limit would never fall.
    fn update_baseline(&mut self, latency: Millis) {
        let baseline = self.baseline.unwrap_or(latency).0;
        self.baseline = Some(Millis(
            (baseline * (SMOOTHING - 1) + latency.0).div_ceil(SMOOTHING),
        ));
    }

    fn adjust_rate(&mut self, latency: Millis) {
        let config = self.config;
        // A process that starts during a copy uses the lowest latency so far.
        let baseline = self
            .baseline
            .map_or(latency, |baseline| baseline.min(latency));
        self.baseline = Some(baseline);
        let limit =
            Millis(baseline.0 * (100 + config.slack_percent) / 100).max(baseline + MIN_INCREASE);
        let rate = if latency > limit {
            self.rate / 2
        } else {
            self.rate + config.share(config.step_percent)
        };
        self.rate = rate.clamp(
            config.share(config.min_percent),
            config.share(config.max_percent),
        );
    }

    /// Returns the current limit in bytes per second.
    pub fn rate(&self) -> u64 {
        self.rate
    }
}

/// A token bucket that spreads transfers over time at a rate. It admits one transfer ahead of its
/// time.
#[derive(Clone, Copy, Debug)]
pub struct TokenBucket {
    rate: u64,
    /// The time until which the rate is used up by the bytes taken so far.
    paid_until: Millis,
}

impl TokenBucket {
    /// Creates a bucket with a rate of `rate` bytes per second.
    pub fn new(rate: u64) -> Self {
        Self {
            rate: rate.max(1),
            paid_until: Millis::ZERO,
        }
    }

    /// Changes the rate for bytes taken from now on.
    pub fn set_rate(&mut self, rate: u64) {
        self.rate = rate.max(1);
    }

    /// Takes `bytes`, and returns the time to wait before transferring them.
    pub fn take(&mut self, bytes: u64, now: Millis) -> Millis {
        let start = self.paid_until.max(now);
        let span = bytes.saturating_mul(1000) / self.rate;
        self.paid_until = start + Millis(span);
        start.since(now)
    }
}
