//! The call that a member has in flight to its successor, and the requests that wait for its outcome.

use crate::output::Token;
use crate::pending::Waiter;
use crate::position::Position;
use crate::view::Member;
use std::time::Duration;

/// The requests that wait for the outcome of a round.
#[derive(Default)]
pub(crate) struct RoundWaiters {
    /// Reads at the head that the round is to confirm.
    pub reads: Vec<Waiter>,
    /// Tokens of the predecessor's messages, which are replied to with the round's outcome.
    pub upstream_tokens: Vec<Token>,
}

/// A call to the successor.
pub(crate) struct InFlightAppend {
    pub call: u64,
    /// Number of the view in which the call was made.
    pub view: u64,
    /// [`Replica::restore_count`](crate::Replica::restore_count) when the call was made.
    pub restore_count: u64,
    /// This member's position when the call was made.
    pub position: Position,
    pub successor: Member,
    /// Time at which this member began its part of the round.
    pub started_at: Duration,
    /// Whether the message is an [`Install`](crate::Install).
    pub is_install: bool,
    pub waiters: RoundWaiters,
}

/// A round that every member from this one to the tail has completed.
pub(crate) struct CompletedRound {
    /// Time at which this member began its part of the round.
    pub started_at: Duration,
    /// The position that all these members have reached.
    pub position: Position,
    /// Number of durable replicas among the members that follow this one.
    pub durable_replicas_downstream: usize,
    pub waiters: RoundWaiters,
}
