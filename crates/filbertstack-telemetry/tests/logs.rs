//! Tests of the format and the fields of log lines, and of secrets, which no line may contain.

use std::fs;

use filbertstack_telemetry::Identity;
use filbertstack_telemetry::Logs;
use filbertstack_telemetry::Role;
use filbertstack_telemetry::Secret;
use filbertstack_telemetry::TelemetrySettings;
use filbertstack_telemetry::logs::RequestLog;
use filbertstack_telemetry::settings::LogFormat;
use serde_json::Value;
use serde_json::json;
use spdlog::info;

const KEY: &str = "hunter2-hunter2";

/// Returns the text of the log after `write` has logged to it.
fn log_text(format: LogFormat, write: impl FnOnce(&Logs)) -> String {
    let dir = tempfile::tempdir().unwrap();
    let path = dir.path().join("log");
    let settings = TelemetrySettings {
        format,
        log_file: Some(path.clone()),
        ..TelemetrySettings::default()
    };
    let logs = Logs::start(&settings, &Identity::new(Role::Entry, "van-a-1")).unwrap();
    write(&logs);
    drop(logs);
    fs::read_to_string(path).unwrap()
}

fn parse_without_time(line: &str) -> Value {
    let mut value: Value = serde_json::from_str(line).unwrap();
    let time = value.as_object_mut().unwrap().remove("timestamp");
    assert!(time.unwrap().is_u64());
    value
}

#[test]
fn json_lines_carry_role_instance_and_fields() {
    let text = log_text(LogFormat::Json, |logs| {
        info!(logger: logs.logger(), "a \"quoted\"\nline", kv: { targets = 3, zone = "van-a" });
    });
    let lines: Vec<Value> = text.lines().map(parse_without_time).collect();
    let expected = json!({
        "level": "info",
        "role": "entry",
        "instance": "van-a-1",
        "message": "a \"quoted\"\nline",
        "fields": {"targets": 3, "zone": "van-a"},
    });
    assert_eq!(lines, [expected]);
}

#[test]
fn request_lines_carry_identifiers() {
    let text = log_text(LogFormat::Json, |logs| {
        let mut log = RequestLog::with_logger(logs.logger().clone(), "r-7");
        log.organisation = "acme".into();
        log.warn("refused");
        log.debug("below the level");
    });
    let lines: Vec<Value> = text.lines().map(parse_without_time).collect();
    assert_eq!(lines.len(), 1);
    let fields = json!({"request": "r-7", "organisation": "acme", "trace": ""});
    assert_eq!(lines[0]["fields"], fields);
}

#[test]
fn text_lines_carry_role_instance_and_fields() {
    let text = log_text(LogFormat::Text, |logs| {
        info!(logger: logs.logger(), "started", kv: { targets = 3 });
    });
    assert!(text.contains(" info entry van-a-1 started "), "{text}");
    assert!(text.contains("targets=3"), "{text}");
}

// Guards against a leaked key: an operator logs a complete settings value by mistake. The key in it must not
// appear in the log in any of the forms in which a line can contain a value.
#[test]
fn secret_is_redacted_in_logs() {
    #[derive(Debug)]
    #[expect(dead_code, reason = "read by Debug alone")]
    struct Settings {
        key: Secret,
    }
    for format in [LogFormat::Json, LogFormat::Text] {
        let text = log_text(format, |logs| {
            let key = Secret::new(KEY);
            let settings = Settings { key: key.clone() };
            info!(logger: logs.logger(), "{key} {key:?} {settings:?}", kv: { key:, settings:? });
        });
        assert!(text.contains("[secret]"));
        assert!(!text.contains(KEY), "{text}");
    }
}

#[test]
fn secret_matches_only_equal_text() {
    let key = Secret::new(KEY);
    assert!(key.matches(KEY));
    for other in ["", "hunter2", "hunter2-hunter3", "hunter2-hunter2-"] {
        assert!(!key.matches(other), "{other}");
    }
    assert_eq!(key.expose(), KEY);
}
