//! Stand-ins for a model engine, with weights that are staged and loaded, and for their origin.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use serde_json::Value;
use serde_json::json;
use sha2::Digest as _;
use sha2::Sha256;

use crate::engine::Engine;
use crate::engine::Received;

/// Pieces of a version.
pub const PIECES: u32 = 12;

/// How many versions an origin keeps.
const KEPT: u64 = 2;

/// Bytes of a piece.
const PIECE_BYTES: usize = 4 << 10;

/// The bytes of a piece of a version: all differ.
pub fn piece(version: u64, number: u32) -> Vec<u8> {
    let line = format!("version {version} piece {number};");
    line.bytes().cycle().take(PIECE_BYTES).collect()
}

/// A plain answer without a seal on a kept connection, as to calls of the system itself.
fn plain(status: &str, body: &[u8]) -> Vec<u8> {
    let head = format!(
        "HTTP/1.1 {status}\r\nConnection: keep-alive\r\nContent-Length: {}\r\n\r\n",
        body.len()
    );
    [head.as_bytes(), body].concat()
}

fn query(seen: &Received, name: &str) -> Option<u64> {
    let target = seen.line.split(' ').nth(1)?;
    let query = target.split_once('?')?.1;
    let found = query.split('&').filter_map(|part| part.split_once('='));
    let mut found = found.filter(|(n, _)| *n == name);
    found.next()?.1.parse().ok()
}

fn number(seen: &Received) -> u32 {
    let number = query(seen, "num").and_then(|n| u32::try_from(n).ok());
    number.unwrap_or(u32::MAX)
}

fn path(seen: &Received) -> &str {
    let target = seen.line.split(' ').nth(1).unwrap_or_default();
    target.split('?').next().unwrap_or_default()
}

/// How long an engine is silent that does not answer: longer than an agent waits for it.
const SILENT: Duration = Duration::from_secs(1);

/// How long after it was sent an engine may carry out a call that it left without an answer.
pub const LATEST: Duration = Duration::from_secs(12);

/// A piece that was put and left without an answer.
#[derive(Debug)]
struct LatePut {
    number: u32,
    bytes: Vec<u8>,
    sent: Instant,
}

/// An order to load.
#[derive(Clone, Copy, Debug)]
struct Order {
    version: u64,
    /// How many orders the engine must have begun.
    expected: Option<u64>,
    sent: Instant,
}

/// What an engine holds.
#[derive(Debug, Default)]
pub struct Held {
    /// The version that it serves; 0 if none.
    pub version: u64,
    /// The versions that it has loaded, in their order.
    pub loaded: Vec<u64>,
    /// The pieces staged.
    pub staged: BTreeMap<u32, Vec<u8>>,
    /// Requests that it says it runs.
    pub running: u32,
    /// How many more reports spoil a staged piece when all of them lie there.
    pub spoils: u32,
    /// How many orders to load were begun when a staged piece was missing, spoilt or another
    /// version's.
    pub bad_loads: u32,
    /// How many orders are yet to be left without an answer, and carried out late: at the worst
    /// moment, as soon as a piece of another version is staged.
    pub late_orders: u32,
    /// How long after it was sent an order without an answer is carried out whatever lies there; `None`
    /// if only at the worst moment.
    pub latest: Option<Duration>,
    /// How many puts of a piece are yet to be left without an answer, and carried out late: at the
    /// worst moment, as an order begins, or else at the latest.
    pub late_puts: u32,
    late_put: Option<LatePut>,
    /// How many orders were left without an answer.
    pub unanswered: u32,
    /// After how many readings of the last piece since that was staged it loses its power and starts
    /// again, empty.
    pub restarts_after: Option<u32>,
    readings: u32,
    late: Vec<Order>,
    /// Orders begun since its start.
    sequence: u64,
    born: u64,
}

impl Held {
    /// Leaves an order of an agent that has ended without an answer.
    pub fn leave_order(&mut self, version: u64) {
        self.unanswered += 1;
        self.late.push(Order {
            version,
            expected: Some(self.sequence),
            sent: Instant::now(),
        });
    }

