//! Model engines, the origin of their weights and callers, as stand-ins for the scripts about weights.

#![allow(dead_code, reason = "each script uses a part of this file")]

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

use crate::common::Cluster;
use crate::common::Received;
use crate::common::Record;
use crate::common::call;
use crate::common::read_request;
use crate::common::unix_ms;
use crate::common::write_answer;
use crate::sha256;

/// The model engines. One of them is less than 0.14 of them.
pub const ENGINES: usize = 8;

/// The pieces of a version.
pub const PIECES: usize = 48;

/// The bytes of a piece.
const PIECE_BYTES: usize = 49_152;

/// An engine answers a call of its agent after this time, between two passes over its batch.
const CALL_TIME: Duration = Duration::from_millis(20);

/// The engine that turns slow takes so many times as long.
const SLOW_FACTOR: u32 = 5;

/// The engine is slow for this time.
const SLOW_TIME: Duration = Duration::from_millis(6_500);

/// The pieces turn bad when the engine has been slow for this time.
const ROT_AFTER: Duration = Duration::from_millis(600);

/// So many of the 48 pieces turn bad, which is less than 0.06 of them.
const ROTTEN: usize = 2;

/// The piece whose write hangs. It is carried out when the last check of version 3 is at another piece.
const LATE_PIECE: usize = 5;
const CARRIED_OUT_AT: usize = 12;

/// A write that hangs closes its connection after this time.
const HANG_TIME: Duration = Duration::from_secs(2);

/// A write that hangs is carried out within this time, or not at all: an engine hangs for so long.
const LONGEST_HANG: Duration = Duration::from_millis(6_500);

/// A layer may be taken with a piece that has turned bad within this time.
const EXCUSED: Duration = Duration::from_secs(3);

/// The time that an engine takes to load the staged pieces.
const WARM_TIME: Duration = Duration::from_millis(300);

/// The character of the list that is spoilt: one of the digest of a piece in the middle.
const SPOILT_CHARACTER: usize = 1_200;

/// Returns the bytes of a piece; no two pieces are equal.
fn piece(version: u64, number: usize) -> Vec<u8> {
    let mut state = version * 1_000 + number as u64 + 1;
    let mut bytes = Vec::with_capacity(PIECE_BYTES);
    while bytes.len() < PIECE_BYTES {
        state = state
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        bytes.extend_from_slice(&state.to_be_bytes());
    }
    bytes
}

/// The origin of weights.
pub struct Origin {
    /// The address at which it serves.
    pub addr: SocketAddr,
    /// The newest named version.
    pub newest: AtomicU64,
    /// Whether it spoils one character of the next list of pieces that it sends.
    pub spoils_list: AtomicBool,
    record: Record,
}

impl Origin {
    /// Starts an origin of version 1.
    pub fn start(addr: SocketAddr, record: &Record) -> Arc<Self> {
        let origin = Arc::new(Self {
            addr,
            newest: AtomicU64::new(1),
            spoils_list: AtomicBool::new(false),
            record: record.clone(),
        });
        origin.clone().serve();
        origin
    }

    fn serve(self: Arc<Self>) {
        let listener = TcpListener::bind(self.addr).expect("the address of the origin is free");
        thread::spawn(move || {
            for mut stream in listener.incoming().flatten() {
                let origin = self.clone();
                thread::spawn(move || {
                    while let Some(received) = read_request(&mut stream) {
                        if !origin.answer(&mut stream, &received) {
                            return;
                        }
                    }
                });
            }
        });
    }

    /// Returns the list of the pieces of a version as it is sent. A spoilt one has one wrong character in a digest.
    fn list(&self, version: u64) -> String {
        let mut body = list(version);
        let spoils = version > 1 && self.spoils_list.swap(false, Ordering::SeqCst);
        if spoils && let Some(at) = body.find("\"digests\"") {
            let at = at + SPOILT_CHARACTER;
            let other = if body.as_bytes()[at] == b'4' {
                "5"
            } else {
                "4"
            };
            body.replace_range(at..=at, other);
        }
        self.record.note(&format!(
            "the origin sends the list of version {version}{}",
            if spoils {
                " with one spoilt character"
            } else {
                ""
            }
        ));
        body
    }

