//! Reads the pieces that are staged at an engine, several at once where the engine is slow.

use std::net::SocketAddr;

use bytes::Bytes;
use filbertstack_core::Millis;
use filbertstack_platform::engine::PieceList;
use filbertstack_platform::engine::ask_staged;
use filbertstack_policy::verification::Check;
use futures_util::StreamExt as _;
use futures_util::stream::FuturesUnordered;
use http::StatusCode;

use crate::agent::engine::CALL_TIMEOUT;
use crate::agent::session::SessionError;
use crate::agent::session::timed_exchange;
use crate::client::CallFailure;
use crate::client::Connection;
use crate::clock::Clock;
use crate::weights;

/// `Reader` reads staged pieces, one after the other, on one connection.
pub struct Reader {
    addr: SocketAddr,
    /// `None` until it is needed, and after a failure.
    connection: Option<Connection>,
    /// Whether the connection is the one that an order will be sent on.
    of_session: bool,
}

/// The outcome of one read.
struct Read {
    reader: Reader,
    number: u32,
    sent: Millis,
    /// The piece; `None` if none is staged.
    found: Result<Option<Bytes>, CallFailure>,
}

impl Reader {
    /// Creates the reader on a session's own connection.
    pub fn of_session(addr: SocketAddr, connection: Connection) -> Self {
        Self {
            addr,
            connection: Some(connection),
            of_session: true,
        }
    }

    fn beside(addr: SocketAddr) -> Self {
        Self {
            addr,
            connection: None,
            of_session: false,
        }
    }

    async fn read(mut self, model: &str, number: u32, sent: Millis) -> Read {
        let found = match self.call(model, number).await {
            Ok(bytes) => Ok(Some(bytes)),
            Err(CallFailure::Status(StatusCode::NOT_FOUND)) => Ok(None),
            Err(failure) => Err(failure),
        };
        Read {
            reader: self,
            number,
            sent,
            found,
        }
    }

    async fn call(&mut self, model: &str, number: u32) -> Result<Bytes, CallFailure> {
        let mut connection = match self.connection.take() {
            Some(open) => open,
            None => Connection::open(self.addr, CALL_TIMEOUT).await?,
        };
        // A connection that has ended fails the exchange.
        let _ = connection.becomes_ready().await;
        let reply = timed_exchange(&mut connection, self.addr, ask_staged(model, number)).await;
        // A status is a whole answer; after any other failure the connection is dropped.
        if matches!(reply, Ok(_) | Err(CallFailure::Status(_))) {
            self.connection = Some(connection);
        }
        Ok(reply?.body)
    }
}

/// Reads the pieces that `check` asks for and compares them with `list`, until it asks for no more. Returns the
/// connection of `reader`, the session's own.
///
/// # Errors
/// [`SessionError`] if that connection has failed, or if more reads than there are pieces got no answer.
pub async fn read_pieces(
    reader: Reader,
    list: &PieceList,
    check: &mut Check,
    clock: Clock,
) -> Result<Connection, SessionError> {
    let addr = reader.addr;
    let model = &list.weights.model;
    let mut failures_left = list.digests.len();
    let mut failed = None;
    // The session's connection reads alone: a read that waits behind others may get no answer in time, and the
    // session would be lost with it.
    let mut own = Some(reader);
    let mut others: Vec<Reader> = Vec::new();
    let mut reads = FuturesUnordered::new();
    loop {
        while failed.is_none()
            && let Some(number) = check.take_next(clock.now())
        {
            let reader = own
                .take_if(|_| check.reads_alone())
                .or_else(|| others.pop());
            let reader = reader.unwrap_or_else(|| Reader::beside(addr));
            reads.push(reader.read(model, number, clock.now()));
        }
        let Some(read) = reads.next().await else {
            break;
        };
        match read.found {
            Ok(found) => {
                let matches =
                    found.is_some_and(|bytes| weights::matches_bytes(list, read.number, &bytes));
                check.record(read.number, matches, read.sent, clock.now());
            }
            Err(failure) => {
                check.record_failure(read.number, read.sent, clock.now());
                let is_lost = read.reader.of_session && read.reader.connection.is_none();
                if is_lost || failures_left == 0 {
                    failed = Some(failure);
                }
                failures_left = failures_left.saturating_sub(1);
            }
        }
        if read.reader.of_session {
            own = Some(read.reader);
        } else {
            others.push(read.reader);
        }
    }
    if let Some(failure) = failed {
        return Err(failure.into());
    }
    own.and_then(|reader| reader.connection)
        .ok_or(SessionError::Closed)
}
