//! Settings that change while a process runs.
//!
//! The seeds are taken over as soon as the file names others: a voter that went on telling the seeds
//! of its own start would leave the new ones without knowledge of the group, and whoever starts with
//! those would find nobody. Whatever else changes needs a restart, and is refused by name.

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

/// How often it is looked whether the file has changed: a platform may write it without a signal,
/// and a seed that nobody told of the group yet is of use a second later.
const LOOK: Duration = Duration::from_secs(1);

/// The seeds as the settings file names them now; copies share them.
#[derive(Clone, Debug, Default)]
pub struct Seeds(Rc<RefCell<Vec<SocketAddr>>>);

impl Seeds {
    /// The seeds that a process starts with.
    pub fn new(seeds: Vec<SocketAddr>) -> Self {
        Self(Rc::new(RefCell::new(seeds)))
    }

    /// The seeds now.
    pub fn current(&self) -> Vec<SocketAddr> {
        self.0.borrow().clone()
    }
}

/// The settings of a running process and the file that they came from.
pub struct Reload {
    path: PathBuf,
    held: Settings,
    seeds: Seeds,
    written: RefCell<Option<SystemTime>>,
}

impl Reload {
    /// The settings `held`, as they were read from `path`.
    pub fn new(path: PathBuf, held: Settings) -> Self {
        let seeds = Seeds::new(held.node.seeds.clone());
        let written = RefCell::new(modified(&path));
        Self {
            path,
            held,
            seeds,
            written,
        }
    }

    /// The seeds, which follow the file.
    pub fn seeds(&self) -> Seeds {
        self.seeds.clone()
    }

    /// Reads the file again, takes over what may change and refuses the rest by name.
    pub fn read_again(&self) {
        let now = match Settings::read(&self.path) {
            Ok(now) => now,
            Err(error) => {
                warn!("settings not read again, those held stay", kv: { error = error.to_string() });
                return;
            }
        };
        let refused = refused(&self.held, &now);
        if !refused.is_empty() {
            warn!("settings that changed are not taken over: restart the process for them", kv: {
                keys = refused.join(", ")
            });
        }
        if now.node.seeds != *self.seeds.0.borrow() {
            info!("seeds taken over", kv: { seeds = format!("{:?}", now.node.seeds) });
            *self.seeds.0.borrow_mut() = now.node.seeds;
        }
    }

    /// Reads the file again whenever it has changed, until the process ends.
    pub async fn watch_file(self: Rc<Self>) {
        loop {
            sleep(LOOK).await;
            let written = modified(&self.path);
            if written.is_some() && self.written.replace(written) != written {
                self.read_again();
            }
        }
    }
}

/// When the file was written last; `None` if that can't be told, as while it is replaced.
fn modified(path: &PathBuf) -> Option<SystemTime> {
    fs::metadata(path).and_then(|meta| meta.modified()).ok()
}

/// What may not change while a process runs. Whether the system starts for the first time counts at
/// the start only, and is no change later.
fn refused(held: &Settings, now: &Settings) -> Vec<&'static str> {
    let changes = [
        ("[node] name", held.node.name != now.node.name),
        ("[node] zone", held.node.zone != now.node.zone),
        ("[node] link", held.node.link != now.node.link),
        ("[node] data", held.node.data != now.node.data),
        ("[listen]", held.listen != now.listen),
        ("[target]", held.target != now.target),
        ("[bounds]", held.bounds != now.bounds),
    ];
    let refused = changes.into_iter().filter(|(_, changed)| *changed);
    refused.map(|(name, _)| name).collect()
}
