//! Snapshots of the state: the version in two bytes, little-endian, followed by the state in `postcard`.

use super::tables::State;
use quick_error::quick_error;

/// Version of the format of commands and snapshots. Since version 2, cached replies hold the checksum of
/// their request.
pub const VERSION: u16 = 2;

quick_error! {
    /// The reason why a snapshot cannot be written or read.
    #[derive(Debug)]
    pub enum SnapshotError {
        /// The state cannot be serialized.
        Encode(cause: postcard::Error) {
            display("{cause}")
            source(cause)
        }
        /// The bytes after the version are not an encoded state.
        Decode(cause: postcard::Error) {
            display("invalid snapshot: {cause}")
            source(cause)
        }
        /// There are bytes after the end of the state.
        TrailingBytes {
            display("invalid snapshot: trailing bytes after the state")
        }
        /// The snapshot has another format version.
        UnknownVersion {
            display("unsupported snapshot version")
        }
        /// The bytes end before the end of the version.
        Truncated {
            display("snapshot truncated")
        }
    }
}

impl State {
    /// Serializes the state. Equal states have equal bytes.
    pub fn snapshot(&self) -> Result<Vec<u8>, SnapshotError> {
        postcard::to_extend(self, VERSION.to_le_bytes().to_vec()).map_err(SnapshotError::Encode)
    }

    /// Decodes the state from a snapshot. Does not panic on any input.
    pub fn restore(bytes: &[u8]) -> Result<State, SnapshotError> {
        let (version, rest) = bytes.split_first_chunk::<2>().ok_or(SnapshotError::Truncated)?;
        if u16::from_le_bytes(*version) != VERSION {
            return Err(SnapshotError::UnknownVersion);
        }
        match postcard::take_from_bytes(rest).map_err(SnapshotError::Decode)? {
            (state, []) => Ok(state),
            _ => Err(SnapshotError::TrailingBytes),
        }
    }
}
