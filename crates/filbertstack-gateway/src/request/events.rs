//! Splitting of a stream into whole events, and the id of the last one, as needed to resume the stream.

use bytes::Buf as _;
use bytes::Bytes;
use bytes::BytesMut;

/// The bytes that end an event.
const EVENT_END: &[u8] = b"\n\n";

/// The start of the line that holds the id of an event.
const ID_FIELD: &[u8] = b"id:";

/// The longest event, in bytes, that is buffered until it is whole. A longer one is passed on in parts,
/// and a stream that breaks off within it can't be resumed cleanly.
const MAX_EVENT: usize = 256 << 10;

/// Passes on the whole events of a stream and buffers the beginning of the next one.
#[derive(Debug, Default)]
pub struct EventBuffer {
    partial: BytesMut,
    last_id: Option<u64>,
}

impl EventBuffer {
    /// Creates the buffer of a stream whose caller already has the events up to the id `last_id`.
    pub fn after(last_id: Option<u64>) -> Self {
        Self {
            partial: BytesMut::new(),
            last_id,
        }
    }

    /// Adds bytes of the stream and returns the events that are whole now.
    pub fn push(&mut self, data: Bytes) -> Bytes {
        if self.partial.is_empty() && data.ends_with(EVENT_END) {
            self.note_id(&data);
            return data;
        }
        self.partial.extend_from_slice(&data);
        let Some(end) = find_last_end(&self.partial) else {
            if self.partial.len() > MAX_EVENT {
                return self.partial.split().freeze();
            }
            return Bytes::new();
        };
        let whole = self.partial.split_to(end).freeze();
        self.note_id(&whole);
        whole
    }

    /// Records the id of the last event in `whole`.
    fn note_id(&mut self, whole: &[u8]) {
        let lines = whole.split(|byte| *byte == b'\n').rev();
        let mut ids = lines.filter_map(|line| line.strip_prefix(ID_FIELD));
        let id = ids.find_map(|id| std::str::from_utf8(id).ok());
        if let Some(id) = id.and_then(|id| id.trim().parse().ok()) {
            self.last_id = Some(id);
        }
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

/// Returns the position after the last whole event.
fn find_last_end(bytes: &[u8]) -> Option<usize> {
    let at = bytes
        .windows(EVENT_END.len())
        .rposition(|pair| pair == EVENT_END)?;
    Some(at + EVENT_END.len())
}
