//! A part of prompts that crashes servers comes after many other parts, as in a long conversation.

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
use crate::http::Request;
use crate::record::Record;
use crate::server::CRASHING_PART;
use crate::servers::Servers;
use crate::servers::Spec;

/// The number of servers.
const SERVERS: u8 = 6;

/// How many parts a prompt has before the one that may crash servers. The last part follows that one.
const PARTS_BEFORE: usize = 70;

/// The tokens of each part.
const PART_TOKENS: usize = 20;

/// The time between two requests with the part that crashes servers, no two of which are alike.
const CRASH_PAUSE: Duration = Duration::from_millis(2_500);

/// How many of them come.
const REQUESTS: u32 = 20;

/// The pause between two sound requests.
const SOUND_PAUSE: Duration = Duration::from_millis(250);

/// The bound of the rule: more than three requests later than `stabilityMs` after the fifth crash break it.
const STABILITY: Duration = Duration::from_millis(3_000);
const CRASHES: usize = 5;
const REQUESTS_ALLOWED: usize = 3;

const CONFIG: &str = r#"{"version":3,"routes":[
{"name":"chat","host":"a.example","pathPrefix":"/chat/","kind":"streaming","timeoutMs":6000,"goalMs":400,"priority":1,"service":"models","maxAttempts":2,"sticky":true,"resumable":false,"itlTargetMs":300}],
"services":[{"name":"models","healthPath":"/health","maxConns":130}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}"#;

/// Runs the case. Without trouble, no part crashes servers.
pub fn run(record: &Record, trouble: bool) -> Result<Verdict, Failure> {
    let cluster = Cluster::start(record, 3, 3)?;
    cluster.put_until_acknowledged(CONFIG.as_bytes())?;
    let control: Vec<SocketAddr> = (0..3).map(|n| cluster.control(n)).collect();
    let specs = (0..SERVERS).map(|n| Spec {
        addr: cluster.server(n),
        id: format!("i-{n}"),
        service: "models",
        zone: format!("zone-{}", n % 3),
        control: control.clone(),
    });
    let servers = Servers::start(record, specs.collect())?;
    let fronts: Vec<SocketAddr> = (0..cluster.count()).map(|n| cluster.front(n)).collect();
    let result = play(record, trouble, &fronts, &servers);
    servers.end();
    result?;
    Ok(judge(record, &servers.crashes()))
}

fn play(
    record: &Record,
    trouble: bool,
    fronts: &[SocketAddr],
    servers: &Servers,
) -> Result<(), Failure> {
    // With `PARTS=N`, N parts come before.
    let before = std::env::var("PARTS").ok();
    let before = before.and_then(|text| text.parse().ok());
    let before: usize = before.unwrap_or(PARTS_BEFORE);
    record.add(format!("{before} parts come before"));
    Cluster::wait_for("all entries serve", || {
        fronts
            .iter()
            .all(|front| ask(*front, "first", before, "50") == Some(200))
    })?;
    let ended = Arc::new(AtomicBool::new(false));
    let sound = start_sound(record, fronts, before, &ended);
    sleep(STABILITY);
    let part = if trouble { CRASHING_PART } else { "51" };
    for number in 0..REQUESTS {
        let front = fronts[number as usize % fronts.len()];
        let attempt = format!("part-{number}");
        record.add(format!("client sends {attempt} to {front}"));
        let status = ask(front, &attempt, before, part);
        record.add(format!("client got {status:?} for {attempt}"));
        sleep(CRASH_PAUSE);
    }
    ended.store(true, Ordering::Relaxed);
    let (asked, served) = sound.join().map_err(|_| "a client panicked")?;
    record.add(format!("{served} of {asked} sound requests were served"));
    record.add(format!("{} crashes", servers.crashes().len()));
    Ok(())
}

/// Starts a client that sends sound requests with the same parts before, until `ended`. It returns how many were sent
/// and served.
fn start_sound(
    record: &Record,
    fronts: &[SocketAddr],
    before: usize,
    ended: &Arc<AtomicBool>,
) -> std::thread::JoinHandle<(u32, u32)> {
    let (record, fronts, ended) = (record.clone(), fronts.to_vec(), ended.clone());
    spawn(move || {
        let (mut asked, mut served) = (0, 0);
        for (n, front) in fronts.iter().cycle().enumerate() {
            if ended.load(Ordering::Relaxed) {
                break;
            }
            let attempt = format!("sound-{n}");
            let status = ask(*front, &attempt, before, "50");
            record.add(format!("client got {status:?} for {attempt}"));
            asked += 1;
            served += u32::from(status == Some(200));
            sleep(SOUND_PAUSE);
        }
        (asked, served)
    })
}

/// Sends a request whose prompt holds `part` after the parts that all requests share. Returns the status of a whole
/// answer.
fn ask(front: SocketAddr, attempt: &str, before: usize, part: &str) -> Option<u16> {
    let shared = (0..before).map(|number| format!("{:x}:{PART_TOKENS}", 0xa000 + number));
    let own = format!("{:x}", attempt.bytes().fold(7_u64, mix));
    let rest = [part, &own].map(|id| format!("{id}:{PART_TOKENS}"));
    let parts: Vec<String> = shared.chain(rest).collect();
    let tokens = format!("{},40", parts.len() * PART_TOKENS);
    let request = Request {
        method: "POST",
        path: "/chat/1",
        headers: &[
            ("Host", "a.example"),
            ("X-Filbertstack-Attempt-Id", attempt),
            ("X-Filbertstack-Deadline-Ms", "6000"),
            ("X-Filbertstack-Model", "m0"),
            ("X-Filbertstack-Token-Counts", &tokens),
            ("X-Filbertstack-Prompt-Prefix", &parts.join(",")),
        ],
        body: attempt.as_bytes(),
    };
    let answer = http::call(front, &request, Duration::from_secs(7));
    answer.ok().map(|answer| answer.status)
}

fn mix(sum: u64, byte: u8) -> u64 {
    sum.wrapping_mul(0x0100_0000_01b3) ^ u64::from(byte)
}

/// Counts the requests with the part later than `stabilityMs` after the fifth crash. Each that reaches a server crashes
/// it, so that the crashes are the arrivals. No machine of the system is disturbed: all are in touch.
fn judge(record: &Record, crashes: &[Instant]) -> Verdict {
    let Some(fifth) = crashes.get(CRASHES - 1) else {
        record.add("fewer than five crashes");
        return Verdict::Held;
    };
    let later = crashes
        .iter()
        .filter(|at| **at > *fifth + STABILITY)
        .count();
    record.add(format!(
        "{later} requests with the part reached servers later than 3 s after the fifth crash"
    ));
    if later > REQUESTS_ALLOWED {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}
