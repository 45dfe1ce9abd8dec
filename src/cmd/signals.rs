//! Waits for the signals that stop a process.

use signal_hook::consts::SIGINT;
use signal_hook::consts::SIGTERM;
use signal_hook::iterator::Signals;

/// Waits for SIGTERM or SIGINT. A second signal ends the process at once, with exit code 1.
pub fn wait() -> std::io::Result<()> {
    let mut signals = Signals::new([SIGTERM, SIGINT])?;
    signals.forever().next();
    std::thread::spawn(move || {
        if signals.forever().next().is_some() {
            std::process::exit(1);
        }
    });
    Ok(())
}
