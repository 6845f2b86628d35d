//! Purposes of a coordinator's pending operations, reads and calls.

use crate::operator::{Caller, PendingCall};
use marblecroft_chain_replication::agreement::Phase;
use std::net::SocketAddr;

/// The purpose of a call to another coordinator.
pub(super) enum CallPurpose {
    /// A message of the chain, with the id that the chain has assigned to the call.
    Chain(u64),
    /// A call of the membership's task.
    Task(TaskCall),
    /// A notification, whose reply is ignored.
    Notification,
}

/// The purpose of an operation or read that waits for the chain.
pub(super) enum PendingOperation {
    Operator {
        caller: Caller,
        pending: PendingCall,
    },
    /// Issues the fencing token under which the head of this view reads the list of servers.
    ReaderToken {
        view: u64,
    },
    /// An operation that this process proposed on its own behalf; no caller waits for it.
    Internal,
}

/// A call of the membership's task.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct TaskCall {
    /// Number of the task. Replies to the calls of earlier tasks are ignored, except those to join requests.
    pub(super) task: u64,
    pub(super) kind: TaskCallKind,
}

/// The request of a task's call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum TaskCallKind {
    Status(SocketAddr),
    /// The vote of the voter with this identity.
    Vote {
        phase: Phase,
        identity: u64,
    },
    Join,
}
