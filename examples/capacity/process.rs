//! Processes of the system, and their use of resources.

use std::fs;
use std::io::BufRead;
use std::io::BufReader;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::atomic::AtomicU16;
use std::sync::atomic::Ordering;

use crate::Failure;

/// The first port that [`free_addr`] returns.
const FIRST_PORT: u16 = 20_000;

/// The number of clock ticks of processor time a second that Linux reports in `/proc`.
const TICKS_PER_SECOND: f64 = 100.0;

/// A process of the system, which is killed when the value is dropped.
pub struct Process {
    pub child: Child,
    pub first_line: String,
}

impl Process {
    /// Starts the binary and waits for the line that gives its addresses.
    pub fn start(arguments: &[&str]) -> Result<Self, Failure> {
        let mut child = Command::new(binary_path()?)
            .args(arguments)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .spawn()?;
        let stdout = child.stdout.take().ok_or("no standard output")?;
        let mut first_line = String::new();
        BufReader::new(stdout).read_line(&mut first_line)?;
        if !first_line.starts_with("listening") {
            return Err(format!("{arguments:?} said '{first_line}'").into());
        }
        Ok(Self { child, first_line })
    }

    /// Returns the first address that the process listens on.
    pub fn addr(&self) -> Result<SocketAddr, Failure> {
        let word = self.first_line.split_whitespace().nth(1);
        Ok(word.ok_or("no address")?.parse()?)
    }

    pub fn usage(&self) -> Result<Usage, Failure> {
        Usage::of(self.child.id())
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Returns the path of the binary of the same build, in the parent of the examples' folder.
pub fn binary_path() -> Result<PathBuf, Failure> {
    let example = std::env::current_exe()?;
    let folder = example.parent().and_then(Path::parent);
    Ok(folder.ok_or("no build folder")?.join("filbertstack"))
}

/// The resources that a process uses.
#[derive(Clone, Copy, Default)]
pub struct Usage {
    /// The resident memory, in KiB.
    pub memory_kib: f64,
    /// The processor time since the start, in seconds.
    pub processor_s: f64,
    /// The number of bytes sent on the connections that are open, without packet headers.
    pub sent_bytes: f64,
}

impl Usage {
    pub fn of(pid: u32) -> Result<Self, Failure> {
        let status = fs::read_to_string(format!("/proc/{pid}/status"))?;
        let line = status.lines().find(|line| line.starts_with("VmRSS:"));
        let memory = line.and_then(|line| line.split_whitespace().nth(1));
        let stat = fs::read_to_string(format!("/proc/{pid}/stat"))?;
        // The name in parentheses may contain spaces; the times are the 12th and 13th word after it.
        let (_, rest) = stat.rsplit_once(')').ok_or("no process name")?;
        let words: Vec<&str> = rest.split_whitespace().collect();
        let ticks: f64 = words[11].parse::<f64>()? + words[12].parse::<f64>()?;
        Ok(Self {
            memory_kib: memory.ok_or("no memory")?.parse()?,
            processor_s: ticks / TICKS_PER_SECOND,
            sent_bytes: bytes_sent(pid)?,
        })
    }
}

/// Returns the number of bytes that the process has sent on the connections that are open now.
pub fn bytes_sent(pid: u32) -> Result<f64, Failure> {
    let output = Command::new("ss").args(["-tinpHO"]).output()?;
    let text = String::from_utf8(output.stdout)?;
    let pid_column = format!("pid={pid},");
    let lines = text.lines().filter(|line| line.contains(&pid_column));
    let words = lines.flat_map(str::split_whitespace);
    let counts = words.filter_map(|word| word.strip_prefix("bytes_sent:"));
    Ok(counts.filter_map(|count| count.parse::<f64>().ok()).sum())
}

/// Returns an address that no other process uses: its IP address depends on the id of this process, and
/// its port is below the range of ports of outgoing connections.
pub fn free_addr() -> Result<SocketAddr, std::io::Error> {
    static NEXT: AtomicU16 = AtomicU16::new(FIRST_PORT);
    let [_, _, high, low] = std::process::id().to_be_bytes();
    let port = NEXT.fetch_add(1, Ordering::Relaxed);
    TcpListener::bind((Ipv4Addr::new(127, 77, high, low), port))?.local_addr()
}

pub fn usages(processes: &[Process]) -> Result<Vec<Usage>, Failure> {
    processes.iter().map(Process::usage).collect()
}

pub fn total_memory(usages: &[Usage]) -> f64 {
    usages.iter().map(|usage| usage.memory_kib).sum()
}

pub fn total_processor(usages: &[Usage]) -> f64 {
    usages.iter().map(|usage| usage.processor_s).sum()
}

pub fn mean(usages: &[Usage]) -> Usage {
    let count = usize_to_f64(usages.len().max(1));
    Usage {
        memory_kib: total_memory(usages) / count,
        processor_s: total_processor(usages) / count,
        sent_bytes: usages.iter().map(|usage| usage.sent_bytes).sum::<f64>() / count,
    }
}

pub fn max_memory(usages: &[Usage]) -> f64 {
    usages
        .iter()
        .fold(0.0, |highest, usage| usage.memory_kib.max(highest))
}

pub fn usize_to_f64(count: usize) -> f64 {
    u32::try_from(count).map_or(f64::MAX, f64::from)
}
