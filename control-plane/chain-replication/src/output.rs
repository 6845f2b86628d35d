//! The effects that a member requests from its caller.

use crate::error::ProposalError;
use crate::message::{Append, AppendReply, Install};
use crate::view::Member;
use std::time::Duration;

/// Identifies a request to the caller that submitted it.
pub type Token = u64;

/// A message to the successor in the chain.
#[derive(Clone, Debug, PartialEq)]
pub enum ToSuccessor {
    /// Entries, or a heartbeat.
    Append(Append),
    /// The sender's complete state.
    Install(Install),
}

/// An effect that the caller carries out. The caller must carry out effects in order, and must handle
/// [`Output::Readable`] before it calls [`Chain::advance`](crate::Chain::advance) again, which may change the
/// state.
#[derive(Debug)]
pub enum Output<O> {
    /// Send a message. Its reply, or the absence of one, is passed to
    /// [`Chain::handle_reply`](crate::Chain::handle_reply).
    Call {
        /// Identifies the call in `handle_reply`.
        call: u64,
        /// The recipient.
        to: Member,
        /// The message.
        message: ToSuccessor,
        /// Time after which the call counts as failed.
        within: Duration,
    },
    /// Reply to a message that was passed to [`Chain::handle_append`](crate::Chain::handle_append) or
    /// [`Chain::handle_install`](crate::Chain::handle_install).
    Reply {
        /// The message's token.
        token: Token,
        /// The reply.
        reply: AppendReply,
    },
    /// The result of an operation that was passed to [`Chain::propose`](crate::Chain::propose).
    Applied {
        /// The operation's token.
        token: Token,
        /// The state machine's output, once the operation is committed.
        result: Result<O, ProposalError>,
    },
    /// The result of a [`Chain::read_index`](crate::Chain::read_index). `Ok` means that the state contains every operation
    /// that was acknowledged before the read began.
    Readable {
        /// The read's token.
        token: Token,
        /// An error if the state may not be read.
        result: Result<(), ProposalError>,
    },
}
