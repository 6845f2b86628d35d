//! Snapshots of the state: the version in two bytes, little-endian, and the state in `postcard`.

use super::tables::State;
use quick_error::quick_error;

/// The version of commands and snapshots. Since 2, cached replies hold the checksum of their request.
pub const VERSION: u16 = 2;

quick_error! {
    /// Why a snapshot cannot be written or read.
    #[derive(Debug)]
    pub enum SnapshotError {
        /// The state cannot be serialised.
        Encode(cause: postcard::Error) {
            display("{cause}")
            source(cause)
        }
        /// The bytes behind the version are not a state.
        Decode(cause: postcard::Error) {
            display("no state: {cause}")
            source(cause)
        }
        /// More bytes follow the state.
        TrailingBytes {
            display("bytes follow on the state")
        }
        /// The snapshot is of another version.
        UnknownVersion {
            display("a version that this program does not read")
        }
        /// The bytes end within the version.
        Truncated {
            display("too short for a snapshot")
        }
    }
}

impl State {
    /// Serialises the state. Equal states give equal bytes.
    pub fn snapshot(&self) -> Result<Vec<u8>, SnapshotError> {
        postcard::to_extend(self, VERSION.to_le_bytes().to_vec()).map_err(SnapshotError::Encode)
    }

    /// Reads the state of a snapshot. No input panics.
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
