//! Requests to processes, their responses, and the origins of requests.

use marblecroft_control_plane_core::operator::Call as OperatorCall;
use marblecroft_protocol::coordinator::{CoordinatorReply, CoordinatorRequest};
use marblecroft_protocol::store::{StoreReply, StoreRequest};
use marblecroft_rpc::http::Reply as OperatorReply;

/// A request to a process.
#[derive(Clone, Debug)]
pub enum Request {
    /// To a coordinator.
    Coordinator(CoordinatorRequest),
    /// To a store.
    Store(StoreRequest),
    /// To the operator's API of a coordinator.
    Operator(OperatorCall),
}

/// The response to a [`Request`].
#[derive(Clone, Debug)]
pub enum Response {
    /// From a coordinator.
    Coordinator(CoordinatorReply),
    /// From a store.
    Store(StoreReply),
    /// From the operator's API.
    Operator(OperatorReply),
}

/// The sender of a request, which receives the response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Origin {
    /// One incarnation of the process of a machine.
    Machine {
        /// Index of the machine.
        machine: usize,
        /// The incarnation of its process.
        incarnation: u64,
        /// The number of the call.
        call: u64,
    },
    /// A client.
    Client {
        /// Index of the client.
        client: usize,
        /// The number of the call.
        call: u64,
    },
    /// The network, which duplicated the request; the response to the duplicate is dropped.
    Duplicate,
}
