//! Decoding of a segment.

use crate::error::WalError;
use crate::format::{MAGIC, MAGIC_PREFIX};
use crate::record::{append_marker, decode_record, has_append_marker};

/// The contents of a segment.
pub(crate) struct Segment {
    pub snapshot: Vec<u8>,
    pub records: Vec<Vec<u8>>,
    /// Number of bytes after the last intact record.
    pub torn_bytes: usize,
    /// Whether a record that cannot be read had been synced.
    pub is_damaged: bool,
}

/// Decodes a segment; returns `None` if it has no intact snapshot.
///
/// # Errors
///
/// Returns [`WalError::UnknownFormat`] for a segment with another version of the format.
pub(crate) fn decode_segment(bytes: &[u8], number: u64) -> Result<Option<Segment>, WalError> {
    let Some(body) = bytes.strip_prefix(&MAGIC) else {
        return check_version(bytes, number).map(|()| None);
    };
    let Some(first) = decode_record(body) else { return Ok(None) };
    let mut records = Vec::new();
    let mut rest = first.rest;
    while let Some(record) = decode_record(rest) {
        let offset = (bytes.len() - rest.len()) as u64;
        if record.payload != append_marker(number, offset) {
            records.push(record.payload.to_vec());
        }
        rest = record.rest;
    }
    let is_damaged = has_append_marker(bytes, number, bytes.len() - rest.len());
    Ok(Some(Segment { snapshot: first.payload.to_vec(), records, torn_bytes: rest.len(), is_damaged }))
}

/// Returns whether records were ever appended to a segment whose snapshot is not intact.
pub(crate) fn has_appends(bytes: &[u8], number: u64) -> bool {
    has_append_marker(bytes, number, MAGIC.len())
}

/// Distinguishes a segment with another version of the format from one whose first bytes are torn or damaged.
fn check_version(bytes: &[u8], number: u64) -> Result<(), WalError> {
    let version = bytes.strip_prefix(MAGIC_PREFIX).and_then(|rest| rest.first().copied());
    match version {
        // A version of 0 is a torn header. If the segment has append markers of the current format, the
        // version byte is damaged.
        Some(version) if version != 0 && !has_appends(bytes, number) => {
            Err(WalError::UnknownFormat(number, version))
        }
        _ => Ok(()),
    }
}
