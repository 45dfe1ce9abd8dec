//! Tests of traces across processes, in a file and at a collector.

mod collector;

use std::collections::BTreeMap;
use std::fs;
use std::path::Path;

use filbertstack_telemetry::Identity;
use filbertstack_telemetry::Metrics;
use filbertstack_telemetry::Role;
use filbertstack_telemetry::Secret;
use filbertstack_telemetry::TelemetrySettings;
use filbertstack_telemetry::Traces;
use filbertstack_telemetry::traces::Field;
use filbertstack_telemetry::traces::Hop;
use filbertstack_telemetry::traces::Parent;
use filbertstack_telemetry::traces::SPAN_QUEUE_SIZE;
use serde_json::Value;

use collector::Collector;

/// The trace context of a caller that samples the trace.
const CALLER: &str = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01";
const CALLER_TRACE: &str = "0af7651916cd43dd8448eb211c80319c";
const CALLER_SPAN: &str = "b7ad6b7169203331";

fn start_with_file(path: &Path, role: Role, sample: &str) -> Traces {
    let settings = TelemetrySettings {
        trace_file: Some(path.into()),
        sample: sample.parse().unwrap(),
        ..TelemetrySettings::default()
    };
    Traces::start(&settings, &Identity::new(role, "one")).unwrap()
}

fn start_with_collector(collector: &Collector) -> Traces {
    let settings = TelemetrySettings {
        endpoint: Some(collector.url().parse().unwrap()),
        ..TelemetrySettings::default()
    };
    Traces::start(&settings, &Identity::new(Role::Entry, "one")).unwrap()
}

fn spans_by_name(path: &Path) -> BTreeMap<String, Value> {
    let text = fs::read_to_string(path).unwrap();
    let values = text.lines().map(|line| serde_json::from_str(line).unwrap());
    let named = values.map(|span: Value| (span["name"].as_str().unwrap().to_owned(), span));
    named.collect()
}

// A caller's request passes through an entry and an agent, which are two processes with separate files; only
// a header connects them. The spans of both must belong to the caller's trace, each below the hop that called
// it.
#[test]
fn hops_of_two_processes_form_one_trace() {
    let dir = tempfile::tempdir().unwrap();
    let (entry_file, agent_file) = (dir.path().join("entry"), dir.path().join("agent"));
    let entry = start_with_file(&entry_file, Role::Entry, "0");
    let agent = start_with_file(&agent_file, Role::Agent, "0");

    let parent = Parent::parse(Some(CALLER), Some("vendor=x"));
    let request = entry.tracer().span(Hop::EntryRequest, &parent);
    let dispatch = entry.tracer().span(Hop::EntryDispatch, &request.parent());
    let header = dispatch.traceparent();
    assert_eq!(dispatch.tracestate().as_deref(), Some("vendor=x"));
    let gate = agent
        .tracer()
        .span(Hop::AgentGate, &Parent::parse(Some(&header), None));
    gate.number(Field::Tokens, 9);
    gate.text(Field::Version, "abc");
    gate.event("first-token");
    gate.fail("old fence");
    drop((gate, dispatch, request));
    drop((entry, agent));

    let (entry, agent) = (spans_by_name(&entry_file), spans_by_name(&agent_file));
    let (request, dispatch) = (&entry["entry.request"], &entry["entry.dispatch"]);
    let gate = &agent["agent.gate"];
    assert_eq!(request["trace"], CALLER_TRACE);
    assert_eq!(request["parent"], CALLER_SPAN);
    assert_eq!(dispatch["parent"], request["span"]);
    assert_eq!(gate["trace"], CALLER_TRACE);
    assert_eq!(gate["parent"], dispatch["span"]);
    assert_eq!(gate["role"], "agent");
    assert_eq!(gate["fields"]["tokens"], 9);
    assert_eq!(gate["fields"]["version"], "abc");
    assert_eq!(gate["events"][0]["name"], "first-token");
    assert_eq!(gate["error"], "old fence");
}

#[test]
fn request_without_context_starts_a_trace() {
    let dir = tempfile::tempdir().unwrap();
    let path = dir.path().join("spans");
    let traces = start_with_file(&path, Role::Entry, "1");
    for header in [None, Some("garbage"), Some("00-0-0-01")] {
        let parent = Parent::parse(header, None);
        drop(traces.tracer().span(Hop::EntryRequest, &parent));
    }
    traces.flush();
    assert_eq!(traces.stats().exported(), 3);
    drop(traces);
    let text = fs::read_to_string(path).unwrap();
    assert_eq!(text.lines().count(), 3);
    assert!(!text.contains("\"parent\""));
}

