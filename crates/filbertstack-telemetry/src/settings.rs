//! This module reads the `[telemetry]` section of a settings file.

use std::fmt;
use std::path::Path;
use std::path::PathBuf;
use std::str::FromStr;

use filbertstack_core::ValueError;
use filbertstack_core::ini::Document;
use filbertstack_core::ini::Problems;
use filbertstack_core::ini::Section;
use spdlog::Level;
use thiserror::Error;

/// The format of a log line.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LogFormat {
    /// Lines are plain text for human readers.
    #[default]
    Text,
    /// Each line is a JSON object.
    Json,
}

impl FromStr for LogFormat {
    type Err = ValueError;

    fn from_str(text: &str) -> Result<Self, ValueError> {
        match text {
            "text" => Ok(Self::Text),
            "json" => Ok(Self::Json),
            _ => Err(ValueError::Choice {
                text: text.into(),
                allowed: "text or json",
            }),
        }
    }
}

/// A value in `[telemetry]` is invalid.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum SettingValueError {
    /// The share of traced requests is not a number from 0 to 1.
    #[error("'{0}' is not a share of requests: write a number from 0 to 1, such as 0.05")]
    Sample(String),
    /// The endpoint is not a plain HTTP URL.
    #[error(
        "'{0}' is not an endpoint: write http://ADDRESS:PORT of a collector, without TLS, \
         such as http://127.0.0.1:4318"
    )]
    Endpoint(String),
    /// The directory of a file does not exist.
    #[error("the directory of '{0}' does not exist: create it or correct the path")]
    Directory(String),
}

/// The share of requests that are traced, from 0 to 1.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SampleRatio(f64);

impl SampleRatio {
    /// Traces every request.
    pub const ALL: Self = Self(1.0);

    /// Returns the share.
    pub const fn share(self) -> f64 {
        self.0
    }
}

impl FromStr for SampleRatio {
    type Err = SettingValueError;

    fn from_str(text: &str) -> Result<Self, SettingValueError> {
        let share: Option<f64> = text.parse().ok();
        let valid = share.filter(|share| (0.0..=1.0).contains(share));
        valid
            .map(Self)
            .ok_or_else(|| SettingValueError::Sample(text.into()))
    }
}

/// The URL of the collector that receives spans.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Endpoint(String);

/// The path that OTLP over HTTP specifies for traces.
const TRACES_PATH: &str = "/v1/traces";

impl Endpoint {
    /// Returns the URL with its path.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for Endpoint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl FromStr for Endpoint {
    type Err = SettingValueError;

    fn from_str(text: &str) -> Result<Self, SettingValueError> {
        let invalid = || SettingValueError::Endpoint(text.into());
        let uri: http::Uri = text.parse().map_err(|_| invalid())?;
        if uri.scheme_str() != Some("http") || uri.host().is_none() {
            return Err(invalid());
        }
        if uri.path() == "/" {
            return Ok(Self(format!("{}{TRACES_PATH}", text.trim_end_matches('/'))));
        }
        Ok(Self(text.to_owned()))
    }
}

/// The settings in `[telemetry]`; every key is optional.
#[derive(Clone, Debug, PartialEq)]
pub struct TelemetrySettings {
    /// `log-level`: the least severe level that is logged.
    pub level: Level,
    /// `log-format`: the format of log lines.
    pub format: LogFormat,
    /// `log-file`: the file that logs are appended to; without it, logs go to `stream`.
    pub log_file: Option<PathBuf>,
    /// The stream that logs go to without a file.
    pub stream: LogStream,
    /// `trace-file`: the file that spans are appended to, one JSON object per line.
    pub trace_file: Option<PathBuf>,
    /// `trace-endpoint`: the collector that receives spans by OTLP over HTTP.
    pub endpoint: Option<Endpoint>,
    /// `trace-sample`: the share of requests that are traced when the caller does not decide.
    pub sample: SampleRatio,
}

/// The standard stream that logs go to.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LogStream {
    /// Logs go to standard error, separate from the output of a command.
    #[default]
    Error,
    /// Logs go to standard output, for processes that print nothing else there.
    Output,
}

impl Default for TelemetrySettings {
    fn default() -> Self {
        Self {
            level: Level::Info,
            format: LogFormat::default(),
            log_file: None,
            stream: LogStream::default(),
            trace_file: None,
            endpoint: None,
            sample: SampleRatio::ALL,
        }
    }
}

impl TelemetrySettings {
    /// Takes `[telemetry]` out of a document and reads it; returns the defaults if it is absent. Relative
    /// paths are resolved against `folder`.
    pub fn take(document: &mut Document, folder: &Path, problems: &mut Problems) -> Self {
        let section = document.take("telemetry");
        section.map_or_else(Self::default, |section| {
            Self::read(section, folder, problems)
        })
    }

    /// Reads the section and adds every error in it to `problems`.
    pub fn read(mut section: Section, folder: &Path, problems: &mut Problems) -> Self {
        let defaults = Self::default();
        let file = |text: &str| parse_file(folder, text);
        let level = section.read_with("log-level", problems, parse_level);
        let format = section.read("log-format", problems);
        let log_file = section.read_with("log-file", problems, file);
        let trace_file = section.read_with("trace-file", problems, file);
        let endpoint = section.read("trace-endpoint", problems);
        let sample = section.read("trace-sample", problems);
        if trace_file.is_some() && endpoint.is_some() {
            let what = "[telemetry] has both trace-file and trace-endpoint: keep one of them";
            problems.0.push(section.problem(section.line, what));
        }
        section.finish(problems);
        Self {
            level: level.unwrap_or(defaults.level),
            format: format.unwrap_or_default(),
            log_file,
            stream: LogStream::default(),
            trace_file,
            endpoint,
            sample: sample.unwrap_or(defaults.sample),
        }
    }
}

fn parse_level(text: &str) -> Result<Level, ValueError> {
    match text {
        "error" => Ok(Level::Error),
        "warn" => Ok(Level::Warn),
        "info" => Ok(Level::Info),
        "debug" => Ok(Level::Debug),
        "trace" => Ok(Level::Trace),
        _ => Err(ValueError::Choice {
            text: text.into(),
            allowed: "error, warn, info, debug or trace",
        }),
    }
}

fn parse_file(folder: &Path, text: &str) -> Result<PathBuf, SettingValueError> {
    let path = folder.join(text);
    let parent = path.parent().filter(|dir| !dir.as_os_str().is_empty());
    if parent.is_some_and(|dir| !dir.is_dir()) {
        return Err(SettingValueError::Directory(text.into()));
    }
    Ok(path)
}
