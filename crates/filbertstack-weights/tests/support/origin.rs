//! A server of ranges on loopback, with the faults an origin can have.

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

/// How the server answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    /// As asked.
    Good,
    /// 200 with the whole file.
    Whole,
    /// 206 with a range that starts one byte later.
    Shifted,
    /// The right head, half the body, then the connection is cut.
    Cut,
    /// The right head, then one byte each 20 ms.
    Slow,
    /// The right head and no body, connection left open.
    Silent,
    /// The right range of a file that has become longer.
    Longer,
    /// The right range under another version's header.
    OtherVersion,
    /// The right range with a byte flipped.
    Corrupt,
    /// 503 with `Retry-After: 7`.
    Busy,
    /// 404.
    Missing,
}

/// The running server; dropping it ends its thread.
pub struct Origin {
    pub addr: SocketAddr,
    pub answer: Arc<Mutex<Answer>>,
    pub asked: Arc<Mutex<usize>>,
    stop: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl Origin {
    /// Serves `file` under every path.
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
                // A client that gave up closes the connection: the write's error is expected.
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
        Answer::Whole => return whole(&mut stream, file),
        Answer::Busy => {
            return stream.write_all(
                b"HTTP/1.1 503 No\r\nRetry-After: 7\r\nContent-Length: 0\r\nConnection: close\r\n\r\n",
            );
        }
        Answer::Missing => {
            return stream
                .write_all(b"HTTP/1.1 404 No\r\nContent-Length: 0\r\nConnection: close\r\n\r\n");
        }
        Answer::Shifted => shift = 1,
        Answer::Longer => total += 1,
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
        Answer::Cut => stream.write_all(&body[..body.len() / 2]),
        Answer::Silent => {
            // Until the client closes.
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

fn whole(stream: &mut TcpStream, file: &[u8]) -> std::io::Result<()> {
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

/// The range that the head asks for; the whole file if it asks for none.
fn range(head: &str, len: usize) -> (usize, usize) {
    let lower = head.to_ascii_lowercase();
    let Some((_, rest)) = lower.split_once("range: bytes=") else {
        return (0, len - 1);
    };
    let text = rest.lines().next().unwrap_or_default();
    let (first, last) = text.split_once('-').unwrap();
    (first.parse().unwrap(), last.parse().unwrap())
}
