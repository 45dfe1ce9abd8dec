//! Errors that occur while telemetry starts.

use std::io;
use std::path::PathBuf;

use thiserror::Error;

/// Telemetry cannot start.
#[derive(Debug, Error)]
pub enum TelemetryError {
    /// The log file cannot be opened.
    #[error("cannot open the log file {path}: {source}; correct 'log-file' in [telemetry]")]
    LogFile {
        /// The path of the file.
        path: PathBuf,
        /// The cause of the failure.
        source: Box<spdlog::Error>,
    },
    /// The logger cannot be built.
    #[error("cannot build the logger: {0}; use an instance name of letters, digits and '-'")]
    Logger(#[source] Box<spdlog::Error>),
    /// The thread that writes log lines cannot be started.
    #[error("cannot start the thread that writes logs: {0}; raise the limit of threads")]
    LogThread(#[source] io::Error),
    /// The trace file cannot be opened.
    #[error("cannot open the trace file {path}: {source}; correct 'trace-file' in [telemetry]")]
    TraceFile {
        /// The path of the file.
        path: PathBuf,
        /// The cause of the failure.
        source: io::Error,
    },
    /// The exporter rejects its endpoint.
    #[error("cannot send traces to {endpoint}: {cause}; correct 'trace-endpoint' in [telemetry]")]
    Endpoint {
        /// The endpoint from the settings.
        endpoint: String,
        /// The cause of the failure.
        cause: String,
    },
    /// The metrics reader cannot be built.
    #[error("cannot build the metrics reader: {0}; report this as a defect")]
    Metrics(String),
}
