//! Tests of `filbertstack account`.

use std::fs;

use insta::assert_snapshot;

use crate::error_output;
use crate::run_command;

/// A log with prompt, slow, failed and refused requests, whose last line is cut off.
const LOG: &str = r#"{"timestamp":1000,"level":"info","role":"entry","instance":"e1","message":"attempt ended","fields":{"request":"a1","outcome":"answered","first_ms":120}}
{"timestamp":1100,"level":"info","role":"entry","instance":"e1","message":"attempt ended","fields":{"request":"a2","outcome":"answered","first_ms":900}}
{"timestamp":3500,"level":"info","role":"entry","instance":"e2","message":"refused","fields":{"request":"a3","status":503,"why":"no target can serve it in time"}}
{"timestamp":3600,"level":"info","role":"entry","instance":"e2","message":"answer broke off","fields":{"request":"a4","why":"the target broke off"}}
{"timestamp":3600,"level":"info","role":"entry","instance":"e2","message":"answer cut","fields":{"request":"a4","cause":"target lost","why":"the target broke off"}}
{"timestamp":3700,"level":"info","role":"entry","instance":"e2","message":"attempt ended","fields":{"request":"a4","outcome":"failed","first_ms":80}}
{"timestamp":3800,"level":"info","role":"entry","instance":"e2","message":"attempt ended","fields":{"request":"a5","outcome":"caller left","first_ms":-1}}
{"timestamp":3900,"level":"info","role":"entry","inst"#;

#[test]
fn outcomes_are_counted_by_time_and_reason() {
    let dir = tempfile::tempdir().expect("create a temporary folder");
    fs::write(dir.path().join("e.log"), LOG).expect("write the file");
    let output = run_command(dir.path(), &["account", "e.log"]);
    assert!(output.status.success(), "{}", error_output(&output));
    assert_snapshot!(String::from_utf8_lossy(&output.stdout), @r"
    from 1000 ms since 1970
      second  answered   slow  failed   left  refused
           0         1      1       0      0        0
           2         0      0       1      1        1
       total         1      1       1      1        1
           1 answer broke off: the target broke off
           1 answer cut: target lost
           1 refused 503: no target can serve it in time
    lines left out, cut off or not ours: 1
    ");
}
