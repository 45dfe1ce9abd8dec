//! Processes of the system, and what they have used.

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

/// The first port that is given out.
const FIRST_PORT: u16 = 20_000;

/// Ticks of processor time a second, as Linux reports them to programs.
const TICKS: f64 = 100.0;

/// A process of the system, killed by its own id when dropped.
pub struct Process {
    pub child: Child,
    pub greeting: String,
}

impl Process {
    pub fn start(arguments: &[&str]) -> Result<Self, Failure> {
        let mut child = Command::new(binary()?)
            .args(arguments)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .spawn()?;
        let stdout = child.stdout.take().ok_or("no standard output")?;
        let mut greeting = String::new();
        BufReader::new(stdout).read_line(&mut greeting)?;
        if !greeting.starts_with("listening") {
            return Err(format!("{arguments:?} said '{greeting}'").into());
        }
        Ok(Self { child, greeting })
    }

    pub fn addr(&self) -> Result<SocketAddr, Failure> {
        let word = self.greeting.split_whitespace().nth(1);
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

/// The release build of the system, which lies beside the examples' folder.
pub fn binary() -> Result<PathBuf, Failure> {
    let own = std::env::current_exe()?;
    let folder = own.parent().and_then(Path::parent);
    Ok(folder.ok_or("no build folder")?.join("filbertstack"))
}

/// What a process has used.
#[derive(Clone, Copy, Default)]
pub struct Usage {
    /// Resident memory, in KiB.
    pub memory: f64,
    /// Processor time, in seconds.
    pub processor: f64,
    /// Bytes sent on the connections that are open, headers left out.
    pub sent: f64,
}

impl Usage {
    pub fn of(process: u32) -> Result<Self, Failure> {
        let status = fs::read_to_string(format!("/proc/{process}/status"))?;
        let line = status.lines().find(|line| line.starts_with("VmRSS:"));
        let memory = line.and_then(|line| line.split_whitespace().nth(1));
        let stat = fs::read_to_string(format!("/proc/{process}/stat"))?;
        // The name, in parentheses, may hold spaces; the times are the 12th and 13th word after it.
        let (_, rest) = stat.rsplit_once(')').ok_or("no process name")?;
        let words: Vec<&str> = rest.split_whitespace().collect();
        let ticks: f64 = words[11].parse::<f64>()? + words[12].parse::<f64>()?;
        Ok(Self {
            memory: memory.ok_or("no memory")?.parse()?,
            processor: ticks / TICKS,
            sent: sent(process)?,
        })
    }
}

/// What `process` has sent on the connections that are open now.
pub fn sent(process: u32) -> Result<f64, Failure> {
    let output = Command::new("ss").args(["-tinpHO"]).output()?;
    let text = String::from_utf8(output.stdout)?;
    let own = format!("pid={process},");
    let lines = text.lines().filter(|line| line.contains(&own));
    let words = lines.flat_map(str::split_whitespace);
    let counts = words.filter_map(|word| word.strip_prefix("bytes_sent:"));
    Ok(counts.filter_map(|count| count.parse::<f64>().ok()).sum())
}

/// An address that nobody else takes: a loopback address of this process's own, and a port under
/// those that outgoing connections get.
pub fn free_addr() -> Result<SocketAddr, std::io::Error> {
    static NEXT: AtomicU16 = AtomicU16::new(FIRST_PORT);
    let [_, _, high, low] = std::process::id().to_be_bytes();
    let port = NEXT.fetch_add(1, Ordering::Relaxed);
    TcpListener::bind((Ipv4Addr::new(127, 77, high, low), port))?.local_addr()
}

pub fn usages(processes: &[Process]) -> Result<Vec<Usage>, Failure> {
    processes.iter().map(Process::usage).collect()
}

pub fn sum(usages: &[Usage]) -> f64 {
    usages.iter().map(|usage| usage.memory).sum()
}

pub fn total(usages: &[Usage]) -> f64 {
    usages.iter().map(|usage| usage.processor).sum()
}

pub fn mean(usages: &[Usage]) -> Usage {
    let count = usize_to_f64(usages.len().max(1));
    Usage {
        memory: sum(usages) / count,
        processor: total(usages) / count,
        sent: usages.iter().map(|usage| usage.sent).sum::<f64>() / count,
    }
}

pub fn most(usages: &[Usage]) -> f64 {
    usages
        .iter()
        .fold(0.0, |most, usage| usage.memory.max(most))
}

pub fn usize_to_f64(count: usize) -> f64 {
    u32::try_from(count).map_or(f64::MAX, f64::from)
}
