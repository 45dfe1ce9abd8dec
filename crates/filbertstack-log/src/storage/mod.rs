//! The durable state of a replica, in one data folder.
//!
//! The write-ahead log consists of segments `wal-NNNNNNNNNN`, each a sequence of [frames](frame)
//! with one sync per frame. `snapshot-NNNN...` holds the latest snapshot, and `identity` the
//! replica's [`NodeId`]. Nothing is acknowledged before it is synced. Opening the
//! folder rewrites and syncs the last segment: after a failed sync, the data read back may come
//! from the kernel's page cache and not from the disk.

pub mod disk;
mod error;
mod files;
pub mod frame;
mod replay;

use crate::ids::NodeId;
use crate::ids::Position;
use crate::message::Entry;
use crate::message::HardState;
use crate::message::Snapshot;
use crate::node::DurableState;
use crate::node::Input;
use crate::node::Write;
use crate::storage::disk::Disk;
use crate::storage::disk::DiskFile;
use crate::storage::disk::is_full;
pub use crate::storage::error::StorageError;
use crate::storage::files::Record;
use crate::storage::files::Segment;
use crate::storage::files::segment_name;
use crate::storage::files::snapshot_name;
use crate::storage::replay::Replay;

/// The size beyond which a segment is closed, in bytes. A start rewrites one segment, and disk
/// space is freed by whole segments: this size bounds both to about 100 ms on a small disk.
pub const SEGMENT_BYTES: u64 = 4 << 20;

/// Manages the durable state of one replica.
#[derive(Debug)]
pub struct Storage<D: Disk> {
    disk: D,
    node: NodeId,
    file: D::File,
    current_size: u64,
    next_frame: u64,
    segments: Vec<Segment>,
    hard: HardState,
    last: Position,
    snapshot_index: u64,
    refused_epoch: u64,
    segment_bytes: u64,
}

impl<D: Disk> Storage<D> {
    /// Opens the folder and returns its durable state. An empty folder gets the identity `fresh`.
    ///
    /// # Errors
    /// Returns [`StorageError`] if the folder cannot be used; nothing but temporary files was then
    /// changed in it.
    pub fn open(disk: D, fresh: NodeId) -> Result<(Self, DurableState), StorageError> {
        Self::open_sized(disk, fresh, SEGMENT_BYTES)
    }

    /// Opens the folder as [`Storage::open`] does, with another segment size.
    ///
    /// # Errors
    /// Returns the errors of [`Storage::open`].
    pub fn open_sized(
        disk: D,
        fresh: NodeId,
        segment_bytes: u64,
    ) -> Result<(Self, DurableState), StorageError> {
        files::remove_temporary(&disk)?;
        let node = files::load_identity(&disk, fresh)?;
        let snapshot = files::read_snapshot(&disk)?;
        let mut replay = Replay::read(&disk, node)?;
        let written = replay.last();
        let entries = replay.take_after(snapshot.as_ref())?;
        let file = files::write_whole(&disk, &replay.newest_name(), &replay.tail)?;
        let covered = snapshot.as_ref().map(Snapshot::position);
        let mut storage = Self {
            disk,
            node,
            file,
            current_size: replay.tail.len() as u64,
            next_frame: replay.next_frame,
            segments: replay.segments.clone(),
            hard: replay.hard,
            last: written,
            snapshot_index: covered.map_or(0, |place| place.index),
            refused_epoch: 0,
            segment_bytes,
        };
        let last = entries.last().map(Entry::position).or(covered);
        storage.last = last.unwrap_or_default();
        // A snapshot of a leader was stored and the log was not reset before the crash: the log on
        // disk ends elsewhere.
        if written != storage.last && !storage.reset(storage.last)? {
            return Err(files::full_error("reset the log in"));
        }
        let saved = DurableState {
            hard: storage.hard,
            snapshot,
            entries,
        };
        Ok((storage, saved))
    }

    /// Returns the identity of the replica.
    pub fn node(&self) -> NodeId {
        self.node
    }

    /// Makes the writes durable, as many as possible with one sync, and returns their results as
    /// inputs for the node.
    ///
    /// # Errors
    /// Returns [`StorageError`] if it is unknown what is durable: the replica must stop. Opening
    /// the folder again determines what the disk holds.
    pub fn write(&mut self, writes: Vec<Write>) -> Result<Vec<Input>, StorageError> {
        let mut results = Vec::new();
        let mut batch = Batch::default();
        for write in writes {
            if write.epoch < self.refused_epoch {
                continue;
            }
            batch.add(&write);
            if let Some(snapshot) = &write.snapshot {
                self.flush(&mut batch, &mut results)?;
                if write.epoch >= self.refused_epoch {
                    let kept = self.store_snapshot(snapshot, write.install)?;
                    results.extend((!kept).then_some(Input::SnapshotFailed { seq: write.seq }));
                    results.push(Input::Written { seq: write.seq });
                }
            }
        }
        self.flush(&mut batch, &mut results)?;
        Ok(results)
    }

    fn flush(&mut self, batch: &mut Batch, results: &mut Vec<Input>) -> Result<(), StorageError> {
        let batch = std::mem::take(batch);
        let Some((first, last)) = batch.span else {
            return Ok(());
        };
        if batch.record == Record::default() {
            return Ok(());
        }
        if self.append(&batch.record)? {
            if !batch.has_snapshot {
                results.push(Input::Written { seq: last });
            }
        } else {
            self.refused_epoch = batch.epoch + 1;
            results.push(Input::WriteRefused { seq: first });
        }
        Ok(())
    }

