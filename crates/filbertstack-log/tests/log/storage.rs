//! Tests of the data folder under crashes, damage, a full disk and a second process.

use bytes::Bytes;
use filbertstack_log::DurableState;
use filbertstack_log::Entry;
use filbertstack_log::EntryKind;
use filbertstack_log::HardState;
use filbertstack_log::Input;
use filbertstack_log::Member;
use filbertstack_log::Membership;
use filbertstack_log::NodeId;
use filbertstack_log::Snapshot;
use filbertstack_log::Write;
use filbertstack_log::storage::Storage;
use filbertstack_log::storage::StorageError;
use filbertstack_log::storage::disk::Folder;
use filbertstack_log::storage::frame;
use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;

use crate::support::disk::DiskFaults;
use crate::support::disk::MemoryDisk;

/// The size of a frame's header, in bytes.
const HEADER_LEN: usize = 24;
const NODE: NodeId = NodeId(7);

fn entry(index: u64, term: u64) -> Entry {
    Entry {
        index,
        term,
        kind: EntryKind::Command.into(),
        data: Bytes::from(format!("command {index} of term {term}")),
    }
}

fn write(seq: u64, entries: Vec<Entry>) -> Write {
    Write {
        seq,
        epoch: 0,
        hard: Some(HardState {
            term: 1,
            vote: 7,
            cluster: 9,
        }),
        entries,
        snapshot: None,
        install: false,
    }
}

fn snapshot(index: u64, term: u64) -> Snapshot {
    let member = Member {
        node: NODE.0,
        ..Member::default()
    };
    Snapshot {
        index,
        term,
        membership: Membership::initial(member, 1),
        cluster: 9,
        data: Bytes::from(vec![1; 3000]),
    }
}

fn open(disk: &MemoryDisk) -> Result<(Storage<MemoryDisk>, DurableState), StorageError> {
    Storage::open_sized(disk.clone(), NODE, 600)
}

/// Returns a disk with ten entries, one sync each, in several segments.
fn filled_disk() -> MemoryDisk {
    let disk = MemoryDisk::default();
    let (mut storage, _) = open(&disk).unwrap();
    for index in 1..=10 {
        let done = storage.write(vec![write(index, vec![entry(index, 1)])]);
        assert!(matches!(done.unwrap()[..], [Input::Written { seq }] if seq == index));
    }
    disk
}

fn newest(disk: &MemoryDisk, prefix: &str) -> String {
    let files = disk.files();
    let names = files.keys().filter(|n| n.starts_with(prefix));
    names.max().unwrap().clone()
}

fn refusal(disk: &MemoryDisk) -> String {
    open(disk).expect_err("the start is refused").to_string()
}

/// Without any fault, written entries are read back, and one sync serves many writes.
#[test]
fn what_was_written_is_read_back() {
    let disk = filled_disk();
    let (mut storage, saved) = open(&disk).unwrap();
    assert_eq!(
        saved.entries,
        (1..=10).map(|i| entry(i, 1)).collect::<Vec<_>>()
    );
    assert_eq!(saved.hard.term, 1);
    let before = disk.syncs();
    let many = (11..=40).map(|i| write(i, vec![entry(i, 1)])).collect();
    storage.write(many).unwrap();
    // One sync is for the frame, two are for the new segment.
    assert!(disk.syncs() - before <= 3);
    assert_eq!(open(&disk).unwrap().1.entries.len(), 40);
}

/// The power fails in the middle of a write. The unsynced frame is truncated at every length; every
/// acknowledged entry must be there, and the log must accept new entries in place of the torn one.
#[test]
fn a_torn_tail_is_truncated() {
    let disk = filled_disk();
    let name = newest(&disk, "wal-");
    let whole = disk.files()[&name].clone();
    let (mut storage, _) = open(&disk).unwrap();
    storage.write(vec![write(11, vec![entry(11, 1)])]).unwrap();
    let longer = disk.files()[&name].clone();
    assert!(longer.len() > whole.len());
    for length in whole.len()..longer.len() {
        disk.put(&name, longer[..length].to_vec());
        let (mut storage, saved) = open(&disk).unwrap();
        assert_eq!(saved.entries.len(), 10, "cut at {length}");
        storage.write(vec![write(11, vec![entry(11, 2)])]).unwrap();
        assert_eq!(open(&disk).unwrap().1.entries[10], entry(11, 2));
    }
}

/// The process dies while it closes a segment whose successor exists already. The closing frame may
/// be truncated; if a record before it is missing too, the start must be refused.
#[test]
fn a_torn_closing_frame_is_no_damage() {
    let disk = filled_disk();
    let name = "wal-0000000001";
    let whole = disk.files()[name].clone();
    let closing = {
        let frames = frame::decode(&whole);
        frames.length - frames.payloads.last().unwrap().len() - HEADER_LEN
    };
    for length in closing..whole.len() {
        disk.put(name, whole[..length].to_vec());
        assert_eq!(open(&disk).unwrap().1.entries.len(), 10, "cut at {length}");
    }
    disk.put(name, whole[..closing - 1].to_vec());
    assert!(refusal(&disk).contains("records before it are missing"));
}

