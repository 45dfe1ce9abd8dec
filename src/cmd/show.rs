//! `filbertstack show` prints what an entry of small instances decides by.

use std::net::SocketAddr;
use std::time::Duration;

use thiserror::Error;
use ureq::Agent;

use super::Failure;
use crate::flags;

/// The time limit of the request: the entry answers from memory.
const TIMEOUT: Duration = Duration::from_secs(5);

/// The reasons for which the state can't be shown.
#[derive(Debug, Error)]
enum ShowError {
    /// Nothing answers at the address.
    #[error(
        "{addr} not reached ({source}): give the entry's metrics address, and check the setting \
         'metrics' of [listen] there and that the entry runs"
    )]
    NotReached {
        /// The address.
        addr: SocketAddr,
        /// The error of the client.
        source: ureq::Error,
    },
    /// Something else than an entry of this release answers.
    #[error(
        "{addr} serves no state (status {status}): give the metrics address of an entry of this \
         release, as the setting 'metrics' of [listen] names it there"
    )]
    NoState {
        /// The address.
        addr: SocketAddr,
        /// The HTTP status code.
        status: u16,
    },
}

pub fn run(flags: &flags::Show) -> Result<(), Failure> {
    print!("{}", fetch(flags.addr)?);
    Ok(())
}

fn fetch(addr: SocketAddr) -> Result<String, ShowError> {
    let not_reached = |source| ShowError::NotReached { addr, source };
    let agent = Agent::config_builder()
        .http_status_as_error(false)
        .timeout_global(Some(TIMEOUT))
        .build()
        .new_agent();
    let answer = agent.get(format!("http://{addr}/state")).call();
    let mut answer = answer.map_err(not_reached)?;
    let status = answer.status().as_u16();
    if status != 200 {
        return Err(ShowError::NoState { addr, status });
    }
    answer.body_mut().read_to_string().map_err(not_reached)
}
