//! Reads the staged pieces back, and orders the engine to load them.
//!
//! An engine loads what is staged when it begins the order. An order that reached another start of the engine
//! than the one at which the pieces were read, or that came after another order, would load unverified
//! pieces. So both belong to one [`Session`]: its single connection ends with that start of the engine, and
//! the order expects that the engine has begun no other order since.

use std::net::SocketAddr;

use bytes::Bytes;
use filbertstack_platform::engine::EngineReport;
use filbertstack_platform::engine::OutgoingCall;
use filbertstack_platform::engine::PieceList;
use filbertstack_platform::engine::WeightsVersion;
use filbertstack_platform::engine::ask_report;
use filbertstack_platform::engine::ask_staged;
use filbertstack_platform::engine::order_start;
use filbertstack_platform::engine::read_report;
use http::StatusCode;
use thiserror::Error;
use tokio::time::timeout;

use crate::agent::engine::CALL_TIMEOUT;
use crate::agent::engine::MAX_ANSWER;
use crate::client::CallFailure;
use crate::client::Connection;
use crate::client::exchange;
use crate::weights;
use crate::weights::PieceDigest;

/// `Progress` counts the orders of one start of an engine. A change means that the engine has begun an order
/// or has restarted; a restart is not visible if the engine does not report its start time and has begun no
/// order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Progress {
    /// The Unix millisecond of the engine's start; 0 if the engine does not report it.
    pub born: u64,
    /// How many orders the engine has begun since.
    pub sequence: u64,
}

impl From<&EngineReport> for Progress {
    fn from(report: &EngineReport) -> Self {
        Self {
            born: report.born,
            sequence: report.sequence,
        }
    }
}

/// `SessionError` describes why a session failed.
#[derive(Debug, Error)]
pub enum SessionError {
    /// A call failed.
    #[error(transparent)]
    Call(#[from] CallFailure),
    /// The engine's report can't be read.
    #[error("the engine's report can't be read: {0}; opening a new session")]
    Report(String),
    /// The engine closed the connection.
    #[error("the engine closed the connection; opening a new session")]
    Closed,
}

/// `Session` is one connection to the engine, with the engine's progress when it was opened.
#[derive(Debug)]
pub struct Session {
    addr: SocketAddr,
    connection: Connection,
    progress: Progress,
}

/// `ReadBack` is the result of reading all pieces of a version.
#[derive(Debug)]
pub enum ReadBack {
    /// All pieces match their digests.
    Complete(Verified),
    /// The numbers of the pieces that are missing or do not match.
    Bad(Vec<u32>),
}

/// `Verified` is a session that found all pieces of a version to match.
#[derive(Debug)]
pub struct Verified {
    session: Session,
    list: PieceList,
}

/// `Outcome` is the result of sending an order.
#[derive(Debug)]
pub enum Outcome {
    /// The engine has begun the order, or already serves the version.
    Begun,
    /// The engine refused the order and will not begin it.
    Refused(StatusCode),
    /// The order was not sent.
    NotSent(SessionError),
    /// The engine may have begun the order, or may begin it later.
    Unknown(CallFailure),
}

impl Session {
    /// Opens a session with the engine at `addr`.
    ///
    /// # Errors
    /// [`SessionError`]; nothing was changed.
    pub async fn open(addr: SocketAddr) -> Result<Self, SessionError> {
        let mut connection = Connection::open(addr, CALL_TIMEOUT).await?;
        let body = timed_exchange(&mut connection, addr, ask_report()).await?;
        let report = read_report(&body).map_err(|e| SessionError::Report(e.to_string()))?;
        Ok(Self {
            addr,
            connection,
            progress: Progress::from(&report),
        })
    }

    /// Returns the engine's progress when the session was opened.
    pub fn progress(&self) -> Progress {
        self.progress
    }

    /// Reads all staged pieces and compares them with `list`.
    ///
    /// # Errors
    /// [`SessionError`]; the staged pieces are then unknown.
    pub async fn read_back(mut self, list: &PieceList) -> Result<ReadBack, SessionError> {
        let mut bad = Vec::new();
        for number in 0..weights::piece_count(list) {
            let found = self.read_digest(&list.weights.model, number).await?;
            if !found.is_some_and(|digest| weights::matches_digest(list, number, &digest)) {
                bad.push(number);
            }
        }
        if !bad.is_empty() {
            return Ok(ReadBack::Bad(bad));
        }
        Ok(ReadBack::Complete(Verified {
            session: self,
            list: list.clone(),
        }))
    }

    /// Reads the digests of staged pieces until `digests` has `count` of them. An engine refuses to read more
    /// pieces than its model has.
    ///
    /// # Errors
    /// [`SessionError`]; the staged pieces are then unknown.
    pub async fn read_digests(
        &mut self,
        model: &str,
        digests: &mut Vec<Option<PieceDigest>>,
        count: usize,
    ) -> Result<(), SessionError> {
        for number in digests.len()..count {
            let number = u32::try_from(number).unwrap_or(u32::MAX);
            digests.push(self.read_digest(model, number).await?);
        }
        Ok(())
    }

    /// Returns the digest of the staged piece `number`; `None` if none is staged.
    async fn read_digest(
        &mut self,
        model: &str,
        number: u32,
    ) -> Result<Option<PieceDigest>, SessionError> {
        match self.call(ask_staged(model, number)).await {
            Ok(bytes) => Ok(Some(weights::digest(&bytes))),
            Err(SessionError::Call(CallFailure::Status(StatusCode::NOT_FOUND))) => Ok(None),
            Err(error) => Err(error),
        }
    }

    async fn call(&mut self, outgoing: OutgoingCall) -> Result<Bytes, SessionError> {
        self.check_open().await?;
        Ok(timed_exchange(&mut self.connection, self.addr, outgoing).await?)
    }

    /// Checks that the connection is still open.
    async fn check_open(&mut self) -> Result<(), SessionError> {
        if self.connection.becomes_ready().await {
            return Ok(());
        }
        Err(SessionError::Closed)
    }
}

impl Verified {
    /// Returns the engine's progress when the session was opened.
    pub fn progress(&self) -> Progress {
        self.session.progress
    }

    /// Returns the version of the pieces.
    pub fn weights(&self) -> &WeightsVersion {
        &self.list.weights
    }

    /// Orders the engine to load the verified pieces. The order is sent once: on a new connection it could
    /// reach another start of the engine.
    pub async fn order(mut self) -> Outcome {
        if let Err(error) = self.session.check_open().await {
            return Outcome::NotSent(error);
        }
        let expected = self.session.progress.sequence;
        let order = order_start(&self.list.weights, expected);
        match timed_exchange(&mut self.session.connection, self.session.addr, order).await {
            Ok(_) => Outcome::Begun,
            Err(CallFailure::Status(status)) if status.is_client_error() => {
                Outcome::Refused(status)
            }
            Err(error) => Outcome::Unknown(error),
        }
    }
}

async fn timed_exchange(
    connection: &mut Connection,
    addr: SocketAddr,
    outgoing: OutgoingCall,
) -> Result<Bytes, CallFailure> {
    timeout(
        CALL_TIMEOUT,
        exchange(connection, addr, outgoing, MAX_ANSWER),
    )
    .await
    .unwrap_or(Err(CallFailure::Timeout))
}
