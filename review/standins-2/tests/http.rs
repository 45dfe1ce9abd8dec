//! A small HTTP/1.1 client and the reading of messages.

use std::io;
use std::io::BufRead;
use std::io::BufReader;
use std::io::Read as _;
use std::io::Write as _;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::time::Duration;

/// How long a new connection may take.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// The first line and the headers of a message, names in lower case.
pub struct Head {
    /// The first line.
    pub first: String,
    headers: Vec<(String, String)>,
}

impl Head {
    /// Reads a head; `None` if the connection ends before it.
    pub fn read(reader: &mut impl BufRead) -> io::Result<Option<Self>> {
        let mut first = String::new();
        if reader.read_line(&mut first)? == 0 {
            return Ok(None);
        }
        let mut headers = Vec::new();
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line)? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            let line = line.trim_end();
            if line.is_empty() {
                break;
            }
            if let Some((name, value)) = line.split_once(':') {
                headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
            }
        }
        let first = first.trim_end().to_owned();
        Ok(Some(Self { first, headers }))
    }

    /// Returns the value of a header.
    pub fn get(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(known, _)| known == name);
        found.map(|(_, value)| value.as_str())
    }

    /// Returns the length of the body, 0 if none is named.
    pub fn length(&self) -> usize {
        let length = self
            .get("content-length")
            .and_then(|text| text.parse().ok());
        length.unwrap_or(0)
    }

    fn is_chunked(&self) -> bool {
        self.get("transfer-encoding")
            .is_some_and(|text| text.to_ascii_lowercase().contains("chunked"))
    }
}

/// A request.
pub struct Request<'a> {
    /// The method.
    pub method: &'a str,
    /// The path and query.
    pub path: &'a str,
    /// The headers other than the length.
    pub headers: &'a [(&'a str, &'a str)],
    /// The body.
    pub body: &'a [u8],
}

/// An answer.
pub struct Answer {
    /// The status.
    pub status: u16,
    /// The head.
    pub head: Head,
    /// The whole body.
    pub body: Vec<u8>,
}

/// A connection that carries one request after the other.
pub struct Connection(BufReader<TcpStream>);

impl Connection {
    /// Opens a connection on which each read and write may take `wait`.
    pub fn open(addr: SocketAddr, wait: Duration) -> io::Result<Self> {
        let stream = TcpStream::connect_timeout(&addr, CONNECT_TIMEOUT)?;
        stream.set_read_timeout(Some(wait))?;
        stream.set_write_timeout(Some(wait))?;
        stream.set_nodelay(true)?;
        Ok(Self(BufReader::new(stream)))
    }

    /// Sends a request without waiting for its answer.
    pub fn send(&mut self, request: &Request<'_>) -> io::Result<()> {
        let mut text = format!("{} {} HTTP/1.1\r\n", request.method, request.path);
        for (name, value) in request.headers {
            text.push_str(&format!("{name}: {value}\r\n"));
        }
        text.push_str(&format!("Content-Length: {}\r\n\r\n", request.body.len()));
        let mut bytes = text.into_bytes();
        bytes.extend_from_slice(request.body);
        self.0.get_mut().write_all(&bytes)
    }

    /// Sends a request and reads the whole answer.
    pub fn exchange(&mut self, request: &Request<'_>) -> io::Result<Answer> {
        self.send(request)?;
        let head = self.read_head()?;
        let body = self.read_body(&head)?;
        let status = status_of(&head);
        Ok(Answer { status, head, body })
    }

    /// Reads the head of an answer.
    pub fn read_head(&mut self) -> io::Result<Head> {
        Head::read(&mut self.0)?.ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
    }

    /// Reads some bytes of a body; 0 at the end of the connection.
    pub fn read_some(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
        self.0.read(buffer)
    }

    /// Reads a body to its end.
    fn read_body(&mut self, head: &Head) -> io::Result<Vec<u8>> {
        let mut body = Vec::new();
        if !head.is_chunked() {
            self.add_bytes(&mut body, head.length())?;
            return Ok(body);
        }
        loop {
            let mut line = String::new();
            self.0.read_line(&mut line)?;
            let length = usize::from_str_radix(line.trim(), 16);
            let length = length.map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
            self.add_bytes(&mut body, length)?;
            self.0.read_line(&mut line)?;
            if length == 0 {
                return Ok(body);
            }
        }
    }

    fn add_bytes(&mut self, body: &mut Vec<u8>, length: usize) -> io::Result<()> {
        let start = body.len();
        body.resize(start + length, 0);
        self.0.read_exact(&mut body[start..])
    }
}

fn status_of(head: &Head) -> u16 {
    let status = head.first.split(' ').nth(1);
    status.and_then(|text| text.parse().ok()).unwrap_or(0)
}

/// Sends a request on a new connection and reads the answer.
pub fn call(addr: SocketAddr, request: &Request<'_>, wait: Duration) -> io::Result<Answer> {
    Connection::open(addr, wait)?.exchange(request)
}
