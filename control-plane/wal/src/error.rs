//! Errors of the log, in addition to those of the file system.

use crate::format::VERSION;
use quick_error::quick_error;
use std::io;

quick_error! {
    /// The reason why a log cannot be read or written. Functions return it inside an [`io::Error`], whose
    /// [`get_ref`](io::Error::get_ref) is this error.
    #[derive(Debug, Clone, Copy, PartialEq, Eq)]
    pub enum WalError {
        /// The segment with this number has this version of the format, which this program cannot read. The
        /// segment is not treated as empty, since the member would then return without the data that it has
        /// acknowledged.
        UnknownFormat(segment: u64, version: u8) {
            display("segment {} has format {}, and this program reads format {}", segment, version, VERSION)
        }
        /// A record or snapshot is longer than the format allows.
        RecordTooLong {
            display("a record is too long")
        }
        /// No segment was started, or an earlier write failed.
        NotWritable {
            display("the segment is not writable")
        }
    }
}

impl From<WalError> for io::Error {
    fn from(error: WalError) -> io::Error {
        match error {
            WalError::UnknownFormat(..) => io::Error::new(io::ErrorKind::InvalidData, error),
            WalError::RecordTooLong | WalError::NotWritable => io::Error::other(error),
        }
    }
}
