//! A server as the users' pages describe it, in a process of its own.
//!
//! It announces itself about every second, answers each request with its seal, and prints a line for each request
//! that it begins. A request whose body is `crash` crashes it: it prints that and does nothing more until it is
//! killed. At the line `leave` on its input it stops as planned: it reports that it drains, serves on for a while,
//! says that it leaves, and exits.

use std::io;
use std::io::BufRead as _;
use std::io::BufReader;
use std::io::Read as _;
use std::io::Write as _;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::process::ExitCode;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread::sleep;
use std::thread::spawn;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use crate::http;
use crate::http::Head;
use crate::http::Request;

/// How often the server announces itself.
const HEARTBEAT: Duration = Duration::from_millis(1_000);

/// How long a call to a node may take before the next node is called.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// How long a server serves on after its drain was acknowledged: `drainMs` and a little longer.
const DRAIN: Duration = Duration::from_millis(2_300);

/// The length of a file.
pub const FILE_BYTES: usize = 768 << 10;

/// The paths of files begin like this.
pub const FILES: &str = "/files/";

/// The answers at paths that begin like this have neither a length nor chunks, and end with their connection.
pub const UNFRAMED: &str = "/unframed/";

/// A request that crashes servers does so this long after it began, at paths that begin like this.
pub const LATE: &str = "/late/";
const LATE_CRASH: Duration = Duration::from_millis(1_500);

/// What an answer without a length begins with.
const BEGIN: &[u8] = b"the first line of the answer\n";

/// The body of a request that crashes servers.
pub const CRASH: &[u8] = b"crash";

/// The answers at paths that begin like this are streams of events, in chunks.
pub const STREAMS: &str = "/chat/";

/// The part of prompts that crashes servers.
pub const CRASHING_PART: &str = "dead";

struct Server {
    addr: SocketAddr,
    id: String,
    service: String,
    zone: String,
    /// The nodes that serve control. The first is called first when the server leaves.
    control: Vec<SocketAddr>,
    born: u128,
    sequence: AtomicU64,
    draining: AtomicBool,
}

/// Runs a server: `ADDRESS ID SERVICE ZONE CONTROL,...`.
pub fn run(args: &[&str]) -> ExitCode {
    let [addr, id, service, zone, control] = args else {
        return ExitCode::from(2);
    };
    let control: Result<Vec<SocketAddr>, _> = control.split(',').map(str::parse).collect();
    let (Ok(addr), Ok(control)) = (addr.parse(), control) else {
        return ExitCode::from(2);
    };
    let born = SystemTime::now().duration_since(UNIX_EPOCH);
    let server = Arc::new(Server {
        addr,
        id: (*id).to_owned(),
        service: (*service).to_owned(),
        zone: (*zone).to_owned(),
        control,
        born: born.map_or(0, |since| since.as_millis()),
        sequence: AtomicU64::new(0),
        draining: AtomicBool::new(false),
    });
    let Ok(listener) = TcpListener::bind(server.addr) else {
        return ExitCode::from(2);
    };
    let announcing = server.clone();
    spawn(move || announcing.announce());
    let leaving = server.clone();
    spawn(move || leaving.obey());
    for stream in listener.incoming().flatten() {
        let server = server.clone();
        spawn(move || server.serve(stream));
    }
    ExitCode::SUCCESS
}

impl Server {
    /// Sends heartbeats to the address that the last answer named, or else to one node after the other.
    fn announce(&self) {
        let mut direct = None;
        loop {
            let next = direct.and_then(|node| self.put(node));
            let others = || self.control.iter().rev().find_map(|node| self.put(*node));
            direct = next.or_else(others);
            sleep(HEARTBEAT);
        }
    }