    fn answer(&self, stream: &mut TcpStream, received: &Received) -> bool {
        let newest = self.newest.load(Ordering::SeqCst);
        let version = received.number("version").map_or(newest, |v| v as u64);
        if version + 2 <= newest || version > newest {
            return write_answer(stream, "410 Gone", "", b"").is_ok();
        }
        if received.line.starts_with("GET /manifest/") {
            let body = self.list(version);
            return write_answer(stream, "200 OK", "", body.as_bytes()).is_ok();
        }
        match received.number("num").filter(|n| *n < PIECES) {
            Some(n) => write_answer(stream, "200 OK", "", &piece(version, n)).is_ok(),
            None => write_answer(stream, "404 Not Found", "", b"").is_ok(),
        }
    }
}

/// Returns the list of the pieces of a version.
fn list(version: u64) -> String {
    let digests = (0..PIECES).map(|n| format!("\"{}\"", sha256::hex(&piece(version, n))));
    format!(
        "{{\"model\":\"m\",\"version\":{version},\"chunkBytes\":{PIECE_BYTES},\"layers\":16,\
         \"digests\":[{}]}}",
        digests.collect::<Vec<_>>().join(",")
    )
}

/// A staged piece, and since when it is bad.
struct Staged {
    bytes: Vec<u8>,
    bad_since: Option<Instant>,
}

/// What an engine holds.
struct Weights {
    staged: Vec<Option<Staged>>,
    version: u64,
    sequence: u64,
    /// The version that is being loaded, and when it will be there.
    loading: Option<(u64, Instant)>,
    /// What was wrong with the pieces when the layers were taken: the longest time for which one had been bad.
    taken_bad: Option<String>,
    /// The reads of piece 0 since a piece was last written.
    checks: u32,
    slow_since: Option<Instant>,
}

impl Weights {
    /// Returns whether all staged pieces are those of a version.
    fn is_all(&self, version: u64) -> bool {
        let new = |(number, staged): (usize, &Option<Staged>)| {
            let staged = staged.as_ref();
            staged.is_some_and(|s| s.bytes == piece(version, number))
        };
        self.staged.iter().enumerate().all(new)
    }
}

/// A model engine.
pub struct Engine {
    number: usize,
    addr: SocketAddr,
    born: u128,
    weights: Mutex<Weights>,
    running: AtomicU32,
    /// Whether the next write of a piece of version 2 gets no answer and is carried out later.
    pub withholds_write: AtomicBool,
    /// That write, and when it came.
    late_write: Mutex<Option<(Received, Instant)>>,
    /// Whether the engine turns slow during the next check of its pieces, and some of them turn bad.
    pub trouble: AtomicBool,
    /// The requests that it ran with a layer that was taken while a piece was bad.
    pub broken: Mutex<Vec<String>>,
    record: Record,
}

impl Engine {
    /// Starts the engine beside the agent `number`, which holds version 1.
    pub fn start(number: usize, cluster: &Cluster, record: &Record) -> Arc<Self> {
        let staged = |number| Staged {
            bytes: piece(1, number),
            bad_since: None,
        };
        let engine = Arc::new(Self {
            number,
            addr: cluster.app(number),
            born: unix_ms(),
            weights: Mutex::new(Weights {
                staged: (0..PIECES).map(|n| Some(staged(n))).collect(),
                version: 1,
                sequence: 0,
                loading: None,
                taken_bad: None,
                checks: 0,
                slow_since: None,
            }),
            running: AtomicU32::new(0),
            withholds_write: AtomicBool::new(false),
            late_write: Mutex::default(),
            trouble: AtomicBool::new(false),
            broken: Mutex::default(),
            record: record.clone(),
        });
        engine.clone().serve();
        let control = (0..cluster.entries()).map(|n| cluster.control(n));
        engine.clone().report_alive(control.collect());
        engine
    }

    /// Returns the version that the engine serves.
    pub fn version(&self) -> u64 {
        self.weights.lock().expect("sound").version
    }

    fn id(&self) -> String {
        format!("e{}", self.number)
    }

    fn serve(self: Arc<Self>) {
        let listener = TcpListener::bind(self.addr).expect("the address of the engine is free");
        thread::spawn(move || {
            for mut stream in listener.incoming().flatten() {
                let engine = self.clone();
                thread::spawn(move || {
                    let _ = stream.set_nodelay(true);
                    while let Some(received) = read_request(&mut stream) {
                        if !engine.answer(&mut stream, &received) {
                            return;
                        }
                    }
                });
            }
        });
    }

