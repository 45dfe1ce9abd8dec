//! The errors of a data folder and their remedies.

use std::io;

/// Reports that the durable state cannot be used; each message names the remedy.
#[derive(Debug, thiserror::Error)]
pub enum StorageError {
    /// Another process holds the lock of the folder.
    #[error("another process uses {folder}; stop it, or give this one a folder of its own")]
    Locked {
        /// The folder.
        folder: String,
    },
    /// An operation failed.
    #[error("cannot {action} {file}: {source}; mend the disk or its permissions, then start again")]
    Io {
        /// The operation that failed.
        action: &'static str,
        /// The file.
        file: String,
        /// The error of the system.
        source: io::Error,
    },
    /// A sync failed: data written since the last sync may be lost.
    #[error(
        "cannot sync {file}: {source}; the replica has stopped, since what it wrote last may be \
         lost: check the disk, then start again"
    )]
    Sync {
        /// The file.
        file: String,
        /// The error of the system.
        source: io::Error,
    },
    /// A file is damaged.
    #[error(
        "{file} is damaged at byte {offset} ({why}); the start is refused, since accepted changes \
         may be lost: set the folder aside, remove this voter from the group and start with an \
         empty folder, to join anew as a learner"
    )]
    Damaged {
        /// The file.
        file: String,
        /// The offset at which the damage begins, in bytes.
        offset: u64,
        /// The kind of damage.
        why: &'static str,
    },
    /// The log begins after a snapshot that does not exist.
    #[error(
        "the log begins after index {index}: the segment before or the snapshot up to there is \
         missing; restore it, or set the folder aside, remove this voter and start with an empty folder, to join anew"
    )]
    NoSnapshot {
        /// The index up to which a snapshot must reach.
        index: u64,
    },
    /// A segment of the log or the identity is missing.
    #[error(
        "{file} is missing; restore it, or set the folder aside, remove this voter and start with \
         an empty folder, to join anew as a learner"
    )]
    Missing {
        /// The file.
        file: String,
    },
    /// A file was written by another replica.
    #[error("{file} belongs to another replica; put it back where it came from")]
    Foreign {
        /// The file.
        file: String,
    },
    /// A backup is truncated or damaged.
    #[error("the backup is cut short or damaged; use another one")]
    Backup,
    /// A file was written by a later version.
    #[error("{file} has format {found}, this version reads {known}; run the later version")]
    Format {
        /// The file.
        file: String,
        /// The format found.
        found: u32,
        /// The format that this version reads.
        known: u32,
    },
}
