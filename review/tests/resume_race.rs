//! A stream whose engine crashes is resumed at another engine. That one begins late, so that the entry asks a third.

mod common;

use std::io::Write as _;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use common::BROKEN;
use common::Cluster;
use common::HELD;
use common::NOT_RUN;
use common::Received;
use common::Record;
use common::call;
use common::finish;
use common::has_trouble;
use common::read_request;
use common::unix_ms;
use common::wait_until;
use common::write_answer;

/// The model engines. One of them crashes, which is less than 0.17 of them.
const ENGINES: usize = 7;

/// The events of a stream.
const EVENTS: u64 = 30;

/// An engine makes an event in this time.
const EVENT_PAUSE: Duration = Duration::from_millis(60);

/// An engine reads a prompt in this time if nothing waits before it.
const SHORT_WAIT: Duration = Duration::from_millis(40);

/// A request that waits behind others in an engine begins after this time.
const LONG_WAIT: Duration = Duration::from_millis(1_500);

/// Of so many requests at an engine one waits behind others.
const ONE_WAITS: u32 = 3;

/// The engine that crashes is down for this time.
const DOWN_TIME: Duration = Duration::from_millis(4_500);

/// The pause between two looks for new connections.
const ACCEPT_PAUSE: Duration = Duration::from_millis(1);

/// The callers, each of which sends one request after another.
const CALLERS: usize = 100;

/// The callers send requests for this time.
const TRAFFIC_TIME: Duration = Duration::from_secs(20);

/// So many engines crash, one after the other.
const CRASHES: usize = 3;

/// Callers send requests for this time before an engine crashes.
const CALM_TIME: Duration = Duration::from_secs(2);

struct Engine {
    number: usize,
    addr: SocketAddr,
    /// The number of its start, from 1.
    start: AtomicU32,
    /// The Unix millisecond of that start.
    born: AtomicU64,
    down: AtomicBool,
    asked: AtomicU32,
    running: AtomicU32,
    connections: Mutex<Vec<TcpStream>>,
    record: Record,
}

impl Engine {
    fn id(&self) -> String {
        format!("e{}-{}", self.number, self.start.load(Ordering::SeqCst))
    }

    fn serve(self: Arc<Self>) {
        thread::spawn(move || {
            loop {
                self.accept_until_down();
                while self.down.load(Ordering::SeqCst) {
                    thread::sleep(ACCEPT_PAUSE);
                }
            }
        });
    }

    /// Accepts connections until the engine crashes. A process that is down has no listener.
    fn accept_until_down(self: &Arc<Self>) {
        let listener = TcpListener::bind(self.addr).expect("the address of the engine is free");
        listener.set_nonblocking(true).expect("a listener");
        while !self.down.load(Ordering::SeqCst) {
            let Ok((stream, _)) = listener.accept() else {
                thread::sleep(ACCEPT_PAUSE);
                continue;
            };
            stream.set_nonblocking(false).expect("a stream");
            if let (Ok(copy), Ok(mut kept)) = (stream.try_clone(), self.connections.lock()) {
                kept.push(copy);
            }
            let engine = self.clone();
            thread::spawn(move || engine.answer_all(stream));
        }
    }

    fn answer_all(&self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        while let Some(received) = read_request(&mut stream) {
            let sent = if received.line.starts_with("POST /chat/") {
                self.running.fetch_add(1, Ordering::SeqCst);
                let sent = self.stream_events(&mut stream, &received);
                self.running.fetch_sub(1, Ordering::SeqCst);
                sent
            } else if received.line == "GET /report" {
                let body = self.report();
                write_answer(&mut stream, "200 OK", "", body.as_bytes()).is_ok()
            } else {
                write_answer(&mut stream, "404 Not Found", "", b"").is_ok()
            };
            if !sent {
                return;
            }
        }
    }

    fn report(&self) -> String {
        format!(
            "{{\"stage\":\"both\",\"models\":[{{\"name\":\"m\",\"version\":1,\"adapters\":[]}}],\
             \"busy\":false,\"sequence\":0,\"waiting\":0,\"running\":{},\"kvUsed\":0,\
             \"kvTotal\":1000000,\"handles\":0,\"pace\":1.0,\"born\":{}}}",
            self.running.load(Ordering::SeqCst),
            self.born.load(Ordering::SeqCst),
        )
    }

