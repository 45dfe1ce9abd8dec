//! Which entries to use: asked for, kept as long as allowed, and asked for again.

use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use serde::Deserialize;
use ureq::Agent;

/// How long a caller waits for the addresses.
const TIMEOUT: Duration = Duration::from_secs(5);

/// How long a caller goes on with old addresses before it asks again.
const RETRY: Duration = Duration::from_secs(1);

#[derive(Deserialize)]
struct Entry {
    addr: SocketAddr,
}

#[derive(Deserialize)]
struct Entries {
    entries: Vec<Entry>,
    max_age_s: f64,
}

struct Kept {
    addrs: Vec<SocketAddr>,
    until: Instant,
}

/// The addresses that one organisation's callers use.
pub struct Directory {
    bootstrap: Vec<SocketAddr>,
    key: String,
    agent: Agent,
    kept: Mutex<Option<Kept>>,
}

impl Directory {
    /// Asks `bootstrap` with `key`.
    pub fn new(bootstrap: &[SocketAddr], key: &str) -> Self {
        let config = Agent::config_builder()
            .timeout_global(Some(TIMEOUT))
            .build();
        Self {
            bootstrap: bootstrap.to_vec(),
            key: key.to_owned(),
            agent: config.new_agent(),
            kept: Mutex::new(None),
        }
    }

    /// The addresses to use now. A caller that cannot ask goes on with what it has.
    pub fn addrs(&self) -> Vec<SocketAddr> {
        let mut kept = self.kept.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(fresh) = kept.as_ref().filter(|old| Instant::now() < old.until) {
            return fresh.addrs.clone();
        }
        let old = kept.take();
        let asked = self.bootstrap.iter().find_map(|addr| self.ask(*addr));
        let found = asked.unwrap_or_else(|| Kept {
            addrs: old.map_or_else(|| self.bootstrap.clone(), |old| old.addrs),
            until: Instant::now() + RETRY,
        });
        kept.insert(found).addrs.clone()
    }

    fn ask(&self, addr: SocketAddr) -> Option<Kept> {
        let call = self.agent.get(format!("http://{addr}/v1/entries"));
        let call = call.header("Authorization", format!("Bearer {}", self.key));
        let body = call.call().ok()?.into_body().read_to_vec().ok()?;
        let answer: Entries = serde_json::from_slice(&body).ok()?;
        let age = Duration::try_from_secs_f64(answer.max_age_s).ok()?;
        let addrs: Vec<SocketAddr> = answer.entries.iter().map(|entry| entry.addr).collect();
        let until = Instant::now() + age;
        (!addrs.is_empty()).then_some(Kept { addrs, until })
    }
}
