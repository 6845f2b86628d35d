//! The type configuration of the consensus crate.

// The macro of the consensus crate generates public items without documentation.
#![allow(missing_docs)]

use crate::env::ConsensusRng;
use crate::state::{Command, Outcome};
use openraft::{AsyncRuntime, BasicNode, Entry, OptionalSend, TokioInstant, TokioRuntime};
use serde::{Deserialize, Serialize};
use std::future::Future;
use std::io::Cursor;
use std::time::Duration;

/// Identifies a process. It is drawn at random when the data folder is created, so a process that has lost
/// its disk gets another identifier.
pub type NodeId = u64;

/// The outcomes of the commands of an entry.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Reply(pub Vec<Option<Outcome>>);

openraft::declare_raft_types!(
    pub Types:
        // The consensus appends entries one after the other, each with its own sync, so queued commands share
        // an entry.
        D = Vec<Command>,
        R = Reply,
        NodeId = NodeId,
        Node = BasicNode,
        Entry = Entry<Types>,
        SnapshotData = Cursor<Vec<u8>>,
        AsyncRuntime = Runtime,
);

/// The runtime of the consensus: tokio, with all random numbers from this crate's own source, so that a run
/// of a complete cluster can be replayed from a seed.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct Runtime;

impl AsyncRuntime for Runtime {
    type JoinError = tokio::task::JoinError;
    type JoinHandle<T: OptionalSend + 'static> = tokio::task::JoinHandle<T>;
    type Sleep = tokio::time::Sleep;
    type Instant = TokioInstant;
    type TimeoutError = tokio::time::error::Elapsed;
    type Timeout<R, T: Future<Output = R> + OptionalSend> = tokio::time::Timeout<T>;
    type ThreadLocalRng = ConsensusRng;
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

    fn thread_rng() -> ConsensusRng {
        ConsensusRng
    }

    fn oneshot<T: OptionalSend>() -> (Self::OneshotSender<T>, Self::OneshotReceiver<T>) {
        TokioRuntime::oneshot()
    }
}

/// The consensus instance of one process.
pub type Raft = openraft::Raft<Types>;
