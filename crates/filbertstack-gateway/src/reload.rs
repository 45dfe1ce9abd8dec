//! Reloading of the settings file while a process runs.
//!
//! Only the seeds are reloaded, as soon as the file names others. A voter that kept the seeds from its
//! own start would not inform the new ones of the group, and a node that starts with those would not find
//! the group. Other changes need a restart: a warning names their keys, and they are ignored.

use std::cell::RefCell;
use std::fs;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;
use std::time::SystemTime;

use spdlog::info;
use spdlog::warn;
use tokio::time::sleep;

use crate::settings::Settings;

/// How often the file is checked for changes: a platform may write it without sending a signal. One
/// second is soon enough for a new seed to be informed of the group.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// The seeds in the settings file as last read. Clones share them.
#[derive(Clone, Debug, Default)]
pub struct Seeds(Rc<RefCell<Vec<SocketAddr>>>);

impl Seeds {
    /// Creates the list with the seeds at the start of a process.
    pub fn new(seeds: Vec<SocketAddr>) -> Self {
        Self(Rc::new(RefCell::new(seeds)))
    }

    /// Returns the seeds in force now.
    pub fn current(&self) -> Vec<SocketAddr> {
        self.0.borrow().clone()
    }
}

/// Watches the settings file of a running process.
pub struct Reload {
    path: PathBuf,
    running: Settings,
    seeds: Seeds,
    modified_at: RefCell<Option<SystemTime>>,
}

impl Reload {
    /// Creates a watcher for the file at `path`, from which the settings `running` were read.
    pub fn new(path: PathBuf, running: Settings) -> Self {
        let seeds = Seeds::new(running.node.seeds.clone());
        let modified_at = RefCell::new(modification_time(&path));
        Self {
            path,
            running,
            seeds,
            modified_at,
        }
    }

    /// Returns the seeds, which are updated with the file.
    pub fn seeds(&self) -> Seeds {
        self.seeds.clone()
    }

    /// Reads the file again, takes over the seeds and logs the keys of other changes, which need a
    /// restart.
    pub fn read_again(&self) {
        let new = match Settings::read(&self.path) {
            Ok(new) => new,
            Err(error) => {
                warn!("settings file not reloaded, current settings stay", kv: {
                    error = error.to_string()
                });
                return;
            }
        };
        let fixed_changes = fixed_changes(&self.running, &new);
        if !fixed_changes.is_empty() {
            warn!("settings that changed are not taken over: restart the process for them", kv: {
                keys = fixed_changes.join(", ")
            });
        }
        if new.node.seeds != *self.seeds.0.borrow() {
            info!("seeds taken over", kv: { seeds = format!("{:?}", new.node.seeds) });
            *self.seeds.0.borrow_mut() = new.node.seeds;
        }
    }

    /// Reads the file again whenever it has changed, until the process ends.
    pub async fn watch_file(self: Rc<Self>) {
        loop {
            sleep(CHECK_INTERVAL).await;
            let modified_at = modification_time(&self.path);
            if modified_at.is_some() && self.modified_at.replace(modified_at) != modified_at {
                self.read_again();
            }
        }
    }
}

/// Returns when the file was last written; `None` if that is unknown, such as while it is replaced.
fn modification_time(path: &PathBuf) -> Option<SystemTime> {
    fs::metadata(path).and_then(|meta| meta.modified()).ok()
}

/// Returns the keys and sections that differ and need a restart. The key `first-start` is left out: it
/// has a meaning at the start of the process only.
fn fixed_changes(running: &Settings, new: &Settings) -> Vec<&'static str> {
    let changes = [
        ("[node] name", running.node.name != new.node.name),
        ("[node] zone", running.node.zone != new.node.zone),
        ("[node] link", running.node.link != new.node.link),
        ("[node] data", running.node.data != new.node.data),
        ("[listen]", running.listen != new.listen),
        ("[target]", running.target != new.target),
        ("[bounds]", running.bounds != new.bounds),
    ];
    let fixed = changes.into_iter().filter(|(_, changed)| *changed);
    fixed.map(|(name, _)| name).collect()
}
