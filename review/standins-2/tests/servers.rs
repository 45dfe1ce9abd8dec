//! The servers of a case, which start again after they crash.

use std::io::Write as _;
use std::net::SocketAddr;
use std::process::Child;
use std::process::ChildStdin;
use std::process::Command;
use std::process::Stdio;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::thread::sleep;
use std::thread::spawn;
use std::time::Duration;
use std::time::Instant;

use crate::Failure;
use crate::record::Record;
use crate::server::lines;

/// How long a server is down after a crash, and after a planned stop.
const BACK_AFTER_CRASH: Duration = Duration::from_millis(2_500);
const BACK_AFTER_STOP: Duration = Duration::from_secs(1);

/// What a server process is started with.
#[derive(Clone)]
pub struct Spec {
    /// Its address.
    pub addr: SocketAddr,
    /// Its id, which it keeps when it starts again.
    pub id: String,
    /// Its service.
    pub service: &'static str,
    /// Its zone.
    pub zone: String,
    /// The nodes that serve control.
    pub control: Vec<SocketAddr>,
}

#[derive(Default)]
struct State {
    ended: bool,
    children: Vec<Child>,
    input: Option<ChildStdin>,
    /// When requests crashed servers.
    crashes: Vec<Instant>,
}

/// Servers that are started again when they end.
#[derive(Clone)]
pub struct Servers {
    record: Record,
    state: Arc<Mutex<State>>,
}

impl Servers {
    /// Starts a server for each of `specs`.
    pub fn start(record: &Record, specs: Vec<Spec>) -> Result<Self, Failure> {
        let servers = Self {
            record: record.clone(),
            state: Arc::default(),
        };
        for spec in specs {
            servers.launch(&spec)?;
        }
        Ok(servers)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn launch(&self, spec: &Spec) -> Result<(), Failure> {
        let mut state = self.lock();
        if state.ended {
            return Ok(());
        }
        let control: Vec<String> = spec.control.iter().map(ToString::to_string).collect();
        let mut child = Command::new(std::env::current_exe()?)
            .arg("server")
            .arg(spec.addr.to_string())
            .args([&spec.id, spec.service, &spec.zone, &control.join(",")])
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .spawn()?;
        self.record.add(format!("server {} starts", spec.id));
        let output = child.stdout.take().ok_or("no output")?;
        state.input = child.stdin.take();
        let pid = child.id();
        state.children.push(child);
        drop(state);
        let (servers, spec) = (self.clone(), spec.clone());
        spawn(move || {
            let mut down = BACK_AFTER_STOP;
            for line in lines(output) {
                servers.record.add(format!("server {}: {line}", spec.id));
                if line.starts_with("crash ") {
                    down = BACK_AFTER_CRASH;
                    servers.lock().crashes.push(Instant::now());
                    servers.end_child(pid);
                }
            }
            servers.end_child(pid);
            servers.record.add(format!("server {} has ended", spec.id));
            sleep(down);
            if let Err(error) = servers.launch(&spec) {
                servers
                    .record
                    .add(format!("server {} not started: {error}", spec.id));
            }
        });
        Ok(())
    }

    fn end_child(&self, pid: u32) {
        let mut state = self.lock();
        let place = state.children.iter().position(|child| child.id() == pid);
        if let Some(place) = place {
            let mut child = state.children.remove(place);
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Tells the server that was started last to stop as planned.
    pub fn leave(&self) {
        let mut state = self.lock();
        if let Some(input) = &mut state.input {
            // A server that has ended has left.
            let _ = input.write_all(b"leave\n");
        }
    }

    /// Returns when requests crashed servers, in order.
    pub fn crashes(&self) -> Vec<Instant> {
        self.lock().crashes.clone()
    }

    /// Ends all servers.
    pub fn end(&self) {
        let mut state = self.lock();
        state.ended = true;
        for child in &mut state.children {
            let _ = child.kill();
            let _ = child.wait();
        }
        state.children.clear();
    }
}
