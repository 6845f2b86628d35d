//! The record of an accepted request and its progress.
//!
//! A record contains no absolute times, because processes do not share a clock. It contains the time that
//! remained when it was written, and the reader subtracts the age of the record.

use marblecroft_coordination::state::bounds;
use quick_error::quick_error;
use serde::{Deserialize, Serialize};

/// The version of the encoding. An encoded record consists of the version in one byte, the CRC-32
/// (little-endian) of the remaining bytes, and the record in postcard.
pub const VERSION: u8 = 1;
/// The length of version and checksum.
const HEADER_BYTES: usize = 5;
/// Maximum size of a recorded request, including head and body.
pub const MAX_REQUEST_BYTES: usize = 60 << 10;
/// Maximum size of an encoded record, which is a value of the coordination service.
pub const MAX_RECORD_BYTES: usize = bounds::MAX_VALUE_BYTES;
/// Maximum number of attempts of a request by all its owners.
pub const MAX_ATTEMPTS: u8 = 4;
/// Maximum length of a server's name.
const MAX_NAME_BYTES: usize = 256;

/// Whether a request may be executed more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum RequestClass {
    /// Several executions have the same effect as one.
    Idempotent,
    /// The request must not be executed more than once.
    NonIdempotent,
}

/// How a request ended.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum RequestOutcome {
    /// A pay server has responded. Contains the stored part of the response: status, head and body.
    Completed(Vec<u8>),
    /// No time or no attempt remained. A non-idempotent request was not executed; an idempotent one may have
    /// been.
    Abandoned,
    /// An attempt may have been executed, and this cannot be determined.
    Unknown,
}

/// The progress of a request.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Stage {
    /// No attempt is in flight: none was sent, or the last one ended without being executed.
    Accepted,
    /// An attempt may be in flight.
    Intent {
        /// The server of the attempt.
        server: String,
        /// Maximum time that the attempt can be in flight, in milliseconds after this record was written.
        max_attempt_ms: u32,
    },
    /// The request has ended.
    Outcome(RequestOutcome),
}

/// The record of an accepted request. Fields are encoded by position.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Record {
    /// Whether the request may be executed more than once.
    pub class: RequestClass,
    /// The number of the customer.
    pub customer: u64,
    /// Digest of method, path and body. It detects a different request with the same id.
    pub digest: u32,
    /// The request as it is forwarded. Empty if the request has ended.
    pub request: Vec<u8>,
    /// Time to the deadline when this record was written, in milliseconds.
    pub remaining_ms: u32,
    /// Number of attempts that may have been sent by all owners.
    pub attempts: u8,
    /// Whether the request was charged to the customer's quota.
    pub quota_charged: bool,
    /// The progress of the request.
    pub stage: Stage,
}

quick_error! {
    /// Why bytes are not a valid record, or a record cannot be stored.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub enum RecordError {
        /// The bytes are shorter than version and checksum.
        Truncated {
            display("record truncated")
        }
        /// The record has another version of the encoding.
        UnsupportedVersion(version: u8) {
            display("record has version {version}, expected {VERSION}")
        }
        /// The checksum does not match the record.
        ChecksumMismatch {
            display("record checksum mismatch")
        }
        /// The bytes after the checksum are not exactly one record.
        Malformed {
            display("malformed record")
        }
        /// There are more attempts than [`MAX_ATTEMPTS`].
        TooManyAttempts {
            display("invalid record: more than {MAX_ATTEMPTS} attempts")
        }
        /// An intent is not counted as an attempt.
        IntentWithoutAttempt {
            display("invalid record: intent without an attempt")
        }
        /// The request has an intent, but was not charged.
        IntentWithoutCharge {
            display("invalid record: intent without a quota charge")
        }
        /// The name of the server is empty or too long.
        InvalidServer {
            display("invalid record: server name empty or longer than {MAX_NAME_BYTES} bytes")
        }
        /// The outcome requires an attempt, but there was none.
        OutcomeWithoutAttempt {
            display("invalid record: outcome without an attempt")
        }
        /// The request is larger than [`MAX_REQUEST_BYTES`] or the record larger than [`MAX_RECORD_BYTES`].
        TooLarge {
            display("record too large")
        }
    }
}

impl Record {
    /// Encodes the record.
    ///
    /// # Errors
    ///
    /// [`RecordError`] if the record is too large or in an invalid state.
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
    /// [`RecordError`] if the bytes are not exactly one record, or the record is in an invalid state.
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

    /// Rejects states that no owner writes. Called when encoding and when decoding.
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
