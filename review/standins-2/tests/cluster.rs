//! Entries of the project, started with the command of the deploy file.

use std::fs;
use std::fs::File;
use std::io;
use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::thread::sleep;
use std::time::Duration;
use std::time::Instant;

use crate::Failure;
use crate::http;
use crate::http::Request;
use crate::record::Record;

/// The program and its argument, as `deploy/system.toml` names them.
const PROGRAM: [&str; 2] = ["target/release/filbertstack", "gateway"];

/// The ports of an entry: for links, metrics, operators and servers, readiness, clients, and look-ups.
const PORTS: [u16; 6] = [7700, 7701, 8000, 8002, 8005, 8009];
const CONTROL: u16 = 8000;
const FRONT: u16 = 8005;

/// The port of a server.
const SERVER: u16 = 9000;

/// The last byte of the address of the first server.
const FIRST_SERVER: u8 = 101;

/// How many addresses a case may use for servers.
const SERVERS: u8 = 16;

/// How long a state may take that a sound system reaches in a few seconds.
const STATE_TIMEOUT: Duration = Duration::from_secs(25);

/// The memory of a machine in the users' sheets, in megabytes.
pub const MEMORY_MB: u64 = 260;

/// Entries that know each other; the first of them have disks.
pub struct Cluster {
    record: Record,
    folder: PathBuf,
    net: [u8; 2],
    processes: Vec<Mutex<Option<Child>>>,
}

impl Cluster {
    /// Starts `voters` entries with a disk and `others` without.
    pub fn start(record: &Record, voters: usize, others: usize) -> Result<Self, Failure> {
        let count = voters + others;
        let folder = std::env::temp_dir().join(format!("review-2-{}", std::process::id()));
        fs::create_dir_all(&folder)?;
        let cluster = Self {
            record: record.clone(),
            folder,
            net: free_net(count)?,
            processes: (0..count).map(|_| Mutex::new(None)).collect(),
        };
        for n in 0..count {
            cluster.write_settings(n, voters)?;
            cluster.launch(n)?;
        }
        Ok(cluster)
    }

    /// Returns the number of entries.
    pub fn count(&self) -> usize {
        self.processes.len()
    }

    fn ip(&self, last: u8) -> IpAddr {
        Ipv4Addr::new(127, self.net[0], self.net[1], last).into()
    }

    fn entry_ip(&self, n: usize) -> IpAddr {
        self.ip(u8::try_from(n + 1).unwrap_or(u8::MAX))
    }

    /// Returns where operators and servers call entry `n`.
    pub fn control(&self, n: usize) -> SocketAddr {
        SocketAddr::new(self.entry_ip(n), CONTROL)
    }

    /// Returns where clients call entry `n`.
    pub fn front(&self, n: usize) -> SocketAddr {
        SocketAddr::new(self.entry_ip(n), FRONT)
    }

    /// Returns the address of server `n`.
    pub fn server(&self, n: u8) -> SocketAddr {
        SocketAddr::new(self.ip(FIRST_SERVER + n), SERVER)
    }

    fn write_settings(&self, n: usize, voters: usize) -> io::Result<()> {
        let ip = self.entry_ip(n);
        let data = self.folder.join(format!("data-{n}"));
        let data = if n < voters {
            data.display().to_string()
        } else {
            String::new()
        };
        let seeds: Vec<String> = (0..voters.min(3))
            .map(|seed| self.control(seed).to_string())
            .collect();
        let text = format!(
            "[node]\nname = front-{n}\nzone = zone-{zone}\nlink = {ip}:7700\nseeds = {seeds}\n\
             first-start = true\ndata = {data}\n\
             [listen]\nfront = {ip}:8005\nready = {ip}:8002\ncontrol = {ip}:8000\n\
             directory = {ip}:8009\nmetrics = {ip}:7701\n\
             [bounds]\ngrace-s = 8\nkeep-s = 5\nrollout-ms = 8000\nrepeat-ratio = 0.2\n\
             repeat-allowance = 110\n\
             [limits]\nmemory-mb = {MEMORY_MB}\ndescriptors = 4100\n\
             [regions]\nzone-0 = region-0\nzone-1 = region-1\nzone-2 = region-2\n\
             [features]\n\
             enabled = [\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\",\"engine\",\"stream\",\"tenants\"]\n",
            zone = n % 3,
            seeds = seeds.join(","),
        );
        fs::write(self.settings(n), text)
    }

    fn settings(&self, n: usize) -> PathBuf {
        self.folder.join(format!("node-{n}.ini"))
    }

