//! What the failure detector returns to its caller: outputs to carry out in order, and counters.

use crate::record::{MemberState, Name};
use crate::wire::Message;
use std::net::SocketAddrV4;

/// An effect that the caller carries out. The order of outputs is significant.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Send a datagram.
    Send {
        /// The receiver.
        to: SocketAddrV4,
        /// What is sent.
        message: Message,
    },
    /// Synchronise full states with another member (push-pull): send
    /// [`FailureDetector::full_state`](crate::detector::FailureDetector::full_state) over a stream, and pass what comes back
    /// to [`FailureDetector::handle_full_state`](crate::detector::FailureDetector::handle_full_state).
    Synchronize {
        /// The other member.
        with: SocketAddrV4,
    },
    /// A member's state has changed in this member's view.
    StateChanged(StateChange),
    /// Another process runs under this member's name and takes precedence. This detector has stopped for good.
    Displaced {
        /// The other process.
        by: SocketAddrV4,
    },
}

/// A change of a member's state, in the order in which this member learned of it.
#[derive(Clone, Debug, PartialEq)]
pub struct StateChange {
    /// The member.
    pub name: Name,
    /// Its state before; `None` for a member that was unknown.
    pub from: Option<MemberState>,
    /// Its state from now on.
    pub to: MemberState,
    /// The incarnation to which the new state belongs.
    pub incarnation: u64,
}

/// Counters for operators, since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Stats {
    /// Probes that this member began.
    pub probes: u64,
    /// Probes of this member that were acknowledged, directly or through a helper.
    pub acknowledged: u64,
    /// Suspicions that began in this member's view, whoever raised them.
    pub suspicions: u64,
    /// Suspicions of this member that it refuted.
    pub local_refutations: u64,
    /// Suspicions of other members that were refuted.
    pub peer_refutations: u64,
    /// Updates about unknown members that were ignored because the member table was full.
    pub ignored_updates: u64,
}
