//! The head of every message: one definition for both ends.
//!
//! 23 bytes, integers little-endian: magic `MDFL`, version (u16), kind (u8), fleet (u64), length of the payload (u32), its
//! CRC-32 (u32); then the payload in `postcard`. A message is taken whole or refused whole, and why is counted.

use serde::de::DeserializeOwned;
use serde::Serialize;
use std::fmt;

pub const MAGIC: [u8; 4] = *b"MDFL";
pub const VERSION: u16 = 1;
pub const HEAD: usize = 23;
/// The longest payload: a value of the coordination service, which is to hold a decision with its head, is 64 KiB at most.
pub const MAX_PAYLOAD_BYTES: usize = (64 << 10) - HEAD;

/// What a message is; its number is part of the format.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[repr(u8)]
pub enum Kind {
    Report = 1,
    Zones = 2,
    Shares = 3,
    Books = 4,
    /// What a steward asks of a cell, and what the cell says.
    CellAsked = 5,
    CellSaid = 6,
}

/// Which fleet a message is of, so that a gateway of another one changes nothing here.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Fleet(pub u64);

impl Fleet {
    /// By its name in the configuration (FNV-1a, 64 bits).
    pub fn named(name: &str) -> Fleet {
        let step = |h: u64, b: u8| (h ^ u64::from(b)).wrapping_mul(0x0100_0000_01b3);
        Fleet(name.bytes().fold(0xcbf2_9ce4_8422_2325, step))
    }
}

/// Why a message was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Refusal {
    /// Shorter than it says, or no head at all.
    Truncated,
    /// Of something else: its first bytes are not these.
    Foreign,
    /// Another build's format.
    Version,
    /// Another fleet's.
    Fleet,
    /// Another kind than the one that is read here.
    Kind,
    TooLong,
    Damaged,
    /// A figure that is none, negative or beyond all bounds, or a name that is unknown here.
    Absurd,
}

impl Refusal {
    pub const ALL: [Refusal; 8] = [
        Refusal::Truncated,
        Refusal::Foreign,
        Refusal::Version,
        Refusal::Fleet,
        Refusal::Kind,
        Refusal::TooLong,
        Refusal::Damaged,
        Refusal::Absurd,
    ];

    /// As metrics and log lines name it.
    pub fn name(self) -> &'static str {
        match self {
            Refusal::Truncated => "cut_off",
            Refusal::Foreign => "foreign",
            Refusal::Version => "version",
            Refusal::Fleet => "fleet",
            Refusal::Kind => "kind",
            Refusal::TooLong => "too_long",
            Refusal::Damaged => "damaged",
            Refusal::Absurd => "absurd",
        }
    }
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}

/// What can be told: it knows which figures of it make sense.
pub trait Message: Serialize + DeserializeOwned {
    const KIND: Kind;
    /// Whether each figure is a number in its bounds. Names are checked by whoever knows them.
    fn sensible(&self) -> bool;
}

/// A figure that can be true: a number from 0 to 1e12.
pub fn sane(x: f64) -> bool {
    (0.0..=1e12).contains(&x)
}

/// A message with its head; `None` where it is too long, which its own bounds keep it from being.
pub fn encode<M: Message>(fleet: Fleet, message: &M) -> Option<Vec<u8>> {
    // Into memory; it cannot fail but for want of it.
    let payload = postcard::to_stdvec(message).ok().filter(|payload| payload.len() <= MAX_PAYLOAD_BYTES)?;
    let mut bytes = Vec::with_capacity(HEAD + payload.len());
    bytes.extend_from_slice(&MAGIC);
    bytes.extend_from_slice(&VERSION.to_le_bytes());
    bytes.push(M::KIND as u8);
    bytes.extend_from_slice(&fleet.0.to_le_bytes());
    bytes.extend_from_slice(&(payload.len() as u32).to_le_bytes());
    bytes.extend_from_slice(&crc32fast::hash(&payload).to_le_bytes());
    bytes.extend_from_slice(&payload);
    Some(bytes)
}

/// What a head says of the message behind it.
pub struct Head {
    kind: u8,
    pub length: usize,
    sum: u32,
}

impl Head {
    /// Reads one from the first [`HEAD`] bytes; what is refused by its head needs no more bytes to be refused.
    pub fn read(fleet: Fleet, bytes: &[u8]) -> Result<Head, Refusal> {
        let head: &[u8; HEAD] = bytes.first_chunk().ok_or(Refusal::Truncated)?;
        let part = |from: usize, upto: usize| {
            head[from..upto].iter().rev().fold(0_u64, |n, byte| n << 8 | u64::from(*byte))
        };
        if head[..4] != MAGIC {
            return Err(Refusal::Foreign);
        }
        if part(4, 6) != u64::from(VERSION) {
            return Err(Refusal::Version);
        }
        if part(7, 15) != fleet.0 {
            return Err(Refusal::Fleet);
        }
        let length = part(15, 19) as usize;
        if length > MAX_PAYLOAD_BYTES {
            return Err(Refusal::TooLong);
        }
        Ok(Head { kind: head[6], length, sum: part(19, 23) as u32 })
    }
}

/// Reads a message; all of the bytes must be its.
pub fn decode<M: Message>(fleet: Fleet, bytes: &[u8]) -> Result<M, Refusal> {
    let head = Head::read(fleet, bytes)?;
    if head.kind != M::KIND as u8 {
        return Err(Refusal::Kind);
    }
    let payload = &bytes[HEAD..];
    if payload.len() < head.length {
        return Err(Refusal::Truncated);
    }
    if payload.len() > head.length {
        return Err(Refusal::TooLong);
    }
    if crc32fast::hash(payload) != head.sum {
        return Err(Refusal::Damaged);
    }
    // What `postcard` leaves over is of another shape than ours.
    match postcard::take_from_bytes::<M>(payload) {
        Ok((message, [])) if message.sensible() => Ok(message),
        Ok((_, [])) => Err(Refusal::Absurd),
        _ => Err(Refusal::Damaged),
    }
}
