//! Joining logs.

use std::fs;

use insta::assert_snapshot;

use crate::run;
use crate::said;

const ENTRY: &str = r#"{"timestamp":1005,"level":"info","role":"entry","instance":"e1","message":"sent","fields":{"request":"a1","target":"i-7","predicted_ms":120.0,"report_age_ms":null}}
{"timestamp":1001,"level":"info","role":"entry","instance":"e1","message":"configuration in force","fields":{"version":4}}
{"timestamp":1009,"level":"info","role":"entry","instance":"e1","message":"sent","fields":{"request":"a2","target":"i-8"}}
{"timestamp":1350,"level":"info","role":"entry","instance":"e1","message":"answer broke off","fields":{"request":"a1","targ"#;

const OTHER: &str = r#"12.5 e2 {"timestamp":1360,"level":"warn","role":"entry","instance":"e2","message":"refused","fields":{"request":"a1","status":503,"why":"no target can serve it in time"}}
"#;

fn explain(arguments: &[&str]) -> std::process::Output {
    let dir = tempfile::tempdir().expect("a folder");
    fs::write(dir.path().join("e1.log"), ENTRY).expect("written");
    fs::write(dir.path().join("e2.log"), OTHER).expect("written");
    fs::write(dir.path().join("notes.txt"), "not a log\n").expect("written");
    run(dir.path(), &[&["explain"], arguments].concat())
}

fn shown(arguments: &[&str]) -> String {
    let output = explain(arguments);
    assert!(output.status.success(), "{}", said(&output));
    String::from_utf8_lossy(&output.stdout).into_owned()
}

#[test]
fn a_request_is_followed_over_processes_in_order() {
    let story = shown(&["--request", "a1", "e2.log", "e1.log"]);
    assert_snapshot!(story, @r#"
    from 1005 ms since 1970
           0 ms  e1                       info  sent predicted_ms=120.0 report_age_ms=null target="i-7"
         355 ms  e2                       warn  refused status=503 why="no target can serve it in time"
    lines left out, cut off or not ours: 1
    "#);
}

#[test]
fn a_process_is_told_by_what_it_came_to_believe() {
    assert_snapshot!(shown(&["--node", "e1", "e1.log", "e2.log"]), @r"
    from 1001 ms since 1970
           0 ms  e1                       info  configuration in force version=4
    lines left out, cut off or not ours: 1
    ");
}

#[test]
fn files_that_are_no_logs_and_unknown_ids_are_named() {
    let faults = [
        vec!["--request", "a1", "notes.txt"],
        vec!["--request", "a9", "e1.log"],
        vec!["e1.log"],
    ];
    let faults = faults.iter().map(|arguments| {
        let output = explain(arguments);
        assert_eq!(output.status.code(), Some(1));
        said(&output)
    });
    assert_snapshot!(faults.collect::<Vec<_>>().join("\n"), @r"
    error: notes.txt: no line is a log of ours; give files of JSON lines
    error: no line tells of it: check the id, and give the logs of all entries
    error: say what to explain: give --request ID or --node NAME
    ");
}
