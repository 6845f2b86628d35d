//! Errors of the store.

use quick_error::quick_error;
use std::io;
use std::path::PathBuf;

quick_error! {
    /// The reason why a store cannot be opened or written.
    #[derive(Debug)]
    pub enum StoreError {
        /// The folder or a file in it cannot be read or written.
        File(path: PathBuf, error: io::Error) {
            display("{}: {}", path.display(), error)
            source(error)
        }
        /// The database cannot be opened.
        Database(error: redb::Error) {
            display("{}", error)
            source(error)
        }
        /// A record cannot be read, for this reason. The file was not changed.
        Damaged(reason: String) {
            display("{}", reason)
        }
        /// The store has another version of the storage format.
        Version(found: u16, supported: u16) {
            display("storage format version is {}, this program supports version {}", found, supported)
        }
        /// An error that concerns this file.
        InFile(path: PathBuf, error: Box<StoreError>) {
            display("{}: {}", path.display(), error)
            source(&**error)
        }
        /// A record cannot be encoded or written.
        Write(error: io::Error) {
            display("{}", error)
            source(error)
            from()
        }
    }
}

impl StoreError {
    /// Adds the path of the file that the error concerns.
    pub(super) fn in_file(self, path: PathBuf) -> StoreError {
        StoreError::InFile(path, Box::new(self))
    }
}

/// Converts an error of the database.
pub(super) fn database(error: impl Into<redb::Error>) -> StoreError {
    StoreError::Database(error.into())
}
