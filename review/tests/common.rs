//! What the scripts of the review share: the processes of a small deployment on loopback, stand-ins for
//! servers that speak HTTP, and the record of a run.

#![allow(dead_code, reason = "each script uses a part of this file")]

use std::fs;
use std::fs::File;
use std::io;
use std::io::Read as _;
use std::io::Write as _;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

/// The exit code of a script whose rule held.
pub const HELD: i32 = 0;

/// The exit code of a script whose rule was broken.
pub const BROKEN: i32 = 1;

/// The exit code of a script that could not run.
pub const NOT_RUN: i32 = 2;

/// A script that is not done by then is ended.
const LONGEST_RUN: Duration = Duration::from_secs(112);

/// A state that a script waits for takes no longer than this.
const STATE_TIMEOUT: Duration = Duration::from_secs(40);

/// The process ids of all processes that the script started.
static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Returns whether the run has the disruption.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// Returns the Unix time in milliseconds.
pub fn unix_ms() -> u128 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    now.unwrap_or_default().as_millis()
}

/// Ends the script as one that could not run if it takes too long.
pub fn start_watchdog() {
    thread::spawn(|| {
        thread::sleep(LONGEST_RUN);
        eprintln!("the script took too long");
        end_all();
        std::process::exit(NOT_RUN);
    });
}

/// Kills all processes that the script started, by their ids.
pub fn end_all() {
    let started = STARTED.lock().map(|s| s.clone()).unwrap_or_default();
    for id in started {
        signal_id(id, "KILL");
    }
}

fn signal_id(id: u32, signal: &str) {
    let _ = Command::new("kill")
        .args([format!("-{signal}"), id.to_string()])
        .stderr(Stdio::null())
        .status();
}

/// Ends the script with this code, and all processes before it.
pub fn finish(record: &Record, code: i32, why: &str) -> ! {
    record.note(&format!("exit {code}: {why}"));
    println!("exit {code}: {why}");
    end_all();
    std::process::exit(code);
}

/// The record of a run. Clones share the file.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    began: Instant,
}

impl Record {
    /// Creates the record at the path that the script names.
    pub fn create() -> Self {
        let path = std::env::args().nth(1).unwrap_or("record.txt".into());
        let file = File::create(path).expect("the record can be written");
        let record = Self {
            file: Arc::new(Mutex::new(file)),
            began: Instant::now(),
        };
        let trouble = if has_trouble() { "with" } else { "without" };
        record.note(&format!("run {trouble} the disruption"));
        record
    }

    /// Writes a line with the milliseconds since the start.
    pub fn note(&self, text: &str) {
        let ms = self.began.elapsed().as_millis();
        if let Ok(mut file) = self.file.lock() {
            let _ = writeln!(file, "{ms:>7} {text}");
        }
    }
}

/// Waits until `state` returns true; ends the script as one that could not run if it never does.
pub fn wait_until(record: &Record, what: &str, state: impl Fn() -> bool) {
    let began = Instant::now();
    while !state() {
        if began.elapsed() > STATE_TIMEOUT {
            finish(record, NOT_RUN, &format!("never: {what}"));
        }
        thread::sleep(Duration::from_millis(20));
    }
}

/// The ports of a process; they are the same on all addresses.
#[derive(Clone, Copy)]
struct Ports(u16);

impl Ports {
    fn link(self) -> u16 {
        self.0
    }
    fn metrics(self) -> u16 {
        self.0 + 1
    }
    fn control(self) -> u16 {
        self.0 + 2
    }
    fn ready(self) -> u16 {
        self.0 + 3
    }
    fn front(self) -> u16 {
        self.0 + 4
    }
    fn directory(self) -> u16 {
        self.0 + 5
    }
    fn app(self) -> u16 {
        self.0 + 6
    }
}

/// The number of ports that a process may use.
const PORT_COUNT: u16 = 7;

/// The processes of a small deployment. Each has a loopback address of its own, and all have the same ports.
pub struct Cluster {
    folder: PathBuf,
    net: String,
    ports: Ports,
    voters: usize,
    entries: usize,
    processes: Vec<Option<Child>>,
    record: Record,
}

impl Cluster {
    /// Starts `voters` entries with a disk and `others` without.
    pub fn start(record: &Record, voters: usize, others: usize) -> Self {
        let Some((net, ports)) = find_free() else {
            finish(record, NOT_RUN, "no free ports");
        };
        let folder = std::env::temp_dir().join(format!("review-{}", std::process::id()));
        let mut cluster = Self {
            folder,
            net,
            ports,
            voters,
            entries: voters + others,
            processes: Vec::new(),
            record: record.clone(),
        };
        fs::create_dir_all(&cluster.folder).expect("a temporary folder");
        for n in 0..cluster.entries {
            cluster.processes.push(None);
            cluster.write_entry(n, true);
            cluster.launch(n);
        }
        cluster
    }

