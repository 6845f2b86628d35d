//! The inputs and outputs of a store.

use marblecroft_chain_replication::Token;
use marblecroft_protocol::coordinator::{CoordinatorReply, CoordinatorRequest};
use marblecroft_protocol::store::{StoreReply, StoreRequest};
use std::net::SocketAddr;
use std::time::Duration;

/// An event that a store reacts to.
#[derive(Debug)]
pub enum Input {
    /// A call of another process.
    Request {
        /// Names the call in [`Output::Answer`].
        token: Token,
        /// What is requested.
        request: StoreRequest,
    },
    /// The reply of another store to [`Output::CallStore`].
    StoreReply {
        /// The id of the call.
        call: u64,
        /// `None` where no reply came within the timeout.
        reply: Option<StoreReply>,
    },
    /// The reply of a coordinator to [`Output::CallCoordinator`].
    CoordinatorReply {
        /// The id of the call.
        call: u64,
        /// `None` where no reply came within the timeout.
        reply: Option<CoordinatorReply>,
    },
    /// SIGTERM.
    Terminate,
    /// The time that [`next_wake`](crate::Node::next_wake) named has come.
    Wake,
}

/// An effect for the caller to carry out.
#[derive(Debug)]
pub enum Output {
    /// Reply to a call of another process.
    Answer {
        /// The token of [`Input::Request`].
        token: Token,
        /// The reply.
        reply: StoreReply,
    },
    /// Call another store.
    CallStore {
        /// Names the call in [`Input::StoreReply`].
        call: u64,
        /// Where the store listens.
        to: SocketAddr,
        /// What is requested.
        request: StoreRequest,
        /// After this time the call has failed.
        timeout: Duration,
    },
    /// Call a coordinator.
    CallCoordinator {
        /// Names the call in [`Input::CoordinatorReply`].
        call: u64,
        /// Where the coordinator listens.
        to: SocketAddr,
        /// What is requested.
        request: CoordinatorRequest,
        /// After this time the call has failed.
        timeout: Duration,
    },
    /// End the process.
    Exit,
}
