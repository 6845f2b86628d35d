//! The envelope of a message: the call that the message belongs to, and its direction.
//!
//! Messages are encoded by position: new variants and fields are appended, and none is reordered.

use crate::frame::Bytes;
use musli::{Decode, Encode};
use std::net::SocketAddr;

/// The replicated services whose members are called.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub enum Service {
    /// The chain of coordinators.
    Coordinators,
    /// The chain of stores.
    Stores,
}

/// The identity of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub struct CallId {
    /// Random id of the calling [`Caller`](crate::Caller), drawn when it is created.
    pub caller: u64,
    /// Number of the call among those of its caller.
    pub sequence: u64,
    /// The service that is called.
    pub service: Service,
    /// Address on which the called process listens.
    pub callee: SocketAddr,
}

/// The direction of a message. It is part of the envelope so that an echoed request is not mistaken for a
/// response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub enum Direction {
    /// From the caller to the called process.
    Request,
    /// From the called process to the caller.
    Response,
}

/// A message with the identity of its call, which the response repeats.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Envelope {
    /// Whether the message is the request or the response.
    pub direction: Direction,
    /// The call that the message belongs to.
    pub call_id: CallId,
    /// The message in its frame; see [`encode`](crate::encode).
    pub message: Bytes,
}
