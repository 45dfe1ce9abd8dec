//! `filbertstack entry`.

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
    let done = entry.stop();
    // Threads that end with the process hold it too, so its own end would not flush it.
    telemetry.traces.flush();
    if done {
        return Ok(());
    }
    Err("requests were still in progress when the stop timeout ran out: raise stop-timeout".into())
}
