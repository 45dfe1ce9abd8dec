//! The file server behind an origin and a weight store: range requests, uploads, a shared rate limit,
//! transfer counters and injected faults.

use std::collections::BTreeMap;
use std::fs;
use std::fs::File;
use std::io;
use std::io::Read;
use std::io::Seek;
use std::io::SeekFrom;
use std::io::Write;
use std::ops::Range;
use std::path::Component;
use std::path::Path;
use std::path::PathBuf;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;
use std::time::UNIX_EPOCH;

use serde::Deserialize;
use serde::Serialize;

use crate::bucket::Bucket;
use crate::http::Call;
use crate::http::Handler;
use crate::http::RawWriter;
use crate::http::Reply;

/// The most bytes sent in one write, between two checks of the rate limit.
const MAX_BLOCK: u64 = 64 * 1024;

/// The fewest bytes sent in one write, which bounds the overhead at a low rate.
const MIN_BLOCK: u64 = 1024;

/// The least number of writes a second at the limited rate, so that connections share it evenly.
const BLOCKS_PER_SECOND: u64 = 50;

/// The most paths that have counters of their own.
const MAX_PATHS: usize = 100_000;

/// How often a stalled answer checks whether its caller is still connected.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// A bandwidth limit that all connections share.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rate {
    /// Bytes a second.
    pub bytes: u64,
    /// Bytes that may be sent at once after an idle period.
    pub burst: u64,
}

/// Faults to inject; each count applies to that many of the next answers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct FileFaults {
    /// The byte in the middle of the range is inverted.
    pub corrupt: u32,
    /// The body holds the bytes of a range one byte further on; the headers are correct.
    pub shift: u32,
    /// The connection closes after half of the body.
    pub cut: u32,
    /// The body stops after its first half while the connection stays open.
    pub stall: u32,
    /// The answer has status 503.
    pub refuse: u32,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fault {
    Corrupt,
    Shift,
    Cut,
    Stall,
    Refuse,
}

impl FileFaults {
    /// Returns the fault of the next answer and decrements its count.
    fn take(&mut self) -> Option<Fault> {
        let kinds = [
            (&mut self.corrupt, Fault::Corrupt),
            (&mut self.shift, Fault::Shift),
            (&mut self.cut, Fault::Cut),
            (&mut self.stall, Fault::Stall),
            (&mut self.refuse, Fault::Refuse),
        ];
        let (left, fault) = kinds.into_iter().find(|(left, _)| **left > 0)?;
        *left -= 1;
        Some(fault)
    }
}

/// The transfer counters of one path.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PathStats {
    /// Answers started.
    pub requests: u64,
    /// Body bytes sent.
    pub bytes: u64,
}

/// The transfer counters of the server; the answer to `GET /stats`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct FileStats {
    /// Answers started.
    pub requests: u64,
    /// Body bytes sent.
    pub bytes: u64,
    /// Body bytes received by uploads.
    pub uploaded: u64,
    /// The counters of each path.
    pub paths: BTreeMap<String, PathStats>,
}

/// Serves the files of a directory.
pub struct Files {
    dir: PathBuf,
    uploads: bool,
    block_size: u64,
    started: Instant,
    bucket: Option<Mutex<Bucket>>,
    stats: Mutex<FileStats>,
    faults: Mutex<FileFaults>,
    uploads_begun: AtomicU64,
}

impl Files {
    /// Creates a server of `dir`, which accepts uploads if `uploads` is set.
    pub fn new(dir: PathBuf, uploads: bool, rate: Option<Rate>, faults: FileFaults) -> Self {
        let block_size = rate.map_or(MAX_BLOCK, |rate| rate.bytes / BLOCKS_PER_SECOND);
        let bucket = rate.map(|rate| Mutex::new(Bucket::new(rate.bytes, rate.burst)));
        Self {
            dir,
            uploads,
            block_size: block_size.clamp(MIN_BLOCK, MAX_BLOCK),
            started: Instant::now(),
            bucket,
            stats: Mutex::default(),
            faults: Mutex::new(faults),
            uploads_begun: AtomicU64::new(0),
        }
    }

    /// Returns the transfer counters.
    pub fn stats(&self) -> FileStats {
        let stats = self.stats.lock().unwrap_or_else(PoisonError::into_inner);
        stats.clone()
    }

    /// Replaces the faults to inject.
    pub fn set_faults(&self, faults: FileFaults) {
        *self.faults.lock().unwrap_or_else(PoisonError::into_inner) = faults;
    }

    fn take_fault(&self) -> Option<Fault> {
        let mut faults = self.faults.lock().unwrap_or_else(PoisonError::into_inner);
        faults.take()
    }

