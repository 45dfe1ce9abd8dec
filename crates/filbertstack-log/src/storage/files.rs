//! The files of a data folder and their contents.

use std::io;

use bytes::Bytes;
use prost::Message as _;

use crate::ids::NodeId;
use crate::ids::Position;
use crate::message::Entry;
use crate::message::HardState;
use crate::message::Snapshot;
use crate::storage::disk::Disk;
use crate::storage::disk::DiskFile;
use crate::storage::error::StorageError;
use crate::storage::frame;
use crate::storage::frame::End;

/// The format version of the files.
const FORMAT: u32 = 1;
const IDENTITY: &str = "identity";
const SEGMENT: &str = "wal-";
const SNAPSHOT: &str = "snapshot-";
const TEMPORARY: &str = ".tmp";

/// Describes a segment of the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Segment {
    pub(super) number: u64,
    /// The highest index in the segment.
    pub(super) last: u64,
}

/// The first frame of a segment.
#[derive(Clone, PartialEq, prost::Message)]
pub(super) struct Header {
    #[prost(uint32, tag = "1")]
    pub(super) format: u32,
    #[prost(fixed64, tag = "2")]
    pub(super) node: u64,
    #[prost(uint64, tag = "3")]
    pub(super) number: u64,
    #[prost(message, optional, tag = "4")]
    pub(super) hard: Option<HardState>,
    /// The position before the segment's first entry, unless that entry replaces earlier ones.
    #[prost(message, optional, tag = "5")]
    pub(super) last: Option<StoredPosition>,
}

/// Any later frame of a segment.
#[derive(Clone, PartialEq, prost::Message)]
pub(super) struct Record {
    #[prost(message, optional, tag = "1")]
    pub(super) hard: Option<HardState>,
    /// The position after which the log restarts, if it does.
    #[prost(message, optional, tag = "2")]
    pub(super) reset: Option<StoredPosition>,
    /// The entries to append; each replaces the log from its index on.
    #[prost(message, repeated, tag = "3")]
    pub(super) entries: Vec<Entry>,
    /// Whether this is the last frame of a segment that another follows. Its number is that of the
    /// next segment's first frame.
    #[prost(bool, tag = "4")]
    pub(super) closed: bool,
}

/// Stores a [`Position`] on disk.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub(super) struct StoredPosition {
    #[prost(uint64, tag = "1")]
    term: u64,
    #[prost(uint64, tag = "2")]
    index: u64,
}

impl From<Position> for StoredPosition {
    fn from(at: Position) -> Self {
        Self {
            term: at.term,
            index: at.index,
        }
    }
}

impl From<StoredPosition> for Position {
    fn from(at: StoredPosition) -> Self {
        Self {
            term: at.term,
            index: at.index,
        }
    }
}

#[derive(Clone, PartialEq, prost::Message)]
struct Identity {
    #[prost(uint32, tag = "1")]
    format: u32,
    #[prost(fixed64, tag = "2")]
    node: u64,
}

pub(super) fn encode(record: &Record) -> Vec<u8> {
    record.encode_to_vec()
}

pub(super) fn header(node: NodeId, number: u64, hard: HardState, last: Position) -> Vec<u8> {
    let header = Header {
        format: FORMAT,
        node: node.0,
        number,
        hard: Some(hard),
        last: Some(last.into()),
    };
    header.encode_to_vec()
}

pub(super) fn segment_name(number: u64) -> String {
    format!("{SEGMENT}{number:010}")
}

pub(super) fn snapshot_name(index: u64) -> String {
    format!("{SNAPSHOT}{index:020}")
}

pub(super) fn io_error(action: &'static str, name: &str, source: io::Error) -> StorageError {
    StorageError::Io {
        action,
        file: name.to_owned(),
        source,
    }
}

pub(super) fn full_error(action: &'static str) -> StorageError {
    io_error(action, "the data folder", io::ErrorKind::StorageFull.into())
}

pub(super) fn damaged(name: &str, offset: usize, why: &'static str) -> StorageError {
    StorageError::Damaged {
        file: name.to_owned(),
        offset: offset as u64,
        why,
    }
}

pub(super) fn check_format(name: &str, found: u32) -> Result<(), StorageError> {
    if found == FORMAT {
        return Ok(());
    }
    Err(StorageError::Format {
        file: name.to_owned(),
        found,
        known: FORMAT,
    })
}

fn names<D: Disk>(disk: &D) -> Result<Vec<String>, StorageError> {
    disk.list()
        .map_err(|e| io_error("list", "the data folder", e))
}

/// Returns the numbers of the segments, in order.
pub(super) fn segment_numbers<D: Disk>(disk: &D) -> Result<Vec<u64>, StorageError> {
    let names = names(disk)?;
    let numbers = names.iter().filter_map(|n| n.strip_prefix(SEGMENT));
    let mut numbers: Vec<u64> = numbers.filter_map(|n| n.parse().ok()).collect();
    numbers.sort_unstable();
    Ok(numbers)
}

