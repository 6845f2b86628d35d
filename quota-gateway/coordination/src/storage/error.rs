//! Why a store cannot be opened, and why nothing can be written to it.

use quick_error::quick_error;
use std::io;
use std::path::PathBuf;

quick_error! {
    /// Why a store cannot be opened or used.
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
        /// A record cannot be read, for this reason. Nothing was changed.
        Damaged(reason: String) {
            display("{}", reason)
        }
        /// The store is of another version of the format.
        Version(found: u16, supported: u16) {
            display("its version is {}, this program reads {}", found, supported)
        }
        /// The same, in this file.
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
    /// Names the file that the error is about.
    pub(super) fn in_file(self, path: PathBuf) -> StoreError {
        StoreError::InFile(path, Box::new(self))
    }
}

/// Maps an error of the database.
pub(super) fn database(error: impl Into<redb::Error>) -> StoreError {
    StoreError::Database(error.into())
}
