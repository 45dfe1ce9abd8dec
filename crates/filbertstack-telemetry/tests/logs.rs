//! Log lines: their form, their fields and what must not be in them.

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

/// The log's text after `write` has logged to it.
fn logged(format: LogFormat, write: impl FnOnce(&Logs)) -> String {
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

fn without_time(line: &str) -> Value {
    let mut value: Value = serde_json::from_str(line).unwrap();
    let time = value.as_object_mut().unwrap().remove("timestamp");
    assert!(time.unwrap().is_u64());
    value
}

#[test]
fn json_lines_carry_role_instance_and_fields() {
    let text = logged(LogFormat::Json, |logs| {
        info!(logger: logs.logger(), "a \"quoted\"\nline", kv: { targets = 3, zone = "van-a" });
    });
    let lines: Vec<Value> = text.lines().map(without_time).collect();
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
fn lines_of_a_request_carry_its_ids() {
    let text = logged(LogFormat::Json, |logs| {
        let mut log = RequestLog::with_logger(logs.logger().clone(), "r-7");
        log.organisation = "acme".into();
        log.warn("refused");
        log.debug("below the level");
    });
    let lines: Vec<Value> = text.lines().map(without_time).collect();
    assert_eq!(lines.len(), 1);
    let fields = json!({"request": "r-7", "organisation": "acme", "trace": ""});
    assert_eq!(lines[0]["fields"], fields);
}

#[test]
fn text_lines_carry_role_instance_and_fields() {
    let text = logged(LogFormat::Text, |logs| {
        info!(logger: logs.logger(), "started", kv: { targets = 3 });
    });
    assert!(text.contains(" info entry van-a-1 started "), "{text}");
    assert!(text.contains("targets=3"), "{text}");
}

// An operator logs a whole settings value by mistake. The key in it must not reach the log in any
// of the forms in which a line can carry a value.
#[test]
fn a_secret_does_not_reach_a_log() {
    #[derive(Debug)]
    #[expect(dead_code, reason = "read by Debug alone")]
    struct Settings {
        key: Secret,
    }
    for format in [LogFormat::Json, LogFormat::Text] {
        let text = logged(format, |logs| {
            let key = Secret::new(KEY);
            let settings = Settings { key: key.clone() };
            info!(logger: logs.logger(), "{key} {key:?} {settings:?}", kv: { key:, settings:? });
        });
        assert!(text.contains("[secret]"));
        assert!(!text.contains(KEY), "{text}");
    }
}

#[test]
fn a_secret_matches_itself_alone() {
    let key = Secret::new(KEY);
    assert!(key.matches(KEY));
    for other in ["", "hunter2", "hunter2-hunter3", "hunter2-hunter2-"] {
        assert!(!key.matches(other), "{other}");
    }
    assert_eq!(key.expose(), KEY);
}
