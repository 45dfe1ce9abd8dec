//! Tests the log of a process in which a thread panics. It has a file of its own, as the panic hook is that of
//! the whole process.

use std::fs;
use std::thread;

use filbertstack_telemetry::Identity;
use filbertstack_telemetry::Logs;
use filbertstack_telemetry::Role;
use filbertstack_telemetry::TelemetrySettings;
use filbertstack_telemetry::settings::LogFormat;
use serde_json::Value;

/// Guards against a part of a process that ends without a line in its log.
#[test]
fn a_panic_is_logged() {
    let dir = tempfile::tempdir().unwrap();
    let path = dir.path().join("log");
    let settings = TelemetrySettings {
        format: LogFormat::Json,
        log_file: Some(path.clone()),
        ..TelemetrySettings::default()
    };
    let logs = Logs::start(&settings, &Identity::new(Role::Entry, "van-a-1")).unwrap();
    logs.make_default();
    let ended = thread::spawn(|| panic!("no row for the instance")).join();
    assert!(ended.is_err());
    drop(logs);
    let text = fs::read_to_string(path).unwrap();
    let line: Value = serde_json::from_str(text.trim()).unwrap();
    assert_eq!(line["level"], "error");
    assert_eq!(line["message"], "panicked");
    let cause = line["fields"]["cause"].as_str().unwrap();
    assert!(cause.contains("panics.rs"), "{cause}");
    assert!(cause.contains("no row for the instance"), "{cause}");
}
