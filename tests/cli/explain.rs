//! Tests of `filbertstack explain`.

use std::fs;

use insta::assert_snapshot;

use crate::error_output;
use crate::run_command;

/// The log of an entry, whose last line is cut off.
const ENTRY_LOG: &str = r#"{"timestamp":1005,"level":"info","role":"entry","instance":"e1","message":"sent","fields":{"request":"a1","target":"i-7","predicted_ms":120.0,"report_age_ms":null}}
{"timestamp":1001,"level":"info","role":"entry","instance":"e1","message":"configuration in force","fields":{"version":4}}
{"timestamp":1009,"level":"info","role":"entry","instance":"e1","message":"sent","fields":{"request":"a2","target":"i-8"}}
{"timestamp":1350,"level":"info","role":"entry","instance":"e1","message":"answer broke off","fields":{"request":"a1","targ"#;

/// The log of another entry, with a prefix that a log collector added.
const COLLECTED_LOG: &str = r#"12.5 e2 {"timestamp":1360,"level":"warn","role":"entry","instance":"e2","message":"refused","fields":{"request":"a1","status":503,"why":"no target can serve it in time"}}
"#;

fn run_explain(arguments: &[&str]) -> std::process::Output {
    let dir = tempfile::tempdir().expect("create a temporary folder");
    fs::write(dir.path().join("e1.log"), ENTRY_LOG).expect("write the file");
    fs::write(dir.path().join("e2.log"), COLLECTED_LOG).expect("write the file");
    fs::write(dir.path().join("notes.txt"), "not a log\n").expect("write the file");
    run_command(dir.path(), &[&["explain"], arguments].concat())
}

fn explain_output(arguments: &[&str]) -> String {
    let output = run_explain(arguments);
    assert!(output.status.success(), "{}", error_output(&output));
    String::from_utf8_lossy(&output.stdout).into_owned()
}

#[test]
fn lines_of_a_request_are_sorted_across_processes() {
    let lines = explain_output(&["--request", "a1", "e2.log", "e1.log"]);
    assert_snapshot!(lines, @r#"
    from 1005 ms since 1970
           0 ms  e1                       info  sent predicted_ms=120.0 report_age_ms=null target="i-7"
         355 ms  e2                       warn  refused status=503 why="no target can serve it in time"
    lines left out, cut off or not ours: 1
    "#);
}

#[test]
fn lines_of_a_process_exclude_single_requests() {
    assert_snapshot!(explain_output(&["--node", "e1", "e1.log", "e2.log"]), @r"
    from 1001 ms since 1970
           0 ms  e1                       info  configuration in force version=4
    lines left out, cut off or not ours: 1
    ");
}

#[test]
fn wrong_files_unknown_ids_and_missing_flags_are_errors() {
    let errors = [
        vec!["--request", "a1", "notes.txt"],
        vec!["--request", "a9", "e1.log"],
        vec!["e1.log"],
    ];
    let errors = errors.iter().map(|arguments| {
        let output = run_explain(arguments);
        assert_eq!(output.status.code(), Some(1));
        error_output(&output)
    });
    assert_snapshot!(errors.collect::<Vec<_>>().join("\n"), @r"
    error: notes.txt: no line is a log of ours; give files of JSON lines
    error: no line tells of it: check the id, and give the logs of all entries
    error: say what to explain: give --request ID or --node NAME
    ");
}
