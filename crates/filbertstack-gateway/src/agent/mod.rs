//! The agent process beside a model engine.

use std::rc::Rc;

use crate::settings::Settings;

/// Runs an agent until it is told to stop.
///
/// # Errors
/// [`crate::entry::EntryError`].
pub async fn run(settings: Settings) -> Result<(), crate::entry::EntryError> {
    let _ = Rc::new(settings);
    std::future::pending().await
}
