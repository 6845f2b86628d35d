//! The frame round a message: version (1 byte), CRC-32 of the payload (4 bytes, little endian), payload.

use musli::alloc::Global;
use musli::mode::Binary;
use musli::{Decode, Encode};
use quick_error::quick_error;

/// Version of the messages. A process drops messages of another version.
pub const VERSION: u8 = 1;
const HEADER_BYTES: usize = 5;

/// A value that can be sent and read back.
pub trait Message: Encode<Binary> + for<'de> Decode<'de, Binary, Global> {}

impl<T: Encode<Binary> + for<'de> Decode<'de, Binary, Global>> Message for T {}

/// Bytes that are encoded as one block.
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
#[musli(transparent)]
pub struct Bytes(#[musli(bytes)] pub Vec<u8>);

quick_error! {
    /// Why bytes are not a message.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum DecodeError {
        /// Too short for a frame.
        Short {
            display("shorter than a frame")
        }
        /// Sent by another version.
        Version(found: u8) {
            display("version {found}, expected {VERSION}")
        }
        /// The checksum does not match.
        Checksum {
            display("the checksum does not match")
        }
        /// The payload is not the expected value.
        Payload(cause: String) {
            display("payload: {cause}")
        }
    }
}

/// A message in its frame.
pub fn encode<T: Message>(message: &T) -> Vec<u8> {
    // Encoding into memory fails for no value of ours; an empty payload is refused by whoever reads it.
    let payload = musli::storage::to_vec(message).unwrap_or_default();
    let mut framed = Vec::with_capacity(HEADER_BYTES + payload.len());
    framed.push(VERSION);
    framed.extend_from_slice(&crc32fast::hash(&payload).to_le_bytes());
    framed.extend_from_slice(&payload);
    framed
}

/// The message in a frame.
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
