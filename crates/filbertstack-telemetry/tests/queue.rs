//! Tests of the log queue with a reader that stops and with more lines than the rate limit allows.

use std::io;
use std::io::Write;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::mpsc::Receiver;
use std::sync::mpsc::Sender;
use std::sync::mpsc::channel;

use filbertstack_telemetry::queue::QueueSink;
use filbertstack_telemetry::queue::RateLimiter;
use spdlog::Logger;
use spdlog::info;

/// A stream that accepts no bytes until it is resumed.
struct BlockedStream {
    resume: Receiver<()>,
    resumed: bool,
    written: Arc<Mutex<String>>,
}

impl Write for BlockedStream {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        if !self.resumed {
            // The test has ended without resuming the stream, so that no reader is left.
            self.resume.recv().map_err(|_| io::ErrorKind::BrokenPipe)?;
            self.resumed = true;
        }
        let text = String::from_utf8_lossy(bytes);
        lock(&self.written).push_str(&text);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn lock(written: &Mutex<String>) -> MutexGuard<'_, String> {
    written.lock().expect("not poisoned")
}

fn start_logger() -> (Arc<Logger>, Sender<()>, Arc<Mutex<String>>) {
    let (resume_sender, resume) = channel();
    let written: Arc<Mutex<String>> = Arc::default();
    let stream = BlockedStream {
        resume,
        resumed: false,
        written: written.clone(),
    };
    let notice = Box::new(|kind: &str, count| format!("{count} of {kind} left out\n"));
    let sink = QueueSink::start(stream, notice).expect("a thread");
    let logger = Logger::builder().sink(Arc::new(sink)).build_arc();
    (logger.expect("a logger"), resume_sender, written)
}

/// The reader of the log stops while the process continues to serve. If requests wrote their lines
/// themselves, every request would wait for the reader. Instead, lines are queued, dropped once the queue is
/// full, and the number of dropped lines is reported when the reader resumes.
#[test]
fn stopped_reader_does_not_block_logging() {
    let (logger, resume, output) = start_logger();
    for kind in 0..40 {
        for _ in 0..50 {
            info!(logger: logger, "kind {kind}");
        }
    }
    assert_eq!(*lock(&output), "");
    resume.send(()).expect("the stream waits");
    while !lock(&output).contains("kind 39 left out") {
        std::thread::yield_now();
    }
    let output = lock(&output).clone();
    let first = output
        .lines()
        .filter(|line| line.ends_with("kind 0"))
        .count();
    assert_eq!(first, 50, "the first lines are kept");
    let dropped = output
        .lines()
        .filter_map(|line| line.strip_suffix(" left out"));
    let counts = dropped.filter_map(|line| line.split(' ').next()?.parse::<usize>().ok());
    let dropped: usize = counts.sum();
    let written = output.lines().filter(|line| !line.ends_with(" left out"));
    assert_eq!(
        written.count() + dropped,
        2_000,
        "all are written or counted"
    );
}

/// A burst of a thousand requests per second is refused. A hundred lines are written and the rest are
/// counted; other kinds of line have their own limit, and the limit starts afresh in the next second.
#[test]
fn each_kind_of_line_is_limited_per_second() {
    let mut limiter = RateLimiter::default();
    let written = (0..1_000).filter(|_| limiter.admit("refused", 7)).count();
    assert_eq!(written, 100);
    assert!(limiter.admit("target not reached", 7));
    assert!(limiter.admit("refused", 8));
    let dropped: Vec<_> = limiter.take_dropped().into_iter().collect();
    assert_eq!(dropped, [("refused".to_owned(), 900)]);
    assert!(limiter.take_dropped().is_empty());
}
