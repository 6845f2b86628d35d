//! Persistence of a replica's state: records, and checkpoints that replace all records before them.

use super::storage_health::{Progress, StorageHealth};
use super::Replica;
use crate::error::RecoveryError;
use crate::position::Position;
use crate::state_machine::StateMachine;
use crate::storage::{Checkpoint, Record, Storage, Vote};
use marblecroft_rpc::{encode, Bytes};
use std::io;

/// Size of the records after a checkpoint, in bytes, above which the next checkpoint is written.
const MAX_SEGMENT_BYTES: u64 = 48 << 20;

impl<M: StateMachine, S: Storage> Replica<M, S> {
    fn checkpoint(&self) -> Vec<u8> {
        encode(&Checkpoint {
            identity: self.identity,
            view: self.view.clone(),
            complete: self.complete,
            vote: self.vote.clone(),
            position: self.position,
            machine: Bytes(self.machine.snapshot()),
        })
    }

    /// Writes a checkpoint of the state in memory.
    pub(super) fn start_segment(&mut self) -> io::Result<()> {
        let checkpoint = self.checkpoint();
        self.storage.start_segment(&checkpoint)
    }

    /// Writes changes before they are made in memory. If the append fails, it is unknown whether the storage
    /// contains them, and the member is suspended.
    pub(super) fn persist(&mut self, records: &[Record]) -> io::Result<()> {
        self.check_not_suspended()?;
        if !self.storage.is_writable() || self.storage.record_bytes() > MAX_SEGMENT_BYTES {
            // The older segment and the new one contain the same state, so the stored state is certain even
            // after an error.
            self.start_segment()?;
        }
        let encoded: Vec<Vec<u8>> = records.iter().map(encode).collect();
        let records: Vec<&[u8]> = encoded.iter().map(Vec::as_slice).collect();
        let written = self.storage.append(&records);
        if written.is_err() {
            self.storage_health = StorageHealth::OutcomeUnknown(self.progress());
        }
        written
    }

    /// Writes a checkpoint of a state in memory that the storage does not contain yet. After an error the
    /// storage may contain either state, and the member is suspended.
    pub(super) fn persist_replaced_state(&mut self) -> io::Result<()> {
        let written = self.start_segment();
        if written.is_err() {
            let confirmed = Progress { position: Position::default(), ..self.progress() };
            self.storage_health = StorageHealth::OutcomeUnknown(confirmed);
        }
        written
    }

    /// Replaces the vote on the next view.
    pub(crate) fn persist_vote(&mut self, vote: Vote) -> io::Result<()> {
        self.persist(&[Record::Vote(vote.clone())])?;
        self.vote = vote;
        Ok(())
    }

    pub(super) fn progress(&self) -> Progress {
        Progress {
            view: self.view.number,
            promised: (self.vote.instance, self.vote.promised),
            position: self.position,
        }
    }

    /// Returns an error while the member is suspended.
    pub(crate) fn check_not_suspended(&self) -> Result<(), RecoveryError> {
        if self.is_suspended() {
            return Err(RecoveryError::Suspended);
        }
        Ok(())
    }
}
