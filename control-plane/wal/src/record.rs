//! Encoding of records, and of the markers before each append.

use crate::error::WalError;

/// First bytes of a marker's payload.
const MARKER_PREFIX: [u8; 8] = *b"mc-mark\x00";
/// Length of a marker's payload in bytes.
const MARKER_BYTES: usize = 24;
/// Length of the header before a record's payload in bytes.
pub(crate) const RECORD_HEADER_BYTES: usize = 8;
/// Maximum length of a record's payload in bytes. Protects against a torn or damaged length.
const MAX_PAYLOAD_BYTES: usize = 512 << 20;

/// Appends the encoding of a record to a buffer.
pub(crate) fn encode_record(payload: &[u8], buffer: &mut Vec<u8>) -> Result<(), WalError> {
    let length = u32::try_from(payload.len()).map_err(|_| WalError::RecordTooLong)?;
    if payload.len() > MAX_PAYLOAD_BYTES {
        return Err(WalError::RecordTooLong);
    }
    buffer.extend_from_slice(&length.to_le_bytes());
    buffer.extend_from_slice(&crc32fast::hash(payload).to_le_bytes());
    buffer.extend_from_slice(payload);
    Ok(())
}

/// A record that was decoded from the start of a byte slice.
pub(crate) struct DecodedRecord<'a> {
    pub payload: &'a [u8],
    /// The bytes after the record.
    pub rest: &'a [u8],
}

/// Decodes the record at the start of `bytes`; returns `None` if it is torn or damaged.
pub(crate) fn decode_record(bytes: &[u8]) -> Option<DecodedRecord<'_>> {
    let (length, rest) = bytes.split_first_chunk::<4>()?;
    let (checksum, rest) = rest.split_first_chunk::<4>()?;
    let length = usize::try_from(u32::from_le_bytes(*length)).ok()?;
    if length > MAX_PAYLOAD_BYTES || length > rest.len() {
        return None;
    }
    let (payload, rest) = rest.split_at(length);
    let is_intact = crc32fast::hash(payload) == u32::from_le_bytes(*checksum);
    is_intact.then_some(DecodedRecord { payload, rest })
}

/// Returns the payload of the marker at an offset of a segment.
pub(crate) fn append_marker(segment: u64, offset: u64) -> [u8; MARKER_BYTES] {
    let mut payload = [0; MARKER_BYTES];
    payload[..8].copy_from_slice(&MARKER_PREFIX);
    payload[8..16].copy_from_slice(&segment.to_le_bytes());
    payload[16..].copy_from_slice(&offset.to_le_bytes());
    payload
}

/// Returns whether the bytes of a complete segment contain an intact marker at the offset `from` or after it. A
/// marker contains its own offset, so a copy of it elsewhere, for example within a payload, does not count.
pub(crate) fn has_append_marker(bytes: &[u8], segment: u64, from: usize) -> bool {
    let is_marker = |offset: usize| {
        let payload = decode_record(&bytes[offset..]).map(|record| record.payload);
        payload == Some(&append_marker(segment, offset as u64)[..])
    };
    // All markers have the same length field. Comparing it first rules out most offsets.
    let length = (MARKER_BYTES as u32).to_le_bytes();
    (from..bytes.len()).any(|offset| bytes[offset..].starts_with(&length) && is_marker(offset))
}
