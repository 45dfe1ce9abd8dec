//! Tables of outcomes.

use super::Faults;
use super::Outcome;
use super::Setting;

/// The head of a table of [`row`]s.
pub const HEAD: &str = "way               links  faults    N   time W  x floor  slow W  origin  \
                        without  leader  chat";

/// One line of a table.
pub fn row(way: &str, setting: &Setting, outcome: &Outcome) -> String {
    let links = if setting.shared { "shared" } else { "apart" };
    let faults = if setting.faults == Faults::None {
        "-"
    } else {
        "mixed"
    };
    let slow = outcome
        .slow
        .map_or("-".to_owned(), |slow| format!("{slow:.2}"));
    format!(
        "{way:<17} {links:<6} {faults:<6} {:>4} {:>8.3} {:>8.3} {slow:>7} {:>7.2} {:>8} {:>7.1} {:>5.1}",
        setting.targets,
        outcome.time,
        outcome.ratio,
        outcome.origin,
        outcome.without,
        outcome.leader,
        outcome.chat
    )
}