    /// Sends a heartbeat. Returns the address for the next one, or `None` if it was not acknowledged.
    fn put(&self, node: SocketAddr) -> Option<SocketAddr> {
        let sequence = self.sequence.fetch_add(1, Ordering::Relaxed) + 1;
        let draining = self.draining.load(Ordering::Relaxed);
        let state = if draining { "draining" } else { "ready" };
        let body = format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"slots\":16,\
             \"state\":\"{state}\",\"coldRemainingMs\":0,\"sequence\":{sequence},\"born\":{}}}",
            self.service, self.addr, self.zone, self.born
        );
        let answer = self.call(node, "PUT", body.as_bytes())?;
        Some(heartbeat_address(&answer).unwrap_or(node))
    }

    /// Makes a call to a node. Returns the body of its answer if that acknowledges the call.
    fn call(&self, node: SocketAddr, method: &str, body: &[u8]) -> Option<Vec<u8>> {
        let path = format!("/instances/{}", self.id);
        let request = Request {
            method,
            path: &path,
            headers: &[("Host", "control"), ("Content-Type", "application/json")],
            body,
        };
        let answer = http::call(node, &request, CALL_TIMEOUT).ok();
        let acknowledged = answer.filter(|answer| answer.status == 200);
        print(&format!(
            "{method} to {node} acknowledged {}",
            acknowledged.is_some()
        ));
        acknowledged.map(|answer| answer.body)
    }

    fn obey(&self) {
        let mut line = String::new();
        if io::stdin().read_line(&mut line).is_err() || line.trim() != "leave" {
            return;
        }
        self.draining.store(true, Ordering::Relaxed);
        print("draining");
        while !self
            .control
            .iter()
            .rev()
            .any(|node| self.put(*node).is_some())
        {
            sleep(HEARTBEAT);
        }
        sleep(DRAIN);
        for node in &self.control {
            if self.call(*node, "DELETE", b"").is_some() {
                break;
            }
        }
        std::process::exit(0);
    }

    /// Says that a request crashes this server, and does nothing more until it is killed.
    fn crash(&self, attempt: &str, path: &str) -> ! {
        print(&format!("crash {attempt} {path}"));
        loop {
            sleep(HEARTBEAT);
        }
    }

    fn serve(&self, stream: TcpStream) {
        // The connection ends with the first error.
        let _ = self.answer_all(stream);
    }

    fn answer_all(&self, mut stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut reader = BufReader::new(stream.try_clone()?);
        while let Some(head) = Head::read(&mut reader)? {
            let mut body = vec![0; head.length()];
            reader.read_exact(&mut body)?;
            let attempt = head.get("x-filbertstack-attempt-id").unwrap_or("");
            let expected = head.get("x-filbertstack-expect-instance");
            if expected.is_some_and(|id| id != self.id) {
                write!(
                    stream,
                    "HTTP/1.1 421 Misdirected Request\r\nX-Filbertstack-Attempt-Id: {attempt}\r\n\
                     X-Filbertstack-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
                )?;
                continue;
            }
            let path = head.first.split(' ').nth(1).unwrap_or("");
            let seal = format!("{}.{attempt}", self.id);
            let unframed = path.starts_with(UNFRAMED);
            if unframed {
                write!(
                    stream,
                    "HTTP/1.1 200 OK\r\nX-Filbertstack-Attempt-Id: {attempt}\r\n\
                     X-Filbertstack-Response-Seal: {seal}\r\nConnection: close\r\n\r\n"
                )?;
                stream.write_all(BEGIN)?;
            }
            if path.starts_with(STREAMS) {
                write!(
                    stream,
                    "HTTP/1.1 200 OK\r\nX-Filbertstack-Attempt-Id: {attempt}\r\n\
                     X-Filbertstack-Response-Seal: {seal}\r\nContent-Type: text/event-stream\r\n\
                     Transfer-Encoding: chunked\r\n\r\n"
                )?;
                if has_crashing_part(&head) {
                    self.crash(attempt, path);
                }
                print(&format!("run {attempt} {path}"));
                let event = "id: 1\ndata: done\n\n";
                write!(stream, "{:x}\r\n{event}\r\n0\r\n\r\n", event.len())?;
                continue;
            }
            if body == CRASH {
                if path.starts_with(LATE) {
                    print(&format!("begins {attempt} {path}"));
                    sleep(LATE_CRASH);
                }
                self.crash(attempt, path);
            }
            print(&format!("run {attempt} {path}"));
            if unframed {
                stream.write_all(b"and the last one\n")?;
                return Ok(());
            }
            let content = if path.starts_with(FILES) {
                vec![b'x'; FILE_BYTES]
            } else {
                b"done".to_vec()
            };
            write!(
                stream,
                "HTTP/1.1 200 OK\r\nX-Filbertstack-Attempt-Id: {attempt}\r\n\
                 X-Filbertstack-Response-Seal: {seal}\r\nContent-Length: {}\r\n\r\n",
                content.len()
            )?;
            stream.write_all(&content)?;
        }
        Ok(())
    }
}

/// Returns whether the prompt of a request holds the part that crashes servers. The last part never does.
fn has_crashing_part(head: &Head) -> bool {
    let parts = head.get("x-filbertstack-prompt-prefix").unwrap_or("");
    let ids = parts.split(',').filter_map(|part| part.split(':').next());
    let ids: Vec<&str> = ids.collect();
    let shared = ids.len().saturating_sub(1);
    ids[..shared].contains(&CRASHING_PART)
}

/// Returns the address for later heartbeats that an answer names.
fn heartbeat_address(answer: &[u8]) -> Option<SocketAddr> {
    let text = std::str::from_utf8(answer).ok()?;
    let (_, named) = text.split_once("\"heartbeatUrl\"")?;
    let (_, url) = named.split_once("http://")?;
    url.split('"').next()?.trim_end_matches('/').parse().ok()
}

fn print(line: &str) {
    let mut out = io::stdout().lock();
    // Without a reader the case has ended.
    let _ = writeln!(out, "{line}");
    let _ = out.flush();
}

/// Reads the lines of a server's output until it ends.
pub fn lines(output: impl io::Read) -> impl Iterator<Item = String> {
    BufReader::new(output).lines().map_while(Result::ok)
}
