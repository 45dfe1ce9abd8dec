//! A request that crashes its server comes back: while other clients read their answers slowly, where the answers end
//! with their connections, or where the server crashes after the time of the request.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread::sleep;
use std::thread::spawn;
use std::time::Duration;
use std::time::Instant;

use crate::Failure;
use crate::Verdict;
use crate::cluster::Cluster;
use crate::http;
use crate::http::Connection;
use crate::http::Request;
use crate::record::Record;
use crate::server::CRASH;
use crate::servers::Servers;
use crate::servers::Spec;

/// The number of servers.
const SERVERS: u8 = 6;

/// The number of clients that read slowly.
const READERS: usize = 60;

/// How much such a client reads at once, and how long it pauses after that.
const READ_BYTES: usize = 8 << 10;
const READ_PAUSE: Duration = Duration::from_millis(100);

/// The time between two repeats of the request that crashes servers.
const REPEAT_PAUSE: Duration = Duration::from_millis(2_500);

/// How often it comes.
const REPEATS: u32 = 18;

/// The pause between two sound requests where no client reads slowly.
const SOUND_PAUSE: Duration = Duration::from_secs(1);

/// The bound of the rule: `stabilityMs` after the third crash, more than three retries break it.
const STABILITY: Duration = Duration::from_millis(3_000);
const CRASHES: usize = 3;
const RETRIES: usize = 3;

const CONFIG: &str = r#"{"version":3,"routes":[
{"name":"files","host":"a.example","pathPrefix":"/files/","kind":"idempotent","timeoutMs":10000,"goalMs":1000,"priority":1,"service":"assets","maxAttempts":2},
{"name":"unframed","host":"a.example","pathPrefix":"/unframed/","kind":"non_idempotent","timeoutMs":1000,"goalMs":100,"priority":1,"service":"assets","maxAttempts":1},
{"name":"late","host":"a.example","pathPrefix":"/late/","kind":"non_idempotent","timeoutMs":1000,"goalMs":100,"priority":1,"service":"assets","maxAttempts":1},
{"name":"orders","host":"a.example","pathPrefix":"/orders/","kind":"non_idempotent","timeoutMs":1000,"goalMs":100,"priority":1,"service":"assets","maxAttempts":1}],
"services":[{"name":"assets","healthPath":"/health","maxConns":130}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}"#;

/// What happens beside the request that crashes servers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Beside {
    /// Clients read files slowly. Its own answer would have a length.
    SlowReaders,
    /// Clients send sound requests. Its own answer and theirs end with their connections.
    SoundRequests,
    /// Clients send sound requests. Servers crash 1.5 s after they began the request, and its client waits for 1 s.
    SoundRequestsInTime,
}

impl Beside {
    /// Returns the path of the request that crashes servers.
    fn path(self) -> &'static str {
        match self {
            Self::SlowReaders => "/orders/7",
            // With `FRAMED=1`, the answers have a length.
            Self::SoundRequests if std::env::var("FRAMED").is_ok_and(|v| v == "1") => "/orders/7",
            Self::SoundRequests => "/unframed/7",
            Self::SoundRequestsInTime => "/late/7",
        }
    }
}

/// Runs the case. Without trouble, the repeated request crashes no server.
pub fn run(record: &Record, trouble: bool, beside: Beside) -> Result<Verdict, Failure> {
    let cluster = Cluster::start(record, 3, 3)?;
    cluster.put_until_acknowledged(CONFIG.as_bytes())?;
    let control: Vec<SocketAddr> = (0..3).map(|n| cluster.control(n)).collect();
    let specs = (0..SERVERS).map(|n| Spec {
        addr: cluster.server(n),
        id: format!("i-{n}"),
        service: "assets",
        zone: format!("zone-{}", n % 3),
        control: control.clone(),
    });
    let servers = Servers::start(record, specs.collect())?;
    let fronts: Vec<SocketAddr> = (0..cluster.count()).map(|n| cluster.front(n)).collect();
    let result = play(record, trouble, beside, &fronts, &servers);
    servers.end();
    result?;
    Ok(judge(record, &servers.crashes()))
}

