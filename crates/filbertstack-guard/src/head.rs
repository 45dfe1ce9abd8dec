//! Reads the head of a request within limits of size and time.

use std::io::ErrorKind;
use std::io::Read;
use std::net::TcpStream;
use std::time::Duration;
use std::time::Instant;

/// The largest head of a request, in bytes. Common servers allow as much.
pub const MAX_HEAD: usize = 16 << 10;

/// The longest time that the head of a request may take to arrive.
pub const HEAD_TIMEOUT: Duration = Duration::from_secs(10);

/// Returns the head with a `connection: close` header as the first header.
///
/// Without it, the library keeps the connection open for a next request, and the caller, which is told
/// that the connection closes, would wait for an end that never comes. The library uses the first header
/// of that name.
pub fn with_close_header(head: &[u8]) -> Vec<u8> {
    const CLOSE_HEADER: &[u8] = b"connection: close\r\n";
    let line_end = head.windows(2).position(|window| window == b"\r\n");
    let (request_line, headers) = head.split_at(line_end.map_or(head.len(), |at| at + 2));
    [request_line, CLOSE_HEADER, headers].concat()
}

/// The reason that a head could not be read.
pub enum HeadError {
    /// The head took longer than [`HEAD_TIMEOUT`] to arrive.
    Slow,
    /// The head is larger than [`MAX_HEAD`].
    Large,
    /// The caller closed the connection.
    Closed,
}

/// Reads a head, with any bytes of the body that arrived together with it.
pub fn read_head(mut caller: &TcpStream) -> Result<Vec<u8>, HeadError> {
    let deadline = Instant::now() + HEAD_TIMEOUT;
    let mut head = Vec::new();
    let mut buffer = [0; 2048];
    loop {
        let remaining = deadline.saturating_duration_since(Instant::now());
        if remaining.is_zero() {
            return Err(HeadError::Slow);
        }
        caller
            .set_read_timeout(Some(remaining))
            .map_err(|_| HeadError::Closed)?;
        let n = match caller.read(&mut buffer) {
            Ok(0) => return Err(HeadError::Closed),
            Ok(n) => n,
            Err(error) if is_timeout(&error) => return Err(HeadError::Slow),
            Err(_) => return Err(HeadError::Closed),
        };
        let search_start = head.len().saturating_sub(3);
        head.extend_from_slice(&buffer[..n]);
        if head[search_start..]
            .windows(4)
            .any(|window| window == b"\r\n\r\n")
        {
            return Ok(head);
        }
        if head.len() > MAX_HEAD {
            return Err(HeadError::Large);
        }
    }
}

fn is_timeout(error: &std::io::Error) -> bool {
    matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut)
}

/// Returns whether a head announces a body of more than `limit` bytes.
pub fn announces_over(head: &[u8], limit: usize) -> bool {
    const LENGTH_HEADER: &str = "content-length:";
    let head = String::from_utf8_lossy(head);
    let mut lines = head.lines().skip(1).take_while(|line| !line.is_empty());
    let value = lines.find_map(|line| {
        let name = line.get(..LENGTH_HEADER.len())?;
        let value = line.get(LENGTH_HEADER.len()..)?;
        name.eq_ignore_ascii_case(LENGTH_HEADER).then_some(value)
    });
    let length = value.and_then(|value| value.trim().parse::<u64>().ok());
    length.is_some_and(|length| length > limit as u64)
}
