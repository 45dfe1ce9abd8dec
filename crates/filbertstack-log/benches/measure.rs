//! Prints the measurements in the design note: the disk, commits, processor use at rest, and
//! recovery with its memory.

mod group;

use std::fs;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use filbertstack_log::Entry;
use filbertstack_log::EntryKind;
use filbertstack_log::HardState;
use filbertstack_log::Member;
use filbertstack_log::Membership;
use filbertstack_log::Node;
use filbertstack_log::NodeConfig;
use filbertstack_log::NodeId;
use filbertstack_log::Snapshot;
use filbertstack_log::Write;
use filbertstack_log::storage::Storage;
use filbertstack_log::storage::disk::Folder;

use crate::group::COMMAND_BYTES;
use crate::group::Group;

/// The time for which a group is measured at rest.
const REST: Duration = Duration::from_secs(10);
/// The number of clock ticks per second in which the system counts processor time.
const TICKS_PER_S: f64 = 100.0;
/// The number of syncs in the measurement of the disk.
const SYNCS: u32 = 500;
/// The number of proposals in one measurement of commits.
const PROPOSALS: u64 = 2_000;

fn main() {
    disk();
    commits();
    rest();
    recovery();
}

/// Measures the processor use of a group at rest, with all replicas in one process.
fn rest() {
    println!("\n| voters | share of a core at rest, each |");
    println!("|---|---|");
    for voters in [3, 5] {
        let group = Group::form(voters);
        let before = processor_time();
        std::thread::sleep(REST);
        let used = processor_time() - before;
        let each = used / REST.as_secs_f64() / f64::from(u32::try_from(voters).unwrap());
        println!("| {voters} | {:.2} % |", each * 100.0);
        drop(group);
    }
}

/// Returns the processor time that this process has used, in seconds.
fn processor_time() -> f64 {
    let stat = fs::read_to_string("/proc/self/stat").unwrap_or_default();
    let after_name = stat.rsplit(')').next().unwrap_or_default();
    let ticks = after_name.split_whitespace().skip(11).take(2);
    ticks.filter_map(|t| t.parse::<f64>().ok()).sum::<f64>() / TICKS_PER_S
}

/// Measures the disk alone, as a reference for the other measurements.
fn disk() {
    use filbertstack_log::storage::disk::Disk as _;
    use filbertstack_log::storage::disk::DiskFile as _;
    let dir = tempfile::tempdir().unwrap();
    let folder = Folder::lock(dir.path()).unwrap();
    let mut file = folder.create("probe").unwrap();
    let start = Instant::now();
    for _ in 0..SYNCS {
        file.append(&[7; COMMAND_BYTES]).unwrap();
        file.sync().unwrap();
    }
    println!("one append and sync: {:.2?}\n", start.elapsed() / SYNCS);
}

fn commits() {
    println!("| voters | callers | commits/s | p50 | p99 | processor per commit and voter |");
    println!("|---|---|---|---|---|---|");
    for voters in [1, 3, 5] {
        let group = Group::form(voters);
        for callers in [1, 16, 64, 256] {
            let rounds = PROPOSALS / callers as u64;
            let before = processor_time();
            let start = Instant::now();
            let mut spans = group.propose(callers, rounds);
            let whole = start.elapsed().as_secs_f64();
            let used = processor_time() - before;
            let counted = f64::from(u32::try_from(spans.len() * voters).unwrap());
            let each = Duration::from_secs_f64(used / counted);
            spans.sort_unstable();
            let at = |part: usize| spans[(spans.len() - 1) * part / 100];
            let rate = f64::from(u32::try_from(spans.len()).unwrap()) / whole;
            println!(
                "| {voters} | {callers} | {rate:.0} | {:.2?} | {:.2?} | {each:.1?} |",
                at(50),
                at(99)
            );
        }
    }
}

/// Opens folders with growing logs and states, and prints the time and the memory used.
fn recovery() {
    println!("\n| log entries | state bytes | opened in | memory grew by |");
    println!("|---|---|---|---|");
    let mut kept = Vec::new();
    let sizes = [
        (1_000, 0),
        (10_000, 0),
        (40_000, 0),
        (0, 1 << 20),
        (0, 8 << 20),
        (0, 32 << 20),
    ];
    for (entries, state) in sizes {
        let dir = tempfile::tempdir().unwrap();
        fill(dir.path(), entries, state);
        let before = resident_memory();
        let start = Instant::now();
        let folder = Folder::lock(dir.path()).unwrap();
        let (storage, saved) = Storage::open(folder, NodeId(1)).unwrap();
        let node = Node::new(config(), saved, Duration::ZERO);
        let opened = start.elapsed();
        let grown = resident_memory().saturating_sub(before) >> 10;
        println!("| {entries} | {state} | {opened:.2?} | {grown} KiB |");
        kept.push((storage, node));
    }
}

fn config() -> NodeConfig {
    NodeConfig {
        id: NodeId(1),
        seed: 1,
        timing: filbertstack_log::Timing::default(),
        limits: filbertstack_log::Limits::default(),
        safeguards: filbertstack_log::Safeguards::default(),
    }
}

fn fill(path: &std::path::Path, entries: u64, state: usize) {
    let folder = Folder::lock(path).unwrap();
    let (mut storage, _) = Storage::open(folder, NodeId(1)).unwrap();
    let mut seq = 1;
    let mut write = Write {
        seq,
        epoch: 0,
        hard: Some(HardState {
            term: 1,
            vote: 1,
            cluster: 1,
        }),
        entries: Vec::new(),
        snapshot: Some(Snapshot {
            index: 1,
            term: 1,
            membership: Membership::initial(Member::default(), 1),
            cluster: 1,
            data: vec![5; state].into(),
        }),
        install: true,
    };
    storage.write(vec![write.clone()]).unwrap();
    write.snapshot = None;
    write.install = false;
    for start in (2..entries + 2).step_by(100) {
        seq += 1;
        write.seq = seq;
        write.entries = (start..start + 100).map(command).collect();
        storage.write(vec![write.clone()]).unwrap();
    }
}

fn command(index: u64) -> Entry {
    Entry {
        index,
        term: 1,
        kind: EntryKind::Command.into(),
        data: Bytes::from(vec![7; COMMAND_BYTES]),
    }
}

/// Returns the resident memory of this process, in bytes.
fn resident_memory() -> u64 {
    let status = fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find(|l| l.starts_with("VmRSS:"));
    let kilobytes = line.and_then(|l| l.split_whitespace().nth(1));
    kilobytes.and_then(|k| k.parse::<u64>().ok()).unwrap_or(0) << 10
}
