//! The HTTP source fetches chunks by range requests from the origin or the weight store, which use the
//! same protocol.
//!
//! The server must answer `GET <base>/<file>` with `Range: bytes=first-last` by status 206, a
//! `Content-Range` with the same range and the file size from the manifest, and exactly the bytes of
//! the range.

use std::io;
use std::io::Read;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use thiserror::Error;
use ureq::Agent;
use ureq::Body;
use ureq::http::HeaderName;
use ureq::http::Response;
use ureq::http::StatusCode;
use ureq::http::header;

use filbertstack_core::Digest;
use filbertstack_core::Millis;

use crate::fetch::Fault;
use crate::fetch::Source;
use crate::fetch::SourceError;
use crate::manifest::ChunkLocation;
use crate::manifest::MAX_MANIFEST_SIZE;
use crate::manifest::Manifest;
use crate::manifest::ManifestError;
use crate::metered;

/// The optional response header that names the version of the file.
const VERSION_HEADER: HeaderName = HeaderName::from_static("x-weights-version");

/// The upper limit for a `Retry-After` of a server.
const MAX_RETRY_AFTER: Millis = Millis::secs(60);

/// The delay after a 429 or 503 without a usable `Retry-After`.
const DEFAULT_RETRY_AFTER: Millis = Millis::secs(1);

/// The size of the read buffer, in bytes.
const READ_SIZE: usize = 8 << 10;

/// The limits of an HTTP source.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HttpConfig {
    /// The timeout for connecting, for the head of an answer and for each single read.
    pub idle_timeout: Duration,
    /// The interval over which progress is checked.
    pub window: Duration,
    /// The minimum number of bytes that must arrive in each window.
    pub min_bytes: u64,
}

impl Default for HttpConfig {
    /// Returns a configuration that requires 64 KiB in each 2 s. This is a sixtieth of a 2 MiB/s share:
    /// far below the rate of any link that is useful for a copy, and far above that of a server that
    /// occupies a slot by sending single bytes.
    fn default() -> Self {
        Self {
            idle_timeout: Duration::from_secs(2),
            window: Duration::from_secs(2),
            min_bytes: 64 << 10,
        }
    }
}

/// An error of an HTTP fetch.
#[derive(Debug, Error)]
pub enum HttpError {
    /// The connection could not be made or broke.
    #[error("{url} cannot be fetched ({error}): check that the server runs and is reachable")]
    Down {
        /// The URL.
        url: String,
        /// The error of the HTTP client.
        error: Box<ureq::Error>,
    },
    /// Nothing arrived within the timeout, or too few bytes within a window.
    #[error("{url} sent {got} of {size} bytes and then too few in {window:?}: it is left for now")]
    Stalled {
        /// The URL.
        url: String,
        /// The number of bytes received.
        got: u64,
        /// The number of bytes requested.
        size: u64,
        /// The interval in which too few bytes arrived.
        window: Duration,
    },
    /// The server is busy.
    #[error("{url} asks to come back after {after}")]
    Busy {
        /// The URL.
        url: String,
        /// The delay before the next attempt.
        after: Millis,
    },
    /// The file does not exist.
    #[error("{url} does not exist: publish the version there, or correct the base URL")]
    Missing {
        /// The URL.
        url: String,
    },
    /// The status of the answer is not the expected one.
    #[error("{url} answered {status} to a range request: use a server that supports ranges")]
    Status {
        /// The URL.
        url: String,
        /// The status of the answer.
        status: StatusCode,
    },
    /// The answer contains another range.
    #[error("{url} sent '{got}' when asked for '{wanted}': use a server that supports ranges")]
    Range {
        /// The URL.
        url: String,
        /// The requested range.
        wanted: String,
        /// The range in the answer.
        got: String,
    },
    /// The body is shorter or longer than the range.
    #[error("{url} sent {got} bytes for a range of {size}: the file is being changed or cut")]
    Length {
        /// The URL.
        url: String,
        /// The number of bytes received; a longer body is read for one byte more than requested.
        got: u64,
        /// The number of bytes requested.
        size: u64,
    },
    /// The file belongs to another version.
    #[error("{url} serves another version than {wanted}: publish under a path that never changes")]
    Stale {
        /// The URL.
        url: String,
        /// The requested version.
        wanted: Digest,
    },
    /// The file at the URL is not the requested manifest.
    #[error(transparent)]
    Manifest(#[from] ManifestError),
}

impl SourceError for HttpError {
    fn fault(&self) -> Fault {
        match self {
            Self::Down { .. } => Fault::Down,
            Self::Stalled { .. } => Fault::Stalled,
            Self::Busy { after, .. } => Fault::Busy { after: *after },
            Self::Missing { .. } => Fault::Missing,
            Self::Status { .. } | Self::Range { .. } | Self::Length { .. } => Fault::Wrong,
            Self::Stale { .. } => Fault::Stale,
            Self::Manifest(_) => Fault::Corrupt,
        }
    }
}

/// An HTTP server that supports range requests.
#[derive(Clone, Debug)]
pub struct HttpSource {
    base: String,
    config: HttpConfig,
    agent: Agent,
}

impl HttpSource {
    /// Creates a source for the files below `base`, such as `http://10.0.0.9:9000/draft/v3`.
    pub fn new(base: &str, config: HttpConfig) -> Self {
        let idle = Some(config.idle_timeout);
        let agent = Agent::config_builder()
            .http_status_as_error(false)
            .max_redirects(0)
            .timeout_connect(idle)
            .timeout_recv_response(idle)
            .timeout_per_read(idle)
            .build();
        let base = base.trim_end_matches('/').to_owned();
        Self {
            base,
            config,
            agent: metered::agent(agent),
        }
    }

