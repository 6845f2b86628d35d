//! What the consensus crate is told of this service: the types of commands and answers, the state machine, and its snapshots.

use crate::env::{chance, Chance};
use crate::state::{Command, Outcome, State};
use crate::storage::{LogStore, Stored};
use openraft::storage::RaftStateMachine;
use openraft::{
    AsyncRuntime, BasicNode, Entry, EntryPayload, LogId, OptionalSend, RaftSnapshotBuilder, Snapshot,
    SnapshotMeta, StorageError, StorageIOError, StoredMembership, TokioInstant, TokioRuntime,
};
use rand::Rng;
use serde::{Deserialize, Serialize};
use std::cell::RefCell;
use std::future::Future;
use std::io::Cursor;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;

/// Drawn at random when a process' folder is made: whoever lost its disk is somebody else.
pub type NodeId = u64;

/// What became of each command of an entry.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Reply(pub Vec<Option<Outcome>>);

openraft::declare_raft_types!(
    pub Types:
        // The consensus appends one entry after the other, each with its sync: what waits shares an entry.
        D = Vec<Command>,
        R = Reply,
        NodeId = NodeId,
        Node = BasicNode,
        Entry = Entry<Types>,
        SnapshotData = Cursor<Vec<u8>>,
        AsyncRuntime = Runtime,
);

/// The runtime that the consensus runs on: tokio's, and chance from the one source of this crate, so that a whole cluster can be
/// played again from a seed.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct Runtime;

impl AsyncRuntime for Runtime {
    type JoinError = tokio::task::JoinError;
    type JoinHandle<T: OptionalSend + 'static> = tokio::task::JoinHandle<T>;
    type Sleep = tokio::time::Sleep;
    type Instant = TokioInstant;
    type TimeoutError = tokio::time::error::Elapsed;
    type Timeout<R, T: Future<Output = R> + OptionalSend> = tokio::time::Timeout<T>;
    type ThreadLocalRng = Chance;
    type OneshotSender<T: OptionalSend> = <TokioRuntime as AsyncRuntime>::OneshotSender<T>;
    type OneshotReceiver<T: OptionalSend> = tokio::sync::oneshot::Receiver<T>;
    type OneshotReceiverError = tokio::sync::oneshot::error::RecvError;

    fn spawn<T>(future: T) -> Self::JoinHandle<T::Output>
    where
        T: Future + OptionalSend + 'static,
        T::Output: OptionalSend + 'static,
    {
        TokioRuntime::spawn(future)
    }

    fn sleep(duration: Duration) -> Self::Sleep {
        TokioRuntime::sleep(duration)
    }

    fn sleep_until(deadline: Self::Instant) -> Self::Sleep {
        TokioRuntime::sleep_until(deadline)
    }

    fn timeout<R, F: Future<Output = R> + OptionalSend>(
        duration: Duration,
        future: F,
    ) -> Self::Timeout<R, F> {
        TokioRuntime::timeout(duration, future)
    }

    fn timeout_at<R, F: Future<Output = R> + OptionalSend>(
        deadline: Self::Instant,
        future: F,
    ) -> Self::Timeout<R, F> {
        TokioRuntime::timeout_at(deadline, future)
    }

    fn is_panic(join_error: &Self::JoinError) -> bool {
        TokioRuntime::is_panic(join_error)
    }

    fn thread_rng() -> Chance {
        Chance
    }

    fn oneshot<T: OptionalSend>() -> (Self::OneshotSender<T>, Self::OneshotReceiver<T>) {
        TokioRuntime::oneshot()
    }
}

pub type Raft = openraft::Raft<Types>;

/// The state as of an entry of the log.
#[derive(Clone, Debug, Default)]
struct Applied {
    state: State,
    last: Option<LogId<NodeId>>,
    membership: StoredMembership<NodeId, BasicNode>,
}

/// The state machine, shared with whoever reads it.
#[derive(Clone)]
pub struct Machine {
    applied: Rc<RefCell<Applied>>,
    log: LogStore,
    /// Something was applied.
    pub changed: Rc<Notify>,
}

impl Machine {
    /// As the last snapshot has it; what was committed behind it is applied again by the consensus.
    pub fn open(log: LogStore) -> Result<Machine, String> {
        let applied = match log.snapshot()? {
            Some(stored) => Applied {
                state: State::restore(&stored.state).map_err(|e| e.to_string())?,
                last: stored.meta.last_log_id,
                membership: stored.meta.last_membership,
            },
            None => Applied::default(),
        };
        Ok(Machine { applied: Rc::new(RefCell::new(applied)), log, changed: Rc::new(Notify::new()) })
    }

    /// Looks at the state as this process has it by now.
    pub fn with<T>(&self, look: impl FnOnce(&State) -> T) -> T {
        look(&self.applied.borrow().state)
    }
}

fn failed(e: impl std::fmt::Display) -> StorageError<NodeId> {
    StorageIOError::write_snapshot(None, openraft::AnyError::error(e)).into()
}

impl RaftSnapshotBuilder<Types> for Machine {
    async fn build_snapshot(&mut self) -> Result<Snapshot<Types>, StorageError<NodeId>> {
        let (bytes, meta) = {
            let applied = self.applied.borrow();
            let number = applied.last.map_or(0, |last| last.index);
            let meta = SnapshotMeta {
                last_log_id: applied.last,
                last_membership: applied.membership.clone(),
                snapshot_id: format!("{number}-{}", chance(|rng| rng.random::<u32>())),
            };
            (applied.state.snapshot().map_err(failed)?, meta)
        };
        let stored = Stored { meta: meta.clone(), state: bytes.clone() };
        self.log.keep_snapshot(stored).await.map_err(|e| failed(e.to_string()))?;
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
        let state = State::restore(&bytes).map_err(failed)?;
        let stored = Stored { meta: meta.clone(), state: bytes };
        self.log.keep_snapshot(stored).await.map_err(|e| failed(e.to_string()))?;
        let (last, membership) = (meta.last_log_id, meta.last_membership.clone());
        self.applied.replace(Applied { state, last, membership });
        self.changed.notify_waiters();
        Ok(())
    }

    async fn get_current_snapshot(&mut self) -> Result<Option<Snapshot<Types>>, StorageError<NodeId>> {
        let stored = self.log.snapshot().map_err(failed)?;
        Ok(stored.map(|stored| Snapshot { meta: stored.meta, snapshot: Box::new(Cursor::new(stored.state)) }))
    }
}