    /// Answers a request with the events after the one that it names. Returns whether the connection is kept.
    fn stream_events(&self, stream: &mut TcpStream, received: &Received) -> bool {
        let attempt = received.header("x-filbertstack-attempt-id").to_owned();
        let last = received.header("last-event-id").to_owned();
        if received.header("x-filbertstack-expect-instance") != self.id() {
            let line = "X-Filbertstack-Not-Executed: 1\r\n";
            return write_answer(stream, "421 Misdirected Request", line, b"").is_ok();
        }
        let asked = self.asked.fetch_add(1, Ordering::SeqCst);
        let waits = asked % ONE_WAITS == ONE_WAITS - 1;
        self.record.note(&format!(
            "{} runs {attempt} after event '{last}'{}",
            self.id(),
            if waits { ", behind others" } else { "" }
        ));
        thread::sleep(if waits { LONG_WAIT } else { SHORT_WAIT });
        let head = format!(
            "HTTP/1.1 200 OK\r\nX-Filbertstack-Attempt-Id: {attempt}\r\n\
             X-Filbertstack-Response-Seal: seal-{attempt}\r\nContent-Type: text/event-stream\r\n\
             X-Filbertstack-Weight-Versions: 1\r\nTransfer-Encoding: chunked\r\n\r\n"
        );
        if stream.write_all(head.as_bytes()).is_err() {
            return false;
        }
        for event in last.parse().unwrap_or(0) + 1..=EVENTS {
            let text = format!("id: {event}\ndata: piece {event} of {attempt}\n\n");
            let chunk = format!("{:x}\r\n{text}\r\n", text.len());
            if stream.write_all(chunk.as_bytes()).is_err() {
                return false;
            }
            thread::sleep(EVENT_PAUSE);
        }
        stream.write_all(b"0\r\n\r\n").is_ok()
    }

    /// Ends all work at once; the engine is back later as a new start.
    fn crash(&self) {
        self.down.store(true, Ordering::SeqCst);
        self.record.note(&format!(
            "{} crashes with {} streams",
            self.id(),
            self.running.load(Ordering::SeqCst)
        ));
        if let Ok(mut kept) = self.connections.lock() {
            for stream in kept.drain(..) {
                let _ = stream.shutdown(Shutdown::Both);
            }
        }
    }

    fn come_back(&self) {
        self.start.fetch_add(1, Ordering::SeqCst);
        self.born.store(unix_ms() as u64, Ordering::SeqCst);
        self.down.store(false, Ordering::SeqCst);
        self.record.note(&format!("{} has started", self.id()));
    }

    /// Sends liveness reports until the script ends.
    fn report_alive(self: Arc<Self>, control: Vec<SocketAddr>) {
        thread::spawn(move || {
            for sequence in 1u64.. {
                if !self.down.load(Ordering::SeqCst) {
                    let body = format!(
                        "{{\"service\":\"chat\",\"address\":\"{}\",\"zone\":\"z{}\",\"version\":\"v1\",\
                         \"slots\":16,\"state\":\"ready\",\"coldRemainingMs\":0,\"stage\":\"both\",\
                         \"models\":[{{\"name\":\"m\",\"version\":1,\"adapters\":[]}}],\
                         \"sequence\":{sequence},\"born\":{}}}",
                        self.addr,
                        self.number % 3,
                        self.born.load(Ordering::SeqCst),
                    );
                    let request = format!(
                        "PUT /instances/{} HTTP/1.1\r\nHost: c\r\nConnection: close\r\n\
                         Content-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
                        self.id(),
                        body.len()
                    );
                    let acked = |addr: &SocketAddr| {
                        let answer = call(*addr, request.as_bytes(), Duration::from_secs(1));
                        answer.is_some_and(|a| a.status == 200)
                    };
                    let _ = control.iter().cycle().skip(self.number).take(3).any(acked);
                }
                thread::sleep(Duration::from_millis(1_200));
            }
        });
    }
}

fn config() -> String {
    "{\"version\":1,\"routes\":[{\"name\":\"chat\",\"host\":\"h.example\",\"pathPrefix\":\"/chat/\",\
     \"kind\":\"streaming\",\"timeoutMs\":6000,\"goalMs\":400,\"priority\":1,\"service\":\"chat\",\
     \"maxAttempts\":3,\"public\":true,\"sticky\":true,\"resumable\":true,\"itlTargetMs\":300}],\
     \"services\":[{\"name\":\"chat\",\"healthPath\":\"/health\",\"maxConns\":384,\"protocol\":\"h1\",\
     \"tls\":false,\"engine\":{\"slots\":16,\"kvCapacity\":1640000,\"tokenKvBytes\":163840,\
     \"linkMbps\":400000.0,\"stride\":6,\"models\":[{\"name\":\"m\",\"pace\":1.0,\"loadS\":4.0,\
     \"warmS\":0.3}],\"mb\":282000.0,\"step_ms\":6.73,\"per_seq_ms\":0.0219,\"context_per_k\":0.0068,\
     \"read_per_s\":30600.0,\"pairs_per_m\":0.647,\"chunk\":2048,\"report_lag_ms\":200.0,\
     \"usual\":{\"prompt\":964,\"answer\":119},\"layers\":16,\"layer_mb\":4540.0,\"chunks\":48,\
     \"chunkBytes\":49152}}],\
     \"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\
     \"idleTimeoutMs\":15000}}"
        .into()
}

