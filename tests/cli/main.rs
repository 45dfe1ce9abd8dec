//! Tests of the command line: its error messages for invalid files, and its exit codes.

mod account;
mod explain;

use std::fs;
use std::path::Path;
use std::process::Command;
use std::process::Output;

/// Runs the binary in `dir`, without the environment variables of the client.
fn run_command(dir: &Path, arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_filbertstack"))
        .current_dir(dir)
        .env_remove("FILBERTSTACK_ENTRY")
        .env_remove("FILBERTSTACK_KEY_FILE")
        .args(arguments)
        .output()
        .expect("run the binary")
}

/// Returns the text on standard error.
fn error_output(output: &Output) -> String {
    String::from_utf8_lossy(&output.stderr).trim().to_owned()
}

/// Returns a folder with key files and the settings of an entry, to which `change` was applied.
fn settings_dir(change: impl Fn(&str) -> String) -> tempfile::TempDir {
    let dir = tempfile::tempdir().expect("create a temporary folder");
    let write =
        |name: &str, text: &str| fs::write(dir.path().join(name), text).expect("write the file");
    write("peer.key", "the key between entries");
    write("agent.key", "the key on links with agents");
    write("callers.keys", "acme acme-secret-0123456789\n");
    write("operators.keys", "olga operator-secret-0123456789\n");
    let settings = "[entry]\nname = e0\nzone = z1\nregion = r1\nlisten = 127.0.0.1:18080\n\
                    links = 127.0.0.1:19080\n[control]\nvoters = e0@127.0.0.1:19080\n\
                    [keys]\npeer = peer.key\nagent = agent.key\ncallers = callers.keys\n\
                    operators = operators.keys\n";
    write("entry.ini", &change(settings));
    dir
}

/// Returns the errors that `filbertstack check` prints for changed settings.
fn check_errors(change: impl Fn(&str) -> String) -> String {
    let dir = settings_dir(change);
    let output = run_command(dir.path(), &["check", "entry.ini"]);
    assert_eq!(output.status.code(), Some(1));
    error_output(&output)
}

#[test]
fn a_valid_settings_file_passes() {
    let dir = settings_dir(str::to_owned);
    let output = run_command(dir.path(), &["check", "entry.ini"]);
    assert!(output.status.success(), "{}", error_output(&output));
}

#[test]
fn all_errors_of_a_settings_file_are_reported_together() {
    let errors = check_errors(|valid| {
        valid
            .replace("zone = z1\n", "zoned = z1\n")
            .replace("listen = 127.0.0.1:18080", "listen = here")
            .replace("peer = peer.key", "peer = nowhere.key")
    });
    insta::assert_snapshot!(errors, @r#"
    error: entry.ini:1: [entry] lacks the key 'zone': add it
    entry.ini:3: unknown key 'zoned' in [entry]: remove it or correct its spelling
    entry.ini:5: listen: 'here' is not an address: write IP:port, such as 10.0.0.1:9080
    entry.ini:10: peer: nowhere.key: No such file or directory (os error 2); give the path of a file that this process may read
    "#);
}

#[test]
fn duplicate_sections_are_errors() {
    let errors =
        check_errors(|valid| format!("{valid}[keys]\npeer = peer.key\n[entry]\nname = e1\n"));
    insta::assert_snapshot!(errors, @r#"
    error: entry.ini:14: the section [keys] stands twice: join the two
    entry.ini:16: the section [entry] stands twice: join the two
    "#);
}

#[test]
fn a_listen_address_for_all_interfaces_is_rejected() {
    let errors = check_errors(|valid| valid.replace("listen = 127.0.0.1", "listen = 0.0.0.0"));
    insta::assert_snapshot!(errors, @"error: entry.ini:1: listen: others are told this address: give the instance's own IP");
}

#[test]
fn a_stop_timeout_shorter_than_the_address_max_age_is_rejected() {
    let errors =
        check_errors(|valid| valid.replace("zone = z1\n", "zone = z1\nstop-timeout = 5s\n"));
    insta::assert_snapshot!(errors, @"error: entry.ini:1: stop-timeout 5s ends before callers have let go of this entry's address: give at least max-age and 6s");
}

#[test]
fn errors_in_declarations_include_the_remedy() {
    let dir = tempfile::tempdir().expect("create a temporary folder");
    let text = "[deployment d]\nmodel = m\nversion = 12\nreplicas = many\n\
                [rule r]\ntimeout = soon\npath = nowhere\n[pol p]\ninstances = a=b\n";
    fs::write(dir.path().join("d.ini"), text).expect("write the file");
    let output = run_command(dir.path(), &["check", "d.ini"]);
    assert_eq!(output.status.code(), Some(1));
    insta::assert_snapshot!(error_output(&output), @r#"
    error: d.ini:1: [deployment d] lacks the key 'pools': add it
    d.ini:3: version: '12' is not a digest: give the 64 hexadecimal digits that 'publish' printed
    d.ini:4: replicas: 'many' is not a count: write a whole number up to 4294967295
    d.ini:5: [rule r] leads nowhere: add 'deployments' for models or 'instances' for a service
    d.ini:6: timeout: 'soon' is not a duration: write a whole number with ms, s, m or h, such as 500ms
    d.ini:7: path: 'nowhere' is not a path: start it with '/'
    d.ini:8: unknown section 'pol': use deployment, pool or rule
    d.ini:9: unknown key 'instances' in [pol p]: remove it or correct its spelling
    "#);
}

#[test]
fn a_missing_settings_file_and_a_missing_entry_address_exit_with_one() {
    let dir = tempfile::tempdir().expect("create a temporary folder");
    let output = run_command(dir.path(), &["entry", "--settings", "none.ini"]);
    assert_eq!(output.status.code(), Some(1));
    insta::assert_snapshot!(error_output(&output), @"error: none.ini: No such file or directory (os error 2); give the path of a settings file that this process may read");
    let output = run_command(dir.path(), &["status"]);
    assert_eq!(output.status.code(), Some(1));
    insta::assert_snapshot!(error_output(&output), @"error: no entry is given: add --entry IP:port or set FILBERTSTACK_ENTRY");
}

#[test]
fn wrong_usage_exits_with_two() {
    let dir = tempfile::tempdir().expect("create a temporary folder");
    for arguments in [
        &["aply", "x"][..],
        &["apply"],
        &["demo", "--targets", "many"],
        &[],
    ] {
        let output = run_command(dir.path(), arguments);
        assert_eq!(
            output.status.code(),
            Some(2),
            "{arguments:?}: {}",
            error_output(&output)
        );
    }
}
