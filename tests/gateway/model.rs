//! Provides stand-ins for a model engine, with weights that are staged and loaded, and for the origin of
//! weights.

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
use crate::engine::Streams;

/// A version has this many pieces.
pub const PIECES: u32 = 12;

/// The origin keeps this many versions.
const KEPT_VERSIONS: u64 = 2;

/// A piece has this many bytes.
const PIECE_BYTES: usize = 4 << 10;

/// Returns the bytes of a piece; no two pieces are equal.
pub fn piece(version: u64, number: u32) -> Vec<u8> {
    let line = format!("version {version} piece {number};");
    line.bytes().cycle().take(PIECE_BYTES).collect()
}

/// Returns an answer without a seal on a kept connection, as for the calls of agents.
/// Returns an answer without headers of the protocol.
pub fn plain_answer(status: &str, body: &[u8]) -> Vec<u8> {
    let head = format!(
        "HTTP/1.1 {status}\r\nConnection: keep-alive\r\nContent-Length: {}\r\n\r\n",
        body.len()
    );
    [head.as_bytes(), body].concat()
}

fn query(received: &Received, name: &str) -> Option<u64> {
    let target = received.line.split(' ').nth(1)?;
    let query = target.split_once('?')?.1;
    let found = query.split('&').filter_map(|part| part.split_once('='));
    let mut found = found.filter(|(n, _)| *n == name);
    found.next()?.1.parse().ok()
}

fn number(received: &Received) -> u32 {
    let number = query(received, "num").and_then(|n| u32::try_from(n).ok());
    number.unwrap_or(u32::MAX)
}

fn path(received: &Received) -> &str {
    let target = received.line.split(' ').nth(1).unwrap_or_default();
    target.split('?').next().unwrap_or_default()
}

/// An engine that does not answer is silent for this long, which is longer than an agent waits.
const SILENCE: Duration = Duration::from_secs(1);

/// An engine carries out a call that it left without an answer at most this long after it was sent.
pub const LATE_LIMIT: Duration = Duration::from_secs(12);

/// `LatePut` is a write of a piece that was left without an answer.
#[derive(Debug)]
struct LatePut {
    number: u32,
    bytes: Vec<u8>,
    sent: Instant,
}

/// A layer may be loaded with a piece that turned bad within this time.
const EXCUSED: Duration = Duration::from_secs(3);

/// `Order` is an order to load.
#[derive(Clone, Copy, Debug)]
struct Order {
    version: u64,
    /// Whether it names no layer, so that the engine gives up those that it has.
    unloads: bool,
    /// The number of orders that the engine must have begun.
    expected: Option<u64>,
    sent: Instant,
}

/// `ModelState` is the state of the stand-in engine.
#[derive(Debug, Default)]
pub struct ModelState {
    /// The served version; 0 if none.
    pub version: u64,
    /// The loaded versions, in order.
    pub loaded: Vec<u64>,
    /// The staged pieces.
    pub staged: BTreeMap<u32, Vec<u8>>,
    /// The number of running requests that it reports beside its streams.
    pub running: u32,
    /// The streams that it runs. An order that does not wait for them breaks them off.
    pub streams: Arc<Streams>,
    /// The number of further reports at which the engine corrupts a staged piece, if all pieces are staged.
    pub corruptions: u32,
    /// The number of loads that began while a staged piece was missing, corrupt or of another version. Pieces that
    /// [`rot_at`](Self::rot_at) corrupted shortly before are excused.
    pub bad_loads: u32,
    /// Whether the engine refuses to give up layers.
    pub keeps_layers: bool,
    /// Whether the engine serves a version that it loaded with a piece that was not right.
    pub serves_bad: bool,
    /// The number of callers' requests that it got while it served such a version.
    pub bad_answers: u32,
    /// The time that the engine takes to read a staged piece.
    pub read_time: Duration,
    /// Whether the engine reads staged pieces one after the other, whoever asks.
    pub one_by_one: bool,
    /// The number of further reads of the first piece after which that piece turns bad; 0 if it does not. They are
    /// counted while all pieces of a version that is not served are staged.
    pub rot_at: u32,
    rotten_since: Option<Instant>,
    /// The number of further orders that get no answer and are carried out late, at the worst moment: as soon
    /// as a piece of another version is staged.
    pub late_orders: u32,
    /// An order without an answer is carried out this long after it was sent, whatever is staged; `None` if
    /// only at the worst moment.
    pub late_limit: Option<Duration>,
    /// The number of further writes of a piece that get no answer and are carried out late: at the worst
    /// moment, when an order begins, or else at the limit.
    pub late_puts: u32,
    late_put: Option<LatePut>,
    /// The number of orders that got no answer.
    pub unanswered: u32,
    /// The engine loses power and restarts empty after this many reads of the last piece, counted since that
    /// piece was staged.
    pub restarts_after: Option<u32>,
    reads: u32,
    late: Vec<Order>,
    /// The version that the engine loads when its streams have ended, and whether it has taken a wrong piece of it.
    next_version: Option<(u64, bool)>,
    /// The orders begun since the engine's start.
    sequence: u64,
    born: u64,
}

