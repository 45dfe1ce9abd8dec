//! Reading back what lies at the engine, and the order to load it.
//!
//! An engine loads what lies there when it begins the order. An order that reached another start of
//! the engine than the one at which the pieces were read, or came after another order, would load
//! what nobody has read. So both are one [`Visit`]: its one connection ends with the start of the
//! engine, and the order expects that nothing was begun since.

use std::net::SocketAddr;

use bytes::Bytes;
use filbertstack_platform::engine::EngineReport;
use filbertstack_platform::engine::Holding;
use filbertstack_platform::engine::Outgoing;
use filbertstack_platform::engine::PieceList;
use filbertstack_platform::engine::Running;
use filbertstack_platform::engine::ask_report;
use filbertstack_platform::engine::order_start;
use filbertstack_platform::engine::read_report;
use filbertstack_platform::engine::read_staged;
use http::StatusCode;
use thiserror::Error;
use tokio::time::timeout;

use crate::agent::engine::LONGEST;
use crate::agent::engine::PATIENCE;
use crate::client::CallFailure;
use crate::client::Connection;
use crate::client::exchange;
use crate::weights;
use crate::weights::PieceDigest;

/// How far an engine has come. While it changes, the engine has begun an order or started again; of a
/// start that it does not tell, an engine that has begun nothing shows nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Progress {
    /// The Unix millisecond of its start; 0 if it does not say.
    pub born: u64,
    /// How many orders it has begun since.
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

/// Why a visit came to nothing.
#[derive(Debug, Error)]
pub enum VisitError {
    /// A call failed.
    #[error(transparent)]
    Call(#[from] CallFailure),
    /// The engine's report can't be read.
    #[error("the engine's report can't be read: {0}; it is visited again")]
    Report(String),
    /// The engine closed the connection.
    #[error("the engine closed the connection; it is visited again")]
    Closed,
}

/// One start of the engine, as far as it has come when the visit begins.
#[derive(Debug)]
pub struct Visit {
    addr: SocketAddr,
    connection: Connection,
    progress: Progress,
}

/// What was found of the pieces of a version.
#[derive(Debug)]
pub enum Found {
    /// All lie there as they must be.
    Whole(Whole),
    /// These do not.
    Bad(Vec<u32>),
}

/// A visit on which all pieces of a version were found.
#[derive(Debug)]
pub struct Whole {
    visit: Visit,
    list: PieceList,
}

/// What became of an order.
#[derive(Debug)]
pub enum Outcome {
    /// The engine has begun it, or has what it orders.
    Begun,
    /// The engine refused it, and will not begin it.
    Refused(StatusCode),
    /// It was not sent.
    NotSent(VisitError),
    /// It may have been begun, or will be.
    Unknown(CallFailure),
}

impl Visit {
    /// Begins a visit of the engine at `addr`.
    ///
    /// # Errors
    /// [`VisitError`]; nothing was changed.
    pub async fn begin(addr: SocketAddr) -> Result<Self, VisitError> {
        let mut connection = Connection::open(addr, PATIENCE).await?;
        let body = ask(&mut connection, addr, ask_report()).await?;
        let report = read_report(&body).map_err(|e| VisitError::Report(e.to_string()))?;
        Ok(Self {
            addr,
            connection,
            progress: Progress::from(&report),
        })
    }

    /// How far the engine had come when the visit began.
    pub fn progress(&self) -> Progress {
        self.progress
    }

    /// Reads all pieces of `list` back.
    ///
    /// # Errors
    /// [`VisitError`]; then it is not known what lies there.
    pub async fn read_back(mut self, list: &PieceList) -> Result<Found, VisitError> {
        let mut bad = Vec::new();
        for number in 0..weights::piece_count(list) {
            let contents = self.read_place(&list.weights.model, number).await?;
            if !contents.is_some_and(|digest| weights::matches_digest(list, number, &digest)) {
                bad.push(number);
            }
        }
        if !bad.is_empty() {
            return Ok(Found::Bad(bad));
        }
        Ok(Found::Whole(Whole {
            visit: self,
            list: list.clone(),
        }))
    }

    /// Reads on what lies in the places of a model, until `count` of them are in `places`. An engine
    /// refuses to read more places than its model has.
    ///
    /// # Errors
    /// [`VisitError`]; then it is not known what lies there.
    pub async fn read_places(
        &mut self,
        model: &str,
        places: &mut Vec<Option<PieceDigest>>,
        count: usize,
    ) -> Result<(), VisitError> {
        for number in places.len()..count {
            let number = u32::try_from(number).unwrap_or(u32::MAX);
            places.push(self.read_place(model, number).await?);
        }
        Ok(())
    }

    /// The digest of what lies in the place of a piece.
    async fn read_place(
        &mut self,
        model: &str,
        number: u32,
    ) -> Result<Option<PieceDigest>, VisitError> {
        match self.call(read_staged(model, number)).await {
            Ok(bytes) => Ok(Some(weights::digest(&bytes))),
            Err(VisitError::Call(CallFailure::Status(StatusCode::NOT_FOUND))) => Ok(None),
            Err(error) => Err(error),
        }
    }

    async fn call(&mut self, outgoing: Outgoing) -> Result<Bytes, VisitError> {
        self.stay().await?;
        Ok(ask(&mut self.connection, self.addr, outgoing).await?)
    }

    /// Makes sure that the connection is still open.
    async fn stay(&mut self) -> Result<(), VisitError> {
        if self.connection.becomes_ready().await {
            return Ok(());
        }
        Err(VisitError::Closed)
    }
}

impl Whole {
    /// How far the engine had come when the visit began.
    pub fn progress(&self) -> Progress {
        self.visit.progress
    }

    /// Whose pieces.
    pub fn weights(&self) -> &Holding {
        &self.list.weights
    }

    /// Orders the engine to load the pieces that were found. It is sent once: on a new connection it
    /// may reach another start of the engine.
    pub async fn order(mut self, running: Running) -> Outcome {
        if let Err(error) = self.visit.stay().await {
            return Outcome::NotSent(error);
        }
        let expected = self.visit.progress.sequence;
        let order = order_start(&self.list.weights, running, expected);
        match ask(&mut self.visit.connection, self.visit.addr, order).await {
            Ok(_) => Outcome::Begun,
            Err(CallFailure::Status(status)) if status.is_client_error() => {
                Outcome::Refused(status)
            }
            Err(error) => Outcome::Unknown(error),
        }
    }
}

async fn ask(
    connection: &mut Connection,
    addr: SocketAddr,
    outgoing: Outgoing,
) -> Result<Bytes, CallFailure> {
    timeout(PATIENCE, exchange(connection, addr, outgoing, LONGEST))
        .await
        .unwrap_or(Err(CallFailure::Timeout))
}
