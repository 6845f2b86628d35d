//! Handling of the messages from the predecessor, and of the state that a learner fetches from a complete
//! member.
//!
//! A message is accepted only by members of its view: a message of an older view is rejected, and a newer
//! view is installed first. An append is accepted only if it leads from this member's position to the
//! sender's; anything else is a mismatch, and the reply contains this member's position. As positions contain
//! hashes of complete histories, a member that accepts an append has the sender's state.

use super::{AppendOutcome, Replica};
use crate::error::RecoveryError;
use crate::message::{Append, Install};
use crate::position::Position;
use crate::state_machine::StateMachine;
use crate::storage::{Record, Storage};
use crate::view::View;

impl<M: StateMachine, S: Storage> Replica<M, S> {
    /// Returns the reason to reject a message of this view, if there is one. Installs a newer view.
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

    /// Stores and applies the predecessor's entries. Once this member has the predecessor's state, it is
    /// complete.
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

    /// Replaces this member's state with the predecessor's.
    pub fn install(&mut self, install: &Install) -> AppendOutcome {
        if let Some(rejection) = self.reject_or_install_view(&install.view) {
            return rejection;
        }
        if self.synchronized_in_view == self.view.number && install.position.index <= self.position.index {
            // The message was sent before entries that this member has accepted since. Installing it would
            // lose acknowledged operations.
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

    /// Replaces this process's state with another process's, before this process joins the chain; a member
    /// ignores the message. The process is complete only after it has become a member and its predecessor has
    /// confirmed or replaced the state.
    ///
    /// # Errors
    ///
    /// Returns an error if the state cannot be decoded or stored.
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
