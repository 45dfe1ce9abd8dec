//! How an entry that is no voter follows the control state: it asks a voter what changed.

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

/// How long a voter may hold the question while nothing changes, in milliseconds.
///
/// A change then reaches a follower in one message instead of at the next poll, and an idle
/// follower costs one small call in this time.
pub const HOLD: u64 = 2_000;

/// How long an answer may take beyond the hold.
const MARGIN: Duration = Duration::from_secs(2);

/// The pause after a failed question.
const PAUSE: Duration = Duration::from_millis(300);

/// Follows the control state until it is stopped.
#[derive(Debug)]
pub struct Follow {
    /// This entry's instance name.
    pub name: String,
    /// Whom to ask.
    pub ledger: Arc<Ledger>,
    /// Where updates go.
    pub views: Arc<Views>,
    /// Ends the loop.
    pub stopped: Arc<AtomicBool>,
}

impl Follow {
    /// Follows until stopped.
    pub fn run(&self) {
        while !self.stopped.load(Ordering::Relaxed) {
            if let Err(text) = self.ask() {
                debug!("no update of the control state: {text}");
                thread::sleep(PAUSE);
            }
        }
    }

    fn ask(&self) -> Result<(), String> {
        let reached = self.views.get().reached();
        let ask = Ask::Watch(Watch {
            since: reached.revision,
            sequence: reached.sequence,
            follower: self.name.clone(),
            wait: HOLD,
        });
        let timeout = Duration::from_millis(HOLD) + MARGIN;
        let told = self
            .ledger
            .ask(&ask, timeout)
            .map_err(|error| error.to_string())?;
        let Tell::Payload(Payload { body }) = told else {
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
        self.views.take(update).map_err(|error| error.to_string())
    }
}
