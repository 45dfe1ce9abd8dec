//! The reasons why an answer that had begun ends before it is complete, in logs and metrics.

use spdlog::info;
use tokio::time::Instant;

use crate::request::Call;
use crate::request::Requests;

/// Why an answer is cut.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cut {
    /// Its target was lost, and no other target continues it for this reason.
    TargetLost(&'static str),
    /// The time limit of the request passed.
    OutOfTime,
    /// The connection to its caller ended.
    CallerGone,
    /// The process stopped.
    Stopped,
}

impl Cut {
    /// Returns its name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::TargetLost(_) => "target lost",
            Self::OutOfTime => "out of time",
            Self::CallerGone => "caller gone",
            Self::Stopped => "process stopped",
        }
    }

    fn detail(self) -> &'static str {
        match self {
            Self::TargetLost(why) => why,
            Self::OutOfTime | Self::CallerGone | Self::Stopped => "",
        }
    }
}

/// What an answer had passed on to its caller.
#[derive(Clone, Copy, Debug)]
pub struct Passed {
    /// The number of bytes.
    pub bytes: u64,
    /// The id of the last event of a stream that may be resumed.
    pub last_event: Option<u64>,
    /// The time at which the last bytes arrived.
    pub last_bytes_at: Instant,
}

/// Logs and counts an answer that is cut. A last event of -1 means that there was none, or that events are not
/// read.
pub fn record(requests: &Requests, call: &Call, cut: Cut, passed: Passed) {
    let last_event = passed.last_event.and_then(|id| i64::try_from(id).ok());
    info!("answer cut", kv: {
        request = call.head.id(), cause = cut.name(), why = cut.detail(),
        after_ms = call.arrived_at.elapsed().as_millis(),
        silent_ms = passed.last_bytes_at.elapsed().as_millis(),
        bytes = passed.bytes, last_event = last_event.unwrap_or(-1),
        caller = call.caller.map_or_else(String::new, |addr| addr.to_string()),
        configuration = requests.node.declared.version()
    });
    requests.metrics.entry.cuts.add(cut.name(), 1);
}