    fn answer(self: &Arc<Self>, stream: &mut TcpStream, received: &Received) -> bool {
        if received.line.starts_with("POST /chat/") {
            return self.run(stream, received);
        }
        thread::sleep(self.call_time());
        if self.withholds(received) {
            // The connection of a request that hangs is closed by its caller.
            thread::sleep(HANG_TIME);
            return false;
        }
        let (status, body) = if received.line == "GET /report" {
            ("200 OK", self.report().into_bytes())
        } else if received.line.starts_with("PUT /stage-put/m") {
            self.put(received)
        } else if received.line.starts_with("GET /stage-get/m") {
            self.read(received)
        } else if received.line == "POST /order" {
            self.order(received)
        } else {
            ("404 Not Found", Vec::new())
        };
        write_answer(stream, status, "", &body).is_ok()
    }

    /// Returns whether a request hangs, and keeps it if so.
    fn withholds(&self, received: &Received) -> bool {
        let is_write = received.line.starts_with("PUT /stage-put/m");
        let number = received.number("num").unwrap_or(PIECES);
        let is_new = number == LATE_PIECE && received.body == piece(2, number);
        let hangs = is_write && is_new && self.withholds_write.swap(false, Ordering::SeqCst);
        if hangs {
            self.record.note(&format!(
                "{}: the write of piece {number} of version 2 hangs",
                self.id()
            ));
            let kept = (received.clone(), Instant::now());
            *self.late_write.lock().expect("sound") = Some(kept);
        }
        hangs
    }

    /// Returns whether a write has been left without an answer and not been carried out yet.
    pub fn has_late_write(&self) -> bool {
        self.late_write.lock().expect("sound").is_some()
    }

    /// Carries out the write that hung.
    fn carry_out_late(&self, weights: &mut Weights) {
        let Some((received, at)) = self.late_write.lock().expect("sound").take() else {
            return;
        };
        let age = at.elapsed();
        if age > LONGEST_HANG {
            self.record.note("the late write is too old");
            return;
        }
        self.record.note(&format!(
            "{}: the write of piece {LATE_PIECE} of version 2 is carried out, {age:?} after it was sent",
            self.id()
        ));
        weights.staged[LATE_PIECE] = Some(Staged {
            bytes: received.body,
            bad_since: None,
        });
    }

    /// Returns how long the engine takes to answer a call of its agent.
    fn call_time(&self) -> Duration {
        let weights = self.weights.lock().expect("sound");
        let slow = weights
            .slow_since
            .is_some_and(|at| at.elapsed() < SLOW_TIME);
        if slow {
            CALL_TIME * SLOW_FACTOR
        } else {
            CALL_TIME
        }
    }

    fn report(&self) -> String {
        let mut weights = self.weights.lock().expect("sound");
        if let Some((version, at)) = weights.loading
            && Instant::now() >= at
        {
            weights.version = version;
            weights.loading = None;
            self.record
                .note(&format!("{} serves version {version}", self.id()));
        }
        let busy = weights.loading.is_some();
        let models = match weights.version {
            0 => String::new(),
            version => format!("{{\"name\":\"m\",\"version\":{version},\"adapters\":[]}}"),
        };
        format!(
            "{{\"stage\":\"both\",\"models\":[{models}],\"busy\":{busy},\"sequence\":{},\"waiting\":0,\
             \"running\":{},\"kvUsed\":0,\"kvTotal\":1000000,\"handles\":0,\"pace\":1.0,\"born\":{}}}",
            weights.sequence,
            self.running.load(Ordering::SeqCst),
            self.born,
        )
    }

    fn put(&self, received: &Received) -> (&'static str, Vec<u8>) {
        let Some(number) = received.number("num").filter(|n| *n < PIECES) else {
            return ("400 Bad Request", Vec::new());
        };
        let mut weights = self.weights.lock().expect("sound");
        weights.staged[number] = Some(Staged {
            bytes: received.body.clone(),
            bad_since: None,
        });
        weights.checks = 0;
        ("200 OK", Vec::new())
    }

