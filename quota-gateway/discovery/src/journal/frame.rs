//! The framing of a journal's files. Each payload follows its length, the checksum of the length and the
//! checksum of the payload.
//!
//! The checksums distinguish a torn write, which a crash may leave at the end of a log, from damage. A
//! payload is JSON, so its last byte is not [`UNWRITTEN`], and a file's end that was allocated but never
//! written can be detected.

/// The length of a frame's header in bytes: three little-endian 32-bit words, the length, the CRC-32 of the
/// length and the CRC-32 of the payload.
pub(super) const FRAME_HEADER_BYTES: usize = 12;
/// The value that file systems return for bytes that were allocated but never written.
const UNWRITTEN: u8 = 0;

/// Encodes a payload as a frame.
pub(super) fn encode_frame(payload: &[u8]) -> Vec<u8> {
    // A payload longer than `u32::MAX` bytes could not be read back. The limits on lists and histories keep
    // payloads far below that.
    let length = u32::try_from(payload.len()).unwrap_or(u32::MAX).to_le_bytes();
    let mut frame = Vec::with_capacity(FRAME_HEADER_BYTES + payload.len());
    frame.extend_from_slice(&length);
    frame.extend_from_slice(&crc32fast::hash(&length).to_le_bytes());
    frame.extend_from_slice(&crc32fast::hash(payload).to_le_bytes());
    frame.extend_from_slice(payload);
    frame
}

/// The result of reading a frame from the bytes at some offset of a file.
pub(super) enum Frame<'a> {
    /// A complete frame with this payload.
    Complete(&'a [u8]),
    /// The end of the file: there are no bytes.
    End,
    /// The beginning of a frame whose rest was not written.
    Torn,
    /// Damaged bytes, with a description of the damage.
    Damaged(&'static str),
}

/// Returns the bytes without those at the end that were never written.
pub(super) fn trim_unwritten(bytes: &[u8]) -> &[u8] {
    let end = bytes.iter().rposition(|&b| b != UNWRITTEN).map_or(0, |last| last + 1);
    &bytes[..end]
}

/// Reads the first frame of these bytes. A payload longer than the maximum counts as damage.
pub(super) fn first_frame(bytes: &[u8], max_payload_bytes: usize) -> Frame<'_> {
    if bytes.is_empty() {
        return Frame::End;
    }
    if trim_unwritten(bytes).is_empty() {
        return Frame::Torn;
    }
    let Some((header, rest)) = bytes.split_at_checked(FRAME_HEADER_BYTES) else { return Frame::Torn };
    let word = |at: usize| u32::from_le_bytes([header[at], header[at + 1], header[at + 2], header[at + 3]]);
    let length = word(0) as usize;
    if crc32fast::hash(&header[..4]) != word(4) || length > max_payload_bytes {
        // If the header itself was torn, nothing after it was written.
        let is_torn = rest.iter().all(|&b| b == UNWRITTEN) && header[FRAME_HEADER_BYTES - 1] == UNWRITTEN;
        return if is_torn {
            Frame::Torn
        } else {
            Frame::Damaged("a length with a wrong checksum or above the maximum")
        };
    }
    let Some(payload) = rest.get(..length) else { return Frame::Torn };
    if crc32fast::hash(payload) == word(8) {
        Frame::Complete(payload)
    } else if rest[length..].iter().chain(payload.last()).all(|&b| b == UNWRITTEN) {
        Frame::Torn
    } else {
        Frame::Damaged("a payload with a wrong checksum")
    }
}