impl ModelState {
    /// Records an order without an answer from an agent that has ended.
    pub fn withhold_order(&mut self, version: u64) {
        self.unanswered += 1;
        self.late.push(Order {
            version,
            unloads: false,
            expected: Some(self.sequence),
            sent: Instant::now(),
        });
    }

    fn report(&mut self) -> Value {
        self.load_overdue_orders();
        self.load_if_idle();
        if self.corruptions > 0 && self.staged.len() == PIECES as usize {
            self.corruptions -= 1;
            self.staged.insert(5, b"rot".to_vec());
        }
        let models = match self.version {
            0 => json!([]),
            version => json!([{"name": "m", "version": version}]),
        };
        json!({
            "models": models, "busy": self.next_version.is_some(), "waiting": 0, "running": self.running + self.streams.running(), "pace": 1.0,
            "sequence": self.sequence, "born": self.born
        })
    }

    /// Carries out the write that was left without an answer.
    fn apply_late_put(&mut self) {
        if let Some(late) = self.late_put.take() {
            self.staged.insert(late.number, late.bytes);
        }
    }

    /// Carries out the write that got no answer if its limit has passed.
    fn apply_overdue_put(&mut self) {
        let late = self.late_put.as_ref();
        if late.is_some_and(|late| late.sent.elapsed() >= LATE_LIMIT) {
            self.apply_late_put();
        }
    }

    /// Carries out the orders without an answer whose limit has passed.
    fn load_overdue_orders(&mut self) {
        let Some(late_limit) = self.late_limit else {
            return;
        };
        let overdue = |order: &Order| order.sent.elapsed() >= late_limit;
        let (due, late): (Vec<_>, Vec<_>) = self.late.drain(..).partition(overdue);
        self.late = late;
        for order in due {
            self.begin_order(order);
        }
    }

    /// Returns whether the write of a piece is to be left without an answer, and records it if so.
    fn withholds_put(&mut self, number: u32, bytes: &[u8]) -> bool {
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
            self.reads = 0;
        }
        let overwrites = |order: &Order| bytes != piece(order.version, number);
        let (due, late) = self.late.drain(..).partition(overwrites);
        self.late = late;
        for order in due {
            self.begin_order(order);
        }
    }

    /// Reads a staged piece, and restarts the engine after it if the test asks for that.
    fn read(&mut self, number: u32) -> Vec<u8> {
        self.apply_overdue_put();
        let answer = match self.staged.get(&number) {
            Some(bytes) => plain_answer("200 OK", bytes),
            None if number >= PIECES => plain_answer("400 Bad Request", b""),
            None => plain_answer("404 Not Found", b""),
        };
        self.rot_after_read(number);
        if number + 1 == PIECES {
            self.reads += 1;
            if self.restarts_after == Some(self.reads) {
                self.restarts_after = None;
                self.restart(true);
                return close_after(&answer);
            }
        }
        answer
    }

    /// Corrupts the first piece after its read, if the test asks for that.
    fn rot_after_read(&mut self, number: u32) {
        let is_new = (0..PIECES).all(|n| self.staged.get(&n) != Some(&piece(self.version, n)));
        if number > 0 || self.rot_at == 0 || !is_new || self.staged.len() < PIECES as usize {
            return;
        }
        self.rot_at -= 1;
        if self.rot_at == 0 {
            self.staged.insert(0, b"rot".to_vec());
            self.rotten_since = Some(Instant::now());
        }
    }

    /// Returns whether a piece of `version` is staged under its number, or was until a moment ago.
    fn is_excused(&self, version: u64, number: u32) -> bool {
        let rotten = self.rotten_since.filter(|_| number == 0);
        self.staged.get(&number) == Some(&piece(version, number))
            || rotten.is_some_and(|since| since.elapsed() <= EXCUSED)
    }

    /// Restarts the engine, which then serves nothing. Orders that have not begun are lost, and so are the
    /// staged pieces if the engine lost power.
    pub fn restart(&mut self, power_lost: bool) {
        if power_lost {
            self.staged.clear();
        }
        self.late.clear();
        self.late_put = None;
        self.next_version = None;
        self.version = 0;
        self.serves_bad = false;
        self.sequence = 0;
        self.born += 1;
    }

    fn begin_order(&mut self, order: Order) -> Vec<u8> {
        if order.expected.is_some_and(|begun| begun != self.sequence) {
            return plain_answer("409 Conflict", b"");
        }
        if order.unloads && self.keeps_layers {
            return plain_answer("400 Bad Request", b"");
        }
        if order.unloads {
            self.sequence += 1;
            self.version = 0;
            self.serves_bad = false;
            return plain_answer("202 Accepted", b"");
        }
        if order.version == self.version {
            return plain_answer("200 OK", b"");
        }
        let late = self.late_put.as_ref();
        if late.is_some_and(|late| late.bytes != piece(order.version, late.number)) {
            self.apply_late_put();
        }
        let right = |n| self.staged.get(&n) == Some(&piece(order.version, n));
        let is_bad = !(0..PIECES).all(right);
        self.bad_loads += u32::from(!(0..PIECES).all(|n| self.is_excused(order.version, n)));
        self.sequence += 1;
        self.next_version = Some((order.version, is_bad));
        self.load_if_idle();
        plain_answer("202 Accepted", b"")
    }

    /// Loads the version of the last order once the streams that ran then have ended.
    fn load_if_idle(&mut self) {
        if self.streams.running() > 0 {
            return;
        }
        if let Some((version, is_bad)) = self.next_version.take() {
            self.version = version;
            self.serves_bad = is_bad;
            self.loaded.push(version);
        }
    }
}