    /// Waits until the rate limit allows `bytes` more bytes.
    fn throttle(&self, bytes: u64) {
        let Some(bucket) = &self.bucket else { return };
        let wait = {
            let mut bucket = bucket.lock().unwrap_or_else(PoisonError::into_inner);
            bucket.take(self.started.elapsed(), bytes)
        };
        thread::sleep(wait);
    }

    fn count(&self, path: &str, requests: u64, bytes: u64) {
        let mut stats = self.stats.lock().unwrap_or_else(PoisonError::into_inner);
        stats.requests += requests;
        stats.bytes += bytes;
        let known = stats.paths.contains_key(path);
        if known || stats.paths.len() < MAX_PATHS {
            let entry = stats.paths.entry(path.to_owned()).or_default();
            entry.requests += requests;
            entry.bytes += bytes;
        }
    }

    /// Opens the file and range that a GET requests.
    fn open(&self, call: &Call) -> Result<FileRange, Reply> {
        let missing = || Reply::error(404, "not_found", "no such file");
        let path = resolve(&self.dir, call.path()).ok_or_else(missing)?;
        let file = File::open(path).map_err(|_| missing())?;
        let meta = file.metadata().map_err(|_| missing())?;
        if !meta.is_file() {
            return Err(missing());
        }
        let part = FileRange {
            length: meta.len(),
            etag: etag(&meta),
            file,
            range: 0..meta.len(),
            whole: true,
        };
        part.with_range(call)
    }

    fn get(&self, call: Call) {
        let fault = self.take_fault();
        if fault == Some(Fault::Refuse) {
            let refusal = Reply::text(503, "refused by an injected fault");
            return call.reply(refusal.with("Retry-After", "1"));
        }
        match self.open(&call) {
            Err(refusal) => call.reply(refusal),
            // An error means that the caller has disconnected.
            Ok(part) => drop(self.send(call, part, fault)),
        }
    }

    /// Sends a range block by block at the shared rate.
    fn send(&self, call: Call, mut part: FileRange, fault: Option<Fault>) -> io::Result<()> {
        let path = call.path().to_owned();
        self.count(&path, 1, 0);
        let range = part.range.clone();
        let length = usize::try_from(range.end - range.start).unwrap_or(usize::MAX);
        let status = if part.whole { 200 } else { 206 };
        let mut writer = call.raw(status, length, &part.headers())?;
        let middle = range.start + (range.end - range.start) / 2;
        let ends_early = matches!(fault, Some(Fault::Cut | Fault::Stall));
        let end = if ends_early { middle } else { range.end };
        let mut at = range.start;
        while at < end {
            let length = self.block_size.min(end - at);
            let mut bytes = part.read(at, length, fault == Some(Fault::Shift))?;
            if fault == Some(Fault::Corrupt) && (at..at + length).contains(&middle) {
                flip_byte(&mut bytes, middle - at);
            }
            self.throttle(length);
            // The bytes are counted before they are sent, so that no caller holds a byte that is not counted.
            self.count(&path, 0, length);
            writer.write_all(&bytes)?;
            writer.flush()?;
            at += length;
        }
        if fault == Some(Fault::Stall) {
            wait_until_closed(&writer);
        }
        Ok(())
    }

    /// Writes an upload to a temporary file and renames it, so that no reader sees a partial file.
    fn put(&self, call: &mut Call) -> Reply {
        let Some(path) = resolve(&self.dir, call.path()) else {
            return Reply::error(400, "invalid_request_error", "not a path of a file");
        };
        let number = self.uploads_begun.fetch_add(1, Ordering::Relaxed);
        let temporary = self.dir.join(format!(".upload-{number}"));
        match self.save(call, &path, &temporary) {
            Ok(()) => Reply::text(201, "stored"),
            Err(error) => {
                // Removal fails if the file was never created.
                let _ = fs::remove_file(&temporary);
                Reply::error(500, "io_error", error.to_string())
            }
        }
    }

