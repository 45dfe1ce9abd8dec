//! An origin of weights: serves the files of a directory by HTTP ranges and counts every byte.

use std::fs;
use std::io::Write;
use std::net::SocketAddr;
use std::path::Component;
use std::path::Path;
use std::path::PathBuf;
use std::sync::Arc;

use crate::error::StandinError;
use crate::http::ANY_ADDR;
use crate::http::Call;
use crate::http::Handler;
use crate::http::HttpServer;
use crate::http::Reply;

/// The settings of an [`Origin`].
#[derive(Clone, Debug)]
pub struct OriginConfig {
    /// Where it listens.
    pub addr: SocketAddr,
    /// The directory whose files it serves.
    pub dir: PathBuf,
}

impl OriginConfig {
    /// Serves `dir` at any free port.
    pub fn new(dir: impl Into<PathBuf>) -> Self {
        Self {
            addr: ANY_ADDR,
            dir: dir.into(),
        }
    }
}

/// A running origin; dropping it stops it.
pub struct Origin {
    server: HttpServer,
}

impl Origin {
    /// Starts serving.
    ///
    /// # Errors
    /// The address cannot be listened on.
    pub fn start(config: OriginConfig) -> Result<Self, StandinError> {
        let addr = config.addr;
        let server = HttpServer::start(addr, Arc::new(Files { dir: config.dir }))?;
        Ok(Self { server })
    }

    /// The address it listens on.
    pub fn addr(&self) -> SocketAddr {
        self.server.addr()
    }

    /// Stops it; the same as dropping it.
    pub fn stop(self) {}
}

struct Files {
    dir: PathBuf,
}

impl Handler for Files {
    fn handle(&self, call: Call) {
        let Some(path) = resolve(&self.dir, call.path()) else {
            return call.reply(Reply::error(404, "not_found", "no such file"));
        };
        let Ok(bytes) = fs::read(path) else {
            return call.reply(Reply::error(404, "not_found", "no such file"));
        };
        send(call, &bytes);
    }
}

/// The file that a URL's path names, if it stays below `dir`.
fn resolve(dir: &Path, url: &str) -> Option<PathBuf> {
    let below = Path::new(url.trim_start_matches('/'));
    let plain = below
        .components()
        .all(|part| matches!(part, Component::Normal(_)));
    plain.then(|| dir.join(below))
}

fn send(call: Call, bytes: &[u8]) {
    let etag = format!("\"{}\"", blake3::hash(bytes).to_hex());
    let mut headers = vec![("ETag", etag), ("Accept-Ranges", "bytes".to_owned())];
    let range = call
        .header("Range")
        .map(|text| parse_range(text, bytes.len()));
    let (status, part) = match range {
        None => (200, 0..bytes.len()),
        Some(Some(range)) => {
            let last = range.end - 1;
            let value = format!("bytes {}-{last}/{}", range.start, bytes.len());
            headers.push(("Content-Range", value));
            (206, range)
        }
        Some(None) => {
            let reply = Reply::text(416, "the range is not in the file");
            return call.reply(reply.with("Content-Range", format!("bytes */{}", bytes.len())));
        }
    };
    // An error means that the caller is gone.
    if let Ok(mut writer) = call.raw(status, part.len(), &headers) {
        let _ = writer.write_all(&bytes[part]);
    }
}

/// Reads `bytes=a-b`, `bytes=a-` or `bytes=-n`; `None` if it is not within `length`.
fn parse_range(text: &str, length: usize) -> Option<std::ops::Range<usize>> {
    let (first, last) = text.strip_prefix("bytes=")?.split_once('-')?;
    let range = match (first, last) {
        ("", tail) => length.saturating_sub(tail.parse().ok()?)..length,
        (first, "") => first.parse().ok()?..length,
        (first, last) => {
            let end: usize = last.parse().ok()?;
            first.parse().ok()?..end.saturating_add(1).min(length)
        }
    };
    (range.start < range.end).then_some(range)
}
