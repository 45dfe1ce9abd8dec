//! Callers that stream answers, and what they saw.

use std::io::BufRead;
use std::io::BufReader;
use std::net::SocketAddr;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use serde_json::json;

use crate::system::CALLER_KEY;

/// Answers of a caller in `calls`, and tokens of an answer.
const ANSWERS: usize = 20;
pub const TOKENS: usize = 32;

/// What callers saw.
pub struct Seen {
    pub first: Vec<Duration>,
    pub whole: Vec<Duration>,
    pub gaps: Vec<Duration>,
    pub failed: usize,
}

impl Seen {
    pub fn answers(&self) -> usize {
        self.whole.len()
    }
}

impl std::fmt::Display for Seen {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(
            f,
            "{} whole, {} not; first token p50 {:.1?} p99 {:.1?}, whole answer p50 {:.1?} p99 {:.1?}, \
             between tokens p50 {:.1?} p95 {:.1?} p99 {:.1?}",
            self.answers(),
            self.failed,
            rank(&self.first, 50),
            rank(&self.first, 99),
            rank(&self.whole, 50),
            rank(&self.whole, 99),
            rank(&self.gaps, 50),
            rank(&self.gaps, 95),
            rank(&self.gaps, 99),
        )
    }
}

pub fn rank(sorted: &[Duration], percent: usize) -> Duration {
    let place = (sorted.len() * percent).div_ceil(100).saturating_sub(1);
    sorted.get(place).copied().unwrap_or_default()
}

pub fn load(addrs: &[SocketAddr], callers: usize) -> Seen {
    let took = thread::scope(|scope| {
        let running: Vec<_> = (0..callers)
            .map(|caller| scope.spawn(move || call_all(addrs, caller)))
            .collect();
        let took = running.into_iter().filter_map(|one| one.join().ok());
        took.flatten().collect::<Vec<_>>()
    });
    let mut first: Vec<Duration> = took.iter().flatten().map(|took| took.first).collect();
    let mut whole: Vec<Duration> = took.iter().flatten().map(|took| took.whole).collect();
    let gaps = took.iter().flatten().flat_map(|took| &took.gaps);
    let mut gaps: Vec<Duration> = gaps.copied().collect();
    first.sort_unstable();
    whole.sort_unstable();
    gaps.sort_unstable();
    let failed = took.iter().filter(|took| took.is_none()).count();
    Seen {
        first,
        whole,
        gaps,
        failed,
    }
}

pub fn call_all(addrs: &[SocketAddr], caller: usize) -> Vec<Option<Took>> {
    let calls = (0..ANSWERS).map(|n| {
        let addr = addrs[(caller + n) % addrs.len()];
        stream(addr, caller * ANSWERS + n, TOKENS)
    });
    calls.collect()
}

/// How long an answer took.
pub struct Took {
    pub first: Duration,
    pub whole: Duration,
    pub gaps: Vec<Duration>,
}

/// Streams one answer; `None` if it did not come whole.
pub fn stream(addr: SocketAddr, n: usize, tokens: usize) -> Option<Took> {
    let began = Instant::now();
    let body = json!({
        "model": "m", "prompt": format!("question {n}"), "max_tokens": tokens, "stream": true,
    });
    let response = ureq::post(format!("http://{addr}/v1/completions"))
        .header("authorization", format!("Bearer {CALLER_KEY}"))
        .header("connection", "close")
        .send(body.to_string().as_bytes())
        .ok()?;
    let reader = BufReader::new(response.into_body().into_reader());
    let mut arrivals: Vec<Duration> = Vec::new();
    for line in reader.lines() {
        let line = line.ok()?;
        if line == "data: [DONE]" {
            let first = arrivals.first().copied()?;
            let pairs = arrivals
                .windows(2)
                .map(|pair| pair[1].saturating_sub(pair[0]));
            // The last event carries the reason for the end and comes with the last token.
            let gaps = pairs.take(tokens.saturating_sub(1)).collect();
            let whole = began.elapsed();
            return Some(Took { first, whole, gaps });
        }
        if line.starts_with("data: ") {
            arrivals.push(began.elapsed());
        }
    }
    None
}