    /// Returns the address of process `n`, counted from 0, entries first.
    fn ip(&self, n: usize) -> String {
        format!("{}.{}", self.net, n + 1)
    }

    fn addr(&self, n: usize, port: u16) -> SocketAddr {
        format!("{}:{port}", self.ip(n))
            .parse()
            .expect("an address")
    }

    /// Returns the address at which callers reach an entry.
    pub fn front(&self, n: usize) -> SocketAddr {
        self.addr(n, self.ports.front())
    }

    /// Returns the address at which operators and servers reach an entry.
    pub fn control(&self, n: usize) -> SocketAddr {
        self.addr(n, self.ports.control())
    }

    /// Returns the address of the engine beside the agent `n`, counted from 0.
    pub fn app(&self, n: usize) -> SocketAddr {
        self.addr(self.entries + n, self.ports.app())
    }

    /// Returns a free address of the deployment that no process of it has, such as for a service.
    pub fn spare(&self, n: usize) -> SocketAddr {
        self.addr(100 + n, self.ports.app())
    }

    /// Returns the number of entries.
    pub fn entries(&self) -> usize {
        self.entries
    }

    fn settings_path(&self, n: usize) -> PathBuf {
        self.folder.join(format!("node-{n}.ini"))
    }

    /// Writes the settings in the form that the template of the deploy file has.
    fn write_node(&self, n: usize, first: bool, data: &str, listen: &str, target: &str) {
        let ip = self.ip(n);
        let seeds: Vec<String> = (0..self.voters.min(3))
            .map(|seed| self.control(seed).to_string())
            .collect();
        let text = format!(
            "[node]\nname = node-{n}\nzone = z{zone}\nlink = {ip}:{link}\nseeds = {seeds}\n\
             first-start = {first}\ndata = {data}\n\n[listen]\n{listen}metrics = {ip}:{metrics}\n\n\
             [target]\n{target}\n[bounds]\ngrace-s = 8\nkeep-s = 5\nrollout-ms = 8000\n\
             repeat-ratio = 0.2\nrepeat-allowance = 110\n\n\
             [regions]\nz0 = r0\nz1 = r1\nz2 = r2\n\n\
             [features]\nenabled = base,drain,config,cost,retry,recover,engine,stream,tenants,chunks\n",
            zone = n % 3,
            link = self.ports.link(),
            metrics = self.ports.metrics(),
            seeds = seeds.join(","),
        );
        fs::write(self.settings_path(n), text).expect("the settings");
    }

    fn write_entry(&self, n: usize, first: bool) {
        let ip = self.ip(n);
        let listen = format!(
            "front = {ip}:{}\nready = {ip}:{}\ncontrol = {ip}:{}\ndirectory = {ip}:{}\n",
            self.ports.front(),
            self.ports.ready(),
            self.ports.control(),
            self.ports.directory(),
        );
        let data = if n < self.voters {
            self.folder.join(format!("data-{n}")).display().to_string()
        } else {
            String::new()
        };
        self.write_node(n, first, &data, &listen, "");
    }

    /// Starts the agent beside the engine `n` of `service`, which has to listen at [`Cluster::app`].
    pub fn start_agent(&mut self, n: usize, service: &str) {
        let process = self.entries + n;
        while self.processes.len() <= process {
            self.processes.push(None);
        }
        let target = format!("engine = {}\nservice = {service}\n", self.app(n));
        self.write_node(process, true, "", "", &target);
        self.launch(process);
    }

    /// Returns the number of the process of the agent `n`.
    pub fn agent(&self, n: usize) -> usize {
        self.entries + n
    }

    /// Starts a process with the command of the deploy file.
    pub fn launch(&mut self, n: usize) {
        let role = if n < self.entries {
            "gateway"
        } else {
            "gateway-agent"
        };
        let log = File::options()
            .create(true)
            .append(true)
            .open(self.folder.join(format!("log-{n}")))
            .expect("a log");
        let child = Command::new("target/release/filbertstack")
            .arg(role)
            .env("FILBERTSTACK_BOOT", self.settings_path(n))
            .stdout(log)
            .stderr(Stdio::null())
            .spawn();
        let Ok(child) = child else {
            finish(
                &self.record,
                NOT_RUN,
                "the program of the deploy file is not built",
            );
        };
        if let Ok(mut started) = STARTED.lock() {
            started.push(child.id());
        }
        self.record
            .note(&format!("process {n} ({role}) started, id {}", child.id()));
        self.processes[n] = Some(child);
    }

