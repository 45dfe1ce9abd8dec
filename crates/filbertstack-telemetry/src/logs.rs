//! This module writes logs as text or JSON lines, each with the role and the instance of the process.
//!
//! [`Logs::make_default`] makes the logger the one that the macros of `spdlog` write to. A [`RequestLog`]
//! writes the lines about one request and adds the request's fields.

use std::fmt;
use std::panic;
use std::sync::Arc;
use std::time::Duration;
use std::time::UNIX_EPOCH;

use serde::Serialize;
use serde::Serializer;
use serde::ser::SerializeMap;
use serde_json::json;
use spdlog::Level;
use spdlog::LevelFilter;
use spdlog::Logger;
use spdlog::Record;
use spdlog::StringBuf;
use spdlog::error;
use spdlog::formatter::Formatter;
use spdlog::formatter::FormatterContext;
use spdlog::formatter::PatternFormatter;
use spdlog::formatter::pattern;
use spdlog::kv::KeyValues;
use spdlog::sink::FileSink;
use spdlog::sink::Sink;
use spdlog::sink::StdStream;
use spdlog::sink::StdStreamSink;
use spdlog::terminal_style::StyleMode;

use crate::error::TelemetryError;
use crate::identity::Identity;
use crate::queue::QueueSink;
use crate::queue::unix_millis;
use crate::settings::LogFormat;
use crate::settings::LogStream;
use crate::settings::TelemetrySettings;

/// The longest time that a line stays in the buffer of a log file.
const FLUSH_PERIOD: Duration = Duration::from_secs(1);

/// The logger of the process; dropping it flushes the log.
pub struct Logs {
    logger: Arc<Logger>,
}

impl Logs {
    /// Opens the log that the settings select.
    ///
    /// # Errors
    /// Returns [`TelemetryError::LogFile`], [`TelemetryError::Logger`] or [`TelemetryError::LogThread`].
    pub fn start(
        settings: &TelemetrySettings,
        identity: &Identity,
    ) -> Result<Self, TelemetryError> {
        let sink = open_sink(settings, identity)?;
        match settings.format {
            LogFormat::Json => sink.set_formatter(Box::new(JsonFormatter::new(identity))),
            LogFormat::Text => sink.set_formatter(Box::new(text_formatter())),
        }
        let logger_error = |e| TelemetryError::Logger(Box::new(e));
        let logger = Logger::builder()
            .name(format!("{} {}", identity.role, identity.instance))
            .level_filter(LevelFilter::MoreSevereEqual(settings.level))
            .flush_level_filter(flush_level(settings))
            .sink(sink)
            .build_arc()
            .map_err(logger_error)?;
        if !is_queued(settings) {
            logger.set_flush_period(Some(FLUSH_PERIOD));
        }
        Ok(Self { logger })
    }

    /// Makes this logger the one that the macros of `spdlog` and panics of the process write to.
    pub fn make_default(&self) {
        self.log_panics();
        spdlog::set_default_logger(self.logger.clone());
    }

    /// Logs each panic of the process before the default message goes to standard error. A task that panics
    /// ends alone, and the answers that it was passing on end without a word in the log.
    fn log_panics(&self) {
        let logger = self.logger.clone();
        let default_hook = panic::take_hook();
        panic::set_hook(Box::new(move |info| {
            error!(logger: logger, "panicked", kv: { cause = info.to_string() });
            default_hook(info);
        }));
    }

    /// Returns the logger, for use in `info!(logger: ...)`.
    pub fn logger(&self) -> &Arc<Logger> {
        &self.logger
    }
}

impl Drop for Logs {
    fn drop(&mut self) {
        self.logger.set_flush_period(None);
        self.logger.flush();
    }
}

/// Returns whether a separate thread writes the lines.
fn is_queued(settings: &TelemetrySettings) -> bool {
    settings.log_file.is_none() && settings.stream == LogStream::Output
}

/// Returns the lowest level whose lines are flushed at once. The queue needs no flush, because its thread
/// writes lines without delay, and a flush would wait for the reader of the stream.
fn flush_level(settings: &TelemetrySettings) -> LevelFilter {
    if is_queued(settings) {
        return LevelFilter::Off;
    }
    LevelFilter::MoreSevereEqual(Level::Warn)
}