    /// Starts entry `n`.
    pub fn launch(&self, n: usize) -> io::Result<()> {
        let log = File::options()
            .create(true)
            .append(true)
            .open(self.folder.join(format!("log-{n}")))?;
        let child = Command::new(PROGRAM[0])
            .arg(PROGRAM[1])
            .env_clear()
            .env("PATH", std::env::var_os("PATH").unwrap_or_default())
            .env("FILBERTSTACK_BOOT", self.settings(n))
            .stdin(Stdio::null())
            .stderr(log.try_clone()?)
            .stdout(log)
            .spawn()?;
        self.record.add(format!("entry {n} starts"));
        *self.lock(n) = Some(child);
        Ok(())
    }

    fn lock(&self, n: usize) -> std::sync::MutexGuard<'_, Option<Child>> {
        let process = self.processes[n].lock();
        process.unwrap_or_else(PoisonError::into_inner)
    }

    /// Sends SIGKILL to entry `n` and waits for its end.
    pub fn kill(&self, n: usize) {
        if let Some(mut child) = self.lock(n).take() {
            let _ = child.kill();
            let _ = child.wait();
            self.record.add(format!("entry {n} killed"));
        }
    }

    /// Sends a signal to entry `n`.
    pub fn signal(&self, n: usize, name: &str) -> io::Result<()> {
        let Some(id) = self.lock(n).as_ref().map(Child::id) else {
            return Ok(());
        };
        self.record.add(format!("entry {n} gets SIG{name}"));
        let sent = Command::new("kill")
            .arg(format!("-{name}"))
            .arg(id.to_string())
            .status()?;
        if sent.success() {
            return Ok(());
        }
        Err(io::Error::other("kill failed"))
    }

    /// Returns the memory of entry `n` in bytes; `None` while it does not run.
    pub fn memory(&self, n: usize) -> Option<u64> {
        let id = self.lock(n).as_ref().map(Child::id)?;
        let status = fs::read_to_string(format!("/proc/{id}/status")).ok()?;
        let line = status.lines().find(|line| line.starts_with("VmRSS:"))?;
        let kilobytes: u64 = line.split_whitespace().nth(1)?.parse().ok()?;
        Some(kilobytes * 1024)
    }

    /// Returns whether entry `n` has ended by itself.
    pub fn has_ended(&self, n: usize) -> bool {
        let mut process = self.lock(n);
        let child = process.as_mut();
        child.is_some_and(|child| matches!(child.try_wait(), Ok(Some(_))))
    }

    /// Sends a configuration once to entry `n`. Returns whether it was acknowledged.
    pub fn put_config(&self, n: usize, body: &[u8], wait: Duration) -> bool {
        let request = Request {
            method: "PUT",
            path: "/config",
            headers: &[("Host", "control"), ("Content-Type", "application/json")],
            body,
        };
        let answer = http::call(self.control(n), &request, wait);
        answer.is_ok_and(|answer| answer.status == 200)
    }

    /// Sends a configuration to one entry after the other until it is acknowledged.
    pub fn put_until_acknowledged(&self, body: &[u8]) -> Result<(), Failure> {
        let began = Instant::now();
        for n in (0..self.count()).cycle() {
            if self.put_config(n, body, Duration::from_secs(2)) {
                self.record.add("configuration acknowledged");
                return Ok(());
            }
            if began.elapsed() > STATE_TIMEOUT {
                return Err("no configuration was acknowledged".into());
            }
            sleep(Duration::from_millis(200));
        }
        Ok(())
    }

    /// Waits until `reached` is true.
    pub fn wait_for(what: &str, reached: impl Fn() -> bool) -> Result<(), Failure> {
        let began = Instant::now();
        while !reached() {
            if began.elapsed() > STATE_TIMEOUT {
                return Err(format!("not reached: {what}").into());
            }
            sleep(Duration::from_millis(100));
        }
        Ok(())
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        for n in 0..self.count() {
            self.kill(n);
        }
        let _ = fs::remove_dir_all(&self.folder);
    }
}

/// Returns a part of loopback where all ports are free that a case uses.
fn free_net(entries: usize) -> Result<[u8; 2], Failure> {
    let start = std::process::id();
    for attempt in 0..200_u32 {
        let number = start.wrapping_mul(7).wrapping_add(attempt * 131);
        let high = u8::try_from(20 + number % 200)?;
        let low = u8::try_from(1 + number / 200 % 250)?;
        let entries = (1..=u8::try_from(entries)?).flat_map(|last| PORTS.map(|port| (last, port)));
        let servers = (0..SERVERS).map(|n| (FIRST_SERVER + n, SERVER));
        let is_free = |(last, port): (u8, u16)| {
            TcpListener::bind((Ipv4Addr::new(127, high, low, last), port)).is_ok()
        };
        if entries.chain(servers).all(is_free) {
            return Ok([high, low]);
        }
    }
    Err("no free ports".into())
}
