//! Entries and agents on loopback: each has an address of its own, all have the same ports.

use std::fs;
use std::io::Read as _;
use std::io::Write as _;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::thread::sleep;
use std::time::Duration;
use std::time::Instant;

use serde_json::Value;
use serde_json::json;
use tempfile::TempDir;

/// How long a state is waited for that must come: far beyond what it takes, so that it only
/// bounds a test that has failed.
const PATIENCE: Duration = Duration::from_secs(60);

/// What a leader logs when it made somebody a voter.
const PROMOTED: &str = "\"change\":\"Promote";

/// Worlds of this process so far: each gets a part of loopback of its own, and so all its ports.
static WORLDS: AtomicU32 = AtomicU32::new(0);

/// Some entries that know each other, and agents.
pub struct Cluster {
    folder: TempDir,
    /// The addresses of all processes, entries first.
    ips: Vec<String>,
    processes: Vec<Option<Child>>,
    entries: usize,
    /// The nodes that settings written from now on name as seeds.
    seeds: Vec<usize>,
    /// Whether it has ended, and nothing starts any more.
    over: bool,
}

/// An answer over HTTP.
#[derive(Debug)]
pub struct Answer {
    /// The status.
    pub status: u16,
    /// The headers, names in lower case.
    pub head: String,
    /// Everything after the head that came before the connection ended.
    pub body: String,
}

impl Cluster {
    /// Starts `voters` entries with a disk and `others` without.
    pub fn start(voters: usize, others: usize) -> Self {
        let number = WORLDS.fetch_add(1, Ordering::Relaxed);
        let process = std::process::id();
        let net = format!(
            "127.{}.{}",
            16 + process % 200,
            (process / 200 + number * 37) % 250
        );
        let count = voters + others;
        let mut world = Self {
            folder: TempDir::new().expect("a folder"),
            ips: (1..=count).map(|n| format!("{net}.{n}")).collect(),
            processes: (0..count).map(|_| None).collect(),
            entries: count,
            seeds: (0..count.min(3)).collect(),
            over: false,
        };
        for n in 0..count {
            world.write_settings(n, n < voters, true);
            world.launch(n);
        }
        world
    }

    /// Starts an agent beside an engine of `service`; its number follows those of the entries.
    pub fn start_agent(&mut self, service: &str, engine: SocketAddr) -> usize {
        let n = self.ips.len();
        let first = &self.ips[0];
        let net = first.rsplit_once('.').expect("an address").0;
        self.ips.push(format!("{net}.{}", n + 1));
        self.processes.push(None);
        let text = format!(
            "{}[target]\nengine = {engine}\nservice = {service}\n",
            self.node_settings(n, false, "")
        );
        fs::write(self.path(n), text).expect("the settings");
        self.launch(n);
        n
    }

    fn path(&self, n: usize) -> PathBuf {
        self.folder.path().join(format!("node-{n}.ini"))
    }

    fn write_settings(&self, n: usize, disk: bool, first: bool) {
        let ip = &self.ips[n];
        let data = self.folder.path().join(format!("data-{n}"));
        let data = if disk {
            data.display().to_string()
        } else {
            String::new()
        };
        let text = format!(
            "{}[listen]\nfront = {ip}:8005\nready = {ip}:8002\ncontrol = {ip}:8000\n\
             directory = {ip}:8009\nmetrics = {ip}:8010\n",
            self.node_settings(n, first, &data)
        );
        fs::write(self.path(n), text).expect("the settings");
    }

    fn node_settings(&self, n: usize, first: bool, data: &str) -> String {
        let seeds = self.seeds.iter().map(|seed| &self.ips[*seed]);
        let seeds: Vec<String> = seeds.map(|ip| format!("{ip}:8000")).collect();
        let ip = &self.ips[n];
        format!(
            "[node]\nname = node-{n}\nzone = z{n}\nlink = {ip}:7700\nseeds = {}\n\
             first-start = {first}\ndata = {data}\n",
            seeds.join(",")
        )
    }

    fn log(&self, n: usize) -> Stdio {
        let path = self.folder.path().join(format!("log-{n}"));
        let log = fs::File::options().create(true).append(true).open(path);
        log.expect("a log").into()
    }

    /// How often a leader made somebody a voter, by the logs of all entries but `n`.
    pub fn promotions(&self, n: usize) -> usize {
        let others = (0..self.entries).filter(|other| *other != n);
        let logs = others.map(|other| {
            let path = self.folder.path().join(format!("log-{other}"));
            fs::read_to_string(path).unwrap_or_default()
        });
        let count = |log: String| log.matches(PROMOTED).count();
        logs.map(count).sum()
    }

    /// Starts a process.
    pub fn launch(&mut self, n: usize) {
        if self.over {
            return;
        }
        let role = if n < self.entries {
            "gateway"
        } else {
            "gateway-agent"
        };
        let child = Command::new(env!("CARGO_BIN_EXE_filbertstack"))
            .arg(role)
            .arg("--settings")
            .arg(self.path(n))
            .stdout(self.log(n))
            .stderr(Stdio::null())
            .spawn();
        self.processes[n] = Some(child.expect("the program starts"));
    }

