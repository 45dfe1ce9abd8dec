//! Lines on a stream that never hold up the process.
//!
//! *Load pattern*: a reader of standard output stops, or requests are refused by the thousand. A
//! process that wrote its lines itself would wait for the reader with every request that it serves,
//! and one that wrote each of them would spend its share of a core on them. So lines go to a bounded
//! queue that a thread of its own writes out, each kind has a budget a second, and what is left out
//! is counted and told.

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

/// Lines that wait to be written: some seconds of a busy process, 0.3 MB at most.
const QUEUE: usize = 1_024;

/// Lines of one kind that are written a second. A process that serves 60 requests a second tells of
/// each; under overload, a sample and the count of the rest tell as much.
const BUDGET: u64 = 100;

/// How long an end or a flush waits for the reader.
const FLUSH: Duration = Duration::from_millis(200);

/// How soon what was left out is told.
const TELL: Duration = Duration::from_secs(1);

/// Which lines are written: so many of each kind a second.
#[derive(Debug, Default)]
pub struct Budget {
    second: u64,
    taken: BTreeMap<String, u64>,
    left: BTreeMap<String, u64>,
}

impl Budget {
    /// Takes one line of a kind in the given second; false if it is to be left out.
    pub fn take(&mut self, kind: &str, second: u64) -> bool {
        if second != self.second {
            self.second = second;
            self.taken.clear();
        }
        let taken = match self.taken.get_mut(kind) {
            Some(taken) => taken,
            None => self.taken.entry(kind.into()).or_default(),
        };
        *taken += 1;
        let fits = *taken <= BUDGET;
        if !fits {
            self.leave_out(kind);
        }
        fits
    }

    /// Counts a line that was not written.
    pub fn leave_out(&mut self, kind: &str) {
        *self.left.entry(kind.into()).or_default() += 1;
    }

    /// What was left out since the last call, by kind.
    pub fn left_out(&mut self) -> BTreeMap<String, u64> {
        std::mem::take(&mut self.left)
    }

    fn has_left_out(&self) -> bool {
        !self.left.is_empty()
    }
}

enum Item {
    Line(StringBuf),
    /// Told when all before it is written.
    Flush(SyncSender<()>),
}

/// A line that tells how many of a kind were left out.
pub type Tell = Box<dyn Fn(&str, u64) -> String + Send>;

/// Writes lines to a stream from a thread of its own.
pub struct QueueSink {
    prop: SinkProp,
    items: SyncSender<Item>,
    budget: Arc<Mutex<Budget>>,
}

impl QueueSink {
    /// Starts the thread that writes to `stream`; `tell` makes the lines of what was left out.
    ///
    /// # Errors
    /// The thread can't be started.
    pub fn start(stream: impl Write + Send + 'static, tell: Tell) -> std::io::Result<Self> {
        let (items, queue) = sync_channel(QUEUE);
        let budget: Arc<Mutex<Budget>> = Arc::default();
        let counted = budget.clone();
        thread::Builder::new()
            .name("logs".into())
            .stack_size(128 << 10)
            .spawn(move || write_out(stream, &queue, &counted, &tell))?;
        Ok(Self {
            prop: SinkProp::default(),
            items,
            budget,
        })
    }
}

fn lock(budget: &Mutex<Budget>) -> MutexGuard<'_, Budget> {
    budget.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Writes until the sink is dropped or the stream has ended: then there is nobody to tell.
fn write_out(mut stream: impl Write, queue: &Receiver<Item>, budget: &Mutex<Budget>, tell: &Tell) {
    loop {
        let wait = lock(budget).has_left_out();
        let item = if wait {
            queue.recv_timeout(TELL)
        } else {
            queue.recv().map_err(RecvTimeoutError::from)
        };
        let written = match item {
            Ok(Item::Line(line)) => stream.write_all(line.as_bytes()),
            Ok(Item::Flush(done)) => {
                // Whoever asked may have stopped waiting.
                let _ = done.try_send(());
                stream.flush()
            }
            Err(RecvTimeoutError::Timeout) => write_left_out(&mut stream, budget, tell),
            Err(RecvTimeoutError::Disconnected) => return,
        };
        if written.is_err() {
            return;
        }
    }
}

fn write_left_out(
    stream: &mut impl Write,
    budget: &Mutex<Budget>,
    tell: &Tell,
) -> std::io::Result<()> {
    let left = lock(budget).left_out();
    for (kind, count) in left {
        stream.write_all(tell(&kind, count).as_bytes())?;
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
        let since = record.time().duration_since(UNIX_EPOCH);
        let second = since.unwrap_or_default().as_secs();
        if !lock(&self.budget).take(record.payload(), second) {
            return Ok(());
        }
        let mut line = StringBuf::new();
        let mut context = FormatterContext::new();
        self.prop
            .formatter()
            .format(record, &mut line, &mut context)?;
        if self.items.try_send(Item::Line(line)).is_err() {
            lock(&self.budget).leave_out(record.payload());
        }
        Ok(())
    }

    /// Waits until what is queued is written, but not for a reader that has stopped.
    fn flush(&self) -> spdlog::Result<()> {
        let (done, written) = sync_channel(1);
        if self.items.try_send(Item::Flush(done)).is_ok() {
            // A reader that has stopped is not waited for.
            let _ = written.recv_timeout(FLUSH);
        }
        Ok(())
    }
}

/// The Unix millisecond of now.
pub(crate) fn unix_millis() -> u128 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.unwrap_or_default().as_millis()
}