/// Returns the same answer without the header that keeps the connection open, so that the connection is
/// closed after it.
fn close_after(answer: &[u8]) -> Vec<u8> {
    let text = String::from_utf8_lossy(answer).into_owned();
    text.replace("Connection: keep-alive\r\n", "").into_bytes()
}

/// `Model` is a model engine: its state, and the turn of its reads. The stand-in beside it answers callers'
/// requests.
#[derive(Clone, Default)]
pub struct Model(Arc<Mutex<ModelState>>, Arc<Mutex<()>>);

impl Model {
    /// Returns the state of the engine.
    pub fn state(&self) -> MutexGuard<'_, ModelState> {
        self.0.lock().expect("not poisoned")
    }

    /// Answers calls of the agent; returns `None` for callers' requests.
    pub fn answer(&self, received: &Received) -> Option<Vec<u8>> {
        let path = path(received);
        if path.starts_with("/stage-get/") {
            self.wait_for_read();
        }
        let answer = if path == "/report" {
            let report = self.state().report();
            plain_answer("200 OK", report.to_string().as_bytes())
        } else if path.starts_with("/stage-put/") {
            self.put(received)
        } else if path.starts_with("/stage-get/") {
            self.state().read(number(received))
        } else if path == "/order" {
            self.order(received)
        } else {
            let mut state = self.state();
            state.bad_answers += u32::from(state.serves_bad);
            return None;
        };
        Some(answer)
    }

    /// Takes the time of a read.
    fn wait_for_read(&self) {
        let (read_time, one_by_one) = {
            let state = self.state();
            (state.read_time, state.one_by_one)
        };
        let _turn = one_by_one.then(|| self.1.lock().expect("not poisoned"));
        thread::sleep(read_time);
    }

    fn put(&self, received: &Received) -> Vec<u8> {
        let mut state = self.state();
        if !state.withholds_put(number(received), &received.body) {
            state.stage(number(received), &received.body);
            return plain_answer("200 OK", b"");
        }
        drop(state);
        thread::sleep(SILENCE);
        Vec::new()
    }

    fn order(&self, received: &Received) -> Vec<u8> {
        let body: Value = serde_json::from_slice(&received.body).expect("JSON");
        let order = Order {
            version: body["version"].as_u64().expect("a version"),
            unloads: body["from"].is_u64() && body["from"] == body["to"],
            expected: body["expected"].as_u64(),
            sent: Instant::now(),
        };
        let mut state = self.state();
        if body["drainMode"] != "wait" {
            state.streams.break_off();
        }
        if state.late_orders == 0 {
            return state.begin_order(order);
        }
        state.late_orders -= 1;
        state.unanswered += 1;
        state.late.push(order);
        drop(state);
        thread::sleep(SILENCE);
        Vec::new()
    }
}

