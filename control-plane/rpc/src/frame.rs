//! The frame of a message: version (1 byte), CRC-32 of the payload (4 bytes, little endian), payload.
//!
//! The payload is the message in musli's storage encoding. The checksum detects corruption that TCP's own
//! checksum misses, and corruption of files with framed values.

use musli::alloc::Global;
use musli::mode::Binary;
use musli::{Decode, Encode};
use quick_error::quick_error;

/// Version of the messages' encoding. A process rejects messages of another version.
pub const VERSION: u8 = 1;
/// Length of the version and the checksum in bytes.
const HEADER_BYTES: usize = 5;

/// A value that can be encoded and decoded.
pub trait Message: Encode<Binary> + for<'de> Decode<'de, Binary, Global> {}

impl<T: Encode<Binary> + for<'de> Decode<'de, Binary, Global>> Message for T {}

/// Bytes that are encoded as one block, and not as a sequence of numbers.
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
#[musli(transparent)]
pub struct Bytes(#[musli(bytes)] pub Vec<u8>);

quick_error! {
    /// The reason why bytes cannot be decoded as a framed message.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum DecodeError {
        /// The bytes are too short for a frame.
        Short {
            display("shorter than a frame")
        }
        /// The message was encoded by another version.
        Version(found: u8) {
            display("version {found}, expected {VERSION}")
        }
        /// The checksum does not match the payload.
        Checksum {
            display("the checksum does not match")
        }
        /// The payload does not encode the expected type. Contains the decoder's text, as its error cannot be
        /// compared.
        Payload(cause: String) {
            display("payload: {cause}")
        }
    }
}

/// Returns a message in its frame.
pub fn encode<T: Message>(message: &T) -> Vec<u8> {
    // Encoding into memory cannot fail for the types of this workspace. If it did, the decoder would reject
    // the empty payload.
    let payload = musli::storage::to_vec(message).unwrap_or_default();
    let mut framed = Vec::with_capacity(HEADER_BYTES + payload.len());
    framed.push(VERSION);
    framed.extend_from_slice(&crc32fast::hash(&payload).to_le_bytes());
    framed.extend_from_slice(&payload);
    framed
}

/// Returns the message in a frame.
///
/// # Errors
///
/// Returns an error if the frame is incomplete, of another version or corrupted, or if it contains another
/// type.
pub fn decode<T: Message>(framed: &[u8]) -> Result<T, DecodeError> {
    let (version, rest) = framed.split_first().ok_or(DecodeError::Short)?;
    if *version != VERSION {
        return Err(DecodeError::Version(*version));
    }
    let (checksum, payload) = rest.split_first_chunk::<4>().ok_or(DecodeError::Short)?;
    if crc32fast::hash(payload) != u32::from_le_bytes(*checksum) {
        return Err(DecodeError::Checksum);
    }
    musli::storage::from_slice(payload).map_err(|e| DecodeError::Payload(e.to_string()))
}
