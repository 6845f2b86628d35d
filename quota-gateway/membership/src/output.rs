//! The results that the failure detector returns to its caller: outputs to execute in order, and counters.

use crate::record::{MemberState, Name};
use crate::wire::Message;
use std::net::SocketAddrV4;

/// An effect that the caller executes. The order of outputs is significant.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Send a datagram.
    Send {
        /// The recipient.
        to: SocketAddrV4,
        /// The message in the datagram.
        message: Message,
    },
    /// Synchronize full states with another member (push-pull): send
    /// [`FailureDetector::full_state`](crate::detector::FailureDetector::full_state) over a stream, and pass
    /// the state that the other member returns to
    /// [`FailureDetector::handle_full_state`](crate::detector::FailureDetector::handle_full_state).
    Synchronize {
        /// The other member's address.
        with: SocketAddrV4,
    },
    /// A member's state has changed in this member's view.
    StateChanged(StateChange),
    /// Another process runs under this member's name and takes precedence. This detector has stopped
    /// permanently.
    Displaced {
        /// The other process's address.
        by: SocketAddrV4,
    },
}

/// A change of a member's state in this member's view.
#[derive(Clone, Debug, PartialEq)]
pub struct StateChange {
    /// The member.
    pub name: Name,
    /// Its former state; `None` if the member was unknown.
    pub from: Option<MemberState>,
    /// Its new state.
    pub to: MemberState,
    /// The incarnation to which the new state belongs.
    pub incarnation: u64,
}

/// Counters since the start, for operators.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Stats {
    /// Number of probes that this member started.
    pub probes: u64,
    /// Number of those probes that were acknowledged, directly or through a helper.
    pub acknowledged: u64,
    /// Number of suspicions that started in this member's view, raised by any member.
    pub suspicions: u64,
    /// Number of suspicions against this member that it refuted.
    pub local_refutations: u64,
    /// Number of suspicions against other members that were refuted.
    pub peer_refutations: u64,
    /// Number of updates about unknown members that were ignored because the member table was full.
    pub ignored_updates: u64,
}
