//! A server restarts as planned while one entry stands still.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread::JoinHandle;
use std::thread::sleep;
use std::thread::spawn;
use std::time::Duration;

use crate::Failure;
use crate::Verdict;
use crate::cluster::Cluster;
use crate::http;
use crate::http::Request;
use crate::record::Record;
use crate::servers::Servers;
use crate::servers::Spec;

/// The entry that stands still. It has a disk, and its clients use the other entries.
const FROZEN: usize = 2;

/// How long it stands still, as long as on the site.
const FREEZE: Duration = Duration::from_millis(4_000);

/// When the server is told to stop, before the freeze begins. It calls `DELETE` 2.3 s later.
const LEAVES_BEFORE: Duration = Duration::from_millis(2_000);

/// How long the day lasts.
const DAY: Duration = Duration::from_secs(62);

/// When the entry freezes.
const FREEZES_AT: Duration = Duration::from_secs(3);

/// How many clients ask the desk; one asks for records.
const DESK_CLIENTS: usize = 3;

/// The pause between two requests of a client.
const REQUEST_PAUSE: Duration = Duration::from_millis(100);

const CONFIG: &str = r#"{"version":3,"routes":[
{"name":"desk","host":"a.example","pathPrefix":"/desk/","kind":"idempotent","timeoutMs":1000,"goalMs":100,"priority":1,"service":"desk","maxAttempts":2},
{"name":"records","host":"a.example","pathPrefix":"/records/","kind":"non_idempotent","timeoutMs":1000,"goalMs":100,"priority":1,"service":"records","maxAttempts":1}],
"services":[{"name":"desk","healthPath":"/health","maxConns":130},{"name":"records","healthPath":"/health","maxConns":130}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}"#;

/// The requests of one kind.
#[derive(Clone, Copy, Default)]
struct Count {
    asked: u32,
    served: u32,
}

impl Count {
    fn add(self, other: Self) -> Self {
        Self {
            asked: self.asked + other.asked,
            served: self.served + other.served,
        }
    }

    fn share(self) -> f64 {
        f64::from(self.served) / f64::from(self.asked.max(1))
    }
}

/// Runs the case. Without trouble, no entry stands still.
pub fn run(record: &Record, trouble: bool) -> Result<Verdict, Failure> {
    let cluster = Cluster::start(record, 3, 6)?;
    cluster.put_until_acknowledged(CONFIG.as_bytes())?;
    let fronts: Vec<SocketAddr> = (0..cluster.count())
        .filter(|n| *n != FROZEN)
        .map(|n| cluster.front(n))
        .collect();
    // The server of the records says to the frozen entry first that it leaves.
    let control = [FROZEN, 0, 1].map(|n| cluster.control(n)).to_vec();
    let spec = |n: u8, service| Spec {
        addr: cluster.server(n),
        id: format!("i-{n}"),
        service,
        zone: format!("zone-{}", n % 3),
        control: control.clone(),
    };
    let specs = vec![
        spec(0, "desk"),
        spec(1, "desk"),
        spec(2, "desk"),
        spec(3, "records"),
    ];
    let servers = Servers::start(record, specs)?;
    let result = play(record, trouble, &cluster, &fronts, &servers);
    servers.end();
    let [desk, records] = result?;
    Ok(judge(record, desk, records))
}

fn play(
    record: &Record,
    trouble: bool,
    cluster: &Cluster,
    fronts: &[SocketAddr],
    servers: &Servers,
) -> Result<[Count; 2], Failure> {
    Cluster::wait_for("all entries serve both kinds", || {
        fronts.iter().all(|front| {
            let served = |path| ask(*front, path, "first") == Some(200);
            served("/desk/1") && served("/records/1")
        })
    })?;
    record.add("the day begins");
    let ended = Arc::new(AtomicBool::new(false));
    let desk = [0; DESK_CLIENTS].map(|_| client(record, fronts, "/desk/1", &ended));
    let records = client(record, fronts, "/records/1", &ended);
    sleep(FREEZES_AT - LEAVES_BEFORE);
    record.add("the server of the records is told to stop");
    servers.leave();
    sleep(LEAVES_BEFORE);
    if trouble {
        cluster.signal(FROZEN, "STOP")?;
    }
    sleep(FREEZE);
    if trouble {
        cluster.signal(FROZEN, "CONT")?;
    }
    sleep(DAY - FREEZES_AT - FREEZE);
    ended.store(true, Ordering::Relaxed);
    record.add("the day ends");
    let desk = desk
        .map(Client::end)
        .into_iter()
        .fold(Count::default(), Count::add);
    Ok([desk, records.end()])
}

struct Client {
    count: Arc<Mutex<Count>>,
    thread: JoinHandle<()>,
}

impl Client {
    fn end(self) -> Count {
        let _ = self.thread.join();
        *self.count.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Starts a client that sends requests to one entry after the other.
fn client(
    record: &Record,
    fronts: &[SocketAddr],
    path: &'static str,
    ended: &Arc<AtomicBool>,
) -> Client {
    let count = Arc::new(Mutex::new(Count::default()));
    let (record, fronts, ended) = (record.clone(), fronts.to_vec(), ended.clone());
    let counted = count.clone();
    let thread = spawn(move || {
        for (n, front) in fronts.iter().cycle().enumerate() {
            if ended.load(Ordering::Relaxed) {
                return;
            }
            let status = ask(*front, path, &format!("{n}-{path}"));
            record.add(format!("client got {status:?} for {n}-{path} from {front}"));
            let mut count = counted.lock().unwrap_or_else(PoisonError::into_inner);
            count.asked += 1;
            count.served += u32::from(status == Some(200));
            drop(count);
            sleep(REQUEST_PAUSE);
        }
    });
    Client { count, thread }
}

fn ask(front: SocketAddr, path: &str, attempt: &str) -> Option<u16> {
    let request = Request {
        method: "POST",
        path,
        headers: &[
            ("Host", "a.example"),
            ("X-Filbertstack-Attempt-Id", attempt),
            ("X-Filbertstack-Deadline-Ms", "1000"),
        ],
        body: b"{}",
    };
    let answer = http::call(front, &request, Duration::from_secs(2));
    answer.ok().map(|answer| answer.status)
}

/// A kind of request is starved if it is served less than a quarter as often as all requests.
fn judge(record: &Record, desk: Count, records: Count) -> Verdict {
    let all = desk.add(records);
    for (name, count) in [("desk", desk), ("records", records), ("all", all)] {
        record.add(format!(
            "{name}: {} asked, {} served",
            count.asked, count.served
        ));
    }
    if records.share() < all.share() / 4.0 {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}
