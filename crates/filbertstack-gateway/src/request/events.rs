//! Splitting of a stream into whole events, and the id of the last one, as needed to resume the stream.

use std::time::Duration;

use bytes::Buf as _;
use bytes::Bytes;
use bytes::BytesMut;
use tokio::time::Instant;

/// The bytes that end an event.
const EVENT_END: &[u8] = b"\n\n";

/// The start of the line that holds the id of an event.
const ID_FIELD: &[u8] = b"id:";

/// The longest event, in bytes, that is buffered until it is whole. A longer one is passed on in parts,
/// and a stream that breaks off within it can't be resumed cleanly.
const MAX_EVENT: usize = 256 << 10;

/// The time within which everything that arrived together is read, if the caller does not hold the relay back. It
/// is a quarter of the shortest passes, so that it changes no gap by much.
const SAME_ARRIVAL: Duration = Duration::from_millis(10);

/// Passes on the whole events of a stream and buffers the beginning of the next one.
#[derive(Debug, Default)]
pub struct EventBuffer {
    partial: BytesMut,
    last_id: Option<u64>,
    /// Whether the next event is the first of a target that resumes the stream.
    resumes: bool,
}

/// A target that was to resume a stream has sent an event that its caller already has.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Restarted;

impl EventBuffer {
    /// Creates the buffer of a stream whose caller already has the events up to the id `last_id`.
    pub fn after(last_id: Option<u64>) -> Self {
        Self {
            partial: BytesMut::new(),
            last_id,
            resumes: false,
        }
    }

    /// Records that the next bytes are those of a target that is to resume the stream after its last event.
    pub fn expect_resumed(&mut self) {
        self.resumes = true;
    }

    /// Adds bytes of the stream and returns the events that are whole now.
    ///
    /// # Errors
    /// [`Restarted`] if they are those of a target that does not resume the stream; nothing more may be passed on
    /// of it.
    pub fn push(&mut self, data: Bytes) -> Result<Bytes, Restarted> {
        if self.partial.is_empty() && data.ends_with(EVENT_END) {
            self.note_ids(&data)?;
            return Ok(data);
        }
        self.partial.extend_from_slice(&data);
        let Some(end) = find_last_end(&self.partial) else {
            if self.partial.len() > MAX_EVENT {
                return Ok(self.partial.split().freeze());
            }
            return Ok(Bytes::new());
        };
        let whole = self.partial.split_to(end).freeze();
        self.note_ids(&whole)?;
        Ok(whole)
    }

    /// Records the id of the last event in `whole`. An engine that resumes a stream begins after the event that it
    /// was told; one that does not know the id begins with the first.
    fn note_ids(&mut self, whole: &[u8]) -> Result<(), Restarted> {
        if self.resumes {
            let first = event_ids(whole).next();
            if first.is_some_and(|first| self.last_id.is_some_and(|last| first <= last)) {
                return Err(Restarted);
            }
            self.resumes = first.is_none();
        }
        if let Some(last) = event_ids(whole).next_back() {
            self.last_id = Some(last);
        }
        Ok(())
    }

    /// Returns the id of the last event that was passed on.
    pub fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Returns whether a part of an event is buffered.
    pub fn has_partial(&self) -> bool {
        !self.partial.is_empty()
    }

    /// Discards the buffered part of an event, whose rest will not arrive.
    pub fn drop_partial(&mut self) {
        self.partial.clear();
    }
}

/// Returns the ids of whole events.
fn event_ids(whole: &[u8]) -> impl DoubleEndedIterator<Item = u64> {
    let ids = whole
        .split(|byte| *byte == b'\n')
        .filter_map(|line| line.strip_prefix(ID_FIELD));
    ids.filter_map(|id| std::str::from_utf8(id).ok()?.trim().parse().ok())
}

/// Tells whether a stream that is passed on as it arrives is inside an event.
#[derive(Debug, Default)]
pub struct EventTail {
    /// The last bytes of the stream, as many as end an event.
    last: BytesMut,
}

impl EventTail {
    /// Notes bytes of the stream.
    pub fn note(&mut self, data: &[u8]) {
        let tail = data.len().saturating_sub(EVENT_END.len());
        self.last.extend_from_slice(&data[tail..]);
        let surplus = self.last.len().saturating_sub(EVENT_END.len());
        self.last.advance(surplus);
    }

    /// Returns whether the stream ended after a whole event, and not before the first one.
    pub fn is_whole(&self) -> bool {
        self.last == EVENT_END
    }
}

/// The events that arrived together, and the time since those before them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EventGap {
    /// The time between the two arrivals.
    pub gap: Duration,
    /// The number of events that arrived.
    pub events: u32,
}

/// Measures the gaps between the events of a stream as its target sends them.
///
/// While the caller's connection holds the relay back, bytes are read late: nothing waits for the target then, and
/// what it sends stays in its connection. A late read neither begins nor ends a gap. What arrives together may be
/// read in parts.
#[derive(Debug, Default)]
pub struct EventGaps {
    /// Whether the relay waits for the target.
    waiting: bool,
    /// Whether the bytes that were read last, or are read next, may have arrived before.
    late: bool,
    /// The last read of bytes.
    read_at: Option<Instant>,
    /// The last arrival of events; `None` before the first one, and after a late read.
    arrived_at: Option<Instant>,
    /// The gap before that arrival, until it is returned.
    gap: Option<Duration>,
    /// The number of events of that arrival, until the gap is returned.
    events: u32,
    /// Whether the last byte was the first of two that end an event.
    in_end: bool,
}

impl EventGaps {
    /// Notes bytes that are read.
    pub fn note(&mut self, now: Instant, data: &[u8]) {
        let events = self.count_ends(data);
        self.late |= !self.waiting && !self.has_just_read(now);
        self.waiting = false;
        self.read_at = Some(now);
        if self.late {
            self.discard();
            return;
        }
        if events > 0 && self.events == 0 {
            let before = self.arrived_at.replace(now);
            self.gap = before.map(|before| now.saturating_duration_since(before));
        }
        self.events += events;
    }

    /// Notes that the relay waits for the target, as all that arrived is read. Returns the gap before it.
    pub fn note_waiting(&mut self, now: Instant) -> Option<EventGap> {
        if self.waiting {
            return None;
        }
        self.waiting = true;
        self.late = self.read_at.is_some() && !self.has_just_read(now);
        if self.late {
            self.discard();
        }
        let events = std::mem::take(&mut self.events);
        let gap = self.gap.take()?;
        Some(EventGap { gap, events })
    }

    /// Returns whether bytes were read a moment ago, and nothing has held the relay back since.
    fn has_just_read(&self, now: Instant) -> bool {
        self.read_at
            .is_some_and(|at| now.saturating_duration_since(at) <= SAME_ARRIVAL)
    }

    fn discard(&mut self) {
        self.arrived_at = None;
        self.gap = None;
        self.events = 0;
    }

    /// Counts the ends of events in the next bytes of the stream.
    fn count_ends(&mut self, data: &[u8]) -> u32 {
        let mut events = 0;
        for byte in data {
            let is_newline = *byte == b'\n';
            let ends = is_newline && self.in_end;
            events += u32::from(ends);
            self.in_end = is_newline && !ends;
        }
        events
    }
}

/// Returns the position after the last whole event.
fn find_last_end(bytes: &[u8]) -> Option<usize> {
    let at = bytes
        .windows(EVENT_END.len())
        .rposition(|pair| pair == EVENT_END)?;
    Some(at + EVENT_END.len())
}
