//! An HTTP server with range requests on the loopback address, which simulates faults of an origin.

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;

/// The answer of the server to a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    /// The requested range.
    Good,
    /// Status 200 with the whole file.
    WholeFile,
    /// Status 206 with a range that starts one byte later.
    ShiftedRange,
    /// The correct head and half of the body, after which the connection is closed.
    Truncated,
    /// The correct head, then one byte every 20 ms.
    Slow,
    /// The correct head without a body, with the connection left open.
    Silent,
    /// The requested range of a file that is one byte longer.
    LongerFile,
    /// The requested range with another version in the header.
    OtherVersion,
    /// The requested range with a damaged first byte.
    Corrupt,
    /// Status 503 with `Retry-After: 7`.
    Busy,
    /// Status 404.
    Missing,
}

/// A running server; dropping it stops its thread.
pub struct Origin {
    pub addr: SocketAddr,
    pub answer: Arc<Mutex<Answer>>,
    pub asked: Arc<Mutex<usize>>,
    stop: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl Origin {
    /// Starts a server that returns `file` for every path.
    pub fn start(file: Vec<u8>, answer: Answer) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let addr = listener.local_addr().unwrap();
        let answer = Arc::new(Mutex::new(answer));
        let asked = Arc::new(Mutex::new(0));
        let stop = Arc::new(AtomicBool::new(false));
        let state = (answer.clone(), asked.clone(), stop.clone());
        let thread = thread::spawn(move || {
            let (answer, asked, stop) = state;
            for stream in listener.incoming() {
                if stop.load(Ordering::SeqCst) {
                    return;
                }
                *asked.lock().unwrap() += 1;
                let answer = *answer.lock().unwrap();
                let file = file.clone();
                // A client that gives up closes the connection, so an error of the write is expected.
                thread::spawn(move || stream.and_then(|stream| serve(stream, &file, answer)));
            }
        });
        Self {
            addr,
            answer,
            asked,
            stop,
            thread: Some(thread),
        }
    }

    pub fn base(&self) -> String {
        format!("http://{}/draft", self.addr)
    }
}

impl Drop for Origin {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::SeqCst);
        let _ = TcpStream::connect(self.addr);
        let _ = self.thread.take().map(JoinHandle::join);
    }
}

fn serve(mut stream: TcpStream, file: &[u8], answer: Answer) -> std::io::Result<()> {
    let (first, last) = range(&read_head(&mut stream)?, file.len());
    let mut body = file[first..=last].to_vec();
    let mut total = file.len();
    let mut shift = 0;
    let mut extra = "";
    match answer {
        Answer::WholeFile => return send_whole(&mut stream, file),
        Answer::Busy => {
            return stream.write_all(
                b"HTTP/1.1 503 No\r\nRetry-After: 7\r\nContent-Length: 0\r\nConnection: close\r\n\r\n",
            );
        }
        Answer::Missing => {
            return stream
                .write_all(b"HTTP/1.1 404 No\r\nContent-Length: 0\r\nConnection: close\r\n\r\n");
        }
        Answer::ShiftedRange => shift = 1,
        Answer::LongerFile => total += 1,
        Answer::OtherVersion => extra = "X-Weights-Version: 00\r\n",
        Answer::Corrupt => body[0] ^= 1,
        _ => {}
    }
    let head = format!(
        "HTTP/1.1 206 Partial Content\r\nContent-Range: bytes {}-{}/{total}\r\n\
         Content-Length: {}\r\nConnection: close\r\n{extra}\r\n",
        first + shift,
        last + shift,
        body.len()
    );
    stream.write_all(head.as_bytes())?;
    send(&mut stream, &body, answer)
}

fn send(stream: &mut TcpStream, body: &[u8], answer: Answer) -> std::io::Result<()> {
    match answer {
        Answer::Truncated => stream.write_all(&body[..body.len() / 2]),
        Answer::Silent => {
            // Waits until the client closes the connection.
            let _ = stream.read(&mut [0])?;
            Ok(())
        }
        Answer::Slow => body.chunks(1).try_for_each(|byte| {
            thread::sleep(Duration::from_millis(20));
            stream.write_all(byte)
        }),
        _ => stream.write_all(body),
    }
}

fn send_whole(stream: &mut TcpStream, file: &[u8]) -> std::io::Result<()> {
    let head = format!(
        "HTTP/1.1 200 OK\r\nContent-Length: {}\r\nConnection: close\r\n\r\n",
        file.len()
    );
    stream.write_all(head.as_bytes())?;
    stream.write_all(file)
}

fn read_head(stream: &mut TcpStream) -> std::io::Result<String> {
    let mut head = Vec::new();
    let mut byte = [0];
    while !head.ends_with(b"\r\n\r\n") && stream.read(&mut byte)? == 1 {
        head.push(byte[0]);
    }
    Ok(String::from_utf8_lossy(&head).into_owned())
}

/// Returns the range in the request head, or the whole file if there is none.
fn range(head: &str, len: usize) -> (usize, usize) {
    let lower = head.to_ascii_lowercase();
    let Some((_, rest)) = lower.split_once("range: bytes=") else {
        return (0, len - 1);
    };
    let text = rest.lines().next().unwrap_or_default();
    let (first, last) = text.split_once('-').unwrap();
    (first.parse().unwrap(), last.parse().unwrap())
}
