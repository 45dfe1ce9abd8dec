//! Splitting of a stream into whole events, which are checked before they are passed on, and the id of the last one,
//! as needed to resume the stream.

use std::time::Duration;

use bytes::Buf as _;
use bytes::Bytes;
use bytes::BytesMut;
use filbertstack_platform::event::EventLine;
use tokio::time::Instant;

/// The bytes that end an event.
const EVENT_END: &[u8] = b"\n\n";

/// The longest event, in bytes, that is buffered until it is whole. A longer one is passed on in parts, and a stream that
/// breaks off within it can't be resumed.
const MAX_EVENT: usize = 256 << 10;

/// How many bytes of blank lines and comments may come between two events. Engines send some tens to keep a connection open.
const MAX_IDLE: usize = 64 << 10;

/// The time within which everything that arrived together is read, if the caller does not hold the relay back. It
/// is a quarter of the shortest passes, so that it changes no gap by much.
const SAME_ARRIVAL: Duration = Duration::from_millis(10);

/// Passes on the whole events of a stream and buffers the beginning of the next one.
///
/// A target in trouble may send anything within its answer, and what a caller has received can't be taken back. Each
/// event is therefore checked before it is passed on: it has the lines of an event, and an id greater than the last.
/// Nothing that follows bytes which are no event is passed on.
#[derive(Debug, Default)]
pub struct EventBuffer {
    /// What has arrived of the next event.
    partial: BytesMut,
    /// The length of the lines in `partial` that are checked.
    checked: usize,
    /// The length of the bytes in `partial` that hold no end of a line.
    searched: usize,
    /// The length of the blank lines and comments since the last event.
    idle: usize,
    /// Whether `partial` begins within a line whose start was passed on.
    within_line: bool,
    next: NextEvent,
    passed: PassedIds,
    fault: Option<Fault>,
}

/// The ids of the events that were passed on.
#[derive(Clone, Copy, Debug, Default)]
struct PassedIds {
    last: Option<u64>,
    run: Run,
}

/// What is known of the events that the present target has sent.
#[derive(Clone, Copy, Debug, Default)]
enum Run {
    /// It has sent none.
    #[default]
    Empty,
    /// It has sent all from this id to the last one.
    From(u64),
    /// It has left ids out, as engines may. Events may be missing.
    WithGaps,
}

/// What is known of an event that has not ended.
#[derive(Clone, Copy, Debug, Default)]
struct NextEvent {
    id: Option<u64>,
    /// Whether it has a line other than comments.
    has_fields: bool,
    /// Whether its caller has a part of it.
    begun: bool,
}

/// Why nothing more is passed on of what a target sends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// It has sent an event again, or begins the stream anew.
    Repeated,
    /// It has sent an event that belongs before the last one, and its caller may lack it.
    Skipped,
    /// It has sent bytes that are no event.
    NoEvent,
}

impl Fault {
    /// Returns its name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Repeated => "the target sent an event that its caller has",
            Self::Skipped => "the target sent events out of order",
            Self::NoEvent => "the target sent bytes that are no event",
        }
    }
}

impl EventBuffer {
    /// Creates the buffer of a stream whose caller already has the events up to the id `last_id`.
    pub fn after(last_id: Option<u64>) -> Self {
        Self {
            passed: PassedIds {
                last: last_id,
                run: Run::Empty,
            },
            ..Self::default()
        }
    }

    /// Adds bytes of the stream and returns the events that are whole now. [`fault`](Self::fault) tells whether other
    /// bytes follow them; nothing more is returned then.
    pub fn push(&mut self, data: &[u8]) -> Bytes {
        let mut events = BytesMut::new();
        if self.fault.is_none() {
            self.partial.extend_from_slice(data);
            self.fault = self.take_events(&mut events).err();
        }
        events.freeze()
    }

    /// Moves the whole events to `events`, and the beginning of one that is too long to be buffered.
    fn take_events(&mut self, events: &mut BytesMut) -> Result<(), Fault> {
        while let Some(end) = self.find_line_end() {
            if let Some(event) = self.take_line(end)? {
                events.unsplit(event);
            }
        }
        let rest = &self.partial[self.checked..];
        if !self.within_line && rest != b"\r" && !EventLine::may_begin_with(rest) {
            return Err(Fault::NoEvent);
        }
        if self.partial.len() > MAX_EVENT {
            events.unsplit(self.take_part()?);
        }
        Ok(())
    }

