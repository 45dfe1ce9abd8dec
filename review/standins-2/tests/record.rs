//! The record of what was sent, answered and run.

use std::fs::File;
use std::io;
use std::io::BufWriter;
use std::io::Write as _;
use std::path::Path;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Instant;

/// A record file. Clones write to the same file.
#[derive(Clone)]
pub struct Record {
    began: Instant,
    file: Arc<Mutex<BufWriter<File>>>,
}

impl Record {
    /// Creates `record.txt` in `folder`.
    pub fn create(folder: &str) -> io::Result<Self> {
        let file = File::create(Path::new(folder).join("record.txt"))?;
        Ok(Self {
            began: Instant::now(),
            file: Arc::new(Mutex::new(BufWriter::new(file))),
        })
    }

    /// Adds a line with the seconds since the start of the case.
    pub fn add(&self, line: impl AsRef<str>) {
        let mut file = self.file.lock().unwrap_or_else(PoisonError::into_inner);
        let at = self.began.elapsed().as_secs_f64();
        // A record that can't be written shows in the verdict's absence.
        let _ = writeln!(file, "{at:8.3} {}", line.as_ref());
        let _ = file.flush();
    }
}
