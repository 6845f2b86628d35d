//! Inputs and outputs of a store.

use marblecroft_chain_replication::Token;
use marblecroft_protocol::coordinator::{CoordinatorReply, CoordinatorRequest};
use marblecroft_protocol::store::{StoreReply, StoreRequest};
use std::net::SocketAddr;
use std::time::Duration;

/// An event that a store handles.
#[derive(Debug)]
pub enum Input {
    /// A call from another process.
    Request {
        /// Identifies the call in [`Output::Reply`].
        token: Token,
        /// The request.
        request: StoreRequest,
    },
    /// The reply of another store to [`Output::CallStore`].
    StoreReply {
        /// The id of the call.
        call: u64,
        /// `None` if there was no reply within the timeout.
        reply: Option<StoreReply>,
    },
    /// The reply of a coordinator to [`Output::CallCoordinator`].
    CoordinatorReply {
        /// The id of the call.
        call: u64,
        /// `None` if there was no reply within the timeout.
        reply: Option<CoordinatorReply>,
    },
    /// SIGTERM.
    Terminate,
    /// The time returned by [`next_wake`](crate::Node::next_wake) has been reached.
    Wake,
}

/// An effect for the caller to carry out.
#[derive(Debug)]
pub enum Output {
    /// Reply to a call from another process.
    Reply {
        /// The token of [`Input::Request`].
        token: Token,
        /// The reply.
        reply: StoreReply,
    },
    /// Call another store.
    CallStore {
        /// Identifies the call in [`Input::StoreReply`].
        call: u64,
        /// Address of the store.
        to: SocketAddr,
        /// The request.
        request: StoreRequest,
        /// Time after which the call fails.
        timeout: Duration,
    },
    /// Call a coordinator.
    CallCoordinator {
        /// Identifies the call in [`Input::CoordinatorReply`].
        call: u64,
        /// Address of the coordinator.
        to: SocketAddr,
        /// The request.
        request: CoordinatorRequest,
        /// Time after which the call fails.
        timeout: Duration,
    },
    /// End the process.
    Exit,
}
