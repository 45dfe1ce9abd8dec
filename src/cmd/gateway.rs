//! `filbertstack gateway` and `filbertstack gateway-agent` run an entry and an agent on the platform.

use std::path::PathBuf;

use filbertstack_gateway::agent;
use filbertstack_gateway::entry;
use filbertstack_gateway::settings::Settings;
use filbertstack_platform::environment::settings_path;
use filbertstack_telemetry::Identity;
use filbertstack_telemetry::Logs;
use filbertstack_telemetry::Metrics;
use filbertstack_telemetry::Role;
use filbertstack_telemetry::TelemetrySettings;
use filbertstack_telemetry::settings::LogFormat;
use filbertstack_telemetry::settings::LogStream;
use tokio::runtime::Builder;
use tokio::runtime::Runtime;
use tokio::task::LocalSet;

use super::Failure;
use crate::flags;

pub fn run_entry(flags: &flags::Gateway) -> Result<(), Failure> {
    let (settings, path) = read_settings(flags.settings.as_ref())?;
    let identity = Identity::new(Role::Entry, settings.node.name.as_str());
    let _logs = start_logs(&identity)?;
    let metrics = Metrics::new(&identity)?;
    let local_set = LocalSet::new();
    local_set.block_on(&build_runtime()?, entry::run(settings, path, metrics))?;
    Ok(())
}

pub fn run_agent(flags: &flags::GatewayAgent) -> Result<(), Failure> {
    let (settings, path) = read_settings(flags.settings.as_ref())?;
    let identity = Identity::new(Role::Agent, settings.node.name.as_str());
    let _logs = start_logs(&identity)?;
    let metrics = Metrics::new(&identity)?;
    let local_set = LocalSet::new();
    local_set.block_on(&build_runtime()?, agent::run(settings, path, metrics))?;
    Ok(())
}

/// Reads the settings from the path in `explicit`, or from the one that the platform names.
fn read_settings(explicit: Option<&PathBuf>) -> Result<(Settings, PathBuf), Failure> {
    let path = explicit.cloned().or_else(settings_path);
    let path = path.ok_or("no settings file: give --settings FILE")?;
    Ok((Settings::read(&path)?, path))
}

fn start_logs(identity: &Identity) -> Result<Logs, Failure> {
    let telemetry = TelemetrySettings {
        format: LogFormat::Json,
        stream: LogStream::Output,
        ..TelemetrySettings::default()
    };
    let logs = Logs::start(&telemetry, identity)?;
    logs.make_default();
    Ok(logs)
}

/// Returns a runtime with one thread for everything except disk access: small instances have a
/// fraction of one core.
fn build_runtime() -> std::io::Result<Runtime> {
    Builder::new_current_thread().enable_all().build()
}