/// A sector of the last frame never reached the disk and reads as zeros.
#[test]
fn a_blank_sector_at_the_end_is_truncated() {
    let disk = filled_disk();
    let name = newest(&disk, "wal-");
    let whole = disk.files()[&name].len();
    let (mut storage, _) = Storage::open(disk.clone(), NODE).unwrap();
    let mut long = entry(11, 1);
    long.data = Bytes::from(vec![5; 2000]);
    storage.write(vec![write(11, vec![long])]).unwrap();
    let mut bytes = disk.files()[&name].clone();
    assert!(bytes.len() > whole + 1024);
    let sector = (whole / 512 + 1) * 512;
    bytes[sector..sector + 512].fill(0);
    disk.put(&name, bytes);
    assert_eq!(open(&disk).unwrap().1.entries.len(), 10);
}

/// One bit flips on the disk, anywhere in the acknowledged data. Truncating the log there would
/// revert accepted entries; the start must be refused with the file, the offset and the remedy.
#[test]
fn a_flipped_bit_stops_the_start() {
    let disk = filled_disk();
    let files = disk.files();
    for (name, bytes) in files.iter().filter(|(n, _)| n.starts_with("wal-")) {
        for at in 0..bytes.len() {
            let mut bad = bytes.clone();
            bad[at] ^= 1 << (at % 8);
            disk.put(name, bad);
            let error = open(&disk).err();
            let seen = matches!(&error, Some(StorageError::Damaged { file, .. }) if file == name);
            assert!(seen, "{name} at {at}: {error:?}");
        }
        disk.put(name, bytes.clone());
    }
    let mut bad = files["wal-0000000001"].clone();
    bad[100] ^= 4;
    disk.put("wal-0000000001", bad);
    insta::assert_snapshot!(refusal(&disk));
}

/// A file of the folder is missing. The start must be refused, so that no part of the log is
/// silently left out.
#[test]
fn a_missing_file_stops_the_start() {
    let disk = filled_disk();
    let files = disk.files();
    let mut refusals = Vec::new();
    for name in ["wal-0000000001", "wal-0000000002", "identity"] {
        disk.lose(name);
        refusals.push(format!("without {name}: {}", refusal(&disk)));
        disk.put(name, files[name].clone());
    }
    insta::assert_snapshot!(refusals.join("\n"));
}

/// The snapshot that the log begins after is missing, truncated or damaged.
#[test]
fn a_missing_or_damaged_snapshot_stops_the_start() {
    let disk = filled_disk();
    let (mut storage, _) = open(&disk).unwrap();
    let mut keep = write(11, vec![entry(11, 1)]);
    keep.snapshot = Some(snapshot(8, 1));
    storage.write(vec![keep]).unwrap();
    let saved = open(&disk).unwrap().1;
    assert_eq!(saved.entries.first(), Some(&entry(9, 1)));
    assert!(!disk.files().contains_key("wal-0000000001"));
    let name = newest(&disk, "snapshot-");
    let bytes = disk.files()[&name].clone();
    let mut refusals = Vec::new();
    disk.lose(&name);
    refusals.push(refusal(&disk));
    disk.put(&name, bytes[..bytes.len() / 2].to_vec());
    refusals.push(refusal(&disk));
    let mut bad = bytes.clone();
    bad[1000] ^= 1;
    disk.put(&name, bad);
    refusals.push(refusal(&disk));
    insta::assert_snapshot!(refusals.join("\n"));
}

/// The process dies at each operation of storing a snapshot and removing old files. After any of
/// them, the start must find every acknowledged entry.
#[test]
fn a_crash_at_any_operation_loses_nothing() {
    for operations in 0..40 {
        let disk = filled_disk();
        let (mut storage, _) = open(&disk).unwrap();
        disk.set_faults(DiskFaults {
            crash_after: Some(operations),
            ..DiskFaults::default()
        });
        let mut keep = write(11, vec![entry(11, 1)]);
        keep.snapshot = Some(snapshot(8, 1));
        let first = storage.write(vec![keep]).is_ok();
        let second = first && storage.write(vec![write(12, vec![entry(12, 1)])]).is_ok();
        drop(storage);
        disk.crash(&mut ChaCha8Rng::seed_from_u64(u64::from(operations)));
        let (_, saved) = open(&disk).unwrap();
        let base = saved.snapshot.map_or(0, |s| s.index);
        let last = base + saved.entries.len() as u64;
        let promised = 10 + u64::from(first) + u64::from(second);
        assert!(last >= promised, "{operations}: {last} of {promised}");
    }
}