    fn read(self: &Arc<Self>, received: &Received) -> (&'static str, Vec<u8>) {
        let number = received.number("num").filter(|n| *n < PIECES);
        let mut weights = self.weights.lock().expect("sound");
        if number == Some(0) {
            weights.checks += 1;
            self.record.note(&format!(
                "{} is asked for piece 0 again, {}",
                self.id(),
                weights.checks
            ));
            // The agent checks the pieces once before the engine takes no more requests, and once after it.
            if weights.checks == 2
                && weights.is_all(2)
                && self.trouble.swap(false, Ordering::SeqCst)
            {
                self.record.note(&format!("{} turns slow", self.id()));
                weights.slow_since = Some(Instant::now());
                let engine = self.clone();
                thread::spawn(move || engine.rot());
            }
        }
        if number == Some(CARRIED_OUT_AT) && weights.checks == 2 && weights.is_all(3) {
            self.carry_out_late(&mut weights);
        }
        match number.and_then(|n| weights.staged[n].as_ref()) {
            Some(staged) => ("200 OK", staged.bytes.clone()),
            None => ("404 Not Found", Vec::new()),
        }
    }

    fn rot(&self) {
        thread::sleep(ROT_AFTER);
        let mut weights = self.weights.lock().expect("sound");
        for number in 0..ROTTEN {
            if let Some(staged) = &mut weights.staged[number] {
                staged.bytes[7] ^= 0x40;
                staged.bad_since = Some(Instant::now());
                self.record
                    .note(&format!("{}: staged piece {number} turns bad", self.id()));
            }
        }
    }

    fn order(&self, received: &Received) -> (&'static str, Vec<u8>) {
        let body = String::from_utf8_lossy(&received.body).into_owned();
        let field = |name: &str| {
            let (_, rest) = body.split_once(&format!("\"{name}\":"))?;
            let digits = rest.split(|c: char| !c.is_ascii_digit()).next()?;
            digits.parse::<u64>().ok()
        };
        let mut weights = self.weights.lock().expect("sound");
        let Some(version) = field("version") else {
            return ("400 Bad Request", Vec::new());
        };
        if weights.version == version {
            return ("200 OK", Vec::new());
        }
        let expected = field("expected");
        if weights.loading.is_some() || expected.is_some_and(|e| e != weights.sequence) {
            return ("409 Conflict", Vec::new());
        }
        weights.sequence += 1;
        weights.loading = Some((version, Instant::now() + WARM_TIME));
        let mut bad = Vec::new();
        for (number, staged) in weights.staged.iter().enumerate() {
            let sound = staged
                .as_ref()
                .is_some_and(|s| s.bytes == piece(version, number));
            let bad_for = staged
                .as_ref()
                .and_then(|s| s.bad_since)
                .map(|at| at.elapsed());
            if !sound && bad_for.is_none_or(|bad_for| bad_for > EXCUSED) {
                bad.push(match bad_for {
                    Some(bad_for) => format!("piece {number}, bad for {bad_for:?}"),
                    None => format!("piece {number}, missing or of another version"),
                });
            }
        }
        weights.taken_bad = (!bad.is_empty()).then(|| bad.join("; "));
        let taken = weights
            .taken_bad
            .clone()
            .unwrap_or("all pieces sound".into());
        self.record.note(&format!(
            "{} begins the order to load version {version}: {taken}",
            self.id()
        ));
        ("202 Accepted", Vec::new())
    }

    /// Runs a request, which makes tokens with the layers that were taken last.
    fn run(&self, stream: &mut TcpStream, received: &Received) -> bool {
        let attempt = received.header("x-filbertstack-attempt-id").to_owned();
        let not_run = "X-Filbertstack-Not-Executed: 1\r\n";
        let (version, loading, taken_bad) = {
            let weights = self.weights.lock().expect("sound");
            (
                weights.version,
                weights.loading.is_some(),
                weights.taken_bad.clone(),
            )
        };
        let expected = received.header("x-filbertstack-expect-version").to_owned();
        let other_version = !expected.is_empty() && expected != version.to_string();
        if received.header("x-filbertstack-expect-instance") != self.id() || other_version {
            return write_answer(stream, "421 Misdirected Request", not_run, b"").is_ok();
        }
        if loading || version == 0 {
            return write_answer(stream, "503 Service Unavailable", not_run, b"").is_ok();
        }
        if let Some(bad) = taken_bad {
            let text = format!(
                "{} made tokens of {attempt} with a spoilt layer: {bad}",
                self.id()
            );
            self.record.note(&text);
            self.broken.lock().expect("sound").push(text);
        }
        self.running.fetch_add(1, Ordering::SeqCst);
        thread::sleep(Duration::from_millis(60));
        let mut body = String::new();
        for event in 1..=6 {
            body.push_str(&format!("id: {event}\ndata: piece {event}\n\n"));
        }
        let head = format!(
            "X-Filbertstack-Attempt-Id: {attempt}\r\nX-Filbertstack-Response-Seal: seal\r\n\
             X-Filbertstack-Weight-Versions: {version}\r\nContent-Type: text/event-stream\r\n"
        );
        let sent = write_answer(stream, "200 OK", &head, body.as_bytes()).is_ok();
        self.running.fetch_sub(1, Ordering::SeqCst);
        sent
    }