    fn report(&mut self) -> Value {
        self.load_overdue();
        if self.spoils > 0 && self.staged.len() == PIECES as usize {
            self.spoils -= 1;
            self.staged.insert(5, b"rot".to_vec());
        }
        let models = match self.version {
            0 => json!([]),
            version => json!([{"name": "m", "version": version}]),
        };
        json!({
            "models": models, "busy": false, "waiting": 0, "running": self.running, "pace": 1.0,
            "sequence": self.sequence, "born": self.born
        })
    }

    /// Carries out a put that was left without an answer.
    fn put_late(&mut self) {
        if let Some(late) = self.late_put.take() {
            self.staged.insert(late.number, late.bytes);
        }
    }

    /// Carries out what can't be put off any longer.
    fn put_overdue(&mut self) {
        let late = self.late_put.as_ref();
        if late.is_some_and(|late| late.sent.elapsed() >= LATEST) {
            self.put_late();
        }
    }

    /// Carries out orders that can't be put off any longer.
    fn load_overdue(&mut self) {
        let Some(latest) = self.latest else {
            return;
        };
        let overdue = |order: &Order| order.sent.elapsed() >= latest;
        let (due, late): (Vec<_>, Vec<_>) = self.late.drain(..).partition(overdue);
        self.late = late;
        for order in due {
            self.take(order);
        }
    }

    /// Whether the put of a piece is to be left without an answer.
    fn leaves(&mut self, number: u32, bytes: &[u8]) -> bool {
        if self.late_puts == 0 {
            return false;
        }
        self.late_puts -= 1;
        self.late_put = Some(LatePut {
            number,
            bytes: bytes.to_vec(),
            sent: Instant::now(),
        });
        true
    }

    fn stage(&mut self, number: u32, bytes: &[u8]) {
        self.staged.insert(number, bytes.to_vec());
        if number + 1 == PIECES {
            self.readings = 0;
        }
        let undercuts = |order: &Order| bytes != piece(order.version, number);
        let (due, late) = self.late.drain(..).partition(undercuts);
        self.late = late;
        for order in due {
            self.take(order);
        }
    }

    /// Reads a staged piece, and starts again after it where it is to.
    fn read(&mut self, number: u32) -> Vec<u8> {
        self.put_overdue();
        let answer = match self.staged.get(&number) {
            Some(bytes) => plain("200 OK", bytes),
            None if number >= PIECES => plain("400 Bad Request", b""),
            None => plain("404 Not Found", b""),
        };
        if number + 1 == PIECES {
            self.readings += 1;
            if self.restarts_after == Some(self.readings) {
                self.restarts_after = None;
                self.restart(true);
                return close_after(&answer);
            }
        }
        answer
    }

    /// Starts again and serves nothing; orders not yet begun are gone, and without power, so are the
    /// staged pieces.
    pub fn restart(&mut self, power: bool) {
        if power {
            self.staged.clear();
        }
        self.late.clear();
        self.late_put = None;
        self.version = 0;
        self.sequence = 0;
        self.born += 1;
    }

    fn take(&mut self, order: Order) -> Vec<u8> {
        if order.expected.is_some_and(|begun| begun != self.sequence) {
            return plain("409 Conflict", b"");
        }
        if order.version == self.version {
            return plain("200 OK", b"");
        }
        let late = self.late_put.as_ref();
        if late.is_some_and(|late| late.bytes != piece(order.version, late.number)) {
            self.put_late();
        }
        let right = |n| self.staged.get(&n) == Some(&piece(order.version, n));
        if !(0..PIECES).all(right) {
            self.bad_loads += 1;
        }
        self.version = order.version;
        self.loaded.push(order.version);
        self.sequence += 1;
        plain("202 Accepted", b"")
    }
}

/// The same answer, after which the connection is closed without a word.
fn close_after(answer: &[u8]) -> Vec<u8> {
    let text = String::from_utf8_lossy(answer).into_owned();
    text.replace("Connection: keep-alive\r\n", "").into_bytes()
}

/// A model engine: callers' requests are answered as it is told to, by the engine it stands for.
#[derive(Clone, Default)]
pub struct Model(Arc<Mutex<Held>>);

