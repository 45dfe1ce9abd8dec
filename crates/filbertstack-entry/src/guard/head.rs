//! The head of a request, read within bounds of size and time.

use std::io::ErrorKind;
use std::io::Read;
use std::net::TcpStream;
use std::time::Duration;
use std::time::Instant;

/// The largest head of a request, in bytes: what common servers allow.
pub const MAX_HEAD: usize = 16 << 10;

/// How long a head may take to arrive.
pub const HEAD_TIMEOUT: Duration = Duration::from_secs(10);

/// The head with word that the connection ends with the answer.
///
/// The library otherwise keeps the connection for a next request, and the caller, told that it is
/// closed, would wait for an end that does not come. It goes by the first header of that name.
pub fn closing(head: &[u8]) -> Vec<u8> {
    const CLOSE: &[u8] = b"connection: close\r\n";
    let line = head.windows(2).position(|window| window == b"\r\n");
    let (line, rest) = head.split_at(line.map_or(head.len(), |at| at + 2));
    [line, CLOSE, rest].concat()
}

/// Why a head was not read.
pub enum HeadError {
    /// It took longer than [`HEAD_TIMEOUT`].
    Slow,
    /// It is over [`MAX_HEAD`].
    Large,
    /// The caller left.
    Closed,
}

/// Reads a head, and what came with it of the body.
pub fn read_head(caller: &mut TcpStream) -> Result<Vec<u8>, HeadError> {
    let until = Instant::now() + HEAD_TIMEOUT;
    let mut head = Vec::new();
    let mut buffer = [0; 2048];
    loop {
        let left = until.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Err(HeadError::Slow);
        }
        caller
            .set_read_timeout(Some(left))
            .map_err(|_| HeadError::Closed)?;
        let n = match caller.read(&mut buffer) {
            Ok(0) => return Err(HeadError::Closed),
            Ok(n) => n,
            Err(error) if is_timeout(&error) => return Err(HeadError::Slow),
            Err(_) => return Err(HeadError::Closed),
        };
        let searched = head.len().saturating_sub(3);
        head.extend_from_slice(&buffer[..n]);
        if head[searched..]
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