    /// Fetches the manifest `root` from `<base>/<file>`.
    ///
    /// # Errors
    /// Returns the failure of the request, or [`HttpError::Manifest`] if the file is not that manifest.
    pub fn fetch_manifest(&self, file: &str, root: Digest) -> Result<Manifest, HttpError> {
        let url = format!("{}/{file}", self.base);
        let mut response = self.request(&url, None)?;
        check_status(&url, &response, StatusCode::OK)?;
        let bytes = self.read_body(&url, &mut response, MAX_MANIFEST_SIZE as u64)?;
        Ok(Manifest::decode(root, &bytes)?)
    }

    fn request(&self, url: &str, range: Option<&str>) -> Result<Response<Body>, HttpError> {
        let mut request = self.agent.get(url);
        if let Some(range) = range {
            request = request.header(header::RANGE, range);
        }
        metered::restart();
        request
            .call()
            .map_err(|error| self.transport_error(url, 0, 0, error))
    }

    fn transport_error(&self, url: &str, got: u64, size: u64, error: ureq::Error) -> HttpError {
        let url = url.to_owned();
        match error {
            ureq::Error::Timeout(_) => HttpError::Stalled {
                url,
                got,
                size,
                window: self.config.idle_timeout,
            },
            error => HttpError::Down {
                url,
                error: Box::new(error),
            },
        }
    }

    /// Reads at most `limit` bytes plus one, which shows that a body is too long. Fails when too few bytes
    /// arrive in a window.
    fn read_body(
        &self,
        url: &str,
        response: &mut Response<Body>,
        limit: u64,
    ) -> Result<Vec<u8>, HttpError> {
        let mut reader = response.body_mut().as_reader().take(limit + 1);
        let mut bytes = Vec::new();
        let mut buffer = [0; READ_SIZE];
        let mut window = ProgressWindow::new(self.config);
        loop {
            let got = bytes.len() as u64;
            metered::restart();
            let count = match reader.read(&mut buffer) {
                Ok(0) => return Ok(bytes),
                Ok(count) => count,
                Err(error) if is_truncated(&error) => return Ok(bytes),
                Err(error) => return Err(self.transport_error(url, got, limit, error.into())),
            };
            bytes.extend_from_slice(&buffer[..count]);
            if window.is_stalled(count as u64) {
                return Err(HttpError::Stalled {
                    url: url.to_owned(),
                    got: bytes.len() as u64,
                    size: limit,
                    window: self.config.window,
                });
            }
        }
    }
}

impl Source for HttpSource {
    type Error = HttpError;

