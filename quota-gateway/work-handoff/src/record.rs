//! A request that was accepted, and how far it has come.
//!
//! A record holds no instant, as no two processes share a clock: it holds how much time remained when it was written, and its
//! reader subtracts the record's age.

use marblecroft_coordination::state::bounds;
use quick_error::quick_error;
use serde::{Deserialize, Serialize};

/// The version of the encoding: the version in one byte, CRC-32 (little endian) of what follows, and the record in postcard.
pub const VERSION: u8 = 1;
/// The length of version and checksum.
const HEADER_BYTES: usize = 5;
/// The largest request that is recorded, with its head and body.
pub const MAX_REQUEST_BYTES: usize = 60 << 10;
/// The largest encoded record: a value of the coordination service.
pub const MAX_RECORD_BYTES: usize = bounds::MAX_VALUE_BYTES;
/// The largest number of attempts of a request, over all its owners.
pub const MAX_ATTEMPTS: u8 = 4;
/// The longest name of a server.
const MAX_NAME_BYTES: usize = 256;

/// Whether a request may be executed more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum RequestClass {
    /// Several executions have the effect of one.
    Idempotent,
    /// It must not be executed twice.
    NonIdempotent,
}

/// How a request ended.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum RequestOutcome {
    /// With a pay server's response: status, head and body, as far as they are stored.
    Completed(Vec<u8>),
    /// Without an execution, as no time or attempt remained. An idempotent request may have been executed.
    Abandoned,
    /// An attempt may have been executed; there is no way to find out.
    Unknown,
}

/// How far a request has come.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Stage {
    /// No attempt is in flight: none was sent, or the last one ended without being executed.
    Accepted,
    /// An attempt may be sent from now on.
    Intent {
        /// The server that it is for.
        server: String,
        /// How long it can be in flight, in milliseconds from this record on.
        max_attempt_ms: u32,
    },
    /// The request has ended.
    Outcome(RequestOutcome),
}

/// A request that was accepted. The encoding is by position.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Record {
    /// Whether it may be executed more than once.
    pub class: RequestClass,
    /// The number of its customer.
    pub customer: u64,
    /// Digest of method, path and body, by which another request under the same id is detected.
    pub digest: u32,
    /// The request as it is forwarded; empty once it has ended.
    pub request: Vec<u8>,
    /// Time to its deadline when this was written, in milliseconds.
    pub remaining_ms: u32,
    /// Number of attempts that may have been sent, by all owners.
    pub attempts: u8,
    /// Whether its unit was charged to its customer's quota.
    pub quota_charged: bool,
    /// How far it has come.
    pub stage: Stage,
}

quick_error! {
    /// Why bytes are no record, or a record cannot be stored.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub enum RecordError {
        /// Shorter than version and checksum.
        Truncated {
            display("too short for a record")
        }
        /// Written in another version of the encoding.
        UnsupportedVersion(version: u8) {
            display("a record of version {version}, this program reads {VERSION}")
        }
        /// The checksum is another one than that of the record.
        ChecksumMismatch {
            display("a record whose checksum is wrong")
        }
        /// The bytes after the checksum are not exactly one record.
        Malformed {
            display("a record with an impossible form")
        }
        /// More attempts than [`MAX_ATTEMPTS`].
        TooManyAttempts {
            display("a record with an impossible number of attempts")
        }
        /// An intent that is not counted as an attempt.
        IntentWithoutAttempt {
            display("a record with an impossible intent without an attempt")
        }
        /// An intent of a request that was not charged.
        IntentWithoutCharge {
            display("a record with an impossible intent without its unit")
        }
        /// The name of the server is empty or too long.
        InvalidServer {
            display("a record with an impossible server")
        }
        /// An outcome that needs an attempt, and there was none.
        OutcomeWithoutAttempt {
            display("a record with an impossible outcome of no attempt")
        }
        /// Larger than [`MAX_REQUEST_BYTES`] or [`MAX_RECORD_BYTES`].
        TooLarge {
            display("larger than the ledger takes")
        }
    }
}

impl Record {
    /// Encodes the record.
    ///
    /// # Errors
    ///
    /// [`RecordError`] if it is too large, or in a state that no owner writes.
    pub fn encode(&self) -> Result<Vec<u8>, RecordError> {
        self.check()?;
        if self.request.len() > MAX_REQUEST_BYTES {
            return Err(RecordError::TooLarge);
        }
        let mut bytes =
            postcard::to_extend(self, vec![0; HEADER_BYTES]).map_err(|_| RecordError::TooLarge)?;
        if bytes.len() > MAX_RECORD_BYTES {
            return Err(RecordError::TooLarge);
        }
        let checksum = crc32fast::hash(&bytes[HEADER_BYTES..]);
        bytes[0] = VERSION;
        bytes[1..HEADER_BYTES].copy_from_slice(&checksum.to_le_bytes());
        Ok(bytes)
    }

    /// Decodes a record.
    ///
    /// # Errors
    ///
    /// [`RecordError`] if the bytes are not exactly one record, or one in a state that no owner writes.
    pub fn decode(bytes: &[u8]) -> Result<Record, RecordError> {
        let Some((header, body)) = bytes.split_first_chunk::<HEADER_BYTES>() else {
            return Err(RecordError::Truncated);
        };
        if header[0] != VERSION {
            return Err(RecordError::UnsupportedVersion(header[0]));
        }
        if crc32fast::hash(body).to_le_bytes() != header[1..] {
            return Err(RecordError::ChecksumMismatch);
        }
        match postcard::take_from_bytes::<Record>(body) {
            Ok((record, [])) => record.check().map(|()| record),
            _ => Err(RecordError::Malformed),
        }
    }

    /// Rejects states that no owner writes, on encoding as well as on decoding.
    fn check(&self) -> Result<(), RecordError> {
        if self.attempts > MAX_ATTEMPTS {
            return Err(RecordError::TooManyAttempts);
        }
        match &self.stage {
            Stage::Intent { server, .. } => self.check_intent(server),
            Stage::Outcome(RequestOutcome::Completed(_) | RequestOutcome::Unknown) if self.attempts == 0 => {
                Err(RecordError::OutcomeWithoutAttempt)
            }
            Stage::Accepted | Stage::Outcome(_) => Ok(()),
        }
    }

    fn check_intent(&self, server: &str) -> Result<(), RecordError> {
        if self.attempts == 0 {
            Err(RecordError::IntentWithoutAttempt)
        } else if !self.quota_charged {
            Err(RecordError::IntentWithoutCharge)
        } else if server.is_empty() || server.len() > MAX_NAME_BYTES {
            Err(RecordError::InvalidServer)
        } else {
            Ok(())
        }
    }
}
