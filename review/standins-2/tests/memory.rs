//! Large configurations follow each other. The platform ends processes that use more than their memory.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::thread::sleep;
use std::thread::spawn;
use std::time::Duration;
use std::time::Instant;

use crate::Failure;
use crate::Verdict;
use crate::cluster::Cluster;
use crate::cluster::MEMORY_MB;
use crate::record::Record;

/// The number of entries, all with a disk.
const VOTERS: usize = 3;

/// The tenants of a configuration and the keys of each: 4.0 MB, less than the 4,194,304 bytes that a body may have.
const TENANTS: u32 = 400;
const KEYS: u32 = 430;

/// The length of a key, as in the users' examples.
const KEY_BYTES: usize = 20;

/// How long the changes go on.
const DAY: Duration = Duration::from_secs(90);

/// How long an operator waits for the acknowledgement of a large body, and its pause before it goes on.
const ACK_WAIT: Duration = Duration::from_secs(4);
const BACKOFF: Duration = Duration::from_millis(200);

/// The pause between two repeats of the same configuration, without trouble.
const RESEND_PAUSE: Duration = Duration::from_millis(300);

/// How often the platform looks at the memory, and how long a process is down.
const LOOK_INTERVAL: Duration = Duration::from_millis(50);
const RESTART_AFTER: Duration = Duration::from_millis(500);

/// The bound of the rule: on half of the core, and on two machines at least, processes end three times.
const MACHINES: usize = 2;
const ENDS: u32 = 3;

/// Runs the case. Without trouble, the same configuration is sent again and again.
pub fn run(record: &Record, trouble: bool) -> Result<Verdict, Failure> {
    let cluster = Arc::new(Cluster::start(record, VOTERS, 0)?);
    let ends: Arc<[AtomicU32; VOTERS]> = Arc::default();
    let ended = Arc::new(AtomicBool::new(false));
    cluster.put_until_acknowledged(&document(1))?;
    let platforms = (0..VOTERS).map(|n| {
        let (record, cluster) = (record.clone(), cluster.clone());
        let (ends, ended) = (ends.clone(), ended.clone());
        spawn(move || guard_memory(&record, &cluster, n, &ends[n], &ended))
    });
    let platforms: Vec<_> = platforms.collect();
    let broken = || {
        let many = ends
            .iter()
            .filter(|count| count.load(Ordering::Relaxed) >= ENDS);
        many.count() >= MACHINES
    };
    let began = Instant::now();
    let mut version = 1;
    while began.elapsed() < DAY && !broken() {
        if trouble {
            version += 3;
            change(record, &cluster, version, began);
        } else {
            cluster.put_config(0, &document(version), ACK_WAIT);
            sleep(RESEND_PAUSE);
        }
    }
    ended.store(true, Ordering::Relaxed);
    for platform in platforms {
        let _ = platform.join();
    }
    for (n, count) in ends.iter().enumerate() {
        let count = count.load(Ordering::Relaxed);
        record.add(format!("entry {n} ended {count} times for its memory"));
    }
    Ok(if broken() {
        Verdict::Broken
    } else {
        Verdict::Held
    })
}

/// Sends one configuration to one entry after the other until it is acknowledged.
fn change(record: &Record, cluster: &Cluster, version: u32, began: Instant) {
    let body = document(version);
    for n in (0..VOTERS).cycle() {
        if cluster.put_config(n, &body, ACK_WAIT) {
            let memory: Vec<u64> = (0..VOTERS)
                .map(|n| cluster.memory(n).unwrap_or(0) / 1_000_000)
                .collect();
            record.add(format!(
                "version {version} of {} bytes acknowledged by entry {n}, memory {memory:?} MB",
                body.len()
            ));
            return;
        }
        if began.elapsed() > DAY {
            return;
        }
        sleep(BACKOFF);
    }
}

/// Does what the platform does: ends a process that uses more memory than its machine has, and starts it again.
fn guard_memory(
    record: &Record,
    cluster: &Cluster,
    n: usize,
    ends: &AtomicU32,
    ended: &AtomicBool,
) {
    while !ended.load(Ordering::Relaxed) {
        sleep(LOOK_INTERVAL);
        let used = cluster.memory(n).unwrap_or(0);
        if used <= MEMORY_MB * 1_000_000 && !cluster.has_ended(n) {
            continue;
        }
        record.add(format!("entry {n} uses {} MB", used / 1_000_000));
        ends.fetch_add(1, Ordering::Relaxed);
        cluster.kill(n);
        sleep(RESTART_AFTER);
        if let Err(error) = cluster.launch(n) {
            record.add(format!("entry {n} not started: {error}"));
            return;
        }
    }
}

/// Returns a configuration whose tenants have other keys than those of any other version.
fn document(version: u32) -> Vec<u8> {
    let mut keys = Keys(u64::from(version).wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1);
    let mut text = format!(
        "{{\"version\":{version},\"routes\":[{{\"name\":\"desk\",\"host\":\"a.example\",\"pathPrefix\":\"/desk/\",\
         \"kind\":\"idempotent\",\"timeoutMs\":1000,\"goalMs\":100,\"priority\":1,\"service\":\"desk\",\
         \"maxAttempts\":2}}],\"services\":[{{\"name\":\"desk\",\"healthPath\":\"/health\",\"maxConns\":130}}],\
         \"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\
         \"idleTimeoutMs\":15000}},\"tenants\":["
    );
    for tenant in 0..TENANTS {
        let comma = if tenant == 0 { "" } else { "," };
        text.push_str(&format!(
            "{comma}{{\"name\":\"tenant{tenant}\",\"apiKeys\":["
        ));
        for key in 0..KEYS {
            text.push_str(if key == 0 { "\"" } else { ",\"" });
            keys.push(&mut text);
            text.push('"');
        }
        text.push_str("],\"priority\":1}");
    }
    text.push_str("]}");
    text.into_bytes()
}

/// Random keys.
struct Keys(u64);

impl Keys {
    fn push(&mut self, text: &mut String) {
        const LETTERS: &[u8; 32] = b"abcdefghijkmnopqrstuvwxyz2345678";
        for _ in 0..KEY_BYTES {
            self.0 ^= self.0 << 13;
            self.0 ^= self.0 >> 7;
            self.0 ^= self.0 << 17;
            text.push(char::from(LETTERS[(self.0 >> 32) as usize % LETTERS.len()]));
        }
    }
}
