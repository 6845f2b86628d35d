//! Framing: the header and the validation that all messages share. Senders and receivers use the same
//! definitions.
//!
//! The header has 23 bytes, with little-endian integers: magic `MDFL`, version (u16), kind (u8), fleet (u64),
//! length of the payload (u32), and CRC-32 of the payload (u32). The payload follows, encoded with
//! `postcard`. [`decode`] checks in this order: magic, version, fleet, length, kind, checksum, encoding, and
//! the values. The cheap checks come first, so that messages of other protocols or fleets cost little. A
//! message is either accepted completely or rejected with a [`DecodeError`], which receivers count.

use serde::de::DeserializeOwned;
use serde::Serialize;
use std::fmt;

/// The first bytes of every message.
pub const MAGIC: [u8; 4] = *b"MDFL";
/// Version of the format; messages of another version are rejected.
pub const VERSION: u16 = 1;
/// Length of the header, in bytes.
pub const HEADER_BYTES: usize = 23;
/// Maximum size of the payload, in bytes. A decision with its header is stored as one value of the
/// coordination service, and values have at most 64 KiB.
pub const MAX_PAYLOAD_BYTES: usize = (64 << 10) - HEADER_BYTES;

/// The kind of a message; its number is part of the format.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[repr(u8)]
pub enum Kind {
    /// The report of a gateway.
    Report = 1,
    /// The decision on zone failover.
    Zones = 2,
    /// The decision on quota shares.
    Shares = 3,
    /// The shard map.
    ShardMap = 4,
    /// The request of a controller to a cell.
    CellRequest = 5,
    /// The reply of a cell.
    CellReply = 6,
}

/// Identifies the fleet of a message, so that messages of another fleet are rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Fleet(pub u64);

impl Fleet {
    /// Returns the identifier of the fleet with this name in the configuration (FNV-1a, 64 bits).
    pub fn named(name: &str) -> Fleet {
        let step = |h: u64, b: u8| (h ^ u64::from(b)).wrapping_mul(0x0100_0000_01b3);
        Fleet(name.bytes().fold(0xcbf2_9ce4_8422_2325, step))
    }
}

/// Why a message was rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum DecodeError {
    /// The message is shorter than specified in its header, or has no complete header.
    Truncated,
    /// The first bytes are not [`MAGIC`].
    BadMagic,
    /// The message has another [`VERSION`].
    UnsupportedVersion,
    /// The message belongs to another fleet.
    WrongFleet,
    /// The kind of the message is not the one that the receiver expects.
    UnexpectedKind,
    /// The payload exceeds [`MAX_PAYLOAD_BYTES`], or is longer than specified in the header.
    TooLong,
    /// The checksum does not match, or the payload cannot be decoded as a message of its kind.
    Corrupt,
    /// A value is not a number, negative or out of bounds, or the receiver does not know a name.
    InvalidValue,
}

impl DecodeError {
    /// All variants, in the order in which metrics list them.
    pub const ALL: [DecodeError; 8] = [
        DecodeError::Truncated,
        DecodeError::BadMagic,
        DecodeError::UnsupportedVersion,
        DecodeError::WrongFleet,
        DecodeError::UnexpectedKind,
        DecodeError::TooLong,
        DecodeError::Corrupt,
        DecodeError::InvalidValue,
    ];

    /// Returns the name of the variant in metrics and logs.
    pub fn name(self) -> &'static str {
        match self {
            DecodeError::Truncated => "cut_off",
            DecodeError::BadMagic => "foreign",
            DecodeError::UnsupportedVersion => "version",
            DecodeError::WrongFleet => "fleet",
            DecodeError::UnexpectedKind => "kind",
            DecodeError::TooLong => "too_long",
            DecodeError::Corrupt => "damaged",
            DecodeError::InvalidValue => "absurd",
        }
    }
}

impl std::error::Error for DecodeError {}

impl fmt::Display for DecodeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}

