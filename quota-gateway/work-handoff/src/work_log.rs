//! The commands that write the ledger. Each names the token under which its writer owns the work, and the revision that it
//! builds on: the service refuses it once somebody else has claimed the work, or anything else was written there.
//!
//! A gateway's work lies in a fixed number of shards, each under a lock of its own, so that several successors take over a part
//! each, and each so much at once as it bears. A claim is that lock, granted to another session once the owner's is over: from
//! then on nothing that the old owner writes is taken, however late it wakes.

use crate::record::{Bad, Ended, Record, Stage, MAX_ATTEMPTS};
use marblecroft_coordination::state::{Op, Owner, Revision, Token};

/// Shards of a gateway's work.
pub const SHARDS: u16 = 8;

/// Where one request's record lies.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct RecordKey {
    /// Of the gateway that took it, for its life: it names its session, so that a restart under the same name begins anew.
    pub owner: String,
    pub trace: String,
}

impl RecordKey {
    pub fn shard(&self) -> u16 {
        // Any even spread will do; both ends must have the same one.
        (crc32fast::hash(self.trace.as_bytes()) % u32::from(SHARDS)) as u16
    }

    pub fn lock(&self) -> String {
        lock(&self.owner, self.shard())
    }

    pub fn key(&self) -> String {
        format!("{}{}", prefix(&self.owner, self.shard()), self.trace)
    }
}

/// The lock of a shard of a gateway's work.
pub fn lock(owner: &str, shard: u16) -> String {
    format!("work-of/{owner}/{shard}")
}

/// What the keys of a shard begin with.
pub fn prefix(owner: &str, shard: u16) -> String {
    format!("work/{owner}/{shard}/")
}

/// A record as its writer knows it: what it is, and at which revision; 0 for one that is not written yet.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Entry {
    pub key: RecordKey,
    pub revision: Revision,
    pub record: Record,
}

impl Entry {
    /// One that was just taken.
    pub fn accepted(key: RecordKey, record: Record) -> Entry {
        Entry { key, revision: 0, record: Record { stage: Stage::Accepted, ..record } }
    }

    /// The command that writes it as it is now, and nothing but on what it builds on.
    pub fn write(&self, token: Token) -> Result<Op, Bad> {
        Ok(Op::Put {
            key: self.key.key(),
            value: self.record.encode()?,
            expect: Some(self.revision),
            owner: Owner::Lock { name: self.key.lock(), token },
        })
    }

    /// An attempt is about to be written: it counts from now on, whatever comes of it. `None`: it has had all it may have, or has
    /// ended. Its unit is counted with its first one; `left_ms` and `out_ms` as of now.
    pub fn intends(&self, server: &str, left_ms: u32, out_ms: u32) -> Option<Entry> {
        if self.record.attempts >= MAX_ATTEMPTS || matches!(self.record.stage, Stage::Outcome(_)) {
            return None;
        }
        let stage = Stage::Intent { server: server.to_owned(), out_ms };
        let attempts = self.record.attempts + 1;
        let record = Record { left_ms, attempts, counted: true, stage, ..self.record.clone() };
        Some(Entry { record, ..self.clone() })
    }

    /// The attempt is over, and is known not to have run: it may be sent again.
    pub fn never_ran(&self, left_ms: u32) -> Option<Entry> {
        match self.record.stage {
            Stage::Intent { .. } => {
                let record = Record { left_ms, stage: Stage::Accepted, ..self.record.clone() };
                Some(Entry { record, ..self.clone() })
            }
            _ => None,
        }
    }

    /// It has ended; `None` where it had already. What was asked is kept no longer than it is needed.
    pub fn ended(&self, ended: Ended) -> Option<Entry> {
        if matches!(self.record.stage, Stage::Outcome(_)) {
            return None;
        }
        let record =
            Record { request: Vec::new(), left_ms: 0, stage: Stage::Outcome(ended), ..self.record.clone() };
        Some(Entry { record, ..self.clone() })
    }

    /// The same once the service has it at this revision.
    pub fn at(self, revision: Revision) -> Entry {
        Entry { revision, ..self }
    }
}
