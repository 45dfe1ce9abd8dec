//! Who speaks in a log line, a metric or a span.

use std::fmt;
use std::sync::Arc;

use opentelemetry::KeyValue;
use opentelemetry_sdk::Resource;

/// What a process is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// An entry.
    Entry,
    /// An agent beside a target.
    Agent,
    /// The operators' client.
    Client,
    /// The demo.
    Demo,
    /// A stand-in of tests and the demo.
    Standin,
}

impl Role {
    /// The role's name in logs, metrics and traces.
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

/// A process's role and the name of its instance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Identity {
    /// The role.
    pub role: Role,
    /// The instance's name.
    pub instance: Arc<str>,
}

impl Identity {
    /// The identity of a process.
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