/// `Origin` is the origin of weights. It counts the pieces and lists that it sends, and keeps the newest
/// named version and the one before it.
#[derive(Clone, Default)]
pub struct Origin {
    newest: Arc<AtomicU64>,
    lists: Arc<Mutex<BTreeMap<u64, u32>>>,
    sent: Arc<Mutex<BTreeMap<(u64, u32), u32>>>,
    /// How many more requests for a list it refuses.
    refusals: Arc<AtomicU64>,
    /// How many more lists it sends with one wrong digit.
    spoilt_lists: Arc<AtomicU64>,
    /// The next answers to requests for a list, the last one first.
    wrong_lists: Arc<Mutex<Vec<Vec<u8>>>>,
}

impl Origin {
    /// Starts the origin.
    pub fn start(&self) -> Engine {
        let origin = self.clone();
        Engine::start(Box::new(move |received| origin.answer(received)))
    }

    /// Records that a version is named, and deletes all older ones except the one before it.
    pub fn publish(&self, version: u64) {
        self.newest.fetch_max(version, Ordering::SeqCst);
    }

    /// Refuses the next `count` requests for a list.
    pub fn refuse_lists(&self, count: u64) {
        self.refusals.store(count, Ordering::SeqCst);
    }

    /// Sends the next `count` lists with one wrong digit, always the same.
    pub fn spoil_lists(&self, count: u64) {
        self.spoilt_lists.store(count, Ordering::SeqCst);
    }

    /// Answers the next requests for a list with these bytes, each twice.
    pub fn answer_lists(&self, answers: Vec<Vec<u8>>) {
        let twice = answers
            .into_iter()
            .rev()
            .flat_map(|bytes| [bytes.clone(), bytes]);
        *self.wrong_lists.lock().expect("not poisoned") = twice.collect();
    }

    /// Returns how many of those answers are left.
    pub fn wrong_lists_left(&self) -> usize {
        self.wrong_lists.lock().expect("not poisoned").len()
    }

    /// Returns how often each piece was sent, by version and number.
    pub fn sent(&self) -> BTreeMap<(u64, u32), u32> {
        self.sent.lock().expect("not poisoned").clone()
    }

    /// Returns how often the list of a version's pieces was sent.
    pub fn lists(&self, version: u64) -> u32 {
        let lists = self.lists.lock().expect("not poisoned");
        lists.get(&version).copied().unwrap_or(0)
    }

    fn list(&self, version: u64) -> Value {
        let mut list = manifest(version);
        let left = self.spoilt_lists.load(Ordering::SeqCst);
        if left > 0 {
            self.spoilt_lists.store(left - 1, Ordering::SeqCst);
            let digest = list["digests"][7].as_str().expect("a digest").to_owned();
            let other = if digest.starts_with('4') { "5" } else { "4" };
            list["digests"][7] = json!(format!("{other}{}", &digest[1..]));
        }
        list
    }

    fn answer(&self, received: &Received) -> Vec<u8> {
        let version = query(received, "version").unwrap_or(1);
        if version + KEPT_VERSIONS <= self.newest.load(Ordering::SeqCst) {
            return plain_answer("410 Gone", b"");
        }
        if path(received).starts_with("/manifest/") {
            let left = self.refusals.load(Ordering::SeqCst);
            if left > 0 {
                self.refusals.store(left - 1, Ordering::SeqCst);
                return plain_answer("503 Service Unavailable", b"");
            }
            if let Some(wrong) = self.wrong_lists.lock().expect("not poisoned").pop() {
                return wrong;
            }
            let mut lists = self.lists.lock().expect("not poisoned");
            *lists.entry(version).or_default() += 1;
            return plain_answer("200 OK", self.list(version).to_string().as_bytes());
        }
        let number = number(received);
        let mut sent = self.sent.lock().expect("not poisoned");
        *sent.entry((version, number)).or_default() += 1;
        plain_answer("200 OK", &piece(version, number))
    }
}

/// Returns the list of a version's pieces.
pub fn manifest(version: u64) -> Value {
    let digest = |n| format!("{:x}", Sha256::digest(piece(version, n)));
    let digests: Vec<String> = (0..PIECES).map(digest).collect();
    json!({
        "model": "m", "version": version, "chunkBytes": PIECE_BYTES, "layers": 4,
        "digests": digests
    })
}

/// Returns the part of a document that names the origin of weights and the services.
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