    /// Stores a snapshot; returns false if the disk is full.
    fn store_snapshot(&mut self, snapshot: &Snapshot, install: bool) -> Result<bool, StorageError> {
        match files::write_snapshot(&self.disk, snapshot) {
            Err(StorageError::Io { source, .. }) if is_full(&source) => return Ok(false),
            other => other?,
        }
        self.snapshot_index = snapshot.index;
        // Until this record is written the old log stays valid; after a crash in between, the next
        // start uses the snapshot.
        if install && !self.reset(snapshot.position())? {
            return Ok(false);
        }
        self.remove_covered();
        Ok(true)
    }

    /// Restarts the log after `place`; returns false if the disk is full.
    fn reset(&mut self, place: Position) -> Result<bool, StorageError> {
        self.append(&Record {
            reset: Some(place.into()),
            ..Record::default()
        })
    }

    /// Appends one record and syncs it; returns false if the disk is full, and the record then
    /// leaves no trace.
    fn append(&mut self, record: &Record) -> Result<bool, StorageError> {
        if !self.append_frame(record)? {
            return Ok(false);
        }
        self.next_frame += 1;
        self.note_record(record);
        if self.current_size >= self.segment_bytes {
            self.rotate()?;
        }
        Ok(true)
    }

    fn append_frame(&mut self, record: &Record) -> Result<bool, StorageError> {
        let bytes = frame::encode(self.next_frame, &files::encode(record));
        let name = segment_name(self.segment_number());
        if let Err(source) = self.file.append(&bytes) {
            if !is_full(&source) {
                return Err(files::io_error("append to", &name, source));
            }
            let cut = self
                .file
                .truncate(self.current_size)
                .and_then(|()| self.file.sync());
            cut.map_err(|e| files::io_error("cut", &name, e))?;
            return Ok(false);
        }
        // After a failed sync the kernel may drop the unwritten pages and report the next sync as a
        // success. Only a restart determines what the disk holds.
        let synced = self.file.sync();
        synced.map_err(|source| StorageError::Sync { file: name, source })?;
        self.current_size += bytes.len() as u64;
        Ok(true)
    }

    fn note_record(&mut self, record: &Record) {
        self.hard = record.hard.unwrap_or(self.hard);
        if let Some(reset) = record.reset {
            self.last = reset.into();
        }
        let Some(entry) = record.entries.last() else {
            return;
        };
        self.last = entry.position();
        let highest = record.entries.iter().map(|e| e.index).max().unwrap_or(0);
        if let Some(segment) = self.segments.last_mut() {
            segment.last = segment.last.max(highest);
        }
    }

    /// Starts the next segment. If the disk has no space for it, the current segment continues to
    /// grow.
    fn rotate(&mut self) -> Result<(), StorageError> {
        let number = self.segment_number() + 1;
        let header = files::header(self.node, number, self.hard, self.last);
        let bytes = frame::encode(self.next_frame, &header);
        let file = match files::write_whole(&self.disk, &segment_name(number), &bytes) {
            Err(StorageError::Io { source, .. }) if is_full(&source) => return Ok(()),
            other => other?,
        };
        // Without a mark that another segment follows, the loss of the newest segment, and with it
        // of the last accepted entries, would go unnoticed. The mark is written after the next
        // segment exists, so it never announces a segment that a crash prevented. If the disk has
        // no space for the mark, only this detection is lost.
        let close = Record {
            closed: true,
            ..Record::default()
        };
        self.append_frame(&close)?;
        self.file = file;
        self.next_frame += 1;
        self.current_size = bytes.len() as u64;
        let last = self.last.index;
        self.segments.push(Segment { number, last });
        self.remove_covered();
        Ok(())
    }

    /// Removes the segments and snapshots that the latest snapshot covers. A file that cannot be
    /// removed only takes space; the next call tries again.
    ///
    /// Earlier removals are made durable before each of a segment. If a loss of power undid that of an older segment
    /// alone, the newer one would count as lost and the node would not start.
    fn remove_covered(&mut self) {
        while self.segments.len() > 1 && self.segments[0].last <= self.snapshot_index {
            let name = segment_name(self.segments[0].number);
            if self.disk.sync_names().is_err() || self.disk.remove(&name).is_err() {
                return;
            }
            self.segments.remove(0);
        }
        files::remove_snapshots(&self.disk, &snapshot_name(self.snapshot_index));
    }

    fn segment_number(&self) -> u64 {
        self.segments.last().map_or(1, |s| s.number)
    }
}

/// Collects the writes that share one sync.
#[derive(Debug, Default)]
struct Batch {
    record: Record,
    span: Option<(u64, u64)>,
    epoch: u64,
    has_snapshot: bool,
}

impl Batch {
    fn add(&mut self, write: &Write) {
        let first = self.span.map_or(write.seq, |(first, _)| first);
        self.span = Some((first, write.seq));
        self.epoch = write.epoch;
        self.has_snapshot = write.snapshot.is_some();
        if write.hard.is_some() {
            self.record.hard = write.hard;
        }
        self.record.entries.extend_from_slice(&write.entries);
    }
}
