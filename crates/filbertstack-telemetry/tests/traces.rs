//! Traces: hops joined over processes, in a file and at a collector.

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
use filbertstack_telemetry::traces::QUEUE;
use serde_json::Value;

use collector::Collector;

/// A caller's context, sampled.
const CALLER: &str = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01";
const CALLER_TRACE: &str = "0af7651916cd43dd8448eb211c80319c";
const CALLER_SPAN: &str = "b7ad6b7169203331";

fn to_file(path: &Path, role: Role, sample: &str) -> Traces {
    let settings = TelemetrySettings {
        trace_file: Some(path.into()),
        sample: sample.parse().unwrap(),
        ..TelemetrySettings::default()
    };
    Traces::start(&settings, &Identity::new(role, "one")).unwrap()
}

fn to_collector(collector: &Collector) -> Traces {
    let settings = TelemetrySettings {
        endpoint: Some(collector.url().parse().unwrap()),
        ..TelemetrySettings::default()
    };
    Traces::start(&settings, &Identity::new(Role::Entry, "one")).unwrap()
}

fn spans(path: &Path) -> BTreeMap<String, Value> {
    let text = fs::read_to_string(path).unwrap();
    let values = text.lines().map(|line| serde_json::from_str(line).unwrap());
    let named = values.map(|span: Value| (span["name"].as_str().unwrap().to_owned(), span));
    named.collect()
}

// A caller's request passes an entry and an agent, each a process with a file of its own; all that
// goes between them is a header. The spans of both must stand in the caller's trace, each below
// the hop that called it.
#[test]
fn hops_of_two_processes_form_one_trace() {
    let dir = tempfile::tempdir().unwrap();
    let (entry_file, agent_file) = (dir.path().join("entry"), dir.path().join("agent"));
    let entry = to_file(&entry_file, Role::Entry, "0");
    let agent = to_file(&agent_file, Role::Agent, "0");

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

    let (entry, agent) = (spans(&entry_file), spans(&agent_file));
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
fn a_request_without_context_begins_a_trace() {
    let dir = tempfile::tempdir().unwrap();
    let path = dir.path().join("spans");
    let traces = to_file(&path, Role::Entry, "1");
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

// The share of traced requests is 0 and the caller asks for no trace: nothing may be written, yet
// the next hop gets a context, so that one trace id still names the request everywhere.
#[test]
fn a_request_that_is_not_sampled_keeps_its_context() {
    let dir = tempfile::tempdir().unwrap();
    let path = dir.path().join("spans");
    let traces = to_file(&path, Role::Entry, "0");
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
fn without_an_exporter_the_context_passes_on() {
    let settings = TelemetrySettings::default();
    let traces = Traces::start(&settings, &Identity::new(Role::Entry, "one")).unwrap();
    let parent = Parent::parse(Some(CALLER), None);
    let span = traces.tracer().span(Hop::EntryRequest, &parent);
    assert!(span.traceparent().contains(CALLER_TRACE));
    assert_eq!(span.trace_id(), CALLER_TRACE);
}

#[test]
fn a_collector_receives_otlp() {
    let collector = Collector::start();
    let traces = to_collector(&collector);
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

// The collector hangs while requests go on ending their spans. No request may wait: what does not
// fit into the queue is dropped and counted, and the rest arrives once the collector answers.
#[test]
fn a_full_queue_drops_and_counts() {
    let collector = Collector::held();
    let traces = to_collector(&collector);
    let metrics = Metrics::new(&Identity::new(Role::Entry, "one")).unwrap();
    metrics.watch(traces.stats());
    for _ in 0..QUEUE + 100 {
        drop(traces.tracer().span(Hop::EntryRequest, &Parent::root()));
    }
    assert_eq!(traces.stats().dropped(), 100);
    let text = metrics.render();
    assert!(text.contains("filbertstack_trace_spans_dropped_total 100"));
    collector.release();
    traces.flush();
    assert_eq!(traces.stats().exported(), QUEUE as u64);
    assert_eq!(traces.stats().failed(), 0);
    drop(traces);
    assert_eq!(collector.spans().len(), QUEUE);
}

#[test]
fn a_collector_that_is_gone_is_counted() {
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
fn a_secret_does_not_reach_a_span() {
    let dir = tempfile::tempdir().unwrap();
    let path = dir.path().join("spans");
    let traces = to_file(&path, Role::Entry, "1");
    let span = traces.tracer().span(Hop::EntryRequest, &Parent::root());
    let key = Secret::new("hunter2");
    span.text(Field::Reason, &format!("{key} {key:?}"));
    drop(span);
    drop(traces);
    let text = fs::read_to_string(path).unwrap();
    assert!(text.contains("[secret]"));
    assert!(!text.contains("hunter2"));
}
