//! The operations on a data folder, as traits so that tests can inject failures.

use std::fs;
use std::fs::File;
use std::fs::OpenOptions;
use std::fs::TryLockError;
use std::io;
use std::io::Write as _;
use std::path::Path;
use std::path::PathBuf;

use crate::storage::error::StorageError;

/// Provides the operations on a data folder.
pub trait Disk {
    /// The type of a file open for appending.
    type File: DiskFile;

    /// Returns the names of all files.
    ///
    /// # Errors
    /// Returns the error of the system.
    fn list(&self) -> io::Result<Vec<String>>;

    /// Returns the whole content of a file.
    ///
    /// # Errors
    /// Returns the error of the system.
    fn read(&self, name: &str) -> io::Result<Vec<u8>>;

    /// Creates an empty file, replacing any file of that name.
    ///
    /// # Errors
    /// Returns the error of the system.
    fn create(&self, name: &str) -> io::Result<Self::File>;

    /// Renames a file, replacing any file of the new name.
    ///
    /// # Errors
    /// Returns the error of the system.
    fn rename(&self, from: &str, to: &str) -> io::Result<()>;

    /// Removes a file.
    ///
    /// # Errors
    /// Returns the error of the system.
    fn remove(&self, name: &str) -> io::Result<()>;

    /// Makes the creation, renaming and removal of files durable.
    ///
    /// # Errors
    /// Returns the error of the system.
    fn sync_names(&self) -> io::Result<()>;
}

/// Provides the operations on a file open for appending.
pub trait DiskFile {
    /// Appends all the bytes to the file.
    ///
    /// # Errors
    /// Returns the error of the system; some of the bytes may have been written.
    fn append(&mut self, bytes: &[u8]) -> io::Result<()>;

    /// Makes the content durable.
    ///
    /// # Errors
    /// Returns the error of the system; what the disk holds of the content since the last sync is
    /// then unknown.
    fn sync(&mut self) -> io::Result<()>;

    /// Truncates the file to `length` bytes.
    ///
    /// # Errors
    /// Returns the error of the system.
    fn truncate(&mut self, length: u64) -> io::Result<()>;
}

/// Returns whether an operation failed because the disk is full or a quota is exceeded.
pub fn is_full(error: &io::Error) -> bool {
    use io::ErrorKind::QuotaExceeded;
    use io::ErrorKind::StorageFull;
    matches!(error.kind(), StorageFull | QuotaExceeded)
}

/// Opens a folder of the file system and locks it against other processes until it is dropped.
#[derive(Debug)]
pub struct Folder {
    path: PathBuf,
    _lock: File,
}

/// The name of the file whose lock protects the folder.
const LOCK_FILE: &str = "lock";

impl Folder {
    /// Locks the folder and creates it if it does not exist.
    ///
    /// # Errors
    /// Returns [`StorageError::Locked`] if another process holds the lock, else an error of the
    /// file system.
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
            .open(path.join(LOCK_FILE))
            .map_err(io)?;
        match lock.try_lock() {
            Ok(()) => Ok(Self { path, _lock: lock }),
            Err(TryLockError::WouldBlock) => Err(StorageError::Locked { folder: shown }),
            Err(TryLockError::Error(source)) => Err(io(source)),
        }
    }

    /// Returns the path of the folder.
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
        names.retain(|name| name != LOCK_FILE);
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
