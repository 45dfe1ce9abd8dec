//! A log sink that writes lines to a stream without blocking the process.
//!
//! *Load pattern*: a reader of standard output stops, or thousands of requests are refused. If the threads
//! that serve requests wrote lines themselves, every request would wait for the reader; if every line were
//! written, logging would use up the process's share of a core. Lines therefore go to a bounded queue that a
//! separate thread writes to the stream. The number of lines of each kind is limited per second, and dropped
//! lines are counted and reported.

use std::collections::BTreeMap;
use std::io::Write;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::mpsc::Receiver;
use std::sync::mpsc::RecvTimeoutError;
use std::sync::mpsc::SyncSender;
use std::sync::mpsc::sync_channel;
use std::thread;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use spdlog::Record;
use spdlog::StringBuf;
use spdlog::formatter::FormatterContext;
use spdlog::sink::GetSinkProp;
use spdlog::sink::Sink;
use spdlog::sink::SinkProp;

/// The maximum number of lines in the queue: some seconds of output of a busy process, at most 0.3 MB.
const LINE_QUEUE_SIZE: usize = 1_024;

/// The maximum number of lines of one kind that are written per second. A process that serves 60 requests per
/// second logs all of them; under overload, a sample and the number of dropped lines give the same
/// information.
const MAX_LINES_PER_SEC: u64 = 100;

/// The time that a flush, also the one at the end of the process, waits for the reader.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(200);

/// The time that the queue must be idle before dropped lines are reported.
const NOTICE_DELAY: Duration = Duration::from_secs(1);

/// Limits the number of lines of each kind that are written per second.
#[derive(Debug, Default)]
pub struct RateLimiter {
    second: u64,
    requested: BTreeMap<String, u64>,
    dropped: BTreeMap<String, u64>,
}

impl RateLimiter {
    /// Counts one line of a kind in the given second and returns whether it may be written.
    pub fn admit(&mut self, kind: &str, second: u64) -> bool {
        if second != self.second {
            self.second = second;
            self.requested.clear();
        }
        let requested = match self.requested.get_mut(kind) {
            Some(requested) => requested,
            None => self.requested.entry(kind.into()).or_default(),
        };
        *requested += 1;
        let admitted = *requested <= MAX_LINES_PER_SEC;
        if !admitted {
            self.count_dropped(kind);
        }
        admitted
    }

    /// Counts a line that was dropped.
    pub fn count_dropped(&mut self, kind: &str) {
        *self.dropped.entry(kind.into()).or_default() += 1;
    }

    /// Returns the numbers of lines that were dropped since the last call, by kind.
    pub fn take_dropped(&mut self) -> BTreeMap<String, u64> {
        std::mem::take(&mut self.dropped)
    }

    fn has_dropped(&self) -> bool {
        !self.dropped.is_empty()
    }
}

enum Item {
    Line(StringBuf),
    /// Requests a signal on the channel once all earlier lines are written.
    Flush(SyncSender<()>),
}

/// Formats the line that reports how many lines of a kind were dropped.
pub type DropNotice = Box<dyn Fn(&str, u64) -> String + Send>;

/// Writes lines to a stream from a separate thread.
pub struct QueueSink {
    prop: SinkProp,
    items: SyncSender<Item>,
    limiter: Arc<Mutex<RateLimiter>>,
}

impl QueueSink {
    /// Starts the thread that writes to `stream`; `notice` formats the lines that report dropped lines.
    ///
    /// # Errors
    /// Returns the error of the system if the thread cannot be started.
    pub fn start(stream: impl Write + Send + 'static, notice: DropNotice) -> std::io::Result<Self> {
        let (items, queue) = sync_channel(LINE_QUEUE_SIZE);
        let limiter: Arc<Mutex<RateLimiter>> = Arc::default();
        let shared = limiter.clone();
        thread::Builder::new()
            .name("logs".into())
            .stack_size(128 << 10)
            .spawn(move || write_out(stream, &queue, &shared, &notice))?;
        Ok(Self {
            prop: SinkProp::default(),
            items,
            limiter,
        })
    }
}

fn lock(limiter: &Mutex<RateLimiter>) -> MutexGuard<'_, RateLimiter> {
    limiter.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Writes lines until the sink is dropped or the stream fails; after a failure there is no reader to report
/// it to.
fn write_out(
    mut stream: impl Write,
    queue: &Receiver<Item>,
    limiter: &Mutex<RateLimiter>,
    notice: &DropNotice,
) {
    loop {
        let timed = lock(limiter).has_dropped();
        let item = if timed {
            queue.recv_timeout(NOTICE_DELAY)
        } else {
            queue.recv().map_err(RecvTimeoutError::from)
        };
        let written = match item {
            Ok(Item::Line(line)) => stream.write_all(line.as_bytes()),
            Ok(Item::Flush(done)) => {
                // The requester may have stopped waiting.
                let _ = done.try_send(());
                stream.flush()
            }
            Err(RecvTimeoutError::Timeout) => write_notices(&mut stream, limiter, notice),
            Err(RecvTimeoutError::Disconnected) => return,
        };
        if written.is_err() {
            return;
        }
    }
}

fn write_notices(
    stream: &mut impl Write,
    limiter: &Mutex<RateLimiter>,
    notice: &DropNotice,
) -> std::io::Result<()> {
    let dropped = lock(limiter).take_dropped();
    for (kind, count) in dropped {
        stream.write_all(notice(&kind, count).as_bytes())?;
    }
    stream.flush()
}

impl GetSinkProp for QueueSink {
    fn prop(&self) -> &SinkProp {
        &self.prop
    }
}

impl Sink for QueueSink {
    fn log(&self, record: &Record) -> spdlog::Result<()> {
        let elapsed = record.time().duration_since(UNIX_EPOCH);
        let second = elapsed.unwrap_or_default().as_secs();
        if !lock(&self.limiter).admit(record.payload(), second) {
            return Ok(());
        }
        let mut line = StringBuf::new();
        let mut context = FormatterContext::new();
        self.prop
            .formatter()
            .format(record, &mut line, &mut context)?;
        if self.items.try_send(Item::Line(line)).is_err() {
            lock(&self.limiter).count_dropped(record.payload());
        }
        Ok(())
    }

    /// Waits until the queued lines are written, for at most `FLUSH_TIMEOUT`.
    fn flush(&self) -> spdlog::Result<()> {
        let (done, written) = sync_channel(1);
        if self.items.try_send(Item::Flush(done)).is_ok() {
            // The timeout prevents a wait for a reader that has stopped.
            let _ = written.recv_timeout(FLUSH_TIMEOUT);
        }
        Ok(())
    }
}

/// Returns the current Unix time in milliseconds.
pub(crate) fn unix_millis() -> u128 {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH);
    elapsed.unwrap_or_default().as_millis()
}