    /// Returns the position after the next line that is not checked.
    fn find_line_end(&mut self) -> Option<usize> {
        // A long line that comes in small parts would be searched from its beginning with each.
        let from = self.checked.max(self.searched);
        let rest = self.partial.get(from..)?;
        let at = rest.iter().position(|byte| *byte == b'\n');
        self.searched = at.map_or(self.partial.len(), |at| from + at + 1);
        at.map(|_| self.searched)
    }

    /// Checks the line that ends at `end`. Returns the event that ends with it.
    fn take_line(&mut self, end: usize) -> Result<Option<BytesMut>, Fault> {
        let line = trim_line_end(&self.partial[self.checked..end]);
        let is_rest = std::mem::take(&mut self.within_line);
        if is_rest || !line.is_empty() {
            if !is_rest {
                self.next.add_line(line, self.passed)?;
            }
            self.checked = end;
            return Ok(None);
        }
        let event = self.partial.split_to(end);
        self.checked = 0;
        self.searched = 0;
        let ended = std::mem::take(&mut self.next);
        // Blank lines and comments alone are no event, and callers need none of them.
        if !ended.has_fields {
            self.idle += event.len();
            let endless = self.idle > MAX_IDLE;
            return if endless {
                Err(Fault::NoEvent)
            } else {
                Ok(None)
            };
        }
        self.idle = 0;
        let id = ended.id.ok_or(Fault::NoEvent)?;
        self.passed.note(id);
        Ok(Some(event))
    }

    /// Takes the beginning of an event that is too long, up to a line that is not known to belong to it.
    fn take_part(&mut self) -> Result<BytesMut, Fault> {
        let rest = &self.partial[self.checked..];
        let belongs = matches!(
            EventLine::read(rest),
            Some(EventLine::Field | EventLine::Comment)
        );
        let within_line = self.within_line || belongs;
        let end = if within_line {
            self.partial.len()
        } else {
            self.checked
        };
        if self.next.id.is_none() || end == 0 {
            return Err(Fault::NoEvent);
        }
        self.within_line = within_line;
        self.next.begun = true;
        self.checked = 0;
        self.searched = 0;
        Ok(self.partial.split_to(end))
    }

    /// Returns why nothing more of the target is passed on; `None` if all that it has sent is sound.
    pub fn fault(&self) -> Option<Fault> {
        self.fault
    }

    /// Returns the id of the last event that was passed on.
    pub fn last_id(&self) -> Option<u64> {
        self.passed.last
    }

    /// Returns whether a part of an event has arrived, and not the rest.
    pub fn has_partial(&self) -> bool {
        self.next.begun || self.next.has_fields || self.checked < self.partial.len()
    }

    /// Returns whether another target may continue the stream after the last event: its caller has all events up to it,
    /// and no part of the next.
    pub fn can_resume(&self) -> bool {
        !self.next.begun && self.fault != Some(Fault::Skipped)
    }

    /// Discards what has arrived after the last whole event, and is not followed by its rest.
    pub fn drop_partial(&mut self) {
        *self = Self::after(self.passed.last);
    }
}

impl NextEvent {
    /// Adds a line of the event, which follows those that were passed on.
    fn add_line(&mut self, line: &[u8], passed: PassedIds) -> Result<(), Fault> {
        match EventLine::read(line).ok_or(Fault::NoEvent)? {
            EventLine::Comment => return Ok(()),
            EventLine::Weights if self.has_fields => return Err(Fault::NoEvent),
            EventLine::Id(_) if self.id.is_some() => return Err(Fault::NoEvent),
            EventLine::Id(id) => {
                passed.check(id)?;
                self.id = Some(id);
            }
            EventLine::Weights | EventLine::Field => {}
        }
        self.has_fields = true;
        Ok(())
    }
}

impl PassedIds {
    /// Checks the id of the event that follows.
    fn check(self, id: u64) -> Result<(), Fault> {
        if self.last.is_none_or(|last| id > last) {
            return Ok(());
        }
        match self.run {
            Run::Empty => Err(Fault::Repeated),
            Run::From(first) if id >= first => Err(Fault::Repeated),
            Run::From(_) | Run::WithGaps => Err(Fault::Skipped),
        }
    }

    /// Notes the id of an event that is passed on.
    fn note(&mut self, id: u64) {
        let follows = self.last.is_none_or(|last| id - 1 == last);
        self.run = match self.run {
            Run::Empty if follows => Run::From(id),
            Run::From(first) if follows => Run::From(first),
            Run::Empty | Run::From(_) | Run::WithGaps => Run::WithGaps,
        };
        self.last = Some(id);
    }
}

/// Returns a line without its end.
fn trim_line_end(line: &[u8]) -> &[u8] {
    let line = line.strip_suffix(b"\n").unwrap_or(line);
    line.strip_suffix(b"\r").unwrap_or(line)
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