impl Model {
    /// What it holds.
    pub fn state(&self) -> MutexGuard<'_, Held> {
        self.0.lock().expect("not poisoned")
    }

    /// Answers calls of its agent; `None` for callers' requests.
    pub fn answer(&self, seen: &Received) -> Option<Vec<u8>> {
        let path = path(seen);
        let answer = if path == "/report" {
            let report = self.state().report();
            plain("200 OK", report.to_string().as_bytes())
        } else if path.starts_with("/stage-put/") {
            self.put(seen)
        } else if path.starts_with("/stage-get/") {
            self.state().read(number(seen))
        } else if path == "/order" {
            self.order(seen)
        } else {
            return None;
        };
        Some(answer)
    }

    fn put(&self, seen: &Received) -> Vec<u8> {
        let mut held = self.state();
        if !held.leaves(number(seen), &seen.body) {
            held.stage(number(seen), &seen.body);
            return plain("200 OK", b"");
        }
        drop(held);
        thread::sleep(SILENT);
        Vec::new()
    }

    fn order(&self, seen: &Received) -> Vec<u8> {
        let body: Value = serde_json::from_slice(&seen.body).expect("JSON");
        let order = Order {
            version: body["version"].as_u64().expect("a version"),
            expected: body["expected"].as_u64(),
            sent: Instant::now(),
        };
        let mut held = self.state();
        if held.late_orders == 0 {
            return held.take(order);
        }
        held.late_orders -= 1;
        held.unanswered += 1;
        held.late.push(order);
        drop(held);
        thread::sleep(SILENT);
        Vec::new()
    }
}

/// The origin of weights, which counts the pieces and lists that it sent. It keeps the newest version
/// that was named and the one before it.
#[derive(Clone, Default)]
pub struct Origin {
    newest: Arc<AtomicU64>,
    lists: Arc<Mutex<BTreeMap<u64, u32>>>,
    sent: Arc<Mutex<BTreeMap<(u64, u32), u32>>>,
}

impl Origin {
    /// Starts it.
    pub fn start(&self) -> Engine {
        let origin = self.clone();
        Engine::start(Box::new(move |seen| origin.answer(seen)))
    }

    /// Notes that a version is named: older ones than the one before it are gone.
    pub fn publish(&self, version: u64) {
        self.newest.fetch_max(version, Ordering::SeqCst);
    }

    /// How often each piece was sent, by version and number.
    pub fn sent(&self) -> BTreeMap<(u64, u32), u32> {
        self.sent.lock().expect("not poisoned").clone()
    }

    /// How often the list of a version's pieces was sent.
    pub fn lists(&self, version: u64) -> u32 {
        let lists = self.lists.lock().expect("not poisoned");
        lists.get(&version).copied().unwrap_or(0)
    }

    fn answer(&self, seen: &Received) -> Vec<u8> {
        let version = query(seen, "version").unwrap_or(1);
        if version + KEPT <= self.newest.load(Ordering::SeqCst) {
            return plain("410 Gone", b"");
        }
        if path(seen).starts_with("/manifest/") {
            let mut lists = self.lists.lock().expect("not poisoned");
            *lists.entry(version).or_default() += 1;
            return plain("200 OK", manifest(version).to_string().as_bytes());
        }
        let number = number(seen);
        let mut sent = self.sent.lock().expect("not poisoned");
        *sent.entry((version, number)).or_default() += 1;
        plain("200 OK", &piece(version, number))
    }
}

fn manifest(version: u64) -> Value {
    let digest = |n| format!("{:x}", Sha256::digest(piece(version, n)));
    let digests: Vec<String> = (0..PIECES).map(digest).collect();
    json!({
        "model": "m", "version": version, "chunkBytes": PIECE_BYTES, "layers": 4,
        "digests": digests
    })
}

/// The part of a document that tells where weights come from and who serves them.
pub fn services(origin: std::net::SocketAddr) -> Value {
    json!([
        {"name": "safe"}, {"name": "once"},
        {"name": "stream", "engine": {
            "slots": 4, "stride": 6, "step_ms": 6.73, "per_seq_ms": 0.0219,
            "context_per_k": 0.0068, "read_per_s": 30600.0, "pairs_per_m": 0.647,
            "usual": {"prompt": 964, "answer": 119}, "chunks": PIECES, "chunkBytes": PIECE_BYTES,
            "models": [{"name": "m"}]
        }},
        {"name": "weights", "origin": origin.to_string()}
    ])
}
