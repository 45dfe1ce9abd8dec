//! `filbertstack account` counts the outcomes of requests by time, and the losses by reason, from the
//! logs of the entries.

use std::collections::BTreeMap;

use super::Failure;
use super::logs;
use super::logs::LogLine;
use crate::flags;

/// The default time span of a row, in seconds.
const DEFAULT_SPAN_S: u64 = 2;

/// The default time, in milliseconds, after which a first event counts as slow: users of a chat
/// still perceive a shorter one as prompt.
const DEFAULT_SLOW_MS: i64 = 400;

/// The outcomes of requests in a span of time.
#[derive(Default)]
struct Row {
    answered: u32,
    slow: u32,
    failed: u32,
    caller_left: u32,
    refused: u32,
    reasons: BTreeMap<String, u32>,
}

impl Row {
    /// Counts one line of a log. Answers with a slow first event count only as slow.
    fn add_line(&mut self, line: &LogLine, slow_ms: i64) {
        match line.message.as_str() {
            "refused" => {
                self.refused += 1;
                let reason = format!("refused {}: {}", line.number("status"), line.text("why"));
                self.add_reason(reason);
            }
            "attempt ended" => match line.text("outcome") {
                "answered" if line.number("first_ms") > slow_ms => self.slow += 1,
                "answered" => self.answered += 1,
                "caller left" => self.caller_left += 1,
                _ => self.failed += 1,
            },
            message @ ("target not reached" | "target silent, given up" | "answer lost") => {
                self.add_reason(message.to_owned());
            }
            message @ ("answer broke off" | "stream not resumed") => {
                self.add_reason(format!("{message}: {}", line.text("why")));
            }
            "answer cut" => {
                self.add_reason(format!("answer cut: {}", line.text("cause")));
            }
            _ => {}
        }
    }

    fn add_reason(&mut self, reason: String) {
        *self.reasons.entry(reason).or_default() += 1;
    }

    fn add_row(&mut self, other: &Self) {
        self.answered += other.answered;
        self.slow += other.slow;
        self.failed += other.failed;
        self.caller_left += other.caller_left;
        self.refused += other.refused;
        for (reason, count) in &other.reasons {
            *self.reasons.entry(reason.clone()).or_default() += count;
        }
    }

    fn print(&self, name: &str) {
        let Self {
            answered,
            slow,
            failed,
            caller_left,
            refused,
            ..
        } = self;
        println!("{name:>8} {answered:>9} {slow:>6} {failed:>7} {caller_left:>6} {refused:>8}");
    }
}

pub fn run(flags: &flags::Account) -> Result<(), Failure> {
    let span_ms = flags.span.unwrap_or(DEFAULT_SPAN_S).max(1) * 1_000;
    let slow_ms = flags.slow.unwrap_or(DEFAULT_SLOW_MS);
    let (lines, skipped) = logs::read_all(&flags.files)?;
    // There is at least one line, because a file without any is an error.
    let start_ms = lines.first().map_or(0, |line| line.timestamp);
    let mut rows: BTreeMap<u64, Row> = BTreeMap::new();
    for line in &lines {
        let index = (line.timestamp - start_ms) / span_ms;
        rows.entry(index).or_default().add_line(line, slow_ms);
    }
    let mut total = Row::default();
    println!("from {start_ms} ms since 1970");
    println!(
        "{:>8} {:>9} {:>6} {:>7} {:>6} {:>8}",
        "second", "answered", "slow", "failed", "left", "refused"
    );
    for (index, counts) in &rows {
        counts.print(&(index * span_ms / 1_000).to_string());
        total.add_row(counts);
    }
    total.print("total");
    let mut reasons: Vec<(&String, &u32)> = total.reasons.iter().collect();
    reasons.sort_by_key(|(reason, count)| (std::cmp::Reverse(**count), (*reason).clone()));
    for (reason, count) in reasons {
        println!("{count:>8} {reason}");
    }
    if skipped > 0 {
        println!("lines left out, cut off or not ours: {skipped}");
    }
    Ok(())
}
