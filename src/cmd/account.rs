//! `filbertstack account`: where requests were lost, by moment and reason, from the logs of the
//! entries.

use std::collections::BTreeMap;

use super::Failure;
use super::logs;
use super::logs::Line;
use crate::flags;

/// The span of a row, in seconds, unless one is given.
const SPAN_S: u64 = 2;

/// After how many milliseconds a first event counts as slow, unless another bound is given: what
/// callers of a chat still take for prompt.
const SLOW_MS: i64 = 400;

/// What became of requests in a span of time.
#[derive(Default)]
struct Row {
    answered: u32,
    slow: u32,
    failed: u32,
    left: u32,
    refused: u32,
    reasons: BTreeMap<String, u32>,
}

impl Row {
    fn count(&mut self, line: &Line, slow: i64) {
        match line.message.as_str() {
            "refused" => {
                self.refused += 1;
                let why = format!("refused {}: {}", line.number("status"), line.text("why"));
                self.note(why);
            }
            "attempt ended" => match line.text("outcome") {
                "answered" if line.number("first_ms") > slow => self.slow += 1,
                "answered" => self.answered += 1,
                "caller left" => self.left += 1,
                _ => self.failed += 1,
            },
            message @ ("target not reached" | "target silent, given up" | "answer lost") => {
                self.note(message.to_owned());
            }
            message @ ("answer broke off" | "stream not resumed") => {
                self.note(format!("{message}: {}", line.text("why")));
            }
            _ => {}
        }
    }

    fn note(&mut self, reason: String) {
        *self.reasons.entry(reason).or_default() += 1;
    }

    fn add(&mut self, other: &Self) {
        self.answered += other.answered;
        self.slow += other.slow;
        self.failed += other.failed;
        self.left += other.left;
        self.refused += other.refused;
        for (reason, count) in &other.reasons {
            *self.reasons.entry(reason.clone()).or_default() += count;
        }
    }

    fn show(&self, name: &str) {
        let Self {
            answered,
            slow,
            failed,
            left,
            refused,
            ..
        } = self;
        println!("{name:>8} {answered:>9} {slow:>6} {failed:>7} {left:>6} {refused:>8}");
    }
}

pub fn run(flags: &flags::Account) -> Result<(), Failure> {
    let span = flags.span.unwrap_or(SPAN_S).max(1) * 1_000;
    let slow = flags.slow.unwrap_or(SLOW_MS);
    let (lines, left_out) = logs::read_all(&flags.files)?;
    // There is a line: a file without one is an error.
    let since = lines.first().map_or(0, |line| line.timestamp);
    let mut rows: BTreeMap<u64, Row> = BTreeMap::new();
    for line in &lines {
        let row = (line.timestamp - since) / span;
        rows.entry(row).or_default().count(line, slow);
    }
    let mut total = Row::default();
    println!("from {since} ms since 1970");
    println!(
        "{:>8} {:>9} {:>6} {:>7} {:>6} {:>8}",
        "second", "answered", "slow", "failed", "left", "refused"
    );
    for (row, counts) in &rows {
        counts.show(&(row * span / 1_000).to_string());
        total.add(counts);
    }
    total.show("total");
    let mut reasons: Vec<(&String, &u32)> = total.reasons.iter().collect();
    reasons.sort_by_key(|(reason, count)| (std::cmp::Reverse(**count), (*reason).clone()));
    for (reason, count) in reasons {
        println!("{count:>8} {reason}");
    }
    if left_out > 0 {
        println!("lines left out, cut off or not ours: {left_out}");
    }
    Ok(())
}
