//! The state machine interface of the consensus crate, and snapshots.

pub use crate::raft_types::{NodeId, Raft, Reply, Runtime, Types};

use crate::env::with_rng;
use crate::state::{SnapshotError, State};
use crate::storage::{LogStore, StoredSnapshot};
use openraft::storage::RaftStateMachine;
use openraft::{
    BasicNode, Entry, EntryPayload, LogId, OptionalSend, RaftSnapshotBuilder, Snapshot, SnapshotMeta,
    StorageError, StorageIOError, StoredMembership,
};
use rand::Rng;
use std::cell::RefCell;
use std::io::Cursor;
use std::rc::Rc;
use tokio::sync::Notify;

/// The state after a log entry was applied.
#[derive(Clone, Debug, Default)]
struct Applied {
    state: State,
    last: Option<LogId<NodeId>>,
    membership: StoredMembership<NodeId, BasicNode>,
}

/// The replicated state machine. Clones share the same state.
#[derive(Clone)]
pub struct Machine {
    applied: Rc<RefCell<Applied>>,
    log: LogStore,
    /// Notified whenever entries were applied or a snapshot was installed.
    pub changed: Rc<Notify>,
}

impl Machine {
    /// Restores the state from the last snapshot. The consensus applies later committed entries again.
    ///
    /// # Errors
    ///
    /// The snapshot cannot be read.
    pub fn open(log: LogStore) -> Result<Machine, SnapshotError> {
        let applied = match log.snapshot() {
            Some(stored) => Applied {
                state: State::restore(&stored.state)?,
                last: stored.meta.last_log_id,
                membership: stored.meta.last_membership,
            },
            None => Applied::default(),
        };
        Ok(Machine { applied: Rc::new(RefCell::new(applied)), log, changed: Rc::new(Notify::new()) })
    }

    /// Reads the local state, with the entries that this process has applied.
    pub fn with<T>(&self, read: impl FnOnce(&State) -> T) -> T {
        read(&self.applied.borrow().state)
    }
}

fn snapshot_error(error: impl std::fmt::Display) -> StorageError<NodeId> {
    StorageIOError::write_snapshot(None, openraft::AnyError::error(error)).into()
}

impl RaftSnapshotBuilder<Types> for Machine {
    async fn build_snapshot(&mut self) -> Result<Snapshot<Types>, StorageError<NodeId>> {
        let (bytes, meta) = {
            let applied = self.applied.borrow();
            let index = applied.last.map_or(0, |last| last.index);
            let meta = SnapshotMeta {
                last_log_id: applied.last,
                last_membership: applied.membership.clone(),
                snapshot_id: format!("{index}-{}", with_rng(|rng| rng.random::<u32>())),
            };
            (applied.state.snapshot().map_err(snapshot_error)?, meta)
        };
        let stored = StoredSnapshot { meta: meta.clone(), state: bytes.clone() };
        self.log.write_snapshot(stored).await.map_err(|error| snapshot_error(error.to_string()))?;
        Ok(Snapshot { meta, snapshot: Box::new(Cursor::new(bytes)) })
    }
}

impl RaftStateMachine<Types> for Machine {
    type SnapshotBuilder = Machine;

    async fn applied_state(
        &mut self,
    ) -> Result<(Option<LogId<NodeId>>, StoredMembership<NodeId, BasicNode>), StorageError<NodeId>> {
        let applied = self.applied.borrow();
        Ok((applied.last, applied.membership.clone()))
    }

    async fn apply<I>(&mut self, entries: I) -> Result<Vec<Reply>, StorageError<NodeId>>
    where
        I: IntoIterator<Item = Entry<Types>> + OptionalSend,
        I::IntoIter: OptionalSend,
    {
        let mut applied = self.applied.borrow_mut();
        let mut replies = Vec::new();
        for entry in entries {
            applied.last = Some(entry.log_id);
            replies.push(match entry.payload {
                EntryPayload::Blank => Reply::default(),
                EntryPayload::Normal(commands) => {
                    Reply(commands.iter().map(|command| applied.state.apply(command)).collect())
                }
                EntryPayload::Membership(membership) => {
                    applied.membership = StoredMembership::new(Some(entry.log_id), membership);
                    Reply::default()
                }
            });
        }
        self.changed.notify_waiters();
        Ok(replies)
    }

    async fn get_snapshot_builder(&mut self) -> Machine {
        self.clone()
    }

    async fn begin_receiving_snapshot(&mut self) -> Result<Box<Cursor<Vec<u8>>>, StorageError<NodeId>> {
        Ok(Box::default())
    }

    async fn install_snapshot(
        &mut self,
        meta: &SnapshotMeta<NodeId, BasicNode>,
        snapshot: Box<Cursor<Vec<u8>>>,
    ) -> Result<(), StorageError<NodeId>> {
        let bytes = snapshot.into_inner();
        let state = State::restore(&bytes).map_err(snapshot_error)?;
        let stored = StoredSnapshot { meta: meta.clone(), state: bytes };
        self.log.write_snapshot(stored).await.map_err(|error| snapshot_error(error.to_string()))?;
        let (last, membership) = (meta.last_log_id, meta.last_membership.clone());
        self.applied.replace(Applied { state, last, membership });
        self.changed.notify_waiters();
        Ok(())
    }

    async fn get_current_snapshot(&mut self) -> Result<Option<Snapshot<Types>>, StorageError<NodeId>> {
        Ok(self
            .log
            .snapshot()
            .map(|stored| Snapshot { meta: stored.meta, snapshot: Box::new(Cursor::new(stored.state)) }))
    }
}