fn play(
    record: &Record,
    trouble: bool,
    beside: Beside,
    fronts: &[SocketAddr],
    servers: &Servers,
) -> Result<(), Failure> {
    let path = beside.path();
    Cluster::wait_for("all entries serve", || {
        fronts
            .iter()
            .all(|front| order(*front, path, "first", b"sound") == Some(200))
    })?;
    let ended = Arc::new(AtomicBool::new(false));
    match beside {
        Beside::SlowReaders => start_readers(record, fronts, &ended),
        Beside::SoundRequests | Beside::SoundRequestsInTime => {
            start_sound(record, fronts, path, &ended);
        }
    }
    sleep(STABILITY);
    let body: &[u8] = if trouble { CRASH } else { b"sound" };
    for repeat in 0..REPEATS {
        let front = fronts[repeat as usize % fronts.len()];
        let attempt = format!("order-{repeat}");
        record.add(format!("client sends {attempt} to {front}"));
        let status = order(front, path, &attempt, body);
        record.add(format!("client got {status:?} for {attempt}"));
        sleep(REPEAT_PAUSE);
    }
    ended.store(true, Ordering::Relaxed);
    record.add(format!("{} crashes", servers.crashes().len()));
    Ok(())
}

/// Starts a client that sends sound requests, no two alike, until `ended`.
fn start_sound(
    record: &Record,
    fronts: &[SocketAddr],
    path: &'static str,
    ended: &Arc<AtomicBool>,
) {
    let (record, fronts, ended) = (record.clone(), fronts.to_vec(), ended.clone());
    spawn(move || {
        for (n, front) in fronts.iter().cycle().enumerate() {
            if ended.load(Ordering::Relaxed) {
                return;
            }
            let attempt = format!("sound-{n}");
            let status = order(*front, path, &attempt, attempt.as_bytes());
            record.add(format!("client got {status:?} for {attempt}"));
            sleep(SOUND_PAUSE);
        }
    });
}

/// Starts the clients that read files slowly, until `ended`.
fn start_readers(record: &Record, fronts: &[SocketAddr], ended: &Arc<AtomicBool>) {
    let fast = std::env::var("READERS").is_ok_and(|value| value == "fast");
    record.add(format!("{READERS} clients read files, fast {fast}"));
    for reader in 0..READERS {
        let (ended, record) = (ended.clone(), record.clone());
        let front = fronts[reader % fronts.len()];
        let pause = if fast { Duration::ZERO } else { READ_PAUSE };
        spawn(move || {
            for round in 0.. {
                if ended.load(Ordering::Relaxed) {
                    return;
                }
                let attempt = format!("file-{reader}-{round}");
                let read = read_file(front, &attempt, pause, &ended).unwrap_or(0);
                record.add(format!("client of {front} read {read} bytes of {attempt}"));
                sleep(READ_PAUSE);
            }
        });
    }
}

/// Sends the order, which is the same each time but for the id of the attempt. Returns the status of the answer.
fn order(front: SocketAddr, path: &str, attempt: &str, body: &[u8]) -> Option<u16> {
    let request = Request {
        method: "POST",
        path,
        headers: &[
            ("Host", "a.example"),
            ("X-Filbertstack-Attempt-Id", attempt),
            ("X-Filbertstack-Deadline-Ms", "1000"),
        ],
        body,
    };
    let answer = http::call(front, &request, Duration::from_secs(2));
    answer.ok().map(|answer| answer.status)
}

/// Reads a file with a pause after each part, for as long as the client's time lasts. Returns how much was read.
fn read_file(
    front: SocketAddr,
    attempt: &str,
    pause: Duration,
    ended: &AtomicBool,
) -> std::io::Result<usize> {
    let until = Instant::now() + Duration::from_secs(10);
    let mut connection = Connection::open(front, Duration::from_secs(5))?;
    connection.send(&Request {
        method: "GET",
        path: &format!("/files/{attempt}"),
        headers: &[
            ("Host", "a.example"),
            ("X-Filbertstack-Attempt-Id", attempt),
            ("X-Filbertstack-Deadline-Ms", "10000"),
        ],
        body: b"",
    })?;
    let head = connection.read_head()?;
    let mut buffer = [0; READ_BYTES];
    let mut total = 0;
    while total < head.length() && Instant::now() < until && !ended.load(Ordering::Relaxed) {
        let read = connection.read_some(&mut buffer)?;
        if read == 0 {
            break;
        }
        total += read;
        sleep(pause);
    }
    Ok(total)
}

/// Counts the arrivals of the request later than `stabilityMs` after the third crash. Each crashes a server, so that
/// the crashes are the arrivals. No machine of the system is disturbed: all are in touch.
fn judge(record: &Record, crashes: &[Instant]) -> Verdict {
    let Some(third) = crashes.get(CRASHES - 1) else {
        record.add("fewer than three crashes");
        return Verdict::Held;
    };
    let retries = crashes
        .iter()
        .filter(|at| **at > *third + STABILITY)
        .count();
    record.add(format!(
        "{retries} retries reached servers later than 3 s after the third crash"
    ));
    if retries > RETRIES {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}
