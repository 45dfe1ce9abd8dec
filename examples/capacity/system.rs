//! A system for the measurements: entries, agents and stand-ins for engines, with their settings.

use std::fs;
use std::net::SocketAddr;
use std::process::Command;
use std::thread;
use std::time::Duration;

use serde_json::Value;
use tempfile::TempDir;

use crate::Failure;
use crate::process::Process;
use crate::process::binary_path;
use crate::process::free_addr;

/// The number of entries that each measurement starts; all of them are voters.
pub const ENTRY_COUNT: usize = 3;

/// The number of engines in `calls` and `streams`.
const ENGINE_COUNT: usize = 8;

/// The key of the callers.
pub const CALLER_KEY: &str = "measuring-caller-0123456789";

/// The entries of a system, with the folder of their files.
pub struct System {
    pub dir: TempDir,
    pub entries: Vec<Process>,
    pub http: Vec<SocketAddr>,
    pub links: Vec<SocketAddr>,
}

impl System {
    /// Writes the keys and starts the entries.
    pub fn start() -> Result<Self, Failure> {
        let dir = tempfile::tempdir()?;
        let write = |name: &str, text: &str| fs::write(dir.path().join(name), text);
        write("peer.key", "the key between entries")?;
        write("agent.key", "the key on links with agents")?;
        write("callers.keys", &format!("acme {CALLER_KEY}\n"))?;
        write("operators.keys", "olga operator-secret-0123456789\n")?;
        let http = (0..ENTRY_COUNT).map(|_| free_addr());
        let http: Vec<SocketAddr> = http.collect::<Result<_, _>>()?;
        let links = (0..ENTRY_COUNT).map(|_| free_addr());
        let links: Vec<SocketAddr> = links.collect::<Result<_, _>>()?;
        let mut system = Self {
            dir,
            entries: Vec::new(),
            http,
            links,
        };
        for n in 0..ENTRY_COUNT {
            let path = system.write_settings(n)?;
            let process = Process::start(&["entry", "--settings", &path])?;
            system.entries.push(process);
        }
        Ok(system)
    }

    /// Writes a file into the folder and returns its path.
    pub fn write_file(&self, name: &str, text: &str) -> Result<String, Failure> {
        let path = self.dir.path().join(name);
        fs::write(&path, text)?;
        Ok(path.display().to_string())
    }

    /// Writes the settings of an entry with a disk, which is a voter, and returns their path.
    fn write_settings(&self, n: usize) -> Result<String, Failure> {
        let text = self.settings_text(n, self.http[n], self.links[n]);
        let text = format!("{text}[disk]\ndata = data-{n}\n");
        self.write_file(&format!("entry-{n}.ini"), &text)
    }

    /// Returns the settings of an entry without a disk.
    pub fn settings_text(&self, n: usize, http: SocketAddr, links: SocketAddr) -> String {
        let voters = self.links.iter().enumerate();
        let voters: Vec<String> = voters
            .map(|(n, addr)| format!("entry-{n}@{addr}"))
            .collect();
        let voters = voters.join(", ");
        let seeds: Vec<String> = self.links.iter().map(ToString::to_string).collect();
        let seeds = seeds.join(", ");
        format!(
            "[entry]\nname = entry-{n}\nzone = zone-1\nregion = region-1\nlisten = {http}\n\
             links = {links}\n[control]\nvoters = {voters}\nseeds = {seeds}\n\
             [keys]\npeer = peer.key\nagent = agent.key\n\
             callers = callers.keys\noperators = operators.keys\n\
             [telemetry]\nlog-level = error\n"
        )
    }