    /// Sends liveness reports until the script ends.
    fn report_alive(self: Arc<Self>, control: Vec<SocketAddr>) {
        thread::spawn(move || {
            for sequence in 1u64.. {
                let version = self.weights.lock().expect("sound").version;
                let models = match version {
                    0 => String::new(),
                    version => format!("{{\"name\":\"m\",\"version\":{version},\"adapters\":[]}}"),
                };
                let body = format!(
                    "{{\"service\":\"chat\",\"address\":\"{}\",\"zone\":\"z{}\",\"version\":\"v1\",\
                     \"slots\":16,\"state\":\"ready\",\"coldRemainingMs\":0,\"stage\":\"both\",\
                     \"models\":[{models}],\"sequence\":{sequence},\"born\":{}}}",
                    self.addr,
                    self.number % 3,
                    self.born,
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
                thread::sleep(Duration::from_millis(1_200));
            }
        });
    }
}

/// Returns the configuration with one route to the engines.
pub fn config(origin: SocketAddr) -> String {
    let services = format!(
        "[{{\"name\":\"chat\",\"healthPath\":\"/health\",\"maxConns\":384,\"protocol\":\"h1\",\
         \"tls\":false,\"engine\":{{\"slots\":16,\"kvCapacity\":1640000,\"tokenKvBytes\":163840,\
         \"linkMbps\":400000.0,\"stride\":6,\"models\":[{{\"name\":\"m\",\"pace\":1.0,\"loadS\":4.0,\
         \"warmS\":0.3}}],\"mb\":282000.0,\"step_ms\":6.73,\"per_seq_ms\":0.0219,\
         \"context_per_k\":0.0068,\"read_per_s\":30600.0,\"pairs_per_m\":0.647,\"chunk\":2048,\
         \"report_lag_ms\":200.0,\"usual\":{{\"prompt\":964,\"answer\":119}},\"layers\":16,\
         \"layer_mb\":4540.0,\"chunks\":{PIECES},\"chunkBytes\":{PIECE_BYTES}}}}},\
         {{\"name\":\"weights\",\"origin\":\"{origin}\",\"zone\":\"z2\",\"linkMbps\":15.0,\
         \"maxConns\":48}}]"
    );
    format!(
        "{{\"version\":1,\"routes\":[{{\"name\":\"chat\",\"host\":\"h.example\",\
         \"pathPrefix\":\"/chat/\",\"kind\":\"streaming\",\"timeoutMs\":6000,\"goalMs\":400,\
         \"priority\":1,\"service\":\"chat\",\"maxAttempts\":2,\"public\":true,\"sticky\":true,\
         \"resumable\":true,\"itlTargetMs\":300}}],\"services\":{services},\
         \"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\
         \"idleTimeoutMs\":15000}}}}"
    )
}

/// Sends one request and returns the status of its answer.
pub fn ask(front: SocketAddr, attempt: &str) -> Option<u16> {
    let request = format!(
        "POST /chat/x HTTP/1.1\r\nHost: h.example\r\nX-Filbertstack-Attempt-Id: {attempt}\r\n\
         X-Filbertstack-Model: m\r\nX-Filbertstack-Token-Counts: 960,36\r\n\
         X-Filbertstack-Prompt-Prefix: 5c1e07a2:40,{attempt}:920\r\n\
         X-Filbertstack-Deadline-Ms: 6000\r\nConnection: close\r\nContent-Length: 2\r\n\r\nhi"
    );
    call(front, request.as_bytes(), Duration::from_secs(7)).map(|answer| answer.status)
}