/// The payload of a message. It validates its own values.
pub trait Message: Serialize + DeserializeOwned {
    /// The kind in the header.
    const KIND: Kind;
    /// Returns whether all values are within their bounds. Receivers check names, because only they know the
    /// valid ones.
    fn is_valid(&self) -> bool;
}

/// Returns whether a quantity is a number from 0 to 1e12.
pub fn is_valid_quantity(x: f64) -> bool {
    (0.0..=1e12).contains(&x)
}

/// Encodes a message with its header. Returns `None` if the payload exceeds [`MAX_PAYLOAD_BYTES`], which
/// cannot happen for valid messages.
pub fn encode<M: Message>(fleet: Fleet, message: &M) -> Option<Vec<u8>> {
    // Encoding into memory fails only if memory is exhausted.
    let payload = postcard::to_stdvec(message).ok().filter(|payload| payload.len() <= MAX_PAYLOAD_BYTES)?;
    let mut bytes = Vec::with_capacity(HEADER_BYTES + payload.len());
    bytes.extend_from_slice(&MAGIC);
    bytes.extend_from_slice(&VERSION.to_le_bytes());
    bytes.push(M::KIND as u8);
    bytes.extend_from_slice(&fleet.0.to_le_bytes());
    bytes.extend_from_slice(&(payload.len() as u32).to_le_bytes());
    bytes.extend_from_slice(&crc32fast::hash(&payload).to_le_bytes());
    bytes.extend_from_slice(&payload);
    Some(bytes)
}

/// A header that was read and validated, except for its kind.
pub struct Header {
    kind: u8,
    /// Length of the payload after the header, in bytes.
    pub payload_bytes: usize,
    crc32: u32,
}

impl Header {
    /// Reads a header from the first [`HEADER_BYTES`] bytes, so that a receiver can reject a message before
    /// it reads the payload.
    ///
    /// # Errors
    ///
    /// The [`DecodeError`] of the first check that fails.
    pub fn read(fleet: Fleet, bytes: &[u8]) -> Result<Header, DecodeError> {
        let header: &[u8; HEADER_BYTES] = bytes.first_chunk().ok_or(DecodeError::Truncated)?;
        let integer = |from: usize, to: usize| {
            header[from..to].iter().rev().fold(0_u64, |n, byte| n << 8 | u64::from(*byte))
        };
        if header[..4] != MAGIC {
            return Err(DecodeError::BadMagic);
        }
        if integer(4, 6) != u64::from(VERSION) {
            return Err(DecodeError::UnsupportedVersion);
        }
        if integer(7, 15) != fleet.0 {
            return Err(DecodeError::WrongFleet);
        }
        let length = integer(15, 19) as usize;
        if length > MAX_PAYLOAD_BYTES {
            return Err(DecodeError::TooLong);
        }
        Ok(Header { kind: header[6], payload_bytes: length, crc32: integer(19, 23) as u32 })
    }
}

/// Decodes a message. It must consist of all of the bytes.
///
/// # Errors
///
/// The [`DecodeError`] of the first check that fails.
pub fn decode<M: Message>(fleet: Fleet, bytes: &[u8]) -> Result<M, DecodeError> {
    let header = Header::read(fleet, bytes)?;
    if header.kind != M::KIND as u8 {
        return Err(DecodeError::UnexpectedKind);
    }
    let payload = &bytes[HEADER_BYTES..];
    if payload.len() < header.payload_bytes {
        return Err(DecodeError::Truncated);
    }
    if payload.len() > header.payload_bytes {
        return Err(DecodeError::TooLong);
    }
    if crc32fast::hash(payload) != header.crc32 {
        return Err(DecodeError::Corrupt);
    }
    // If `postcard` does not consume all bytes, the payload is a message of another type.
    match postcard::take_from_bytes::<M>(payload) {
        Ok((message, [])) if message.is_valid() => Ok(message),
        Ok((_, [])) => Err(DecodeError::InvalidValue),
        _ => Err(DecodeError::Corrupt),
    }
}
