//! The inputs and outputs of a coordinator.

use crate::operator;
use marblecroft_chain_replication::Token;
use marblecroft_protocol::coordinator::{CoordinatorReply, CoordinatorRequest};
use marblecroft_protocol::servers::Server;
use marblecroft_rpc::http::Reply;
use std::net::SocketAddr;
use std::time::Duration;

/// An event that a coordinator reacts to.
#[derive(Debug)]
pub enum Input {
    /// A call of another process.
    Request {
        /// Names the call in [`Output::Answer`].
        token: Token,
        /// What is requested.
        request: CoordinatorRequest,
    },
    /// A call of the operator's.
    Operator {
        /// Names the call in [`Output::AnswerOperator`].
        token: Token,
        /// The call.
        call: operator::Call,
    },
    /// The reply to [`Output::Call`].
    Reply {
        /// The id of the call.
        call: u64,
        /// `None` where no reply came within the timeout.
        reply: Option<CoordinatorReply>,
    },
    /// The platform's list of servers, as [`Output::ReadServerList`] requested; `None` where it could not be read.
    ServerList(Option<Vec<Server>>),
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
        reply: CoordinatorReply,
    },
    /// Reply to a call of the operator's.
    AnswerOperator {
        /// The token of [`Input::Operator`].
        token: Token,
        /// The reply.
        reply: Reply,
    },
    /// Call another coordinator.
    Call {
        /// Names the call in [`Input::Reply`].
        call: u64,
        /// Where the coordinator listens.
        to: SocketAddr,
        /// What is requested.
        request: CoordinatorRequest,
        /// After this time the call has failed.
        timeout: Duration,
    },
    /// Read the platform's list of servers, and report it with [`Input::ServerList`].
    ReadServerList,
    /// End the process.
    Exit,
}
