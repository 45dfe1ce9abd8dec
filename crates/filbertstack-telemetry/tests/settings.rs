//! Tests of the `[telemetry]` section.

use std::path::Path;

use filbertstack_core::ini::Document;
use filbertstack_core::ini::Problems;
use filbertstack_telemetry::TelemetrySettings;
use filbertstack_telemetry::settings::LogFormat;
use spdlog::Level;

/// The folder of the tests, which exists.
const FOLDER: &str = "tests";

fn read(text: &str) -> (TelemetrySettings, Problems) {
    let mut document = Document::parse("entry.ini", text).unwrap();
    let mut problems = Problems::default();
    let settings = TelemetrySettings::take(&mut document, Path::new(FOLDER), &mut problems);
    (settings, problems)
}

#[test]
fn all_keys_are_read() {
    let (settings, problems) = read(
        "[telemetry]\nlog-level = debug\nlog-format = json\nlog-file = entry.log\n\
         trace-endpoint = http://127.0.0.1:4318\ntrace-sample = 0.05\n",
    );
    assert_eq!(problems, Problems::default());
    assert_eq!(settings.level, Level::Debug);
    assert_eq!(settings.format, LogFormat::Json);
    assert_eq!(
        settings.log_file.as_deref(),
        Some(Path::new("tests/entry.log"))
    );
    let endpoint = settings.endpoint.unwrap();
    assert_eq!(endpoint.as_str(), "http://127.0.0.1:4318/v1/traces");
    assert!((settings.sample.share() - 0.05).abs() < f64::EPSILON);
}

#[test]
fn absent_section_gives_defaults() {
    let (settings, problems) = read("");
    assert_eq!(problems, Problems::default());
    assert_eq!(settings, TelemetrySettings::default());
}

#[test]
fn problems_name_line_and_remedy() {
    let (_, problems) = read(
        "[telemetry]\nlog-level = loud\nlog-format = xml\nlog-file = no/such/dir/x.log\n\
         trace-file = spans.jsonl\ntrace-endpoint = http://127.0.0.1:4318/x\n\
         trace-sample = 5\ncolour = red\n",
    );
    insta::assert_snapshot!(problems.into_result(()).unwrap_err());
}

#[test]
fn invalid_endpoints_are_rejected() {
    for text in ["https://collector:4318", "collector:4318", "http://", "/v1"] {
        let (_, problems) = read(&format!("[telemetry]\ntrace-endpoint = {text}\n"));
        assert_eq!(problems.0.len(), 1, "{text}");
    }
}
