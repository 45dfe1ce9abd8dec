//! This module decides whether a request waits for a service that has no target for the moment.
//!
//! *Load pattern*: all instances lose power, or all engines load at once, and no target takes work for
//! some seconds. Callers retry once. If they are refused at once, they retry while there is still no
//! target, and are lost with most of their time unused. A request therefore waits at its entry for a
//! part of its time that leaves enough for another attempt. Few requests wait, as an entry gets some
//! requests a second.
//!
//! A service that has been without targets for longer is down. Waiting for it would be in vain, so its
//! callers are refused at once.

use std::collections::BTreeMap;
use std::sync::Arc;

use filbertstack_core::Millis;

/// The longest outage from which a service is expected to recover: the time of elections and of
/// transferring weights over the narrowest link.
const MAX_OUTAGE: Millis = Millis::secs(5);

/// The divisor of a request's time that gives its wait. The request can still be refused after the
/// wait, be retried and be served.
const WAIT_DIVISOR: u64 = 4;

/// The longest wait. Callers leave a stream that brings no event for two seconds.
const MAX_WAIT: Millis = Millis(1_500);

/// The maximum number of requests that wait at an entry, as their bodies are kept in memory.
const MAX_WAITERS: usize = 64;

/// The number of waiting requests that are sent for each request that is sent on arrival. Waiting
/// requests are late, and engines that recover have little capacity beyond the arriving requests. If
/// all waiting requests were sent at once, they would be processed first and new requests would be late
/// too.
const WAITER_CREDIT: f64 = 0.34;

/// The pause without sent requests after which a waiting one may be sent too, as it delays no other
/// request.
const IDLE_PAUSE: Millis = Millis(300);

/// The times at which one entry last sent a request for each service, and the credit for waiting
/// requests.
#[derive(Clone, Debug)]
pub struct Recovery {
    started: Millis,
    last_served: BTreeMap<Arc<str>, Millis>,
    credit: f64,
    /// The time when the last request was sent.
    last_sent: Millis,
}

impl Recovery {
    /// Returns the state of an entry that starts now.
    pub fn new(now: Millis) -> Self {
        Self {
            started: now,
            last_served: BTreeMap::new(),
            credit: 0.0,
            last_sent: now,
        }
    }

    /// Counts a request for `service` that was sent on arrival.
    pub fn count_sent(&mut self, now: Millis, service: &Arc<str>) {
        self.credit = (self.credit + WAITER_CREDIT).min(1.0);
        self.last_sent = now;
        match self.last_served.get_mut(service) {
            Some(last_served) => *last_served = now,
            None => {
                self.last_served.insert(service.clone(), now);
            }
        }
    }

    /// Returns whether a waiting request may be sent now.
    pub fn may_send_waiter(&self, now: Millis) -> bool {
        self.credit >= 1.0 || now.since(self.last_sent) >= IDLE_PAUSE
    }

    /// Counts a waiting request that was sent.
    pub fn count_waiter_sent(&mut self, now: Millis) {
        self.credit = 0.0;
        self.last_sent = now;
    }

    /// Returns how long after its arrival a request with a total time of `time` waits for `service`, or
    /// for the declared state if `service` is `None`. Returns `None` if the request is refused at once.
    /// `waiters` is the number of requests that wait already.
    pub fn wait_limit(
        &self,
        now: Millis,
        service: Option<&str>,
        time: Millis,
        waiters: usize,
    ) -> Option<Millis> {
        let last_served = service.and_then(|service| self.last_served.get(service));
        let last = last_served.copied().unwrap_or(self.started);
        let may_return = now.since(last) < MAX_OUTAGE;
        let wait = Millis(time.0 / WAIT_DIVISOR).min(MAX_WAIT);
        (may_return && waiters < MAX_WAITERS).then_some(wait)
    }
}
