//! The framing of a journal's files: each payload behind its length, that length's checksum and its own checksum.
//!
//! The checksums tell a torn write, which the end of a log may have after a crash, from damage. A payload is JSON, so its
//! last byte is not [`UNWRITTEN`], and an end of a file that was allocated but never written shows.

/// The bytes of a frame before its payload: three little-endian words, the length, the CRC-32 of the length and the CRC-32
/// of the payload.
pub(super) const FRAME_HEADER_BYTES: usize = 12;
/// What file systems show for allocated bytes that were never written.
const UNWRITTEN: u8 = 0;

/// Returns the frame of a payload.
pub(super) fn encode_frame(payload: &[u8]) -> Vec<u8> {
    // A longer payload could not be read again; the limits on lists and histories keep far below this.
    let length = u32::try_from(payload.len()).unwrap_or(u32::MAX).to_le_bytes();
    let mut frame = Vec::with_capacity(FRAME_HEADER_BYTES + payload.len());
    frame.extend_from_slice(&length);
    frame.extend_from_slice(&crc32fast::hash(&length).to_le_bytes());
    frame.extend_from_slice(&crc32fast::hash(payload).to_le_bytes());
    frame.extend_from_slice(payload);
    frame
}

/// What the bytes from some offset of a file begin with.
pub(super) enum Frame<'a> {
    /// A frame with this payload.
    Complete(&'a [u8]),
    /// Nothing: the file ends.
    End,
    /// The beginning of a frame whose rest was not written.
    Torn,
    /// Neither of these, and why.
    Damaged(&'static str),
}

/// Returns the bytes without an end that was never written.
pub(super) fn trim_unwritten(bytes: &[u8]) -> &[u8] {
    let end = bytes.iter().rposition(|&b| b != UNWRITTEN).map_or(0, |last| last + 1);
    &bytes[..end]
}

/// Returns the first frame of these bytes. A payload longer than the maximum counts as damage.
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
        // If the header itself was torn, nothing behind it was written.
        let is_torn = rest.iter().all(|&b| b == UNWRITTEN) && header[FRAME_HEADER_BYTES - 1] == UNWRITTEN;
        return if is_torn { Frame::Torn } else { Frame::Damaged("a length that does not fit its checksum") };
    }
    let Some(payload) = rest.get(..length) else { return Frame::Torn };
    if crc32fast::hash(payload) == word(8) {
        Frame::Complete(payload)
    } else if rest[length..].iter().chain(payload.last()).all(|&b| b == UNWRITTEN) {
        Frame::Torn
    } else {
        Frame::Damaged("a checksum that does not fit")
    }
}
