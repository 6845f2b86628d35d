//! Writing a replica's state: records, and checkpoints that replace all records before them.

use super::Replica;
use crate::state_machine::StateMachine;
use crate::storage::{Checkpoint, Record, Storage, Vote};
use marblecroft_rpc::{encode, Bytes};
use std::io;

/// Records behind a checkpoint, in bytes, after which the next checkpoint is written.
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

    /// Writes changes that are yet to be made in memory. After an error the storage may contain them or not; the checkpoint
    /// that the next change begins with settles it.
    pub(super) fn persist(&mut self, records: &[Record]) -> io::Result<()> {
        if !self.storage.is_writable() || self.storage.record_bytes() > MAX_SEGMENT_BYTES {
            self.start_segment()?;
        }
        let encoded: Vec<Vec<u8>> = records.iter().map(encode).collect();
        let records: Vec<&[u8]> = encoded.iter().map(Vec::as_slice).collect();
        self.storage.append(&records)
    }

    /// Replaces the vote on the next view.
    pub(crate) fn persist_vote(&mut self, vote: Vote) -> io::Result<()> {
        self.persist(&[Record::Vote(vote.clone())])?;
        self.vote = vote;
        Ok(())
    }
}
