//! The operations on a data folder, so that tests can make them fail.

use std::fs;
use std::fs::File;
use std::fs::OpenOptions;
use std::fs::TryLockError;
use std::io;
use std::io::Write as _;
use std::path::Path;
use std::path::PathBuf;

use crate::storage::error::StorageError;

/// A data folder.
pub trait Disk {
    /// A file open for appending.
    type File: DiskFile;

    /// The names of all files.
    ///
    /// # Errors
    /// Those of the system.
    fn list(&self) -> io::Result<Vec<String>>;

    /// The whole content of a file.
    ///
    /// # Errors
    /// Those of the system.
    fn read(&self, name: &str) -> io::Result<Vec<u8>>;

    /// A new, empty file in place of any of that name.
    ///
    /// # Errors
    /// Those of the system.
    fn create(&self, name: &str) -> io::Result<Self::File>;

    /// Gives a file another name, in place of any of that name.
    ///
    /// # Errors
    /// Those of the system.
    fn rename(&self, from: &str, to: &str) -> io::Result<()>;

    /// Removes a file.
    ///
    /// # Errors
    /// Those of the system.
    fn remove(&self, name: &str) -> io::Result<()>;

    /// Makes created, renamed and removed names durable.
    ///
    /// # Errors
    /// Those of the system.
    fn sync_names(&self) -> io::Result<()>;
}

/// A file open for appending.
pub trait DiskFile {
    /// Writes all the bytes at the end.
    ///
    /// # Errors
    /// Those of the system; some of the bytes may be there then.
    fn append(&mut self, bytes: &[u8]) -> io::Result<()>;

    /// Makes the content durable.
    ///
    /// # Errors
    /// Those of the system; nothing is known of the content since the last sync then.
    fn sync(&mut self) -> io::Result<()>;

    /// Cuts the file to `length` bytes.
    ///
    /// # Errors
    /// Those of the system.
    fn truncate(&mut self, length: u64) -> io::Result<()>;
}

/// Whether an operation failed for want of space.
pub fn is_full(error: &io::Error) -> bool {
    use io::ErrorKind::QuotaExceeded;
    use io::ErrorKind::StorageFull;
    matches!(error.kind(), StorageFull | QuotaExceeded)
}

/// A folder of the file system, locked against other processes for as long as this lives.
#[derive(Debug)]
pub struct Folder {
    path: PathBuf,
    _lock: File,
}

/// The file whose lock stands for the folder.
const LOCK: &str = "lock";

impl Folder {
    /// Locks the folder, which is created if it is not there.
    ///
    /// # Errors
    /// [`StorageError::Locked`] if another process has it, else an error of the file system.
    pub fn lock(path: impl Into<PathBuf>) -> Result<Self, StorageError> {
        let path = path.into();
        let shown = path.display().to_string();
        let io = |source| StorageError::Io {
            action: "open",
            file: shown.clone(),
            source,
        };
        fs::create_dir_all(&path).map_err(io)?;
        let lock = OpenOptions::new()
            .write(true)
            .create(true)
            .truncate(false)
            .open(path.join(LOCK))
            .map_err(io)?;
        match lock.try_lock() {
            Ok(()) => Ok(Self { path, _lock: lock }),
            Err(TryLockError::WouldBlock) => Err(StorageError::Locked { folder: shown }),
            Err(TryLockError::Error(source)) => Err(io(source)),
        }
    }

    /// Where the folder is.
    pub fn path(&self) -> &Path {
        &self.path
    }
}

impl Disk for Folder {
    type File = File;

    fn list(&self) -> io::Result<Vec<String>> {
        let mut names = Vec::new();
        for item in fs::read_dir(&self.path)? {
            names.push(item?.file_name().to_string_lossy().into_owned());
        }
        names.retain(|name| name != LOCK);
        names.sort();
        Ok(names)
    }

    fn read(&self, name: &str) -> io::Result<Vec<u8>> {
        fs::read(self.path.join(name))
    }

    fn create(&self, name: &str) -> io::Result<File> {
        File::create(self.path.join(name))
    }

    fn rename(&self, from: &str, to: &str) -> io::Result<()> {
        fs::rename(self.path.join(from), self.path.join(to))
    }

    fn remove(&self, name: &str) -> io::Result<()> {
        fs::remove_file(self.path.join(name))
    }

    fn sync_names(&self) -> io::Result<()> {
        File::open(&self.path)?.sync_all()
    }
}

impl DiskFile for File {
    fn append(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.write_all(bytes)
    }

    fn sync(&mut self) -> io::Result<()> {
        self.sync_data()
    }

    fn truncate(&mut self, length: u64) -> io::Result<()> {
        use std::io::Seek as _;
        self.set_len(length)?;
        self.seek(io::SeekFrom::Start(length)).map(|_| ())
    }
}
