//! Recovery: restores the checkpoint, replays the records after it, and writes a new checkpoint.

use super::storage_health::{Progress, StorageHealth};
use super::Replica;
use crate::error::RecoveryError;
use crate::position::Position;
use crate::recent_entries::RecentEntries;
use crate::state_machine::StateMachine;
use crate::storage::{Checkpoint, Record, Storage, Vote};
use crate::view::View;
use marblecroft_rpc::decode;
use marblecroft_wal::Recovered;
use tracing::warn;

impl<M: StateMachine, S: Storage> Replica<M, S> {
    /// Recovers a member from the contents of its storage. If the storage was empty, the member starts with
    /// an empty state under this `identity`, and as a complete member of the view `founding` if it is a
    /// founder of the chain. A stored identity and view take precedence.
    ///
    /// # Errors
    ///
    /// Returns an error if the checkpoint or a record cannot be decoded, or the new checkpoint cannot be written.
    pub fn open(
        storage: S,
        recovered: Recovered,
        identity: u64,
        founding: Option<View>,
    ) -> Result<Replica<M, S>, RecoveryError> {
        let mut replica = Replica {
            identity,
            complete: founding.is_some(),
            view: founding.unwrap_or_default(),
            vote: Vote::default(),
            position: Position::default(),
            machine: M::default(),
            committed: Position::default(),
            storage,
            storage_health: StorageHealth::Consistent,
            recent: RecentEntries::default(),
            restore_count: 0,
            synchronized_in_view: 0,
        };
        replica.load(recovered)?;
        // After a power failure the last segment may end in a torn record, after which nothing may be
        // appended.
        replica.start_segment()?;
        Ok(replica)
    }

    /// Ends the suspension after a failed write: reads the storage again, and starts a segment with the
    /// recovered state.
    ///
    /// A storage that lacks data that it had confirmed counts as lost: the member starts with an empty state
    /// under the identity `replacement`, which must be drawn at random.
    ///
    /// # Errors
    ///
    /// Returns an error if the storage cannot be read, decoded or written; the member stays suspended.
    pub fn recover_storage(&mut self, replacement: u64) -> Result<(), RecoveryError> {
        if let StorageHealth::OutcomeUnknown(confirmed) = self.storage_health {
            self.read_storage(&confirmed, replacement)?;
            self.storage_health = StorageHealth::NotDurable;
        }
        self.start_segment()?;
        self.storage_health = StorageHealth::Consistent;
        Ok(())
    }

    fn read_storage(&mut self, confirmed: &Progress, replacement: u64) -> Result<(), RecoveryError> {
        // The old state is dropped first, so that memory never has to hold both states.
        self.clear();
        let recovered = self.storage.recover()?;
        let is_damaged = recovered.damaged || recovered.snapshot.is_none();
        self.load(recovered)?;
        if is_damaged || !self.progress().includes(confirmed) {
            warn!("storage lacks data that it had confirmed: starting empty, with a new identity");
            self.clear();
            self.identity = replacement;
            self.view = View::default();
            self.vote = Vote::default();
        }
        Ok(())
    }

    /// Drops the state machine and everything that depends on it.
    fn clear(&mut self) {
        self.machine = M::default();
        self.position = Position::default();
        self.complete = false;
        self.committed = Position::default();
        self.recent.clear();
        self.restore_count += 1;
        self.synchronized_in_view = 0;
    }

    fn load(&mut self, recovered: Recovered) -> Result<(), RecoveryError> {
        if let Some(snapshot) = recovered.snapshot {
            self.restore_checkpoint(decode(&snapshot).map_err(RecoveryError::Checkpoint)?)?;
        }
        for record in recovered.records {
            self.replay(decode(&record).map_err(RecoveryError::Record)?);
        }
        Ok(())
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
                // No submitter waits for the outputs any longer.
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
