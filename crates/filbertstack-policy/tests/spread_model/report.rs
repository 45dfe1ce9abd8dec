//! Tables of results.

use super::Faults;
use super::Outcome;
use super::Setting;

/// The header of a table of [`row`]s.
pub const HEADER: &str = "way               links  faults    N   time W  x floor  slow W  origin  \
                        without  leader  chat";

/// Returns one row of a table.
pub fn row(strategy: &str, setting: &Setting, outcome: &Outcome) -> String {
    let links = if setting.shared { "shared" } else { "apart" };
    let faults = if setting.faults == Faults::None {
        "-"
    } else {
        "mixed"
    };
    let slow = outcome
        .time_with_slow
        .map_or("-".to_owned(), |slow| format!("{slow:.2}"));
    format!(
        "{strategy:<17} {links:<6} {faults:<6} {:>4} {:>8.3} {:>8.3} {slow:>7} {:>7.2} {:>8} {:>7.1} {:>5.1}",
        setting.targets,
        outcome.time,
        outcome.ratio,
        outcome.origin_copies,
        outcome.incomplete,
        outcome.leader_messages,
        outcome.agent_messages
    )
}