/// Writes a file atomically: after a crash it exists whole or not at all.
pub(super) fn write_whole<D: Disk>(
    disk: &D,
    name: &str,
    bytes: &[u8],
) -> Result<D::File, StorageError> {
    let temporary = format!("{name}{TEMPORARY}");
    let write = || {
        let mut file = disk.create(&temporary)?;
        file.append(bytes)?;
        file.sync()?;
        disk.rename(&temporary, name)?;
        disk.sync_names()?;
        Ok(file)
    };
    write().map_err(|e| {
        let _ = disk.remove(&temporary);
        io_error("write", name, e)
    })
}

/// Removes temporary files that a crash left behind.
pub(super) fn remove_temporary<D: Disk>(disk: &D) -> Result<(), StorageError> {
    for name in names(disk)?.iter().filter(|n| n.ends_with(TEMPORARY)) {
        disk.remove(name).map_err(|e| io_error("remove", name, e))?;
    }
    Ok(())
}

/// Returns the payload of a file that consists of one frame.
fn read_single<D: Disk>(disk: &D, name: &str) -> Result<Bytes, StorageError> {
    let bytes = Bytes::from(disk.read(name).map_err(|e| io_error("read", name, e))?);
    let frames = frame::decode(&bytes);
    match (frames.payloads.as_slice(), frames.end) {
        // The payload is a slice of the bytes read, not a copy: a snapshot may be large.
        ([payload], End::Whole) => Ok(bytes.slice_ref(payload)),
        _ => Err(damaged(name, frames.length, "it is not one whole record")),
    }
}

/// Returns the identity stored in the folder. A folder without any file of the log gets `fresh`.
///
/// The first segment is written before the identity. An identity without a log therefore means that
/// the log was lost. A log without an identity comes from an interrupted first start, if it holds
/// no records yet.
pub(super) fn load_identity<D: Disk>(disk: &D, fresh: NodeId) -> Result<NodeId, StorageError> {
    let names = names(disk)?;
    let numbers = segment_numbers(disk)?;
    if names.iter().any(|n| n == IDENTITY) {
        let payload = read_single(disk, IDENTITY)?;
        let identity = Identity::decode(payload);
        let identity = identity.map_err(|_| damaged(IDENTITY, 0, "it does not decode"))?;
        check_format(IDENTITY, identity.format)?;
        if numbers.is_empty() {
            let file = segment_name(1);
            return Err(StorageError::Missing { file });
        }
        return Ok(NodeId(identity.node));
    }
    let held = names.iter().any(|n| n.starts_with(SNAPSHOT));
    if held || numbers.iter().any(|n| *n != 1) || has_records(disk, &numbers)? {
        let file = IDENTITY.to_owned();
        return Err(StorageError::Missing { file });
    }
    initialise(disk, fresh)?;
    Ok(fresh)
}

/// Returns whether the first segment holds more than its header.
fn has_records<D: Disk>(disk: &D, numbers: &[u64]) -> Result<bool, StorageError> {
    if numbers.is_empty() {
        return Ok(false);
    }
    let name = segment_name(1);
    let bytes = disk.read(&name).map_err(|e| io_error("read", &name, e))?;
    Ok(frame::decode(&bytes).payloads.len() != 1)
}

fn initialise<D: Disk>(disk: &D, fresh: NodeId) -> Result<(), StorageError> {
    let none = HardState::default();
    let header = header(fresh, 1, none, Position::default());
    write_whole(disk, &segment_name(1), &frame::encode(0, &header))?;
    let identity = Identity {
        format: FORMAT,
        node: fresh.0,
    };
    let bytes = frame::encode(0, &identity.encode_to_vec());
    write_whole(disk, IDENTITY, &bytes)?;
    Ok(())
}

/// Returns the latest snapshot.
pub(super) fn read_snapshot<D: Disk>(disk: &D) -> Result<Option<Snapshot>, StorageError> {
    let names = names(disk)?;
    let latest = names.iter().filter(|n| n.starts_with(SNAPSHOT)).max();
    let Some(name) = latest else { return Ok(None) };
    let snapshot = Snapshot::decode(read_single(disk, name)?);
    let snapshot = snapshot.map_err(|_| damaged(name, 0, "it does not decode"))?;
    Ok(Some(snapshot))
}

/// Writes a snapshot, which is durable on return.
pub(super) fn write_snapshot<D: Disk>(disk: &D, snapshot: &Snapshot) -> Result<(), StorageError> {
    let bytes = frame::encode(snapshot.index, &snapshot.encode_to_vec());
    write_whole(disk, &snapshot_name(snapshot.index), &bytes)?;
    Ok(())
}

/// Removes all snapshots older than `kept`.
pub(super) fn remove_snapshots<D: Disk>(disk: &D, kept: &str) {
    let names = disk.list().unwrap_or_default();
    let old = names
        .iter()
        .filter(|n| n.starts_with(SNAPSHOT) && n.as_str() < kept);
    for name in old {
        let _ = disk.remove(name);
    }
}
