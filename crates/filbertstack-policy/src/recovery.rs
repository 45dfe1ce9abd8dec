//! Whether a request waits for a service that nobody serves for the moment.
//!
//! *Load pattern*: all instances lose power, or all engines load at once, and for some seconds no target
//! takes work. Callers come back once. Refused at once they come back while still nobody serves, and
//! are lost with most of their patience left. So a request waits at its entry, for a part of its time
//! that leaves enough for another try. Little waits: an entry gets some requests a second.
//!
//! A service that has been without targets for longer is down. Who waits for it waits in vain, so its
//! callers are refused at once.

use std::collections::BTreeMap;
use std::sync::Arc;

use filbertstack_core::Millis;

/// The longest a service is expected to come back: elections, and weights over the narrowest link.
const OUTAGE: Millis = Millis::secs(5);

/// The part of a request's time that it waits: it may be refused then, come back and be served.
const PART: u64 = 4;

/// The longest wait. Callers leave a stream that brings no event for two seconds.
const LONGEST: Millis = Millis(1_500);

/// The most requests that wait at an entry: their bodies are held in memory.
const MOST: usize = 64;

/// How many that waited are sent for each request that is sent as it comes. They are late, and engines
/// that return carry little more than what comes: all at once, those who waited would be read first,
/// and new callers be late as well.
const SPARE: f64 = 0.34;

/// After which pause in what is sent one that waits may be sent as well: there is nobody to hold up.
const PAUSE: Millis = Millis(300);

/// When one entry could serve last, and how many of those that wait it may send.
#[derive(Clone, Debug)]
pub struct Recovery {
    began: Millis,
    served: BTreeMap<Arc<str>, Millis>,
    spare: f64,
    /// When a request was sent last.
    sent: Millis,
}

impl Recovery {
    /// Of an entry that begins now.
    pub fn new(now: Millis) -> Self {
        Self {
            began: now,
            served: BTreeMap::new(),
            spare: 0.0,
            sent: now,
        }
    }

    /// Notes that a request for `service` was sent as it came.
    pub fn count_sent(&mut self, now: Millis, service: &Arc<str>) {
        self.spare = (self.spare + SPARE).min(1.0);
        self.sent = now;
        match self.served.get_mut(service) {
            Some(served) => *served = now,
            None => {
                self.served.insert(service.clone(), now);
            }
        }
    }

    /// Whether one that waits may be sent now.
    pub fn may_send_waiter(&self, now: Millis) -> bool {
        self.spare >= 1.0 || now.since(self.sent) >= PAUSE
    }

    /// Notes that one that waited was sent.
    pub fn count_waiter_sent(&mut self, now: Millis) {
        self.spare = 0.0;
        self.sent = now;
    }

    /// How long after it came a request that has `time` in all waits for `service`, or for what is
    /// declared if that is not known yet; `None` if it is refused at once. `waiting` others wait.
    pub fn wait_limit(
        &self,
        now: Millis,
        service: Option<&str>,
        time: Millis,
        waiting: usize,
    ) -> Option<Millis> {
        let served = service.and_then(|service| self.served.get(service));
        let last = served.copied().unwrap_or(self.began);
        let returns = now.since(last) < OUTAGE;
        let wait = Millis(time.0 / PART).min(LONGEST);
        (returns && waiting < MOST).then_some(wait)
    }
}
