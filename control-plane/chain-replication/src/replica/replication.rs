//! What a member accepts from its predecessor, and a learner from any complete member.
//!
//! A message counts only for the member that its view names: one of an older view is rejected, and a newer view is installed
//! first. An append is accepted only if it leads from this member's position to the sender's; anything else is a mismatch,
//! whose reply tells the sender this member's position. As positions are hashes of complete histories, a member that
//! accepts has the sender's state.

use super::{AppendOutcome, Replica};
use crate::error::RecoveryError;
use crate::message::{Append, Install};
use crate::position::Position;
use crate::state_machine::StateMachine;
use crate::storage::{Record, Storage};
use crate::view::View;

impl<M: StateMachine, S: Storage> Replica<M, S> {
    /// The reason to reject a message of this view, if there is one; a newer view is installed.
    fn reject_or_install_view(&mut self, view: &View) -> Option<AppendOutcome> {
        if let Err(error) = self.check_not_suspended() {
            return Some(AppendOutcome::StorageError(error));
        }
        if view.number < self.view.number {
            return Some(AppendOutcome::StaleView(self.view.clone()));
        }
        if !view.contains(self.identity) {
            return Some(AppendOutcome::NotMember);
        }
        self.install_view(view).err().map(|error| AppendOutcome::StorageError(error.into()))
    }

    /// Stores and applies the predecessor's entries. Once this member has the predecessor's state it is complete.
    pub fn append(&mut self, append: &Append) -> AppendOutcome {
        if let Some(rejection) = self.reject_or_install_view(&append.view) {
            return rejection;
        }
        let mut records = Vec::new();
        let mut end = self.position;
        if self.position != append.last {
            end = append.entries.iter().fold(append.previous, |position, entry| position.after(&entry.0));
            if append.previous != self.position || end != append.last {
                return AppendOutcome::Mismatch(self.position);
            }
            records.extend(append.entries.iter().cloned().map(Record::Entry));
        }
        if !self.complete {
            records.push(Record::View { view: self.view.clone(), complete: true });
        }
        if !records.is_empty() {
            if let Err(error) = self.persist(&records) {
                return AppendOutcome::StorageError(error.into());
            }
        }
        self.complete = true;
        self.synchronized_in_view = self.view.number;
        if end != self.position {
            for entry in &append.entries {
                // Only the head reports outputs.
                let _ = self.apply(entry.0.clone());
            }
        }
        AppendOutcome::Accepted
    }

    /// Replaces this member's state by the predecessor's.
    pub fn install(&mut self, install: &Install) -> AppendOutcome {
        if let Some(rejection) = self.reject_or_install_view(&install.view) {
            return rejection;
        }
        if self.synchronized_in_view == self.view.number && install.position.index <= self.position.index {
            // The message was sent before entries that this member has accepted since: installing it would lose operations
            // that were acknowledged.
            return AppendOutcome::Mismatch(self.position);
        }
        let Some(machine) = M::restore(&install.machine.0) else {
            return AppendOutcome::StorageError(RecoveryError::Snapshot);
        };
        self.replace_state(machine, install.position, true);
        if let Err(error) = self.persist_replaced_state() {
            return AppendOutcome::StorageError(error.into());
        }
        self.synchronized_in_view = self.view.number;
        AppendOutcome::Accepted
    }

    /// Replaces this process's state by another's, ahead of joining its chain; a member ignores it. The process is not
    /// complete until, as a member, its predecessor has confirmed or replaced the state.
    ///
    /// # Errors
    ///
    /// Returns an error if the state cannot be read or stored.
    pub fn install_as_learner(&mut self, install: &Install) -> Result<(), RecoveryError> {
        self.check_not_suspended()?;
        if self.view.contains(self.identity) {
            return Ok(());
        }
        let machine = M::restore(&install.machine.0).ok_or(RecoveryError::Snapshot)?;
        self.replace_state(machine, install.position, false);
        Ok(self.persist_replaced_state()?)
    }

    fn replace_state(&mut self, machine: M, position: Position, complete: bool) {
        self.machine = machine;
        self.position = position;
        self.complete = complete;
        self.restore_count += 1;
        self.recent.clear();
    }
}
