//! How much of an instance's link weights may take while live requests use it.
//!
//! Load pattern: a new version is copied to machines that go on answering. Answers are small, a
//! few kilobytes a second each, but they wait in the same queues as chunks. Without a limit a copy
//! at line rate fills those queues and each token waits behind megabytes: the symptom is a time to
//! first token that doubles on all instances at once, just when a model changes.
//!
//! The limit falls by half as soon as live requests are slower than without a copy, and rises by a
//! small step while they are not, as congestion control does: quick to yield, slow to take. It
//! never falls under a floor, for a copy that stands still keeps the old model in use for ever.

use filbertstack_core::Millis;

/// What live requests on the instance saw of late.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LiveTraffic {
    /// The requests in flight.
    pub inflight: u32,
    /// The 95th percentile of the time to the first byte in the last interval; `None` if none
    /// ended in it.
    pub latency: Option<Millis>,
}

/// The figures of the limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PaceConfig {
    /// What the link carries, in bytes a second.
    pub link: u64,
    /// The share that weights get at least, in percent.
    pub least: u64,
    /// The share that weights get at most while requests are in flight, in percent.
    pub most: u64,
    /// The step up in each interval, in percent of the link.
    pub step: u64,
    /// How much slower requests may be than without a copy before weights yield, in percent.
    pub slack: u64,
}

impl PaceConfig {
    /// The figures for a link of `link` bytes a second.
    ///
    /// 90 % leaves a tenth of the link: the tokens of a full engine take under a hundredth. 10 %
    /// of slack is the noise of a 95th percentile over some hundred requests. Steps of 5 % climb
    /// back in 18 intervals, a few seconds, after a burst. 10 % at least brings a copy in five
    /// windows, the time that is accepted for a slow link.
    pub fn for_link(link: u64) -> Self {
        Self {
            link,
            least: 10,
            most: 90,
            step: 5,
            slack: 10,
        }
    }

    fn share(self, percent: u64) -> u64 {
        self.link / 100 * percent
    }
}

/// The weight of the newest latency in the base: one in sixteen.
const SMOOTH: u64 = 16;

/// A difference below this is not acted on, whatever its share: an engine's step takes 7 ms, so
/// that callers do not see less.
const GRAIN: Millis = Millis(5);

/// The limit on weights at one instance.
#[derive(Clone, Copy, Debug)]
pub struct PaceController {
    config: PaceConfig,
    rate: u64,
    /// The latency of requests while weights are not in their way.
    base: Option<Millis>,
}

impl PaceController {
    /// The limit of an instance that has not seen live requests yet.
    pub fn new(config: PaceConfig) -> Self {
        Self {
            config,
            rate: config.share(config.most),
            base: None,
        }
    }

    /// Takes what was seen in the last interval; the limit for the next, in bytes a second.
    ///
    /// `copying` says whether weights moved in the interval. Without live requests weights get
    /// the whole link.
    pub fn observe(&mut self, live: LiveTraffic, copying: bool) -> u64 {
        if live.inflight == 0 && live.latency.is_none() {
            return self.config.link;
        }
        if let Some(latency) = live.latency {
            if !copying {
                self.learn(latency);
            }
            self.adjust(latency);
        }
        self.rate
    }

    /// A base is learnt without a copy only: else it would rise with the harm that the copy does,
    /// and nothing would ever yield.
    fn learn(&mut self, latency: Millis) {
        let base = self.base.unwrap_or(latency).0;
        self.base = Some(Millis((base * (SMOOTH - 1) + latency.0).div_ceil(SMOOTH)));
    }

    fn adjust(&mut self, latency: Millis) {
        let config = self.config;
        // A process that begins in the middle of a copy starts from the least it has seen.
        let base = self.base.map_or(latency, |base| base.min(latency));
        self.base = Some(base);
        let limit = Millis(base.0 * (100 + config.slack) / 100).max(base + GRAIN);
        let rate = if latency > limit {
            self.rate / 2
        } else {
            self.rate + config.share(config.step)
        };
        self.rate = rate.clamp(config.share(config.least), config.share(config.most));
    }

    /// The limit now, in bytes a second.
    pub fn rate(&self) -> u64 {
        self.rate
    }
}

/// Spreads bytes over time at a rate: a token bucket that lends one transfer.
#[derive(Clone, Copy, Debug)]
pub struct TokenBucket {
    rate: u64,
    /// When the bytes taken so far are paid for.
    paid: Millis,
}

impl TokenBucket {
    /// A bucket of `rate` bytes a second.
    pub fn new(rate: u64) -> Self {
        Self {
            rate: rate.max(1),
            paid: Millis::ZERO,
        }
    }

    /// Changes the rate for what is taken from now on.
    pub fn set_rate(&mut self, rate: u64) {
        self.rate = rate.max(1);
    }

    /// Takes `bytes`; how long to wait before they are moved.
    pub fn take(&mut self, bytes: u64, now: Millis) -> Millis {
        let start = self.paid.max(now);
        let span = bytes.saturating_mul(1000) / self.rate;
        self.paid = start + Millis(span);
        start.since(now)
    }
}
