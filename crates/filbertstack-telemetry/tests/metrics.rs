//! Tests of the metrics that are rendered as Prometheus text.

use std::time::Duration;

use filbertstack_telemetry::Identity;
use filbertstack_telemetry::Metrics;
use filbertstack_telemetry::Role;
use filbertstack_telemetry::metrics::instrument::MAX_VALUES;

fn metrics() -> Metrics {
    Metrics::new(&Identity::new(Role::Entry, "van-a-1")).unwrap()
}

#[test]
fn recorded_metrics_are_rendered() {
    let metrics = metrics();
    metrics.entry.requests.add("ran", 2);
    metrics.entry.requests.add("not-run", 1);
    metrics.entry.queued.set(4);
    metrics.entry.queued.set(3);
    metrics.agent.gate.add("old-fence", 1);
    metrics.weights.fetched.add("peer", 1 << 20);
    metrics.control.sync.record(Duration::from_millis(3));
    metrics.control.sync.record(Duration::from_millis(60));
    insta::assert_snapshot!(metrics.render());
}

// A caller sends a new organisation name with each request. The rendered text must stay bounded: the first
// names keep their own lines and all others share one line.
#[test]
fn label_values_are_bounded() {
    let metrics = metrics();
    for n in 0..10 * MAX_VALUES {
        metrics
            .entry
            .organisation_requests
            .add(&format!("org-{n}"), 1);
    }
    let text = metrics.render();
    let is_sample =
        |line: &&str| line.starts_with("filbertstack_entry_organisation_requests_total{");
    assert_eq!(text.lines().filter(is_sample).count(), MAX_VALUES + 1);
    let others = "filbertstack_entry_organisation_requests_total{organisation=\"other\"}";
    assert!(text.contains(&format!("{others} {}", 9 * MAX_VALUES)));
    assert!(text.contains("organisation=\"org-0\"} 1"));
}
