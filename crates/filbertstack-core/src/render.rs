//! This module writes declarations as the INI text that [`Declarations::parse`] reads.
//!
//! The text is canonical: equal declarations give equal bytes. Objects are ordered by kind and name, and
//! every key that has a value is written. The replicated state stores, compares and sends this form.

use std::fmt;
use std::fmt::Write;

use crate::declare::Declarations;
use crate::declare::Deployment;
use crate::declare::Pool;
use crate::declare::Priority;
use crate::declare::Route;
use crate::declare::Rule;
use crate::declare::Weigh;
use crate::time::render_size;

impl fmt::Display for Weigh {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Time => "time",
            Self::Origin => "origin",
        })
    }
}

impl fmt::Display for Priority {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Low => "low",
            Self::Normal => "normal",
            Self::High => "high",
        })
    }
}

/// Writes the keys of a deployment's section, without its header.
impl fmt::Display for Deployment {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write_unless_empty(f, "labels", &self.labels)?;
        writeln!(f, "model = {}", self.model)?;
        writeln!(f, "version = {}", self.version)?;
        writeln!(f, "replicas = {}", self.replicas)?;
        writeln!(f, "memory = {}", render_size(self.memory))?;
        writeln!(f, "pools = {}", self.pools)?;
        writeln!(f, "weigh = {}", self.weigh)
    }
}

/// Writes the keys of a pool's section, without its header.
impl fmt::Display for Pool {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write_unless_empty(f, "labels", &self.labels)?;
        writeln!(f, "instances = {}", self.instances)
    }
}

/// Writes the keys of a rule's section, without its header.
impl fmt::Display for Rule {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write_unless_empty(f, "labels", &self.labels)?;
        writeln!(f, "order = {}", self.order)?;
        write_unless_empty(f, "requests", &self.requests)?;
        writeln!(f, "path = {}", self.path)?;
        match &self.route {
            Route::Models {
                deployments,
                instances,
            } => {
                writeln!(f, "deployments = {deployments}")?;
                write_unless_empty(f, "instances", instances)?;
            }
            Route::Service { instances } => writeln!(f, "instances = {instances}")?,
        }
        writeln!(f, "idempotent = {}", self.idempotent)?;
        writeln!(f, "timeout = {}", self.timeout)?;
        writeln!(f, "priority = {}", self.priority)
    }
}

impl fmt::Display for Declarations {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (name, deployment) in &self.deployments {
            writeln!(f, "[deployment {name}]\n{deployment}")?;
        }
        for (name, pool) in &self.pools {
            writeln!(f, "[pool {name}]\n{pool}")?;
        }
        for (name, rule) in &self.rules {
            writeln!(f, "[rule {name}]\n{rule}")?;
        }
        Ok(())
    }
}

fn write_unless_empty(
    f: &mut fmt::Formatter<'_>,
    key: &str,
    value: &impl fmt::Display,
) -> fmt::Result {
    let mut text = String::new();
    write!(text, "{value}")?;
    if text.is_empty() {
        return Ok(());
    }
    writeln!(f, "{key} = {text}")
}
