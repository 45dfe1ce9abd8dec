//! Reading the log back at the start.

use bytes::Bytes;
use prost::Message as _;

use crate::ids::NodeId;
use crate::ids::Position;
use crate::message::Entry;
use crate::message::HardState;
use crate::message::Snapshot;
use crate::storage::disk::Disk;
use crate::storage::error::StorageError;
use crate::storage::files;
use crate::storage::files::Header;
use crate::storage::files::Record;
use crate::storage::files::Segment;
use crate::storage::files::damaged;
use crate::storage::files::segment_name;
use crate::storage::frame;
use crate::storage::frame::End;

/// Holds the state read from the segments.
#[derive(Debug, Default)]
pub(super) struct Replay {
    pub(super) hard: HardState,
    base: Position,
    entries: Vec<Entry>,
    pub(super) segments: Vec<Segment>,
    /// The complete frames of the last segment.
    pub(super) tail: Vec<u8>,
    pub(super) next_frame: u64,
    closed: bool,
}

impl Replay {
    pub(super) fn read<D: Disk>(disk: &D, node: NodeId) -> Result<Self, StorageError> {
        let mut replay = Self::default();
        let numbers = files::segment_numbers(disk)?;
        for (i, number) in numbers.iter().enumerate() {
            if *number != numbers[0] + i as u64 {
                let file = segment_name(numbers[0] + i as u64);
                return Err(StorageError::Missing { file });
            }
            let name = segment_name(*number);
            let bytes = disk
                .read(&name)
                .map_err(|e| files::io_error("read", &name, e))?;
            replay.read_segment(&name, *number, node, bytes)?;
        }
        if replay.closed {
            let file = segment_name(numbers.last().map_or(1, |n| n + 1));
            return Err(StorageError::Missing { file });
        }
        Ok(replay)
    }

    fn read_segment(
        &mut self,
        name: &str,
        number: u64,
        node: NodeId,
        mut bytes: Vec<u8>,
    ) -> Result<(), StorageError> {
        let frames = frame::decode(&bytes);
        // A crash truncates the newest segment, or the closing frame of the segment before it. If
        // more is missing there, the frame numbers reveal it.
        if let End::Damaged(why) = frames.end {
            return Err(damaged(name, frames.length, why));
        }
        let Some((head, records)) = frames.payloads.split_first() else {
            return Err(damaged(name, 0, "its header is missing"));
        };
        if !self.segments.is_empty() && frames.first != self.next_frame {
            return Err(damaged(name, 0, "records before it are missing"));
        }
        self.read_header(name, number, node, head)?;
        self.closed = false;
        for record in records {
            self.apply_record(name, record)?;
        }
        let counted = frames.payloads.len() - usize::from(self.closed);
        self.next_frame = frames.first + counted as u64;
        let length = frames.length;
        bytes.truncate(length);
        self.tail = bytes;
        Ok(())
    }

    fn read_header(
        &mut self,
        name: &str,
        number: u64,
        node: NodeId,
        head: &[u8],
    ) -> Result<(), StorageError> {
        let header = Header::decode(Bytes::copy_from_slice(head));
        let header = header.map_err(|_| damaged(name, 0, "its header does not decode"))?;
        files::check_format(name, header.format)?;
        if header.node != node.0 || header.number != number {
            let file = name.to_owned();
            return Err(StorageError::Foreign { file });
        }
        if self.segments.is_empty() {
            self.base = header.last.map(Position::from).unwrap_or_default();
        }
        self.hard = header.hard.unwrap_or_default();
        let last = self.last().index;
        self.segments.push(Segment { number, last });
        Ok(())
    }

    fn apply_record(&mut self, name: &str, payload: &[u8]) -> Result<(), StorageError> {
        let record = Record::decode(Bytes::copy_from_slice(payload));
        let record = record.map_err(|_| damaged(name, 0, "a record does not decode"))?;
        self.hard = record.hard.unwrap_or(self.hard);
        self.closed = record.closed;
        if let Some(reset) = record.reset {
            self.entries.clear();
            self.base = reset.into();
        }
        for entry in record.entries {
            self.apply_entry(name, entry)?;
        }
        Ok(())
    }

    fn apply_entry(&mut self, name: &str, entry: Entry) -> Result<(), StorageError> {
        let last = self.last().index;
        if entry.index > last + 1 || entry.index == 0 {
            return Err(damaged(name, 0, "entries are missing"));
        }
        if entry.index <= self.base.index {
            // The entries below were in a segment that a snapshot covers.
            self.entries.clear();
            let index = entry.index.saturating_sub(1);
            self.base = Position { term: 0, index };
        }
        let kept = entry.index - self.base.index - 1;
        self.entries
            .truncate(usize::try_from(kept).unwrap_or(usize::MAX));
        if let Some(segment) = self.segments.last_mut() {
            segment.last = segment.last.max(entry.index);
        }
        self.entries.push(entry);
        Ok(())
    }

    /// Returns the name of the newest segment, which receives new records.
    pub(super) fn newest_name(&self) -> String {
        segment_name(self.segments.last().map_or(1, |s| s.number))
    }

    pub(super) fn last(&self) -> Position {
        self.entries.last().map_or(self.base, Entry::position)
    }

    /// Removes and returns the entries that follow the snapshot.
    ///
    /// A log without the snapshot's last entry is older than the snapshot or comes from another
    /// leader: the crash happened after the snapshot was stored and before the log was reset.
    pub(super) fn take_after(
        &mut self,
        snapshot: Option<&Snapshot>,
    ) -> Result<Vec<Entry>, StorageError> {
        let place = snapshot.map(Snapshot::position).unwrap_or_default();
        if place.index < self.base.index {
            let index = self.base.index;
            return Err(StorageError::NoSnapshot { index });
        }
        let mut entries = std::mem::take(&mut self.entries);
        let holds = |e: &Entry| e.position() == place;
        if place == self.base || entries.iter().any(holds) {
            entries.retain(|e| e.index > place.index);
            return Ok(entries);
        }
        Ok(Vec::new())
    }
}
