//! The encoding of a record: the CRC-32 of the encoded value (4 bytes, little-endian), and the value in
//! `postcard`.

use super::error::StoreError;
use serde::de::DeserializeOwned;
use serde::Serialize;
use std::fs;
use std::io;
use std::path::Path;

const CHECKSUM_BYTES: usize = 4;

/// A record that cannot be read.
pub(super) struct Damage {
    reason: String,
    /// The record as it was found.
    bytes: Vec<u8>,
}

impl Damage {
    /// Returns the damage of a store that cannot be attributed to a single record.
    pub(super) fn of_store(reason: impl ToString) -> Damage {
        Damage { reason: reason.to_string(), bytes: Vec::new() }
    }

    /// Returns the error. It contains the offset of the record in the file, if the record can be found there.
    pub(super) fn into_error(self, file: Option<&Path>) -> StoreError {
        let offset = file.and_then(|file| offset_of(&fs::read(file).ok()?, &self.bytes));
        StoreError::Damaged(match offset {
            Some(offset) => format!("{} at byte {offset}; the file was not changed", self.reason),
            None => format!("{}; the file was not changed", self.reason),
        })
    }
}

/// Returns the offset of these bytes in a file.
fn offset_of(file: &[u8], bytes: &[u8]) -> Option<usize> {
    if bytes.is_empty() {
        return None;
    }
    file.windows(bytes.len()).position(|window| window == bytes)
}

pub(super) fn encode(value: &impl Serialize) -> io::Result<Vec<u8>> {
    let mut bytes = postcard::to_extend(value, vec![0; CHECKSUM_BYTES]).map_err(io::Error::other)?;
    let checksum = crc32fast::hash(&bytes[CHECKSUM_BYTES..]);
    bytes[..CHECKSUM_BYTES].copy_from_slice(&checksum.to_le_bytes());
    Ok(bytes)
}

/// Decodes a record; `name` identifies it in the error.
pub(super) fn decode<T: DeserializeOwned>(name: &str, bytes: &[u8]) -> Result<T, Damage> {
    let damage = |reason: &str| Damage { reason: format!("{name}: {reason}"), bytes: bytes.to_vec() };
    let Some((checksum, value)) = bytes.split_first_chunk::<CHECKSUM_BYTES>() else {
        return Err(damage("record is truncated"));
    };
    if crc32fast::hash(value) != u32::from_le_bytes(*checksum) {
        return Err(damage("its checksum is wrong"));
    }
    postcard::from_bytes(value).map_err(|error| damage(&error.to_string()))
}