    /// The system's id of a process that was started.
    pub fn id(&self, n: usize) -> Option<u32> {
        self.processes[n].as_ref().map(Child::id)
    }

    /// Whether a process has ended or was never started.
    pub fn has_ended(&mut self, n: usize) -> bool {
        let Some(child) = &mut self.processes[n] else {
            return true;
        };
        child.try_wait().expect("it is ours").is_some()
    }

    /// Starts a process unless it runs.
    pub fn ensure_running(&mut self, n: usize) {
        if self.has_ended(n) {
            self.launch(n);
        }
    }

    /// Sends a signal to a process, by its id.
    pub fn signal(&self, n: usize, signal: &str) {
        if let Some(id) = self.id(n) {
            let id = id.to_string();
            let sent = Command::new("kill")
                .args([&format!("-{signal}"), &id])
                .status();
            sent.expect("kill runs");
        }
    }

    /// Kills a process at once.
    pub fn kill(&mut self, n: usize) {
        if let Some(mut child) = self.processes[n].take() {
            child.kill().expect("it is ours");
            child.wait().expect("it ends");
        }
    }

    /// Writes other seeds into the settings of all entries, of which the first `voters` have a disk.
    /// No process is told by a signal.
    pub fn name_seeds(&mut self, seeds: &[usize], voters: usize) {
        self.seeds = seeds.to_vec();
        for n in 0..self.entries {
            self.write_settings(n, n < voters, false);
        }
    }

    /// Writes another port for metrics into the settings of an entry.
    pub fn move_metrics(&self, n: usize, port: u16) {
        let text = fs::read_to_string(self.path(n)).expect("the settings");
        let moved = text.replace(":8010", &format!(":{port}"));
        fs::write(self.path(n), moved).expect("the settings");
    }

    /// Whether the log of a process holds `text`.
    pub fn has_logged(&self, n: usize, text: &str) -> bool {
        self.logged(n).contains(text)
    }

    /// The log of a process; empty if there is none.
    pub fn logged(&self, n: usize) -> String {
        let path = self.folder.path().join(format!("log-{n}"));
        fs::read_to_string(path).unwrap_or_default()
    }

    /// Kills an entry, takes its disk away and starts it again; tells how often somebody had been
    /// made a voter before.
    pub fn lose_disk(&mut self, n: usize) -> usize {
        self.kill(n);
        let before = self.promotions(n);
        fs::remove_dir_all(self.folder.path().join(format!("data-{n}"))).expect("its disk");
        self.write_settings(n, true, false);
        self.launch(n);
        before
    }

    /// Kills an entry, takes its disk away, starts it again and waits until it is a voter again.
    pub fn wipe(&mut self, n: usize) {
        let before = self.lose_disk(n);
        wait_until(&format!("node {n} is a voter again"), || {
            self.promotions(n) > before
        });
    }

    /// Kills all processes, for good: a fault that still runs down starts none again.
    pub fn end(&mut self) {
        self.over = true;
        for n in 0..self.processes.len() {
            self.kill(n);
        }
    }

    /// Asks an entry to end and waits until it has.
    pub fn stop(&mut self, n: usize) -> bool {
        self.signal(n, "TERM");
        let mut child = self.processes[n].take().expect("it runs");
        child.wait().expect("it ends").success()
    }

    /// Calls the control address of an entry.
    pub fn control(&self, n: usize, method: &str, path: &str, body: &str) -> Option<Answer> {
        let request = format!(
            "{method} {path} HTTP/1.1\r\nHost: control\r\nConnection: close\r\n\
             Content-Length: {}\r\n\r\n{body}",
            body.len()
        );
        exchange(&self.control_addr(n), &request)
    }

    /// Where operators reach an entry.
    pub fn control_addr(&self, n: usize) -> String {
        format!("{}:8000", self.ips[n])
    }

    /// Whether an entry says that it is ready: it knows what is declared, and is in contact with a
    /// leader.
    pub fn is_ready(&self, n: usize) -> bool {
        let addr = format!("{}:8002", self.ips[n]);
        let request = "GET /readiness HTTP/1.1\r\nHost: r\r\nConnection: close\r\n\r\n";
        exchange(&addr, request).is_some_and(|answer| answer.status == 200)
    }

    /// Whether an entry tells callers of all entries, and so knows them all.
    pub fn knows_all(&self, n: usize) -> bool {
        let addr = format!("{}:8009", self.ips[n]);
        let request = "GET /resolve?name=h.example&region=r&zone=z HTTP/1.1\r\nHost: d\r\n\
                       Connection: close\r\n\r\n";
        let answer = exchange(&addr, request).map(|answer| answer.body);
        let told: Value = serde_json::from_str(&answer.unwrap_or_default()).unwrap_or_default();
        let addresses = told["addresses"].as_array();
        addresses.is_some_and(|addresses| addresses.len() == self.entries)
    }