    fn save(&self, call: &mut Call, path: &Path, temporary: &Path) -> io::Result<()> {
        if let Some(parent) = path.parent() {
            fs::create_dir_all(parent)?;
        }
        let mut file = File::create(temporary)?;
        let expected: Option<u64> = call.header("Content-Length").and_then(|n| n.parse().ok());
        let mut received = 0;
        let mut block = vec![0; usize::try_from(self.block_size).unwrap_or(1024)];
        let mut reader = call.reader();
        loop {
            let read = reader.read(&mut block)?;
            if read == 0 {
                break;
            }
            self.throttle(read as u64);
            file.write_all(&block[..read])?;
            received += read as u64;
        }
        if expected.is_some_and(|expected| expected != received) {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        fs::rename(temporary, path)?;
        let mut stats = self.stats.lock().unwrap_or_else(PoisonError::into_inner);
        stats.uploaded += received;
        Ok(())
    }
}

impl Handler for Files {
    fn handle(&self, mut call: Call) {
        let path = call.path().to_owned();
        match (call.method(), path.as_str()) {
            ("GET", "/stats") => call.reply(Reply::json(200, &self.stats())),
            ("POST", "/admin/faults") => {
                let set = call.json().map(|faults| {
                    self.set_faults(faults);
                    Reply::json(200, &faults)
                });
                call.reply(set.unwrap_or_else(|refusal| refusal));
            }
            ("GET", _) => self.get(call),
            ("PUT", _) if self.uploads => {
                let reply = self.put(&mut call);
                call.reply(reply);
            }
            _ => call.reply(Reply::error(405, "not_allowed", "GET a file")),
        }
    }
}

fn wait_until_closed(writer: &RawWriter) {
    while !writer.is_closed() {
        thread::sleep(POLL_INTERVAL);
    }
}

fn flip_byte(bytes: &mut [u8], at: u64) {
    let at = usize::try_from(at).unwrap_or(0);
    if let Some(byte) = bytes.get_mut(at) {
        *byte ^= 0xff;
    }
}

/// A range of an open file; its content stays the same while a rename replaces the file at its path.
struct FileRange {
    file: File,
    length: u64,
    etag: String,
    range: Range<u64>,
    whole: bool,
}

impl FileRange {
    /// Applies the call's `If-Match`, `If-Range` and `Range` headers.
    fn with_range(mut self, call: &Call) -> Result<Self, Reply> {
        if call.header("If-Match").is_some_and(|tag| tag != self.etag) {
            return Err(Reply::text(412, "the file has changed").with("ETag", self.etag));
        }
        let unchanged = call.header("If-Range").is_none_or(|tag| tag == self.etag);
        let Some(header) = call.header("Range").filter(|_| unchanged) else {
            return Ok(self);
        };
        let Some(range) = parse_range(header, self.length) else {
            let refusal = Reply::text(416, "the range is not in the file");
            return Err(refusal.with("Content-Range", format!("bytes */{}", self.length)));
        };
        self.range = range;
        self.whole = false;
        Ok(self)
    }

    /// Reads `length` bytes at offset `at`, or at the next offset if `shifted`.
    fn read(&mut self, at: u64, length: u64, shifted: bool) -> io::Result<Vec<u8>> {
        let mut bytes = vec![0; usize::try_from(length).unwrap_or(0)];
        if !shifted {
            self.file.seek(SeekFrom::Start(at))?;
            self.file.read_exact(&mut bytes)?;
            return Ok(bytes);
        }
        self.file.seek(SeekFrom::Start(at + 1))?;
        // Zeros stand for bytes past the end of the file.
        (&self.file).chain(io::repeat(0)).read_exact(&mut bytes)?;
        Ok(bytes)
    }

    fn headers(&self) -> Vec<(&'static str, String)> {
        let mut headers = vec![
            ("ETag", self.etag.clone()),
            ("Accept-Ranges", "bytes".to_owned()),
        ];
        if !self.whole {
            let (first, last) = (self.range.start, self.range.end - 1);
            let value = format!("bytes {first}-{last}/{}", self.length);
            headers.push(("Content-Range", value));
        }
        headers
    }
}

/// Returns an entity tag made of the file's modification time and length, as common servers do.
fn etag(meta: &fs::Metadata) -> String {
    let modified = meta.modified().ok();
    let since_epoch = modified.and_then(|time| time.duration_since(UNIX_EPOCH).ok());
    let nanos = since_epoch.unwrap_or_default().as_nanos();
    format!("\"{nanos:x}-{:x}\"", meta.len())
}

/// Returns the file that a URL's path names, or `None` if it would lie outside `dir`.
fn resolve(dir: &Path, url: &str) -> Option<PathBuf> {
    let below = Path::new(url.trim_start_matches('/'));
    let plain = |part| matches!(part, Component::Normal(_));
    let within = !url.contains('%') && below.components().all(plain);
    within.then(|| dir.join(below))
}

/// Parses `bytes=a-b`, `bytes=a-` or `bytes=-n`; returns `None` if the range is not within `length`.
pub fn parse_range(text: &str, length: u64) -> Option<Range<u64>> {
    let (first, last) = text.strip_prefix("bytes=")?.split_once('-')?;
    let range = match (first, last) {
        ("", tail) => length.saturating_sub(tail.parse().ok()?)..length,
        (first, "") => first.parse().ok()?..length,
        (first, last) => {
            let end: u64 = last.parse().ok()?;
            first.parse().ok()?..end.saturating_add(1).min(length)
        }
    };
    (range.start < range.end).then_some(range)
}
