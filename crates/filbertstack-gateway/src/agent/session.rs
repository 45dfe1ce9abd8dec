//! Reads the staged pieces back, and orders the engine to load them.
//!
//! An engine loads what is staged when it begins the order. An order that reached another start of the engine
//! than the one at which the pieces were read, or that came after another order, would load unverified
//! pieces. So both belong to one [`Session`]: its single connection ends with that start of the engine, and
//! the order expects that the engine has begun no other order since.

use std::net::SocketAddr;

use bytes::Bytes;
use filbertstack_core::Millis;
use filbertstack_platform::engine::EngineReport;
use filbertstack_platform::engine::OutgoingCall;
use filbertstack_platform::engine::PieceList;
use filbertstack_platform::engine::WeightsVersion;
use filbertstack_platform::engine::ask_report;
use filbertstack_platform::engine::ask_staged;
use filbertstack_platform::engine::order_start;
use filbertstack_platform::engine::order_unload;
use filbertstack_platform::engine::read_report;
use filbertstack_policy::verification::Check;
use http::StatusCode;
use thiserror::Error;
use tokio::time::timeout;

use crate::agent::engine::CALL_TIMEOUT;
use crate::agent::engine::MAX_ANSWER;
use crate::agent::read_back::Reader;
use crate::agent::read_back::read_pieces;
use crate::client::CallFailure;
use crate::client::Connection;
use crate::client::Reply;
use crate::client::exchange;
use crate::clock::Clock;
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
    /// How long ago the piece was read that was read first.
    age: Millis,
}

/// `Outcome` is the result of sending an order.
#[derive(Debug)]
pub enum Outcome {
    /// The engine has begun this copy of the order.
    Begun,
    /// The engine has begun an earlier copy of the order, or need not do anything for it.
    BegunEarlier,
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
        let reply = timed_exchange(&mut connection, addr, ask_report()).await?;
        let report = read_report(&reply.body).map_err(|e| SessionError::Report(e.to_string()))?;
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

    /// Reads all staged pieces as `check` asks for, and compares them with `list`.
    ///
    /// # Errors
    /// [`SessionError`]; the staged pieces are then unknown.
    pub async fn read_back(
        self,
        list: &PieceList,
        mut check: Check,
        clock: Clock,
    ) -> Result<ReadBack, SessionError> {
        let session = self.check(list, &mut check, clock).await?;
        if !check.bad().is_empty() {
            return Ok(ReadBack::Bad(check.bad().to_vec()));
        }
        Ok(ReadBack::Complete(Verified {
            session,
            list: list.clone(),
            age: check.age(clock.now()),
        }))
    }

    /// Reads the staged pieces that `check` asks for and compares them with `list`. Only one of the connections
    /// that read them is the session's own; it is kept until the last piece is read.
    ///
    /// # Errors
    /// [`SessionError`]; `check` has what was read.
    pub async fn check(
        self,
        list: &PieceList,
        check: &mut Check,
        clock: Clock,
    ) -> Result<Self, SessionError> {
        let reader = Reader::of_session(self.addr, self.connection);
        let connection = read_pieces(reader, list, check, clock).await?;
        Ok(Self { connection, ..self })
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
            digests.push(self.staged_digest(model, number).await?);
        }
        Ok(())
    }

    /// Orders the engine to give up `weights`.
    pub async fn order_unload(self, weights: &WeightsVersion) -> Outcome {
        let order = order_unload(weights, self.progress.sequence);
        self.order(order).await
    }

    async fn order(mut self, order: OutgoingCall) -> Outcome {
        if let Err(error) = self.check_open().await {
            return Outcome::NotSent(error);
        }
        match timed_exchange(&mut self.connection, self.addr, order).await {
            Ok(reply) if reply.status == StatusCode::OK => Outcome::BegunEarlier,
            Ok(_) => Outcome::Begun,
            Err(CallFailure::Status(status)) if status.is_client_error() => {
                Outcome::Refused(status)
            }
            Err(error) => Outcome::Unknown(error),
        }
    }

    /// Returns the digest of the staged piece `number`; `None` if none is staged.
    ///
    /// # Errors
    /// [`SessionError`]; the piece is then unknown.
    pub async fn staged_digest(
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
        let reply = timed_exchange(&mut self.connection, self.addr, outgoing).await?;
        Ok(reply.body)
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

    /// Returns how long before the end of the check the piece was read that was read first.
    pub fn age(&self) -> Millis {
        self.age
    }

    /// Orders the engine to load the verified pieces. The order is sent once: on a new connection it could
    /// reach another start of the engine.
    pub async fn order(self) -> Outcome {
        let order = order_start(&self.list.weights, self.session.progress.sequence);
        self.session.order(order).await
    }
}

/// Makes one call to the engine on an open connection, within the time that agents wait.
///
/// # Errors
/// [`CallFailure`]; unless it is a status, the connection should then be dropped.
pub async fn timed_exchange(
    connection: &mut Connection,
    addr: SocketAddr,
    outgoing: OutgoingCall,
) -> Result<Reply, CallFailure> {
    timeout(
        CALL_TIMEOUT,
        exchange(connection, addr, outgoing, MAX_ANSWER),
    )
    .await
    .unwrap_or(Err(CallFailure::Timeout))
}
