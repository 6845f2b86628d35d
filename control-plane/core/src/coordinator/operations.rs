//! What a coordinator's pending operations, reads and calls were made for.

use crate::operator::{Caller, PendingCall};
use marblecroft_chain_replication::agreement::Phase;
use std::net::SocketAddr;

/// The purpose of a call to another coordinator.
pub(super) enum CallPurpose {
    /// A message of the chain, with the chain's own id of the call.
    Chain(u64),
    /// A call for the membership's task.
    Task(TaskCall),
    /// A notification, whose reply changes nothing.
    Notification,
}

/// The purpose of an operation or read that waits for the chain.
pub(super) enum PendingOperation {
    Operator {
        caller: Caller,
        pending: PendingCall,
    },
    /// The fencing token for reading the list of servers as the head of this view.
    ReaderToken {
        view: u64,
    },
    /// An operation of this process's own, which nobody waits for.
    Internal,
}

/// A call of the membership's task.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct TaskCall {
    /// Number of the task. Replies to the calls of earlier tasks are ignored.
    pub(super) task: u64,
    pub(super) kind: TaskCallKind,
}

/// What a call of a task requests.
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