    /// Sends a signal to a process.
    pub fn signal(&self, n: usize, signal: &str) {
        if let Some(child) = &self.processes[n] {
            self.record.note(&format!("process {n} gets SIG{signal}"));
            signal_id(child.id(), signal);
        }
    }

    /// Kills a process and waits for its end.
    pub fn kill(&mut self, n: usize) {
        if let Some(mut child) = self.processes[n].take() {
            self.record.note(&format!("process {n} is killed"));
            let _ = child.kill();
            let _ = child.wait();
            if let Ok(mut started) = STARTED.lock() {
                started.retain(|id| *id != child.id());
            }
        }
    }

    /// Kills an entry that has a disk, and starts it again later with an empty one.
    pub fn lose_disk(&mut self, n: usize, down: Duration) {
        self.kill(n);
        let _ = fs::remove_dir_all(self.folder.join(format!("data-{n}")));
        self.record.note(&format!("process {n} has lost its disk"));
        self.write_entry(n, false);
        thread::sleep(down);
        self.launch(n);
    }

    /// Returns whether a process has ended by itself.
    pub fn has_ended(&mut self, n: usize) -> bool {
        let child = self.processes[n].as_mut();
        child.is_some_and(|child| child.try_wait().is_ok_and(|end| end.is_some()))
    }

    /// Returns what a process has logged.
    pub fn logged(&self, n: usize) -> String {
        fs::read_to_string(self.folder.join(format!("log-{n}"))).unwrap_or_default()
    }

    /// Returns whether the readiness check of an entry is answered with 200.
    pub fn is_ready(&self, n: usize) -> bool {
        let addr = self.addr(n, self.ports.ready());
        let request = "GET /readiness HTTP/1.1\r\nHost: r\r\nConnection: close\r\n\r\n";
        call(addr, request.as_bytes(), Duration::from_secs(1)).is_some_and(|a| a.status == 200)
    }

