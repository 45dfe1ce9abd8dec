//! The identity of the process that writes a log line, a metric or a span.

use std::fmt;
use std::sync::Arc;

use opentelemetry::KeyValue;
use opentelemetry_sdk::Resource;

/// The role of a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// The process is an entry.
    Entry,
    /// The process is an agent beside a target.
    Agent,
    /// The process is the operators' client.
    Client,
    /// The process is the demo.
    Demo,
    /// The process is a stand-in in tests and the demo.
    Standin,
}

impl Role {
    /// Returns the name of the role in logs, metrics and traces.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Entry => "entry",
            Self::Agent => "agent",
            Self::Client => "client",
            Self::Demo => "demo",
            Self::Standin => "standin",
        }
    }
}

impl fmt::Display for Role {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// The role of a process and the name of its instance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Identity {
    /// The role of the process.
    pub role: Role,
    /// The name of the instance.
    pub instance: Arc<str>,
}

impl Identity {
    /// Creates the identity of a process.
    pub fn new(role: Role, instance: impl Into<Arc<str>>) -> Self {
        Self {
            role,
            instance: instance.into(),
        }
    }

    pub(crate) fn resource(&self) -> Resource {
        Resource::builder_empty()
            .with_service_name(format!("filbertstack-{}", self.role))
            .with_attribute(KeyValue::new(
                "service.instance.id",
                self.instance.to_string(),
            ))
            .build()
    }
}