    /// Starts the agent of `target`.
    pub fn start_agent(
        &self,
        n: usize,
        kind: &str,
        target: SocketAddr,
    ) -> Result<Process, Failure> {
        let entries: Vec<String> = self.links.iter().map(ToString::to_string).collect();
        let (entries, links) = (entries.join(", "), free_addr()?);
        let text = format!(
            "[agent]\nname = agent-{n}\nzone = zone-1\nregion = region-1\nlinks = {links}\n\
             labels = role={kind}\nentries = {entries}\ndata = data-agent-{n}\nmemory = 1GiB\n\
             [target]\nkind = {kind}\nurl = http://{target}\nslots = 64\n\
             [keys]\nagent = agent.key\n[telemetry]\nlog-level = error\n"
        );
        let path = self.write_file(&format!("agent-{n}.ini"), &text)?;
        Process::start(&["agent", "--settings", &path])
    }

    /// Runs an operator's command at the first entry and returns its output.
    pub fn run_operator(&self, arguments: &[&str]) -> Result<String, Failure> {
        let key = self.dir.path().join("operators.keys");
        let output = Command::new(binary_path()?)
            .args(arguments)
            .args(["--entry", &self.http[0].to_string(), "--key-file"])
            .arg(key)
            .output()?;
        if output.status.success() {
            return Ok(String::from_utf8(output.stdout)?.trim().to_owned());
        }
        Err(String::from_utf8_lossy(&output.stderr).into())
    }

    /// Waits until the status of the first entry meets `condition`, and fails after 600 attempts.
    pub fn wait_status(&self, condition: impl Fn(&Value) -> bool) -> Result<(), Failure> {
        for _ in 0..600 {
            let status = self.run_operator(&["status", "--json"]).unwrap_or_default();
            if serde_json::from_str(&status).is_ok_and(|status| condition(&status)) {
                return Ok(());
            }
            thread::sleep(Duration::from_millis(100));
        }
        Err("the system did not come up within 60 s".into())
    }

    /// Waits until the first entry knows `count` targets.
    pub fn wait_targets(&self, count: usize) -> Result<(), Failure> {
        self.wait_status(|status| {
            status["targets"]
                .as_array()
                .is_some_and(|all| all.len() == count)
        })
    }

    /// Publishes a small model, waits until `count` engines serve it, and returns its origin.
    pub fn deploy(&self, count: usize) -> Result<Process, Failure> {
        let dir = self.dir.path().join("weights");
        fs::create_dir_all(&dir)?;
        fs::write(dir.join("model.bin"), vec![7; 1 << 20])?;
        let dir = dir.display().to_string();
        let origin = Process::start(&["stand-in", "origin", &dir])?;
        let url = format!("http://{}", origin.addr()?);
        let version = self.run_operator(&["publish", &dir, "--model", "m", "--origin", &url])?;
        let text = format!(
            "[deployment m]\nlabels = t=m\nmodel = m\nversion = {version}\nreplicas = {count}\n\
             memory = 1MiB\npools = t=p\n[pool p]\nlabels = t=p\ninstances = role=engine\n\
             [rule m]\nrequests = model=m\ndeployments = t=m\nidempotent = true\ntimeout = 60s\n"
        );
        let path = self.write_file("declarations.ini", &text)?;
        self.run_operator(&["apply", &path])?;
        self.wait_status(|status| status["deployments"][0]["met"] == true)?;
        thread::sleep(Duration::from_secs(2));
        Ok(origin)
    }
}

/// Stand-ins for engines, their agents, and the origin of their weights.
pub struct Fleet {
    pub engines: Vec<Process>,
    pub agents: Vec<Process>,
    pub _origin: Process,
}

/// Starts the engines and their agents, and deploys a model on them.
pub fn start_fleet(system: &System) -> Result<Fleet, Failure> {
    let (mut engines, mut agents) = (Vec::new(), Vec::new());
    for n in 0..ENGINE_COUNT {
        let engine = Process::start(&["stand-in", "engine", "--slots", "64"])?;
        agents.push(system.start_agent(n, "engine", engine.addr()?)?);
        engines.push(engine);
    }
    system.wait_targets(ENGINE_COUNT)?;
    let origin = system.deploy(ENGINE_COUNT)?;
    Ok(Fleet {
        engines,
        agents,
        _origin: origin,
    })
}
