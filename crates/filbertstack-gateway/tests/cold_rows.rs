//! The registry of a voter, as far as it passes on what cold targets report.

use filbertstack_gateway::clock::Clock;
use filbertstack_gateway::control::registry::ProcessRegistry;
use filbertstack_gateway::link::messages::Kind;
use filbertstack_gateway::link::messages::Row;
use filbertstack_gateway::link::messages::TargetRow;

fn row(sequence: u64, cold_ms: u64) -> Row {
    Row {
        id: "i-1".into(),
        born: 1,
        sequence,
        gone: false,
        kind: Some(Kind::Target(TargetRow {
            cold_ms,
            ..TargetRow::default()
        })),
    }
}

/// Guards against followers that take a target for warm, because it turned cold again for the time that it had
/// reported before and its row looks the same.
#[test]
fn each_heartbeat_of_a_cold_target_is_news() {
    let registry = ProcessRegistry::new(Clock::default());
    let mut changes = registry.watch();
    let mut is_news = |row: Row| {
        changes.mark_unchanged();
        registry.merge(vec![row], false);
        changes.has_changed().expect("open")
    };
    assert!(is_news(row(1, 3_000)));
    assert!(is_news(row(2, 3_000)), "cold for as long again");
    assert!(!is_news(row(1, 3_000)), "an old one");
    assert!(is_news(row(3, 0)));
    assert!(!is_news(row(4, 0)), "still warm");
}
