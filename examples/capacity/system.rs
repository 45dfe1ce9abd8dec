//! Entries with their settings, agents and stand-ins for engines.

use std::fs;
use std::net::SocketAddr;
use std::process::Command;
use std::thread;
use std::time::Duration;

use serde_json::Value;
use tempfile::TempDir;

use crate::Failure;
use crate::process::Process;
use crate::process::binary;
use crate::process::free_addr;

/// Entries of `calls` and `streams`; `rest` has three voters as well.
pub const ENTRIES: usize = 3;

/// Engines of `calls` and `streams`.
const ENGINES: usize = 8;

/// The secret of the callers.
pub const CALLER_KEY: &str = "measuring-caller-0123456789";

/// A system in a folder of its own.
pub struct System {
    pub dir: TempDir,
    pub entries: Vec<Process>,
    pub http: Vec<SocketAddr>,
    pub links: Vec<SocketAddr>,
}

impl System {
    pub fn start() -> Result<Self, Failure> {
        let dir = tempfile::tempdir()?;
        let write = |name: &str, text: &str| fs::write(dir.path().join(name), text);
        write("peer.key", "the key between entries")?;
        write("agent.key", "the key on links with agents")?;
        write("callers.keys", &format!("acme {CALLER_KEY}\n"))?;
        write("operators.keys", "olga operator-secret-0123456789\n")?;
        let http = (0..ENTRIES).map(|_| free_addr());
        let http: Vec<SocketAddr> = http.collect::<Result<_, _>>()?;
        let links = (0..ENTRIES).map(|_| free_addr());
        let links: Vec<SocketAddr> = links.collect::<Result<_, _>>()?;
        let mut system = Self {
            dir,
            entries: Vec::new(),
            http,
            links,
        };
        for n in 0..ENTRIES {
            let path = system.entry_settings(n)?;
            let process = Process::start(&["entry", "--settings", &path])?;
            system.entries.push(process);
        }
        Ok(system)
    }

    pub fn write(&self, name: &str, text: &str) -> Result<String, Failure> {
        let path = self.dir.path().join(name);
        fs::write(&path, text)?;
        Ok(path.display().to_string())
    }

    fn entry_settings(&self, n: usize) -> Result<String, Failure> {
        let text = self.entry_text(n, self.http[n], self.links[n]);
        let text = format!("{text}[disk]\ndata = data-{n}\n");
        self.write(&format!("entry-{n}.ini"), &text)
    }

    pub fn entry_text(&self, n: usize, http: SocketAddr, links: SocketAddr) -> String {
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

    pub fn agent(&self, n: usize, kind: &str, target: SocketAddr) -> Result<Process, Failure> {
        let entries: Vec<String> = self.links.iter().map(ToString::to_string).collect();
        let (entries, links) = (entries.join(", "), free_addr()?);
        let text = format!(
            "[agent]\nname = agent-{n}\nzone = zone-1\nregion = region-1\nlinks = {links}\n\
             labels = role={kind}\nentries = {entries}\ndata = data-agent-{n}\nmemory = 1GiB\n\
             [target]\nkind = {kind}\nurl = http://{target}\nslots = 64\n\
             [keys]\nagent = agent.key\n[telemetry]\nlog-level = error\n"
        );
        let path = self.write(&format!("agent-{n}.ini"), &text)?;
        Process::start(&["agent", "--settings", &path])
    }

    pub fn operate(&self, arguments: &[&str]) -> Result<String, Failure> {
        let key = self.dir.path().join("operators.keys");
        let output = Command::new(binary()?)
            .args(arguments)
            .args(["--entry", &self.http[0].to_string(), "--key-file"])
            .arg(key)
            .output()?;
        if output.status.success() {
            return Ok(String::from_utf8(output.stdout)?.trim().to_owned());
        }
        Err(String::from_utf8_lossy(&output.stderr).into())
    }

    pub fn wait(&self, wanted: impl Fn(&Value) -> bool) -> Result<(), Failure> {
        for _ in 0..600 {
            let status = self.operate(&["status", "--json"]).unwrap_or_default();
            if serde_json::from_str(&status).is_ok_and(|status| wanted(&status)) {
                return Ok(());
            }
            thread::sleep(Duration::from_millis(100));
        }
        Err("the system did not come up within 60 s".into())
    }

    pub fn wait_targets(&self, count: usize) -> Result<(), Failure> {
        self.wait(|status| {
            status["targets"]
                .as_array()
                .is_some_and(|all| all.len() == count)
        })
    }

    /// Publishes a small model and has every engine serve it.
    pub fn deploy(&self, count: usize) -> Result<Process, Failure> {
        let dir = self.dir.path().join("weights");
        fs::create_dir_all(&dir)?;
        fs::write(dir.join("model.bin"), vec![7; 1 << 20])?;
        let dir = dir.display().to_string();
        let origin = Process::start(&["stand-in", "origin", &dir])?;
        let url = format!("http://{}", origin.addr()?);
        let version = self.operate(&["publish", &dir, "--model", "m", "--origin", &url])?;
        let text = format!(
            "[deployment m]\nlabels = t=m\nmodel = m\nversion = {version}\nreplicas = {count}\n\
             memory = 1MiB\npools = t=p\n[pool p]\nlabels = t=p\ninstances = role=engine\n\
             [rule m]\nrequests = model=m\ndeployments = t=m\nidempotent = true\ntimeout = 60s\n"
        );
        let path = self.write("declarations.ini", &text)?;
        self.operate(&["apply", &path])?;
        self.wait(|status| status["deployments"][0]["met"] == true)?;
        thread::sleep(Duration::from_secs(2));
        Ok(origin)
    }
}

/// An engine's stand-ins and their agents.
pub struct Fleet {
    pub engines: Vec<Process>,
    pub agents: Vec<Process>,
    pub _origin: Process,
}

pub fn fleet(system: &System) -> Result<Fleet, Failure> {
    let (mut engines, mut agents) = (Vec::new(), Vec::new());
    for n in 0..ENGINES {
        let engine = Process::start(&["stand-in", "engine", "--slots", "64"])?;
        agents.push(system.agent(n, "engine", engine.addr()?)?);
        engines.push(engine);
    }
    system.wait_targets(ENGINES)?;
    let origin = system.deploy(ENGINES)?;
    Ok(Fleet {
        engines,
        agents,
        _origin: origin,
    })
}