fn open_sink(
    settings: &TelemetrySettings,
    identity: &Identity,
) -> Result<Arc<dyn Sink>, TelemetryError> {
    if is_queued(settings) {
        let formatter = JsonFormatter::new(identity);
        let notice = Box::new(move |kind: &str, count| formatter.dropped_line(kind, count));
        let sink = QueueSink::start(std::io::stdout(), notice);
        return Ok(Arc::new(sink.map_err(TelemetryError::LogThread)?));
    }
    let Some(path) = &settings.log_file else {
        let sink = StdStreamSink::builder()
            .std_stream(StdStream::Stderr)
            .style_mode(StyleMode::Never)
            .build_arc();
        return Ok(sink.map_err(|e| TelemetryError::Logger(Box::new(e)))?);
    };
    let sink = FileSink::builder().path(path).truncate(false).build_arc();
    Ok(sink.map_err(|e| TelemetryError::LogFile {
        path: path.clone(),
        source: Box::new(e),
    })?)
}

fn text_formatter() -> impl Formatter {
    PatternFormatter::new(pattern!(
        "{date} {time}.{millisecond} {tz_offset} {level} {logger} {payload} {kv}{eol}"
    ))
}

/// Formats records as JSON objects, one per line.
#[derive(Clone)]
struct JsonFormatter {
    role: &'static str,
    instance: Arc<str>,
}

impl JsonFormatter {
    fn new(identity: &Identity) -> Self {
        Self {
            role: identity.role.as_str(),
            instance: identity.instance.clone(),
        }
    }
}

impl JsonFormatter {
    /// Returns the line that reports how many lines of a kind were dropped.
    fn dropped_line(&self, kind: &str, count: u64) -> String {
        let line = json!({
            "timestamp": unix_millis(), "level": "warn", "role": self.role,
            "instance": &*self.instance, "message": "lines left out",
            "fields": {"kind": kind, "count": count}
        });
        format!("{line}\n")
    }
}

#[derive(Serialize)]
struct Line<'a> {
    /// The time of the record, in milliseconds since 1970, UTC.
    timestamp: u128,
    level: &'static str,
    role: &'static str,
    instance: &'a str,
    message: &'a str,
    fields: Fields<'a>,
}

struct Fields<'a>(KeyValues<'a>);

impl Serialize for Fields<'_> {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let mut map = serializer.serialize_map(Some(self.0.len()))?;
        for (key, value) in self.0.iter() {
            map.serialize_entry(key.as_str(), &value)?;
        }
        map.end()
    }
}

impl Formatter for JsonFormatter {
    fn format(
        &self,
        record: &Record,
        dest: &mut StringBuf,
        _: &mut FormatterContext,
    ) -> spdlog::Result<()> {
        let elapsed = record.time().duration_since(UNIX_EPOCH);
        let line = Line {
            timestamp: elapsed.unwrap_or_default().as_millis(),
            level: record.level().as_str(),
            role: self.role,
            instance: &self.instance,
            message: record.payload(),
            fields: Fields(record.key_values()),
        };
        let json = serde_json::to_string(&line);
        let json = json.map_err(|e| spdlog::Error::SerializeRecord(e.into()))?;
        let written = fmt::Write::write_fmt(dest, format_args!("{json}\n"));
        written.map_err(spdlog::Error::FormatRecord)
    }
}

/// Logs lines about one request and adds the request's fields to each line.
#[derive(Clone, Debug)]
pub struct RequestLog {
    logger: Arc<Logger>,
    /// The identifier of the request.
    pub request: Arc<str>,
    /// The organisation of the caller; empty until it is known.
    pub organisation: Arc<str>,
    /// The identifier of the trace; empty if the request is not traced.
    pub trace: Arc<str>,
}

impl RequestLog {
    /// Creates a log that writes to the default logger.
    pub fn new(request: impl Into<Arc<str>>) -> Self {
        Self::with_logger(spdlog::default_logger(), request)
    }

    /// Creates a log that writes to `logger`.
    pub fn with_logger(logger: Arc<Logger>, request: impl Into<Arc<str>>) -> Self {
        Self {
            logger,
            request: request.into(),
            organisation: "".into(),
            trace: "".into(),
        }
    }

    /// Logs `message` with the request's fields.
    pub fn log(&self, level: Level, message: &str) {
        let (request, organisation) = (self.request.as_ref(), self.organisation.as_ref());
        let trace = self.trace.as_ref();
        spdlog::log!(
            logger: self.logger,
            level,
            "{message}",
            kv: { request, organisation, trace }
        );
    }

    /// Logs a detail that operators need when they examine a request.
    pub fn debug(&self, message: &str) {
        self.log(Level::Debug, message);
    }

    /// Logs an event that is worth a line at every occurrence.
    pub fn info(&self, message: &str) {
        self.log(Level::Info, message);
    }

    /// Logs a failure that was handled.
    pub fn warn(&self, message: &str) {
        self.log(Level::Warn, message);
    }

    /// Logs a failure that affects the caller.
    pub fn error(&self, message: &str) {
        self.log(Level::Error, message);
    }
}