    /// What an entry's metrics say.
    pub fn metrics(&self, n: usize) -> String {
        let addr = format!("{}:8010", self.ips[n]);
        let request = "GET /metrics HTTP/1.1\r\nHost: m\r\nConnection: close\r\n\r\n";
        exchange(&addr, request).map_or(String::new(), |answer| answer.body)
    }

    /// Where callers reach an entry.
    pub fn front_addr(&self, n: usize) -> String {
        format!("{}:8005", self.ips[n])
    }

    /// Sends a caller's request to an entry and reads until the connection ends.
    pub fn call(&self, n: usize, request: &str) -> Answer {
        let addr = self.front_addr(n);
        wait_until("the entry listens", || TcpStream::connect(&addr).is_ok());
        exchange(&addr, request).expect("the entry answers")
    }

    /// Puts a document at any of the entries given until one takes it.
    pub fn put(&self, entries: &[usize], document: &Value) {
        let text = document.to_string();
        wait_until("the document is accepted", || {
            let mut tried = entries.iter();
            tried.any(|n| {
                let answer = self.control(*n, "PUT", "/config", &text);
                answer.is_some_and(|a| a.status == 200)
            })
        });
    }

    /// The version that an entry reads back, if it is sure.
    pub fn version(&self, n: usize) -> Option<u64> {
        let answer = self.control(n, "GET", "/config", "")?;
        let document: Value = serde_json::from_str(&answer.body).ok()?;
        (answer.status == 200).then(|| document["version"].as_u64())?
    }

    /// Reports a target to an entry once; the status of the answer.
    pub fn announce(&self, n: usize, id: &str, service: &str, addr: SocketAddr) -> Option<u16> {
        let body = json!({
            "service": service, "address": addr.to_string(), "zone": "z0", "version": "v1",
            "slots": 4, "state": "ready", "sequence": 1, "born": 1,
            "models": [{"name": "m", "version": 1}]
        });
        let path = format!("/instances/{id}");
        let answer = self.control(n, "PUT", &path, &body.to_string());
        answer.map(|answer| answer.status)
    }

    /// Reports a target to an entry until it is acknowledged.
    pub fn report(&self, n: usize, id: &str, service: &str, addr: SocketAddr) {
        wait_until("the report is acknowledged", || {
            self.announce(n, id, service, addr) == Some(200)
        });
    }

    /// Waits until an entry serves requests on `path`.
    pub fn await_service(&self, n: usize, path: &str) {
        wait_until("requests are served", || {
            let answer = exchange(&format!("{}:8005", self.ips[n]), &get(path, "probe", ""));
            answer.is_some_and(|a| a.status == 200)
        });
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        self.end();
    }
}

/// Waits for a state that must come.
pub fn wait_until(what: &str, state: impl Fn() -> bool) {
    let began = Instant::now();
    while !state() {
        assert!(began.elapsed() < PATIENCE, "never: {what}");
        sleep(Duration::from_millis(20));
    }
}

/// A caller's request without a body, with the headers given.
pub fn get(path: &str, attempt: &str, headers: &str) -> String {
    format!(
        "GET {path} HTTP/1.1\r\nHost: h.example\r\nX-Filbertstack-Attempt-Id: {attempt}\r\n\
         X-Filbertstack-Deadline-Ms: 5000\r\nConnection: close\r\n{headers}\r\n"
    )
}

/// Sends a request and reads until the connection ends.
pub fn exchange(addr: &str, request: &str) -> Option<Answer> {
    let mut stream = TcpStream::connect(addr).ok()?;
    stream.set_read_timeout(Some(PATIENCE)).ok()?;
    stream.write_all(request.as_bytes()).ok()?;
    let mut bytes = Vec::new();
    // A connection that is reset ends what came before.
    let _ = stream.read_to_end(&mut bytes);
    let text = String::from_utf8_lossy(&bytes).into_owned();
    let (head, body) = text.split_once("\r\n\r\n")?;
    Some(Answer {
        status: head.split(' ').nth(1)?.parse().ok()?,
        head: head.to_lowercase(),
        body: body.to_owned(),
    })
}

/// A document with a route a kind, each to its own service.
pub fn document(version: u64) -> Value {
    let route = |name: &str, kind: &str, resumable: bool| {
        json!({
            "name": name, "host": "h.example", "pathPrefix": format!("/{name}/"), "kind": kind,
            "timeoutMs": 5000, "goalMs": 1000, "priority": 1, "service": name,
            "maxAttempts": 2, "public": true, "resumable": resumable, "itlTargetMs": 1000
        })
    };
    json!({
        "version": version,
        "routes": [route("safe", "idempotent", false), route("once", "non_idempotent", false),
                   route("stream", "streaming", true)],
        "services": [{"name": "safe"}, {"name": "once"}, {"name": "stream"}]
    })
}
