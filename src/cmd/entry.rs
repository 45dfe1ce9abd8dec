//! `filbertstack entry` runs an entry until a signal stops it.

use std::sync::Arc;

use filbertstack_entry::Entry;
use filbertstack_entry::Settings;
use filbertstack_telemetry::Identity;
use filbertstack_telemetry::Role;
use filbertstack_telemetry::Telemetry;

use super::Failure;
use super::signals;
use crate::flags;

pub fn run(flags: &flags::Entry) -> Result<(), Failure> {
    let settings = Settings::read(&flags.settings)?;
    let identity = Identity::new(Role::Entry, settings.name.as_str());
    let telemetry = Arc::new(Telemetry::start(&settings.telemetry, &identity)?);
    let entry = Entry::start(settings, telemetry.clone())?;
    println!("listening {} links {}", entry.addr(), entry.links());
    signals::wait()?;
    let completed = entry.stop();
    // Threads that run until the process exits also hold the telemetry, so the drop at the end of
    // this function would not flush it.
    telemetry.traces.flush();
    if completed {
        return Ok(());
    }
    Err("requests were still in progress when the stop timeout ran out: raise stop-timeout".into())
}