// The share of traced requests is 0 and the caller requests no trace. No span may be written, but the next
// hop receives a context, so that one trace identifier still names the request in all processes.
#[test]
fn unsampled_request_keeps_its_context() {
    let dir = tempfile::tempdir().unwrap();
    let path = dir.path().join("spans");
    let traces = start_with_file(&path, Role::Entry, "0");
    let unsampled = CALLER.replace("-01", "-00");
    let span = traces
        .tracer()
        .span(Hop::EntryRequest, &Parent::parse(Some(&unsampled), None));
    assert!(span.traceparent().contains(CALLER_TRACE));
    assert!(!span.is_sampled());
    drop(span);
    drop(traces.tracer().span(Hop::EntryRequest, &Parent::root()));
    drop(traces);
    assert_eq!(fs::read_to_string(path).unwrap(), "");
}

#[test]
fn context_is_forwarded_without_an_exporter() {
    let settings = TelemetrySettings::default();
    let traces = Traces::start(&settings, &Identity::new(Role::Entry, "one")).unwrap();
    let parent = Parent::parse(Some(CALLER), None);
    let span = traces.tracer().span(Hop::EntryRequest, &parent);
    assert!(span.traceparent().contains(CALLER_TRACE));
    assert_eq!(span.trace_id(), CALLER_TRACE);
}

#[test]
fn collector_receives_spans() {
    let collector = Collector::start();
    let traces = start_with_collector(&collector);
    let parent = Parent::parse(Some(CALLER), None);
    let request = traces.tracer().span(Hop::EntryRequest, &parent);
    drop(traces.tracer().span(Hop::EntryAdmission, &request.parent()));
    drop(request);
    drop(traces);
    let spans = collector.spans();
    let names: Vec<&str> = spans.iter().map(|span| span.name.as_str()).collect();
    assert_eq!(names, ["entry.admission", "entry.request"]);
    assert_eq!(spans[0].parent, spans[1].span);
    assert_eq!(spans[0].trace, spans[1].trace);
    assert_eq!(collector.path().as_deref(), Some("/v1/traces"));
}

// The collector hangs while requests continue to end their spans. No request may wait: spans that do not fit
// into the queue are dropped and counted, and the others arrive once the collector responds.
#[test]
fn full_queue_drops_and_counts_spans() {
    let collector = Collector::held();
    let traces = start_with_collector(&collector);
    let metrics = Metrics::new(&Identity::new(Role::Entry, "one")).unwrap();
    metrics.observe_spans(traces.stats());
    for _ in 0..SPAN_QUEUE_SIZE + 100 {
        drop(traces.tracer().span(Hop::EntryRequest, &Parent::root()));
    }
    assert_eq!(traces.stats().dropped(), 100);
    let text = metrics.render();
    assert!(text.contains("filbertstack_trace_spans_dropped_total 100"));
    collector.release();
    traces.flush();
    assert_eq!(traces.stats().exported(), SPAN_QUEUE_SIZE as u64);
    assert_eq!(traces.stats().failed(), 0);
    drop(traces);
    assert_eq!(collector.spans().len(), SPAN_QUEUE_SIZE);
}

#[test]
fn unreachable_collector_counts_failed_spans() {
    let url = Collector::start().url();
    let settings = TelemetrySettings {
        endpoint: Some(url.parse().unwrap()),
        ..TelemetrySettings::default()
    };
    let traces = Traces::start(&settings, &Identity::new(Role::Entry, "one")).unwrap();
    drop(traces.tracer().span(Hop::EntryRequest, &Parent::root()));
    traces.flush();
    assert_eq!(traces.stats().failed(), 1);
    assert_eq!(traces.stats().exported(), 0);
}

#[test]
fn secret_is_redacted_in_spans() {
    let dir = tempfile::tempdir().unwrap();
    let path = dir.path().join("spans");
    let traces = start_with_file(&path, Role::Entry, "1");
    let span = traces.tracer().span(Hop::EntryRequest, &Parent::root());
    let key = Secret::new("hunter2");
    span.text(Field::Reason, &format!("{key} {key:?}"));
    drop(span);
    drop(traces);
    let text = fs::read_to_string(path).unwrap();
    assert!(text.contains("[secret]"));
    assert!(!text.contains("hunter2"));
}
