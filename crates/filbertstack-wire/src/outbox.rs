//! Frames that wait for the socket, bounded by bytes.

use std::collections::VecDeque;
use std::mem;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use prost::Message;

use crate::error::WireError;
use crate::frame::MAX_FRAME;
use crate::frame::TAG_LEN;
use crate::messages::Frame;

/// How many bytes may wait: a frozen far end must not grow this process without bound.
const MAX_WAITING: usize = 8 << 20;

#[derive(Debug, Default)]
struct Queue {
    /// The frames and the size of each, in bytes.
    frames: VecDeque<(Frame, usize)>,
    bytes: usize,
    /// How many frames were added, and how many of them are written.
    added: u64,
    written: u64,
    /// Whether nothing more may be added; what waits is still written.
    finishing: bool,
    closed: Option<Instant>,
}

impl Queue {
    const fn takes_none(&self) -> bool {
        self.finishing || self.closed.is_some()
    }

    fn add(&mut self, frame: Frame, size: usize) {
        self.bytes += size;
        self.added += 1;
        self.frames.push_back((frame, size));
    }

    /// Removes the first frames, until they make `most` bytes.
    fn remove(&mut self, most: usize) -> Vec<Frame> {
        let mut removed = Vec::new();
        let left = self.bytes.saturating_sub(most);
        while self.bytes > left
            && let Some((frame, size)) = self.frames.pop_front()
        {
            self.bytes -= size;
            removed.push(frame);
        }
        removed
    }
}

/// The frames of one link that wait for the socket.
#[derive(Debug, Default)]
pub(crate) struct Outbox {
    queue: Mutex<Queue>,
    changed: Condvar,
}

impl Outbox {
    /// Adds a frame, and waits while the queue is full.
    pub(crate) fn push(&self, frame: Frame) -> Result<(), WireError> {
        let size = size_of(&frame)?;
        let mut queue = self.queue.lock().unwrap_or_else(PoisonError::into_inner);
        while queue.bytes > MAX_WAITING && !queue.takes_none() {
            queue = self
                .changed
                .wait(queue)
                .unwrap_or_else(PoisonError::into_inner);
        }
        if queue.takes_none() {
            return Err(WireError::Lost);
        }
        queue.add(frame, size);
        self.changed.notify_all();
        Ok(())
    }

    /// Adds a frame unless the queue is full; such a frame is dropped.
    pub(crate) fn offer(&self, frame: Frame) -> Result<(), WireError> {
        let size = size_of(&frame)?;
        let mut queue = self.queue.lock().unwrap_or_else(PoisonError::into_inner);
        if queue.takes_none() {
            return Err(WireError::Lost);
        }
        if queue.bytes > MAX_WAITING {
            return Err(WireError::Overflow);
        }
        queue.add(frame, size);
        self.changed.notify_all();
        Ok(())
    }

    /// Takes the first frames that wait, until they make `most` bytes, after up to `wait`; `None` once
    /// closed, or finished and empty.
    ///
    /// What is not taken is known to be unwritten when the link ends.
    pub(crate) fn take(&self, most: usize, wait: Duration) -> Option<Vec<Frame>> {
        let until = Instant::now() + wait;
        let mut queue = self.queue.lock().unwrap_or_else(PoisonError::into_inner);
        while queue.frames.is_empty() && !queue.takes_none() {
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return Some(Vec::new());
            }
            let waited = self.changed.wait_timeout(queue, left);
            queue = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
        if queue.closed.is_some() || queue.frames.is_empty() {
            return None;
        }
        let taken = queue.remove(most);
        self.changed.notify_all();
        Some(taken)
    }

    /// Notes that so many frames that were taken are written.
    pub(crate) fn note_written(&self, frames: usize) {
        let mut queue = self.queue.lock().unwrap_or_else(PoisonError::into_inner);
        queue.written += frames as u64;
        self.changed.notify_all();
    }

    /// Waits until all that was added so far is written, or the link is closed.
    pub(crate) fn flush(&self) {
        let mut queue = self.queue.lock().unwrap_or_else(PoisonError::into_inner);
        let added = queue.added;
        while queue.written < added && queue.closed.is_none() {
            queue = self
                .changed
                .wait(queue)
                .unwrap_or_else(PoisonError::into_inner);
        }
    }

    /// Adds nothing more; what waits is still written.
    pub(crate) fn finish(&self) {
        let mut queue = self.queue.lock().unwrap_or_else(PoisonError::into_inner);
        queue.finishing = true;
        self.changed.notify_all();
    }

    /// Ends every wait, and gives what has not been taken.
    pub(crate) fn close(&self) -> Vec<Frame> {
        let mut queue = self.queue.lock().unwrap_or_else(PoisonError::into_inner);
        queue.closed.get_or_insert_with(Instant::now);
        self.changed.notify_all();
        let frames = mem::take(&mut queue.frames);
        frames.into_iter().map(|(frame, _)| frame).collect()
    }

    /// Whether nothing can be added any more.
    pub(crate) fn is_closed(&self) -> bool {
        let queue = self.queue.lock();
        queue.unwrap_or_else(PoisonError::into_inner).takes_none()
    }

    /// When it was closed.
    pub(crate) fn closed_at(&self) -> Option<Instant> {
        let queue = self.queue.lock();
        queue.unwrap_or_else(PoisonError::into_inner).closed
    }
}

/// The size of a frame that a link can carry. One that is refused here ends its own call; found when
/// it is written, it would end the link, and with it every other call.
fn size_of(frame: &Frame) -> Result<usize, WireError> {
    let size = frame.encoded_len();
    if size + TAG_LEN > MAX_FRAME {
        return Err(WireError::TooLarge { size });
    }
    Ok(size)
}
