//! Fetches the list of entries and caches it until it expires.

use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use serde::Deserialize;
use ureq::Agent;

/// The timeout of fetching the list.
const TIMEOUT: Duration = Duration::from_secs(5);

/// How long a caller keeps using the old addresses after a failed fetch.
const RETRY_INTERVAL: Duration = Duration::from_secs(1);

#[derive(Deserialize)]
struct Entry {
    addr: SocketAddr,
}

#[derive(Deserialize)]
struct Entries {
    entries: Vec<Entry>,
    max_age_s: f64,
}

/// A list of addresses and the time until which it may be used.
struct CachedList {
    addrs: Vec<SocketAddr>,
    expires: Instant,
}

/// The cached addresses of entries for one organisation's callers.
pub struct EntryList {
    bootstrap: Vec<SocketAddr>,
    key: String,
    agent: Agent,
    cached: Mutex<Option<CachedList>>,
}

impl EntryList {
    /// Creates a cache that fetches the list from `bootstrap` with `key`.
    pub fn new(bootstrap: &[SocketAddr], key: &str) -> Self {
        let config = Agent::config_builder()
            .timeout_global(Some(TIMEOUT))
            .build();
        Self {
            bootstrap: bootstrap.to_vec(),
            key: key.to_owned(),
            agent: config.new_agent(),
            cached: Mutex::new(None),
        }
    }

    /// Returns the current addresses. If no bootstrap entry answers, the old ones stay in use.
    pub fn addrs(&self) -> Vec<SocketAddr> {
        let mut cached = self.cached.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(fresh) = cached.as_ref().filter(|old| Instant::now() < old.expires) {
            return fresh.addrs.clone();
        }
        let old = cached.take();
        let fetched = self.bootstrap.iter().find_map(|addr| self.fetch(*addr));
        let found = fetched.unwrap_or_else(|| CachedList {
            addrs: old.map_or_else(|| self.bootstrap.clone(), |old| old.addrs),
            expires: Instant::now() + RETRY_INTERVAL,
        });
        cached.insert(found).addrs.clone()
    }

    /// Fetches the list from one entry.
    fn fetch(&self, addr: SocketAddr) -> Option<CachedList> {
        let call = self.agent.get(format!("http://{addr}/v1/entries"));
        let call = call.header("Authorization", format!("Bearer {}", self.key));
        let body = call.call().ok()?.into_body().read_to_vec().ok()?;
        let answer: Entries = serde_json::from_slice(&body).ok()?;
        let age = Duration::try_from_secs_f64(answer.max_age_s).ok()?;
        let addrs: Vec<SocketAddr> = answer.entries.iter().map(|entry| entry.addr).collect();
        let expires = Instant::now() + age;
        (!addrs.is_empty()).then_some(CachedList { addrs, expires })
    }
}
