//! The events of a stream, taken apart only as far as resuming needs.

use bytes::Bytes;
use bytes::BytesMut;

/// What ends an event.
const END: &[u8] = b"\n\n";

/// The line of an event that bears its id.
const ID: &[u8] = b"id:";

/// The longest event that is held back until it is whole, in bytes. A longer one goes on in parts
/// and can't be resumed.
const LONGEST: usize = 256 << 10;

/// The events that went to the caller, and the beginning of the next.
#[derive(Debug, Default)]
pub struct Events {
    half: BytesMut,
    last: Option<u64>,
}

impl Events {
    /// The events after `last`, which the caller holds already.
    pub fn after(last: Option<u64>) -> Self {
        Self {
            half: BytesMut::new(),
            last,
        }
    }

    /// Takes bytes in and returns the whole events among them.
    pub fn push(&mut self, data: Bytes) -> Bytes {
        if self.half.is_empty() && data.ends_with(END) {
            self.note(&data);
            return data;
        }
        self.half.extend_from_slice(&data);
        let Some(end) = find_last_end(&self.half) else {
            if self.half.len() > LONGEST {
                return self.half.split().freeze();
            }
            return Bytes::new();
        };
        let whole = self.half.split_to(end).freeze();
        self.note(&whole);
        whole
    }

    fn note(&mut self, whole: &[u8]) {
        let lines = whole.split(|byte| *byte == b'\n').rev();
        let mut ids = lines.filter_map(|line| line.strip_prefix(ID));
        let id = ids.find_map(|id| std::str::from_utf8(id).ok());
        if let Some(id) = id.and_then(|id| id.trim().parse().ok()) {
            self.last = Some(id);
        }
    }

    /// The id of the last event that went to the caller.
    pub fn last(&self) -> Option<u64> {
        self.last
    }

    /// Whether a part of an event is held back.
    pub fn is_half(&self) -> bool {
        !self.half.is_empty()
    }

    /// Forgets the part of an event whose rest will not come.
    pub fn drop_half(&mut self) {
        self.half.clear();
    }
}

/// Where the last whole event ends.
fn find_last_end(bytes: &[u8]) -> Option<usize> {
    let at = bytes.windows(END.len()).rposition(|pair| pair == END)?;
    Some(at + END.len())
}
