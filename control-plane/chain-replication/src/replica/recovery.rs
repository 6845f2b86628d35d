//! Recovery: the checkpoint is restored, the records behind it are replayed, and a new checkpoint is written.

use super::Replica;
use crate::error::RecoveryError;
use crate::position::Position;
use crate::recent_entries::RecentEntries;
use crate::state_machine::StateMachine;
use crate::storage::{Checkpoint, Record, Storage, Vote};
use crate::view::View;
use marblecroft_rpc::decode;
use marblecroft_wal::Recovered;

impl<M: StateMachine, S: Storage> Replica<M, S> {
    /// Recovers a member from what its storage contained. Where there was nothing, the member begins with the state `empty`
    /// under this `identity`, and, if it founds the chain, as a complete member of the view `founding`; a stored identity
    /// and view take precedence.
    ///
    /// # Errors
    ///
    /// Returns an error if the checkpoint or a record cannot be decoded, or the new checkpoint cannot be written.
    pub fn open(
        storage: S,
        recovered: Recovered,
        empty: M,
        identity: u64,
        founding: Option<View>,
    ) -> Result<Replica<M, S>, RecoveryError> {
        let mut replica = Replica {
            identity,
            complete: founding.is_some(),
            view: founding.unwrap_or_default(),
            vote: Vote::default(),
            position: Position::default(),
            machine: empty,
            committed: Position::default(),
            storage,
            recent: RecentEntries::default(),
            restore_count: 0,
            synchronized_in_view: 0,
        };
        if let Some(snapshot) = recovered.snapshot {
            replica.restore_checkpoint(decode(&snapshot).map_err(RecoveryError::Checkpoint)?)?;
        }
        for record in recovered.records {
            replica.replay(decode(&record).map_err(RecoveryError::Record)?);
        }
        // After a power failure the last segment may end in a torn record, behind which nothing may be appended.
        replica.start_segment()?;
        Ok(replica)
    }

    fn restore_checkpoint(&mut self, checkpoint: Checkpoint) -> Result<(), RecoveryError> {
        self.machine = M::restore(&checkpoint.machine.0).ok_or(RecoveryError::Snapshot)?;
        self.identity = checkpoint.identity;
        self.view = checkpoint.view;
        self.complete = checkpoint.complete;
        self.vote = checkpoint.vote;
        self.position = checkpoint.position;
        Ok(())
    }

    fn replay(&mut self, record: Record) {
        match record {
            Record::Entry(entry) => {
                // Nobody waits for the outputs any more.
                let _ = self.apply(entry.0);
            }
            Record::View { view, complete } => {
                self.view = view;
                self.complete = complete;
            }
            Record::Vote(vote) => self.vote = vote,
        }
    }
}