/// Sends one request and returns the ids of the events that its caller got, and whether the answer has its end.
fn ask(front: SocketAddr, attempt: &str) -> Option<(u16, Vec<u64>, bool)> {
    let request = format!(
        "POST /chat/x HTTP/1.1\r\nHost: h.example\r\nX-Filbertstack-Attempt-Id: {attempt}\r\n\
         X-Filbertstack-Model: m\r\nX-Filbertstack-Token-Counts: 960,144\r\n\
         X-Filbertstack-Prompt-Prefix: 5c1e07a2:40,{attempt}:920\r\n\
         X-Filbertstack-Deadline-Ms: 6000\r\nContent-Length: 2\r\n\r\nhi"
    );
    let answer = call(front, request.as_bytes(), Duration::from_secs(3))?;
    let text = String::from_utf8_lossy(&answer.body).into_owned();
    let ids = text
        .lines()
        .filter_map(|l| l.strip_prefix("id: ")?.parse().ok());
    Some((answer.status, ids.collect(), answer.complete))
}

fn main() {
    common::start_watchdog();
    let record = Record::create();
    let mut cluster = Cluster::start(&record, 3, 0);
    cluster.order_until_acked("PUT", "/config", &config());
    cluster.await_ready();
    let control: Vec<SocketAddr> = (0..cluster.entries()).map(|n| cluster.control(n)).collect();
    let engines: Vec<Arc<Engine>> = (0..ENGINES)
        .map(|number| {
            Arc::new(Engine {
                number,
                addr: cluster.app(number),
                start: AtomicU32::new(1),
                born: AtomicU64::new(unix_ms() as u64),
                down: AtomicBool::new(false),
                asked: AtomicU32::new(0),
                running: AtomicU32::new(0),
                connections: Mutex::default(),
                record: record.clone(),
            })
        })
        .collect();
    for (n, engine) in engines.iter().enumerate() {
        engine.clone().serve();
        engine.clone().report_alive(control.clone());
        cluster.start_agent(n, "chat");
    }
    let probes = AtomicU32::new(0);
    wait_until(&record, "each entry serves", || {
        (0..cluster.entries()).all(|n| {
            let probe = format!("{:x}", 0xa000 + probes.fetch_add(1, Ordering::SeqCst));
            ask(cluster.front(n), &probe).is_some_and(|(status, ..)| status == 200)
        })
    });
    record.note("traffic begins");
    let began = Instant::now();
    let broken: Arc<Mutex<Vec<String>>> = Arc::default();
    let served = Arc::new(AtomicU32::new(0));
    let callers: Vec<_> = (0..CALLERS)
        .map(|caller| {
            let front = cluster.front(caller % cluster.entries());
            let (record, broken, served) = (record.clone(), broken.clone(), served.clone());
            thread::spawn(move || {
                for n in 0u32.. {
                    if began.elapsed() >= TRAFFIC_TIME {
                        return;
                    }
                    let attempt = format!("{:x}", 0x10000 + caller * 0x1000 + n as usize);
                    let Some((status, ids, complete)) = ask(front, &attempt) else {
                        record.note(&format!("{attempt} got no answer"));
                        continue;
                    };
                    record.note(&format!(
                        "{attempt} got {status}, events {ids:?}, complete: {complete}"
                    ));
                    if status != 200 {
                        thread::sleep(Duration::from_millis(100));
                        continue;
                    }
                    served.fetch_add(1, Ordering::SeqCst);
                    let in_order = ids.iter().zip(1u64..).all(|(id, n)| *id == n);
                    let ends_early = complete && ids.len() != EVENTS as usize;
                    if !in_order || ends_early {
                        if let Ok(mut broken) = broken.lock() {
                            broken.push(format!("{attempt} got events {ids:?}"));
                        }
                    }
                }
            })
        })
        .collect();
    for engine in &engines[..CRASHES] {
        thread::sleep(CALM_TIME);
        if has_trouble() {
            engine.crash();
            thread::sleep(DOWN_TIME);
            engine.come_back();
        }
    }
    for caller in callers {
        let _ = caller.join();
    }
    cluster.end();
    let broken = broken.lock().map(|b| b.clone()).unwrap_or_default();
    let served = served.load(Ordering::SeqCst);
    record.note(&format!(
        "{served} streams served, {} out of order",
        broken.len()
    ));
    if served < 100 {
        finish(&record, NOT_RUN, "too few streams were served");
    }
    match broken.first() {
        Some(first) => finish(&record, BROKEN, &format!("ORDER: {first}")),
        None => finish(&record, HELD, "each stream came in order"),
    }
}
