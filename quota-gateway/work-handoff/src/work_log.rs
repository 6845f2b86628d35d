//! The operations that write records. Each contains the fencing token under which its writer owns the record,
//! and the last revision of the record. The coordination service rejects the operation if another process has
//! taken over the record or has written it.
//!
//! The records of a gateway are divided into a fixed number of shards, each with its own lock, so that
//! several successors can each take over a part of them. To take over a shard, a successor acquires its lock,
//! which the service grants after the owner's session has ended. From then on the service rejects all writes
//! of the old owner.

use crate::record::{Record, RecordError, RequestOutcome, Stage, MAX_ATTEMPTS};
use marblecroft_coordination::state::{Op, Owner, Revision, Token};

/// The number of shards of a gateway's records.
pub const SHARD_COUNT: u16 = 8;

/// The revision of a record that has not been written yet.
const UNWRITTEN: Revision = 0;

/// The key of one request's record.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct RecordKey {
    /// The incarnation of the gateway that accepted the request. It identifies the gateway's session, so that
    /// a gateway that restarts under the same name starts without records.
    pub owner: String,
    /// The trace id of the request.
    pub trace: String,
}

impl RecordKey {
    /// Returns the number of the shard. Stored keys depend on the hash, so it must never change.
    pub fn shard(&self) -> u16 {
        (crc32fast::hash(self.trace.as_bytes()) % u32::from(SHARD_COUNT)) as u16
    }

    /// Returns the name of the lock of the shard.
    pub fn lock(&self) -> String {
        lock_name(&self.owner, self.shard())
    }

    /// Returns the key in the coordination service.
    pub fn key(&self) -> String {
        format!("{}{}", key_prefix(&self.owner, self.shard()), self.trace)
    }
}

/// Returns the name of the lock of a shard of a gateway's records.
pub fn lock_name(owner: &str, shard: u16) -> String {
    format!("work-of/{owner}/{shard}")
}

/// Returns the prefix of the keys of a shard.
pub fn key_prefix(owner: &str, shard: u16) -> String {
    format!("work/{owner}/{shard}/")
}

/// A record as last read or written by its owner, with the revision that the next write expects.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Entry {
    /// The key of the record.
    pub key: RecordKey,
    /// The revision of the last write, or 0 if there was none.
    pub revision: Revision,
    /// The record.
    pub record: Record,
}

impl Entry {
    /// Creates the entry of a request that has just been accepted.
    pub fn accepted(key: RecordKey, record: Record) -> Entry {
        Entry { key, revision: UNWRITTEN, record: Record { stage: Stage::Accepted, ..record } }
    }

    /// Returns the operation that writes the record under a fencing token. It expects the entry's revision.
    ///
    /// # Errors
    ///
    /// The errors of [`Record::encode`].
    pub fn put_operation(&self, token: Token) -> Result<Op, RecordError> {
        Ok(Op::Put {
            key: self.key.key(),
            value: self.record.encode()?,
            expect: Some(self.revision),
            owner: Owner::Lock { name: self.key.lock(), token },
        })
    }

    /// Returns the entry with the intent of an attempt. The attempt is counted regardless of its result, and
    /// the first one charges the quota. Both times are in milliseconds from now.
    ///
    /// Returns `None` if no attempt remains or the request has ended.
    pub fn with_intent(&self, server: &str, remaining_ms: u32, max_attempt_ms: u32) -> Option<Entry> {
        if self.record.attempts >= MAX_ATTEMPTS || self.has_ended() {
            return None;
        }
        Some(self.with_record(Record {
            remaining_ms,
            attempts: self.record.attempts + 1,
            quota_charged: true,
            stage: Stage::Intent { server: server.to_owned(), max_attempt_ms },
            ..self.record.clone()
        }))
    }

    /// Returns the entry after an attempt that was definitely not executed, or `None` if there was no intent.
    pub fn with_attempt_rejected(&self, remaining_ms: u32) -> Option<Entry> {
        let is_intent = matches!(self.record.stage, Stage::Intent { .. });
        let record = || Record { remaining_ms, stage: Stage::Accepted, ..self.record.clone() };
        is_intent.then(|| self.with_record(record()))
    }

    /// Returns the entry with an outcome, or `None` if the request has already ended. The request's bytes are
    /// removed, because they are no longer needed.
    pub fn with_outcome(&self, outcome: RequestOutcome) -> Option<Entry> {
        if self.has_ended() {
            return None;
        }
        Some(self.with_record(Record {
            request: Vec::new(),
            remaining_ms: 0,
            stage: Stage::Outcome(outcome),
            ..self.record.clone()
        }))
    }

    /// Returns the entry with the revision under which the service has stored it.
    pub fn at_revision(self, revision: Revision) -> Entry {
        Entry { revision, ..self }
    }

    fn has_ended(&self) -> bool {
        matches!(self.record.stage, Stage::Outcome(_))
    }

    fn with_record(&self, record: Record) -> Entry {
        Entry { key: self.key.clone(), revision: self.revision, record }
    }
}
