//! Keeps the requests and parts of prompts that crash targets on a voter's disk.
//!
//! *Failure*: all processes are killed or lose power together, and start without records. A request that
//! crashes targets would then crash as many again before it is refused. Any voter that kept its disk tells
//! the records to the others and to the entries.

use std::fs;
use std::fs::File;
use std::io;
use std::io::Write as _;
use std::path::Path;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

use prost::Message as _;
use spdlog::warn;
use thiserror::Error;
use tokio::task::spawn_blocking;
use tokio::time::sleep;

use crate::control::EXPLAIN_INTERVAL;
use crate::control::node::Node;
use crate::link::messages::Crashes;

const FILE: &str = "crashes";

/// The file while it is written. The log removes such files when it opens the folder.
const TEMPORARY_FILE: &str = "crashes.tmp";

/// How often changes are written. All changes of one failure are written together.
const SAVE_INTERVAL: Duration = Duration::from_millis(200);

/// Why the records could not be read.
#[derive(Debug, Error)]
enum ReadError {
    #[error("{FILE} can't be read: {0}; check the data folder")]
    Io(#[from] io::Error),
    #[error("{FILE} does not decode: {0}; it is written anew")]
    Decode(#[from] prost::DecodeError),
}

/// Reads the records of an earlier process from `folder`. The process goes on without them if they can't be
/// read.
pub fn load(node: &Node, folder: &Path) {
    match read(&folder.join(FILE)) {
        Ok(crashes) => node.merge_crashes(&crashes),
        Err(error) => {
            warn!("lost the record of requests that crash targets", kv: { error = error.to_string() });
        }
    }
}

/// Writes the records to `folder` whenever they change, until the process ends.
pub async fn save_changes(node: Rc<Node>, folder: PathBuf) {
    let mut saved_at = node.clock.now();
    loop {
        sleep(SAVE_INTERVAL).await;
        let now = node.clock.now();
        if !node.crashes_changed(saved_at) {
            continue;
        }
        let bytes = node.crash_records().encode_to_vec();
        let folder = folder.clone();
        let written = spawn_blocking(move || write(&folder, &bytes)).await;
        match written.map_err(io::Error::other).flatten() {
            Ok(()) => saved_at = now,
            Err(error) => {
                warn!("requests that crash targets are not on disk", kv: { error = error.to_string() });
                sleep(EXPLAIN_INTERVAL).await;
            }
        }
    }
}

fn read(path: &Path) -> Result<Crashes, ReadError> {
    match fs::read(path) {
        Ok(bytes) => Ok(Crashes::decode(bytes.as_slice())?),
        Err(error) if error.kind() == io::ErrorKind::NotFound => Ok(Crashes::default()),
        Err(error) => Err(error.into()),
    }
}

/// Writes the file atomically and durably.
fn write(folder: &Path, bytes: &[u8]) -> io::Result<()> {
    let temporary = folder.join(TEMPORARY_FILE);
    let mut file = File::create(&temporary)?;
    file.write_all(bytes)?;
    file.sync_data()?;
    fs::rename(&temporary, folder.join(FILE))?;
    File::open(folder)?.sync_all()
}
