//! An exporter that appends spans to a file as JSON objects, one per line.

use std::collections::BTreeMap;
use std::fs::File;
use std::io;
use std::io::Write;
use std::path::Path;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use opentelemetry::Value;
use opentelemetry::trace::SpanId;
use opentelemetry::trace::Status;
use opentelemetry_sdk::error::OTelSdkError;
use opentelemetry_sdk::error::OTelSdkResult;
use opentelemetry_sdk::trace::SpanData;
use opentelemetry_sdk::trace::SpanExporter;
use serde::Serialize;

use crate::error::TelemetryError;
use crate::identity::Identity;

/// The maximum size of a trace file. Without a limit, traces that nobody removes would fill the disk that the
/// replicated log needs.
const MAX_FILE_BYTES: u64 = 1 << 30;

pub(super) fn open(path: &Path, identity: &Identity) -> Result<FileExporter, TelemetryError> {
    let opened = File::options().append(true).create(true).open(path);
    let file = opened.map_err(|source| TelemetryError::TraceFile {
        path: path.into(),
        source,
    })?;
    Ok(FileExporter {
        file: Mutex::new(file),
        identity: identity.clone(),
    })
}

/// Exports spans by appending them to a file.
#[derive(Debug)]
pub(super) struct FileExporter {
    file: Mutex<File>,
    identity: Identity,
}

/// One line of the file, which describes one span.
#[derive(Serialize)]
struct Line<'a> {
    trace: String,
    span: String,
    /// The identifier of the parent span; absent at the root of a trace.
    #[serde(skip_serializing_if = "Option::is_none")]
    parent: Option<String>,
    name: &'a str,
    role: &'static str,
    instance: &'a str,
    /// The start of the span, in microseconds since 1970.
    start_us: u128,
    duration_us: u128,
    #[serde(skip_serializing_if = "Option::is_none")]
    error: Option<&'a str>,
    #[serde(skip_serializing_if = "BTreeMap::is_empty")]
    fields: BTreeMap<&'a str, Field>,
    #[serde(skip_serializing_if = "Vec::is_empty")]
    events: Vec<Event<'a>>,
}

#[derive(Serialize)]
#[serde(untagged)]
enum Field {
    Number(i64),
    Text(String),
}

#[derive(Serialize)]
struct Event<'a> {
    name: &'a str,
    at_us: u128,
}

fn micros(time: SystemTime) -> u128 {
    let elapsed = time.duration_since(UNIX_EPOCH);
    elapsed.unwrap_or_default().as_micros()
}

impl FileExporter {
    fn line<'a>(&'a self, span: &'a SpanData) -> Line<'a> {
        let pairs = span.attributes.iter();
        let fields = pairs.map(|pair| (pair.key.as_str(), to_field(&pair.value)));
        let events = span.events.iter().map(|event| Event {
            name: &event.name,
            at_us: micros(event.timestamp),
        });
        let parent = span.parent_span_id;
        Line {
            trace: span.span_context.trace_id().to_string(),
            span: span.span_context.span_id().to_string(),
            parent: (parent != SpanId::INVALID).then(|| parent.to_string()),
            name: &span.name,
            role: self.identity.role.as_str(),
            instance: &self.identity.instance,
            start_us: micros(span.start_time),
            duration_us: micros(span.end_time).saturating_sub(micros(span.start_time)),
            error: error_description(&span.status),
            fields: fields.collect(),
            events: events.collect(),
        }
    }

    fn append(&self, batch: &[SpanData]) -> io::Result<()> {
        let mut text = Vec::new();
        for span in batch {
            serde_json::to_writer(&mut text, &self.line(span))?;
            text.push(b'\n');
        }
        let mut file = self.file.lock().unwrap_or_else(PoisonError::into_inner);
        if file.metadata()?.len() + text.len() as u64 > MAX_FILE_BYTES {
            return Err(io::ErrorKind::FileTooLarge.into());
        }
        file.write_all(&text)
    }
}

fn to_field(value: &Value) -> Field {
    match value {
        Value::I64(number) => Field::Number(*number),
        other => Field::Text(other.to_string()),
    }
}

fn error_description(status: &Status) -> Option<&str> {
    match status {
        Status::Error { description } => Some(description),
        Status::Ok | Status::Unset => None,
    }
}

impl SpanExporter for FileExporter {
    async fn export(&self, batch: Vec<SpanData>) -> OTelSdkResult {
        let appended = self.append(&batch);
        appended.map_err(|e| OTelSdkError::InternalFailure(e.to_string()))
    }
}
