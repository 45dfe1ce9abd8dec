//! Callers that stream answers, and the times that they measure.

use std::io::BufRead;
use std::io::BufReader;
use std::net::SocketAddr;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use serde_json::json;

use crate::system::CALLER_KEY;

/// The number of answers that each caller of `calls` requests.
const ANSWERS_PER_CALLER: usize = 20;

/// The number of tokens of an answer in `calls`.
pub const ANSWER_TOKENS: usize = 32;

/// The sorted times of all complete answers, and the number of the others.
pub struct LoadResult {
    pub first: Vec<Duration>,
    pub whole: Vec<Duration>,
    pub gaps: Vec<Duration>,
    pub failed: usize,
}

impl LoadResult {
    pub fn answers(&self) -> usize {
        self.whole.len()
    }
}

impl std::fmt::Display for LoadResult {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(
            f,
            "{} whole, {} not; first token p50 {:.1?} p99 {:.1?}, whole answer p50 {:.1?} p99 {:.1?}, \
             between tokens p50 {:.1?} p95 {:.1?} p99 {:.1?}",
            self.answers(),
            self.failed,
            percentile(&self.first, 50),
            percentile(&self.first, 99),
            percentile(&self.whole, 50),
            percentile(&self.whole, 99),
            percentile(&self.gaps, 50),
            percentile(&self.gaps, 95),
            percentile(&self.gaps, 99),
        )
    }
}

/// Returns the value at `percent` of the sorted values, or zero if there are none.
pub fn percentile(sorted: &[Duration], percent: usize) -> Duration {
    let index = (sorted.len() * percent).div_ceil(100).saturating_sub(1);
    sorted.get(index).copied().unwrap_or_default()
}

/// Runs `callers` concurrent callers and returns the times of all their answers.
pub fn run_load(addrs: &[SocketAddr], callers: usize) -> LoadResult {
    let answers = thread::scope(|scope| {
        let running: Vec<_> = (0..callers)
            .map(|caller| scope.spawn(move || run_caller(addrs, caller)))
            .collect();
        let answers = running.into_iter().filter_map(|handle| handle.join().ok());
        answers.flatten().collect::<Vec<_>>()
    });
    let mut first: Vec<Duration> = answers
        .iter()
        .flatten()
        .map(|answer| answer.first)
        .collect();
    let mut whole: Vec<Duration> = answers
        .iter()
        .flatten()
        .map(|answer| answer.whole)
        .collect();
    let gaps = answers.iter().flatten().flat_map(|answer| &answer.gaps);
    let mut gaps: Vec<Duration> = gaps.copied().collect();
    first.sort_unstable();
    whole.sort_unstable();
    gaps.sort_unstable();
    let failed = answers.iter().filter(|answer| answer.is_none()).count();
    LoadResult {
        first,
        whole,
        gaps,
        failed,
    }
}

/// Streams the answers of one caller, each from the next address.
pub fn run_caller(addrs: &[SocketAddr], caller: usize) -> Vec<Option<AnswerTimes>> {
    let calls = (0..ANSWERS_PER_CALLER).map(|n| {
        let addr = addrs[(caller + n) % addrs.len()];
        stream(addr, caller * ANSWERS_PER_CALLER + n, ANSWER_TOKENS)
    });
    calls.collect()
}

/// The times of one answer: to the first token, to the end, and between tokens.
pub struct AnswerTimes {
    pub first: Duration,
    pub whole: Duration,
    pub gaps: Vec<Duration>,
}

/// Streams one answer. Returns `None` if the answer is not complete.
pub fn stream(addr: SocketAddr, n: usize, tokens: usize) -> Option<AnswerTimes> {
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
            // The last event has the finish reason and arrives together with the last token, so its gap
            // is not counted.
            let gaps = pairs.take(tokens.saturating_sub(1)).collect();
            let whole = began.elapsed();
            return Some(AnswerTimes { first, whole, gaps });
        }
        if line.starts_with("data: ") {
            arrivals.push(began.elapsed());
        }
    }
    None
}