/// A snapshot of the leader replaces a log that ends before it, and the process dies between
/// storing the snapshot and resetting the log.
#[test]
fn a_crash_before_the_reset_leaves_a_usable_log() {
    for operations in 0..12 {
        let disk = filled_disk();
        let (mut storage, _) = open(&disk).unwrap();
        disk.set_faults(DiskFaults {
            crash_after: Some(operations),
            ..DiskFaults::default()
        });
        let mut install = write(11, Vec::new());
        install.snapshot = Some(snapshot(50, 2));
        install.install = true;
        let done = storage.write(vec![install]).is_ok();
        disk.crash(&mut ChaCha8Rng::seed_from_u64(u64::from(operations)));
        let (mut storage, saved) = open(&disk).unwrap();
        let base = saved.snapshot.map_or(0, |s| s.index);
        assert!(base == 50 || !done);
        let next = base + saved.entries.len() as u64 + 1;
        storage.write(vec![write(1, vec![entry(next, 2)])]).unwrap();
        let (_, saved) = open(&disk).unwrap();
        assert_eq!(saved.entries.last(), Some(&entry(next, 2)));
    }
}

/// The disk fills up in the middle of a write. The write and those queued behind it are refused and
/// leave no trace; once there is space, the log continues where it was.
#[test]
fn a_full_disk_refuses_and_leaves_no_trace() {
    let disk = filled_disk();
    let (mut storage, _) = open(&disk).unwrap();
    disk.set_faults(DiskFaults {
        space: Some(30),
        ..DiskFaults::default()
    });
    let refused = storage.write(vec![write(11, vec![entry(11, 1)])]).unwrap();
    assert!(matches!(refused[..], [Input::WriteRefused { seq: 11 }]));
    disk.set_faults(DiskFaults::default());
    let queued = storage.write(vec![write(12, vec![entry(12, 1)])]).unwrap();
    assert!(queued.is_empty(), "it builds on what was refused");
    let mut later = write(13, vec![entry(11, 3)]);
    later.epoch = 1;
    storage.write(vec![later]).unwrap();
    let saved = open(&disk).unwrap().1;
    assert_eq!(saved.entries.last(), Some(&entry(11, 3)));
    assert_eq!(saved.entries.len(), 11);
}

/// A sync fails. Another sync might succeed although the data is lost, so the storage must stop.
/// Data that was not synced must not come back as acknowledged.
#[test]
fn a_failed_sync_stops_the_replica() {
    let disk = filled_disk();
    let (mut storage, _) = open(&disk).unwrap();
    disk.set_faults(DiskFaults {
        sync_fails: true,
        ..DiskFaults::default()
    });
    let error = storage
        .write(vec![write(11, vec![entry(11, 1)])])
        .unwrap_err();
    insta::assert_snapshot!(error);
    // The data is still readable after the process restarts. It is synced before it counts.
    disk.set_faults(DiskFaults::default());
    let (_, saved) = open(&disk).unwrap();
    let held = saved.entries.len();
    disk.crash(&mut ChaCha8Rng::seed_from_u64(1));
    assert_eq!(open(&disk).unwrap().1.entries.len(), held);
}

/// Two processes use one folder. The second is refused until the first ends.
#[test]
fn a_folder_serves_one_process() {
    let dir = tempfile::tempdir().unwrap();
    let path = dir.path().join("data");
    let first = Folder::lock(&path).unwrap();
    let second = Folder::lock(&path).unwrap_err();
    assert!(matches!(second, StorageError::Locked { .. }));
    let shown = second
        .to_string()
        .replace(&path.display().to_string(), "DATA");
    insta::assert_snapshot!(shown);
    drop(first);
    Folder::lock(&path).unwrap();
}

/// On a real file system, the log is written, closed and read back.
#[test]
fn a_real_folder_keeps_the_log() {
    let dir = tempfile::tempdir().unwrap();
    let folder = Folder::lock(dir.path()).unwrap();
    let (mut storage, saved) = Storage::open_sized(folder, NODE, 300).unwrap();
    assert_eq!(saved, DurableState::default());
    for index in 1..=20 {
        let mut next = write(index, vec![entry(index, 1)]);
        next.snapshot = (index == 12).then(|| snapshot(10, 1));
        storage.write(vec![next]).unwrap();
    }
    drop(storage);
    let folder = Folder::lock(dir.path()).unwrap();
    let (storage, saved) = Storage::open(folder, NodeId(8)).unwrap();
    assert_eq!(storage.node(), NODE);
    assert_eq!(saved.snapshot, Some(snapshot(10, 1)));
    assert_eq!(saved.entries.len(), 10);
}

/// A file from another replica's folder, as after a mistaken copy, is refused.
#[test]
fn a_foreign_file_stops_the_start() {
    let disk = filled_disk();
    let other = MemoryDisk::default();
    Storage::open(other.clone(), NodeId(8)).unwrap();
    disk.put("identity", other.files()["identity"].clone());
    insta::assert_snapshot!(refusal(&disk));
}
