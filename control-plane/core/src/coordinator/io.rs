//! Inputs and outputs of a coordinator.

use crate::operator;
use marblecroft_chain_replication::Token;
use marblecroft_protocol::coordinator::{CoordinatorReply, CoordinatorRequest};
use marblecroft_protocol::servers::Server;
use marblecroft_rpc::http::Reply;
use std::net::SocketAddr;
use std::time::Duration;

/// An event that a coordinator handles.
#[derive(Debug)]
pub enum Input {
    /// A call from another process.
    Request {
        /// Identifies the call in [`Output::Reply`].
        token: Token,
        /// The request.
        request: CoordinatorRequest,
    },
    /// A call from the operator.
    Operator {
        /// Identifies the call in [`Output::ReplyToOperator`].
        token: Token,
        /// The call.
        call: operator::Call,
    },
    /// The reply to [`Output::Call`].
    Reply {
        /// The id of the call.
        call: u64,
        /// `None` if there was no reply within the timeout.
        reply: Option<CoordinatorReply>,
    },
    /// The platform's list of servers, as requested by [`Output::ReadServerList`]; `None` if it could not be
    /// read.
    ServerList(Option<Vec<Server>>),
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
        reply: CoordinatorReply,
    },
    /// Reply to a call from the operator.
    ReplyToOperator {
        /// The token of [`Input::Operator`].
        token: Token,
        /// The reply.
        reply: Reply,
    },
    /// Call another coordinator.
    Call {
        /// Identifies the call in [`Input::Reply`].
        call: u64,
        /// Address of the coordinator.
        to: SocketAddr,
        /// The request.
        request: CoordinatorRequest,
        /// Time after which the call fails.
        timeout: Duration,
    },
    /// Read the platform's list of servers and pass it in as [`Input::ServerList`].
    ReadServerList,
    /// End the process.
    Exit,
}
