//! Stand-ins for a model engine, with weights that are staged and loaded, and for their origin.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;

use serde_json::Value;
use serde_json::json;
use sha2::Digest as _;
use sha2::Sha256;

use crate::engine::Engine;
use crate::engine::Seen;

/// Pieces of a version.
pub const PIECES: u32 = 12;

/// Bytes of a piece.
const PIECE_BYTES: usize = 4 << 10;

/// The bytes of a piece of a version: all differ.
pub fn piece(version: u64, number: u32) -> Vec<u8> {
    let line = format!("version {version} piece {number};");
    line.bytes().cycle().take(PIECE_BYTES).collect()
}

/// A plain answer without a seal, as to calls of the system itself.
fn plain(status: &str, body: &[u8]) -> Vec<u8> {
    let head = format!(
        "HTTP/1.1 {status}\r\nContent-Length: {}\r\n\r\n",
        body.len()
    );
    [head.as_bytes(), body].concat()
}

fn query(seen: &Seen, name: &str) -> Option<u64> {
    let target = seen.line.split(' ').nth(1)?;
    let query = target.split_once('?')?.1;
    let found = query.split('&').filter_map(|part| part.split_once('='));
    let mut found = found.filter(|(n, _)| *n == name);
    found.next()?.1.parse().ok()
}

fn number(seen: &Seen) -> u32 {
    let number = query(seen, "num").and_then(|n| u32::try_from(n).ok());
    number.unwrap_or(u32::MAX)
}

fn path(seen: &Seen) -> &str {
    let target = seen.line.split(' ').nth(1).unwrap_or_default();
    target.split('?').next().unwrap_or_default()
}

/// What an engine holds.
#[derive(Debug, Default)]
pub struct Held {
    /// The version that it serves; 0 if none.
    pub version: u64,
    /// The pieces staged.
    pub staged: BTreeMap<u32, Vec<u8>>,
    /// Requests that it says it runs.
    pub running: u32,
    /// How many more reports spoil a staged piece when all of them lie there.
    pub spoils: u32,
    /// How many orders to load came when a staged piece was missing, spoilt or another version's.
    pub wrong_orders: u32,
}

impl Held {
    fn spoil(&mut self) {
        if self.spoils > 0 && self.staged.len() == PIECES as usize {
            self.spoils -= 1;
            self.staged.insert(5, b"rot".to_vec());
        }
    }

    fn start(&mut self, version: u64) {
        let right = |n| self.staged.get(&n) == Some(&piece(version, n));
        if !(0..PIECES).all(right) {
            self.wrong_orders += 1;
        }
        self.version = version;
    }
}

/// A model engine: callers' requests are answered as it is told to, by the engine it stands for.
#[derive(Clone, Default)]
pub struct Model(Arc<Mutex<Held>>);

impl Model {
    /// What it holds.
    pub fn held(&self) -> MutexGuard<'_, Held> {
        self.0.lock().expect("not poisoned")
    }

    /// Answers calls of its agent; `None` for callers' requests.
    pub fn answer(&self, seen: &Seen) -> Option<Vec<u8>> {
        let path = path(seen);
        let mut held = self.held();
        let answer = if path == "/report" {
            held.spoil();
            let report = report(held.version, held.running);
            plain("200 OK", report.to_string().as_bytes())
        } else if path.starts_with("/stage-put/") {
            held.staged.insert(number(seen), seen.body.clone());
            plain("200 OK", b"")
        } else if path.starts_with("/stage-get/") {
            match held.staged.get(&number(seen)) {
                Some(bytes) => plain("200 OK", bytes),
                None => plain("404 Not Found", b""),
            }
        } else if path == "/order" {
            let order: Value = serde_json::from_slice(&seen.body).expect("JSON");
            held.start(order["version"].as_u64().expect("a version"));
            plain("202 Accepted", b"")
        } else {
            return None;
        };
        Some(answer)
    }
}

fn report(version: u64, running: u32) -> Value {
    let models = match version {
        0 => json!([]),
        version => json!([{"name": "m", "version": version}]),
    };
    json!({"models": models, "busy": false, "waiting": 0, "running": running, "pace": 1.0})
}

/// The origin of weights, which counts the pieces that it sent.
#[derive(Clone, Default)]
pub struct Origin {
    sent: Arc<Mutex<BTreeMap<(u64, u32), u32>>>,
}

impl Origin {
    /// Starts it.
    pub fn start(&self) -> Engine {
        let origin = self.clone();
        Engine::start(Box::new(move |seen| origin.answer(seen)))
    }

    /// How often each piece was sent, by version and number.
    pub fn sent(&self) -> BTreeMap<(u64, u32), u32> {
        self.sent.lock().expect("not poisoned").clone()
    }

    fn answer(&self, seen: &Seen) -> Vec<u8> {
        let version = query(seen, "version").unwrap_or(1);
        if path(seen).starts_with("/manifest/") {
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
