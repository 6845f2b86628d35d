//! A request that was taken, and how far it has come.
//!
//! No instant of any clock is in a record, as no two processes share one: it tells how much time was left when it was written.
//! Whoever reads it takes off how long it has lain there.

use serde::{Deserialize, Serialize};
use std::fmt;

/// The format of a record: version, CRC-32 of what follows, and the record in `postcard`.
pub const VERSION: u8 = 1;
const HEAD: usize = 5;
/// The longest request that is covered, with its head and body; what is larger is not, and is counted.
pub const MAX_REQUEST_BYTES: usize = 60 << 10;
/// The longest record: a value of the coordination service.
pub const MAX_RECORD_BYTES: usize = marblecroft_coordination::state::bounds::MAX_VALUE_BYTES;
/// Attempts of a request over all its owners.
pub const MAX_ATTEMPTS: u8 = 4;
const MAX_NAME_BYTES: usize = 256;

/// What may be done twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Class {
    SafeToRepeat,
    NeverTwice,
}

/// How a request ended.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Ended {
    /// With what a pay server answered: its status, head and body as far as they are kept.
    Answered(Vec<u8>),
    /// Given up unsent, or after attempts that never ran.
    GivenUp,
    /// An attempt may have run, and nobody can tell.
    Unknown,
}

/// How far a request has come.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Stage {
    /// Taken; nothing was sent since the last attempt ended without having run.
    Accepted,
    /// An attempt is about to be written to this server, and may be out for so long from then on.
    Intent {
        server: String,
        out_ms: u32,
    },
    Outcome(Ended),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Record {
    pub class: Class,
    pub customer: u64,
    /// Of method, path and body: who comes back with the same id and something else is refused.
    pub digest: u32,
    /// As it is sent on.
    pub request: Vec<u8>,
    /// Of its deadline, when this was written.
    pub left_ms: u32,
    /// Attempts that may have been written so far, by all owners.
    pub attempts: u8,
    /// Its unit was taken from its customer's quota.
    pub counted: bool,
    pub stage: Stage,
}

/// Why bytes are no record, or a record cannot be kept.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Bad {
    Short,
    Version(u8),
    Checksum,
    /// A field that no owner writes so.
    Impossible(&'static str),
    /// Larger than the ledger takes.
    TooLarge,
}

impl fmt::Display for Bad {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Bad::Short => f.write_str("too short for a record"),
            Bad::Version(version) => write!(f, "a record of version {version}, this program reads {VERSION}"),
            Bad::Checksum => f.write_str("a record whose checksum is wrong"),
            Bad::Impossible(what) => write!(f, "a record with an impossible {what}"),
            Bad::TooLarge => f.write_str("larger than the ledger takes"),
        }
    }
}

impl Record {
    pub fn encode(&self) -> Result<Vec<u8>, Bad> {
        self.check()?;
        if self.request.len() > MAX_REQUEST_BYTES {
            return Err(Bad::TooLarge);
        }
        let mut bytes = postcard::to_extend(self, vec![0; HEAD]).map_err(|_| Bad::TooLarge)?;
        if bytes.len() > MAX_RECORD_BYTES {
            return Err(Bad::TooLarge);
        }
        let sum = crc32fast::hash(&bytes[HEAD..]);
        bytes[0] = VERSION;
        bytes[1..HEAD].copy_from_slice(&sum.to_le_bytes());
        Ok(bytes)
    }

    pub fn decode(bytes: &[u8]) -> Result<Record, Bad> {
        let Some((head, rest)) = bytes.split_first_chunk::<HEAD>() else { return Err(Bad::Short) };
        if head[0] != VERSION {
            return Err(Bad::Version(head[0]));
        }
        if crc32fast::hash(rest).to_le_bytes() != head[1..] {
            return Err(Bad::Checksum);
        }
        match postcard::take_from_bytes::<Record>(rest) {
            Ok((record, [])) => record.check().map(|()| record),
            _ => Err(Bad::Impossible("form")),
        }
    }

    /// What no owner writes is refused at both ends.
    fn check(&self) -> Result<(), Bad> {
        let impossible = |what| Err(Bad::Impossible(what));
        match &self.stage {
            _ if self.attempts > MAX_ATTEMPTS => impossible("number of attempts"),
            Stage::Intent { .. } if self.attempts == 0 => impossible("intent without an attempt"),
            Stage::Intent { .. } if !self.counted => impossible("intent without its unit"),
            Stage::Intent { server, .. } if server.is_empty() || server.len() > MAX_NAME_BYTES => {
                impossible("server")
            }
            Stage::Outcome(Ended::Answered(_) | Ended::Unknown) if self.attempts == 0 => {
                impossible("outcome of no attempt")
            }
            _ => Ok(()),
        }
    }
}
