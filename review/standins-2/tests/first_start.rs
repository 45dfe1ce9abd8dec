//! The whole system starts for the first time, and the machine of its first seed is lost in the first second.

use std::thread::sleep;
use std::time::Duration;
use std::time::Instant;

use crate::Failure;
use crate::Verdict;
use crate::cluster::Cluster;
use crate::record::Record;

/// When the process of the first seed is killed, after all have started.
const KILLED_AT: Duration = Duration::from_millis(300);

/// How long it is down: the longest that the users' days play.
const DOWN: Duration = Duration::from_secs(14);

/// The bounds of the rule: `stabilityMs`, after which the core is stable again, and `ackMs`.
const STABILITY: Duration = Duration::from_secs(3);
const ACK: Duration = Duration::from_secs(4);

/// How long the operator waits for an answer, and its pause before it sends the order again.
const ACK_WAIT: Duration = Duration::from_secs(1);
const BACKOFF: Duration = Duration::from_millis(300);

const CONFIG: &str = r#"{"version":3,"routes":[
{"name":"desk","host":"a.example","pathPrefix":"/desk/","kind":"idempotent","timeoutMs":1000,"goalMs":100,"priority":1,"service":"desk","maxAttempts":2}],
"services":[{"name":"desk","healthPath":"/health","maxConns":130}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}"#;

/// Runs the case. Without trouble, no process is killed.
pub fn run(record: &Record, trouble: bool) -> Result<Verdict, Failure> {
    let cluster = Cluster::start(record, 3, 3)?;
    sleep(KILLED_AT);
    let killed = Instant::now();
    if trouble {
        cluster.kill(0);
    }
    let mut acknowledged = None;
    for n in (1..cluster.count()).cycle() {
        let done = cluster.put_config(n, CONFIG.as_bytes(), ACK_WAIT);
        record.add(format!(
            "operator sends the configuration to entry {n}, acknowledged {done}"
        ));
        if done {
            acknowledged = Some(killed.elapsed());
            break;
        }
        if killed.elapsed() >= DOWN {
            break;
        }
        sleep(BACKOFF);
    }
    // The core is stable from `stabilityMs` after the kill until the process starts again.
    let held = acknowledged.is_some_and(|after| after <= STABILITY + ACK);
    record.add(format!("acknowledged after {acknowledged:?}"));
    Ok(if held { Verdict::Held } else { Verdict::Broken })
}
