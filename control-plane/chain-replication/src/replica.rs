//! The durable state of one member: the state machine, its position in the chain's history, the view, and the vote on the
//! next view.
//!
//! Every change is written to [`Storage`] before it is made in memory, and so before any message can report it.
//!
//! **A failed write** may still be durable, and its record then reappears after a restart: the member would
//! act on a vote or a view that it had rejected before. A retry of the sync gives no certainty, as the
//! operating system may report an error once and drop the data (PostgreSQL's fsync findings, 2018). The
//! member is therefore [suspended](Replica::is_suspended): it votes on nothing, accepts nothing and is not
//! complete, as if its process had ended. It resumes after it has read its storage again and started a
//! segment with the recovered state, as a new process would.

mod persistence;
mod recovery;
mod replication;
mod storage_health;

use crate::error::RecoveryError;
use crate::message::Install;
use crate::position::Position;
use crate::recent_entries::RecentEntries;
use crate::state_machine::StateMachine;
use crate::storage::{Record, Storage, Vote};
use crate::view::{Successor, View};
use marblecroft_rpc::{decode, encode, Bytes};
use std::io;
use storage_health::StorageHealth;

/// The result of an [`Append`](crate::Append) or [`Install`] at this member.
#[derive(Debug)]
pub enum AppendOutcome {
    /// Everything up to the sender's position is stored.
    Accepted,
    /// This member's state, at the given position, is not the one that the message continues.
    Mismatch(Position),
    /// The message belongs to an older view than the given one.
    StaleView(View),
    /// This process is not a member of the message's view.
    NotMember,
    /// The state could not be decoded or stored, or the member is suspended.
    StorageError(RecoveryError),
}

/// One member's durable state.
pub struct Replica<M, S> {
    identity: u64,
    view: View,
    complete: bool,
    vote: Vote,
    position: Position,
    machine: M,
    /// The newest position that every member is known to have reached.
    committed: Position,
    storage: S,
    storage_health: StorageHealth,
    recent: RecentEntries,
    restore_count: u64,
    /// The latest view in which this member has reached its predecessor's state. From then on its position
    /// only increases in that view.
    synchronized_in_view: u64,
}

impl<M: StateMachine, S: Storage> Replica<M, S> {
    /// Returns this member's identity.
    pub fn identity(&self) -> u64 {
        self.identity
    }

    /// Returns the newest view that this member has installed.
    pub fn view(&self) -> &View {
        &self.view
    }

    /// Returns this member's vote on the next view.
    pub fn vote(&self) -> &Vote {
        &self.vote
    }

    /// Returns the state machine. It may contain operations that are not committed.
    pub fn machine(&self) -> &M {
        &self.machine
    }

    /// Returns the position of the state machine in the chain's history.
    pub fn position(&self) -> Position {
        self.position
    }

    /// Whether this member is not suspended and has, as far as it can determine, every operation that was
    /// acknowledged up to its view.
    pub fn is_complete(&self) -> bool {
        self.complete && !self.is_suspended()
    }

    /// Whether a write has failed and the storage has not been recovered since. Until then the member does
    /// nothing.
    pub fn is_suspended(&self) -> bool {
        self.storage_health != StorageHealth::Consistent
    }

    /// Whether this member orders operations.
    pub fn is_head(&self) -> bool {
        self.is_complete() && self.view.head().is_some_and(|head| head.identity == self.identity)
    }

    /// Returns how often the state was replaced, by another member's state or by the state recovered from
    /// storage. A replacement may lack earlier entries.
    pub fn restore_count(&self) -> u64 {
        self.restore_count
    }

    /// Returns the member that follows this one; `None` if there is none.
    pub fn successor(&self) -> Option<Successor<'_>> {
        self.view.successor_of(self.identity)
    }

    /// Whether every member is known to have this state.
    pub fn is_committed(&self) -> bool {
        self.committed == self.position
    }

    /// Records that every member has reached a position of this member.
    pub fn commit(&mut self, position: Position) {
        if position.index >= self.committed.index {
            self.committed = position;
        }
    }

    /// Orders operations as the head, as one entry. On return they are stored and applied on this member;
    /// they are committed once every member has the entry.
    ///
    /// # Errors
    ///
    /// Returns the storage's error. The member is then suspended, and may find the entry when it reads its
    /// storage again.
    pub fn propose(&mut self, operations: &Vec<M::Operation>) -> io::Result<Vec<M::Output>> {
        let entry = encode(operations);
        self.persist(&[Record::Entry(Bytes(entry.clone()))])?;
        Ok(self.apply(entry))
    }

    /// Applies an entry that is already stored.
    fn apply(&mut self, entry: Vec<u8>) -> Vec<M::Output> {
        let previous = self.position;
        self.position = previous.after(&entry);
        // An entry was encoded by a head of the same version; one that cannot be decoded changes nothing on any member.
        let operations: Vec<M::Operation> = decode(&entry).unwrap_or_default();
        self.recent.push(previous, entry);
        operations.into_iter().map(|operation| self.machine.apply(operation)).collect()
    }

    /// Returns the entries from a position to this member's; `None` if they are no longer retained, or if the
    /// position is not in this member's history.
    pub fn entries_since(&self, position: Position) -> Option<Vec<Bytes>> {
        if position == self.position {
            return Some(Vec::new());
        }
        self.recent.since(position)
    }

    /// Returns the message that transfers the complete state to another process.
    pub fn snapshot_message(&self) -> Install {
        Install { view: self.view.clone(), position: self.position, machine: Bytes(self.machine.snapshot()) }
    }

    /// Installs a view if it is newer than the current one, and returns whether it was.
    ///
    /// This member stays complete only if it was complete in the directly preceding view: a view that it
    /// missed may have acknowledged operations that it does not have.
    ///
    /// # Errors
    ///
    /// Returns the storage's error. The member is then suspended, and may find the view when it reads its
    /// storage again.
    pub fn install_view(&mut self, view: &View) -> io::Result<bool> {
        if view.number <= self.view.number {
            return Ok(false);
        }
        let is_founder = view.number == 1 && self.position == Position::default();
        let is_next = self.complete && view.number == self.view.number + 1;
        let complete = view.contains(self.identity) && (is_founder || is_next);
        self.persist(&[Record::View { view: view.clone(), complete }])?;
        self.view = view.clone();
        self.complete = complete;
        Ok(true)
    }
}
