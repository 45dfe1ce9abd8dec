//! The queue of frames to be written to a socket, limited by bytes.

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

/// The limit of queued bytes. Without it, a far end that does not read could exhaust this process's memory.
const MAX_QUEUED: usize = 8 << 20;

#[derive(Debug, Default)]
struct Queue {
    /// The frames, each with its size in bytes.
    frames: VecDeque<(Frame, usize)>,
    /// The size of all frames, in bytes.
    bytes: usize,
    /// The number of frames ever added.
    added: u64,
    /// The number of frames ever written.
    written: u64,
    /// Whether no more frames may be added. Queued frames are still written.
    finishing: bool,
    /// When the queue was closed; `None` while it is open.
    closed_at: Option<Instant>,
}

impl Queue {
    const fn rejects_frames(&self) -> bool {
        self.finishing || self.closed_at.is_some()
    }

    fn add(&mut self, frame: Frame, size: usize) {
        self.bytes += size;
        self.added += 1;
        self.frames.push_back((frame, size));
    }

    /// Removes frames from the front until they add up to `target_size` bytes.
    fn remove(&mut self, target_size: usize) -> Vec<Frame> {
        let mut removed = Vec::new();
        let left = self.bytes.saturating_sub(target_size);
        while self.bytes > left
            && let Some((frame, size)) = self.frames.pop_front()
        {
            self.bytes -= size;
            removed.push(frame);
        }
        removed
    }
}

/// The frames of one link that are not yet written.
#[derive(Debug, Default)]
pub(crate) struct Outbox {
    queue: Mutex<Queue>,
    changed: Condvar,
}

impl Outbox {
    /// Adds a frame; waits while the queue is full.
    pub(crate) fn push(&self, frame: Frame) -> Result<(), WireError> {
        let size = checked_size(&frame)?;
        let mut queue = self.queue.lock().unwrap_or_else(PoisonError::into_inner);
        while queue.bytes > MAX_QUEUED && !queue.rejects_frames() {
            queue = self
                .changed
                .wait(queue)
                .unwrap_or_else(PoisonError::into_inner);
        }
        if queue.rejects_frames() {
            return Err(WireError::Lost);
        }
        queue.add(frame, size);
        self.changed.notify_all();
        Ok(())
    }

    /// Adds a frame; drops the frame if the queue is full.
    pub(crate) fn offer(&self, frame: Frame) -> Result<(), WireError> {
        let size = checked_size(&frame)?;
        let mut queue = self.queue.lock().unwrap_or_else(PoisonError::into_inner);
        if queue.rejects_frames() {
            return Err(WireError::Lost);
        }
        if queue.bytes > MAX_QUEUED {
            return Err(WireError::Overflow);
        }
        queue.add(frame, size);
        self.changed.notify_all();
        Ok(())
    }

    /// Removes frames from the front until they add up to `target_size` bytes. Waits up to `wait` for the
    /// first one; returns `None` once the queue is closed, or finished and empty.
    ///
    /// Frames that still wait here when the link ends are certain not to have been written.
    pub(crate) fn take(&self, target_size: usize, wait: Duration) -> Option<Vec<Frame>> {
        let deadline = Instant::now() + wait;
        let mut queue = self.queue.lock().unwrap_or_else(PoisonError::into_inner);
        while queue.frames.is_empty() && !queue.rejects_frames() {
            let left = deadline.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return Some(Vec::new());
            }
            let waited = self.changed.wait_timeout(queue, left);
            queue = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
        if queue.closed_at.is_some() || queue.frames.is_empty() {
            return None;
        }
        let taken = queue.remove(target_size);
        self.changed.notify_all();
        Some(taken)
    }

    /// Notes that `frames` of the removed frames are written.
    pub(crate) fn note_written(&self, frames: usize) {
        let mut queue = self.queue.lock().unwrap_or_else(PoisonError::into_inner);
        queue.written += frames as u64;
        self.changed.notify_all();
    }

    /// Waits until all frames added so far are written, or the queue is closed.
    pub(crate) fn flush(&self) {
        let mut queue = self.queue.lock().unwrap_or_else(PoisonError::into_inner);
        let added = queue.added;
        while queue.written < added && queue.closed_at.is_none() {
            queue = self
                .changed
                .wait(queue)
                .unwrap_or_else(PoisonError::into_inner);
        }
    }

    /// Rejects new frames from now on; queued frames are still written.
    pub(crate) fn finish(&self) {
        let mut queue = self.queue.lock().unwrap_or_else(PoisonError::into_inner);
        queue.finishing = true;
        self.changed.notify_all();
    }

    /// Closes the queue, ends every wait and returns the frames that were still queued.
    pub(crate) fn close(&self) -> Vec<Frame> {
        let mut queue = self.queue.lock().unwrap_or_else(PoisonError::into_inner);
        queue.closed_at.get_or_insert_with(Instant::now);
        self.changed.notify_all();
        let frames = mem::take(&mut queue.frames);
        frames.into_iter().map(|(frame, _)| frame).collect()
    }

    /// Returns whether no more frames can be added.
    pub(crate) fn is_closed(&self) -> bool {
        let queue = self.queue.lock();
        queue
            .unwrap_or_else(PoisonError::into_inner)
            .rejects_frames()
    }

    /// Returns when the queue was closed.
    pub(crate) fn closed_at(&self) -> Option<Instant> {
        let queue = self.queue.lock();
        queue.unwrap_or_else(PoisonError::into_inner).closed_at
    }
}

/// Returns the size of a frame, or an error if a link can't carry it.
///
/// An error here fails only the frame's own call. If the size were checked when the frame is written, the
/// error would end the link and all calls on it.
fn checked_size(frame: &Frame) -> Result<usize, WireError> {
    let size = frame.encoded_len();
    if size + TAG_LEN > MAX_FRAME {
        return Err(WireError::TooLarge { size });
    }
    Ok(size)
}