    /// Makes a call to the control address of an entry.
    pub fn order(&self, n: usize, method: &str, path: &str, body: &str) -> Option<Answer> {
        let request = format!(
            "{method} {path} HTTP/1.1\r\nHost: control\r\nConnection: close\r\n\
             Content-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        );
        call(self.control(n), request.as_bytes(), Duration::from_secs(1))
    }

    /// Sends a call to one entry after another until one acknowledges it.
    pub fn order_until_acked(&self, method: &str, path: &str, body: &str) {
        wait_until(&self.record, path, || {
            (0..self.entries).any(|n| {
                let answer = self.order(n, method, path, body);
                answer.is_some_and(|a| a.status == 200)
            })
        });
        self.record.note(&format!("{method} {path} acknowledged"));
    }

    /// Waits until all entries are ready.
    pub fn await_ready(&self) {
        wait_until(&self.record, "all entries are ready", || {
            (0..self.entries).all(|n| self.is_ready(n))
        });
    }

    /// Ends all processes and removes their folder.
    pub fn end(&mut self) {
        for n in 0..self.processes.len() {
            self.kill(n);
        }
        if std::env::var_os("KEEP").is_none() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

/// Returns a part of loopback and ports that no process uses.
fn find_free() -> Option<(String, Ports)> {
    let id = std::process::id();
    let tries = (0..200u32).map(|n| id.wrapping_mul(31).wrapping_add(n * 7_919));
    for seed in tries {
        let net = format!("127.{}.{}", 20 + seed % 200, (seed / 200) % 250);
        let base = 20_000 + u16::try_from(seed % 1_500).ok()? * 8;
        let free = |host: u32, port: u16| TcpListener::bind(format!("{net}.{host}:{port}")).is_ok();
        let ports = base..base + PORT_COUNT;
        if ports.clone().all(|port| free(1, port) && free(9, port)) {
            return Some((net, Ports(base)));
        }
    }
    None
}

/// An HTTP answer that was read to its end, or to the end of its connection.
#[derive(Clone, Debug)]
pub struct Answer {
    /// The status.
    pub status: u16,
    /// The head, in lower case.
    pub head: String,
    /// The body, without chunk marks.
    pub body: Vec<u8>,
    /// Whether the body is complete.
    pub complete: bool,
}

/// Sends a request on a new connection and reads the answer.
pub fn call(addr: SocketAddr, request: &[u8], longest: Duration) -> Option<Answer> {
    let mut stream = TcpStream::connect_timeout(&addr, Duration::from_secs(1)).ok()?;
    stream.set_read_timeout(Some(longest)).ok()?;
    stream.write_all(request).ok()?;
    read_answer(&mut stream)
}

/// Reads an answer; `None` if its connection ends before its head is complete.
pub fn read_answer(stream: &mut TcpStream) -> Option<Answer> {
    let mut bytes = Vec::new();
    let mut buffer = [0; 16 << 10];
    let head_end = loop {
        if let Some(at) = find(&bytes, b"\r\n\r\n") {
            break at + 4;
        }
        let count = stream.read(&mut buffer).ok()?;
        if count == 0 {
            return None;
        }
        bytes.extend_from_slice(&buffer[..count]);
    };
    let head = String::from_utf8_lossy(&bytes[..head_end]).to_lowercase();
    let status = head.split(' ').nth(1)?.parse().ok()?;
    let mut rest = bytes.split_off(head_end);
    let length: Option<usize> = header(&head, "content-length").and_then(|l| l.parse().ok());
    let chunked = header(&head, "transfer-encoding").is_some_and(|t| t.contains("chunked"));
    loop {
        let (body, whole) = if chunked {
            join_chunks(&rest)
        } else {
            let whole = length.is_some_and(|length| rest.len() >= length);
            (rest.clone(), whole)
        };
        let ended = if whole {
            true
        } else {
            match stream.read(&mut buffer) {
                Ok(count) if count > 0 => {
                    rest.extend_from_slice(&buffer[..count]);
                    false
                }
                _ => true,
            }
        };
        if ended {
            return Some(Answer {
                status,
                head,
                body,
                complete: whole,
            });
        }
    }
}

/// Returns the content of the chunks that are there, and whether the last one is.
fn join_chunks(mut bytes: &[u8]) -> (Vec<u8>, bool) {
    let mut body = Vec::new();
    while let Some(at) = find(bytes, b"\r\n") {
        let size = std::str::from_utf8(&bytes[..at]).unwrap_or("x");
        let Ok(size) = usize::from_str_radix(size.trim(), 16) else {
            return (body, false);
        };
        if size == 0 {
            return (body, true);
        }
        let Some(chunk) = bytes.get(at + 2..at + 2 + size) else {
            return (body, false);
        };
        body.extend_from_slice(chunk);
        bytes = bytes.get(at + 4 + size..).unwrap_or_default();
    }
    (body, false)
}

fn find(bytes: &[u8], wanted: &[u8]) -> Option<usize> {
    bytes.windows(wanted.len()).position(|part| part == wanted)
}

/// Returns the value of a header of a head in lower case.
pub fn header<'a>(head: &'a str, name: &str) -> Option<&'a str> {
    let mut lines = head.lines();
    lines.find_map(|line| {
        let (found, value) = line.split_once(':')?;
        (found == name).then_some(value.trim())
    })
}

/// A request as a server received it.
#[derive(Clone, Debug)]
pub struct Received {
    /// The method and the path with its query.
    pub line: String,
    /// The head, in lower case.
    pub head: String,
    /// The body.
    pub body: Vec<u8>,
}

impl Received {
    /// Returns the value of a header; empty if it is missing.
    pub fn header(&self, name: &str) -> &str {
        header(&self.head, name).unwrap_or_default()
    }

    /// Returns the number after `name=` in the query.
    pub fn number(&self, name: &str) -> Option<usize> {
        let (_, rest) = self.line.split_once(&format!("{name}="))?;
        let digits = rest.split(|c: char| !c.is_ascii_digit()).next()?;
        digits.parse().ok()
    }
}

/// Reads the next request of a connection; `None` at its end.
pub fn read_request(stream: &mut TcpStream) -> Option<Received> {
    let mut bytes = Vec::new();
    let mut byte = [0; 1];
    while !bytes.ends_with(b"\r\n\r\n") {
        if stream.read(&mut byte).ok()? == 0 {
            return None;
        }
        bytes.push(byte[0]);
    }
    let text = String::from_utf8_lossy(&bytes).into_owned();
    let line = text.lines().next()?;
    let mut words = line.split(' ');
    let line = format!("{} {}", words.next()?, words.next()?);
    let head = text.to_lowercase();
    let length = header(&head, "content-length").and_then(|l| l.parse().ok());
    let mut body = vec![0; length.unwrap_or(0)];
    stream.read_exact(&mut body).ok()?;
    Some(Received { line, head, body })
}

/// Writes a complete answer with a length; `extra` are more lines of its head.
pub fn write_answer(
    stream: &mut TcpStream,
    status: &str,
    extra: &str,
    body: &[u8],
) -> io::Result<()> {
    let head = format!(
        "HTTP/1.1 {status}\r\n{extra}Content-Length: {}\r\n\r\n",
        body.len()
    );
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)
}
