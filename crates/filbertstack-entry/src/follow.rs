//! Long polling of a voter for changes of the control state, by an entry that is not a voter itself.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use filbertstack_wire::messages::Ask;
use filbertstack_wire::messages::Payload;
use filbertstack_wire::messages::Tell;
use filbertstack_wire::messages::Watch;
use prost::Message;
use spdlog::debug;

use crate::ledger::Ledger;
use crate::view::Update;
use crate::view::Views;

/// The time for which a voter may hold a long poll while nothing changes, in milliseconds.
///
/// A change reaches a follower in one message instead of at the next poll, and an idle follower makes one
/// small call in this time.
pub const HOLD_MS: u64 = 2_000;

/// The time that an answer may take beyond [`HOLD_MS`].
const ANSWER_MARGIN: Duration = Duration::from_secs(2);

/// The pause after a failed poll.
const RETRY_PAUSE: Duration = Duration::from_millis(300);

/// Keeps the views of an entry that is not a voter up to date.
#[derive(Debug)]
pub struct ControlFollower {
    /// This entry's instance name.
    pub name: String,
    /// The client that asks the voters.
    pub ledger: Arc<Ledger>,
    /// The views that take the updates.
    pub views: Arc<Views>,
    /// The flag that ends [`ControlFollower::run`].
    pub stopped: Arc<AtomicBool>,
}

impl ControlFollower {
    /// Polls the voters until stopped.
    pub fn run(&self) {
        while !self.stopped.load(Ordering::Relaxed) {
            if let Err(text) = self.poll() {
                debug!("could not fetch an update of the control state: {text}");
                thread::sleep(RETRY_PAUSE);
            }
        }
    }

    fn poll(&self) -> Result<(), String> {
        let position = self.views.get().position();
        let ask = Ask::Watch(Watch {
            since: position.revision,
            sequence: position.sequence,
            follower: self.name.clone(),
            wait: HOLD_MS,
        });
        let timeout = Duration::from_millis(HOLD_MS) + ANSWER_MARGIN;
        let answer = self
            .ledger
            .ask(&ask, timeout)
            .map_err(|error| error.to_string())?;
        let Tell::Payload(Payload { body }) = answer else {
            return Err("another reply than an update".into());
        };
        let update = Update::decode(body).map_err(|error| error.to_string())?;
        let voters: Vec<SocketAddr> = update
            .voters
            .iter()
            .filter_map(|addr| addr.parse().ok())
            .collect();
        if !voters.is_empty() {
            self.ledger.set_voters(&voters);
        }
        self.views.apply(update).map_err(|error| error.to_string())
    }
}