    fn fetch(&self, location: &ChunkLocation) -> Result<Bytes, HttpError> {
        let url = format!("{}/{}", self.base, location.file.name);
        let range = format!("bytes={}-{}", location.offset, location.last_byte());
        let mut response = self.request(&url, Some(&range))?;
        check_status(&url, &response, StatusCode::PARTIAL_CONTENT)?;
        check_version(&url, &response, location)?;
        check_range(&url, &response, location)?;
        let size = u64::from(location.chunk.size);
        let bytes = self.read_body(&url, &mut response, size)?;
        let got = bytes.len() as u64;
        if got == size {
            return Ok(bytes.into());
        }
        Err(HttpError::Length { url, got, size })
    }
}

/// Returns whether the body ended before its announced length. The callers check the length of what
/// they got.
fn is_truncated(error: &io::Error) -> bool {
    error.kind() == io::ErrorKind::UnexpectedEof
}

fn header_text<'r>(response: &'r Response<Body>, name: &HeaderName) -> Option<&'r str> {
    response.headers().get(name)?.to_str().ok()
}

fn check_status(url: &str, response: &Response<Body>, wanted: StatusCode) -> Result<(), HttpError> {
    let status = response.status();
    let url = url.to_owned();
    match status {
        _ if status == wanted => Ok(()),
        StatusCode::NOT_FOUND | StatusCode::GONE => Err(HttpError::Missing { url }),
        StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE => {
            let after = retry_after(response);
            Err(HttpError::Busy { url, after })
        }
        _ => Err(HttpError::Status { url, status }),
    }
}

fn retry_after(response: &Response<Body>) -> Millis {
    let secs = header_text(response, &header::RETRY_AFTER).and_then(|text| text.parse().ok());
    secs.map_or(DEFAULT_RETRY_AFTER, |secs: u32| {
        Millis::secs(secs.into()).min(MAX_RETRY_AFTER)
    })
}

fn check_version(
    url: &str,
    response: &Response<Body>,
    location: &ChunkLocation,
) -> Result<(), HttpError> {
    let version = header_text(response, &VERSION_HEADER);
    if version.is_none_or(|version| version == location.version.to_string()) {
        return Ok(());
    }
    Err(stale_error(url, location))
}

fn stale_error(url: &str, location: &ChunkLocation) -> HttpError {
    HttpError::Stale {
        url: url.to_owned(),
        wanted: location.version,
    }
}

fn check_range(
    url: &str,
    response: &Response<Body>,
    location: &ChunkLocation,
) -> Result<(), HttpError> {
    let got = header_text(response, &header::CONTENT_RANGE).unwrap_or("no range");
    let range = format!("bytes {}-{}/", location.offset, location.last_byte());
    let Some(total) = got.strip_prefix(&range) else {
        return Err(HttpError::Range {
            url: url.to_owned(),
            wanted: range,
            got: got.chars().take(80).collect(),
        });
    };
    // A file of another size belongs to another version, even if the range is the requested one.
    if total == "*" || total == location.file.size.to_string() {
        return Ok(());
    }
    Err(stale_error(url, location))
}

/// Checks that enough bytes arrive in each window.
///
/// A server that sends 1 byte/s never causes a read timeout, but one chunk would take weeks: the copy
/// stalls while all links are up. The minimum for each window ends such a transfer after one window.
struct ProgressWindow {
    config: HttpConfig,
    start: Instant,
    bytes: u64,
}

impl ProgressWindow {
    fn new(config: HttpConfig) -> Self {
        Self {
            config,
            start: Instant::now(),
            bytes: 0,
        }
    }

    fn is_stalled(&mut self, count: u64) -> bool {
        self.bytes += count;
        if self.start.elapsed() < self.config.window {
            return false;
        }
        let stalled = self.bytes < self.config.min_bytes;
        self.start = Instant::now();
        self.bytes = 0;
        stalled
    }
}
