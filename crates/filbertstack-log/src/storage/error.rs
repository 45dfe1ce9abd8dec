//! Why a data folder cannot be used, and what to do about it.

use std::io;

/// An error of the durable state; each names its remedy.
#[derive(Debug, thiserror::Error)]
pub enum StorageError {
    /// Another process has the folder.
    #[error("another process uses {folder}; stop it, or give this one a folder of its own")]
    Locked {
        /// The folder.
        folder: String,
    },
    /// An operation failed.
    #[error("cannot {action} {file}: {source}; mend the disk or its permissions, then start again")]
    Io {
        /// What was tried.
        action: &'static str,
        /// The file.
        file: String,
        /// Why it failed.
        source: io::Error,
    },
    /// A sync failed: what was written since the last one may be lost.
    #[error(
        "cannot sync {file}: {source}; the replica has stopped, since what it wrote last may be \
         lost: check the disk, then start again"
    )]
    Sync {
        /// The file.
        file: String,
        /// Why it failed.
        source: io::Error,
    },
    /// A file holds what was never written.
    #[error(
        "{file} is damaged at byte {offset} ({why}); the start is refused, since accepted changes \
         may be lost: set the folder aside, remove this voter from the group and start with an \
         empty folder, to join anew as a learner"
    )]
    Damaged {
        /// The file.
        file: String,
        /// Where the damage begins, in bytes.
        offset: u64,
        /// What is wrong there.
        why: &'static str,
    },
    /// The log begins after a snapshot that is not there.
    #[error(
        "the log begins after index {index}: the segment before or the snapshot up to there is \
         missing; restore it, or set the folder aside, remove this voter and start with an empty folder, to join anew"
    )]
    NoSnapshot {
        /// The index up to which a snapshot must reach.
        index: u64,
    },
    /// A file of the log or the identity is gone.
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
    /// A backup is cut short or changed.
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
