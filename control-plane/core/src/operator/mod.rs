//! The operator's API: its calls and the replies to them.
//!
//! A call is handled in these steps:
//!
//! 1. The path selects an `Endpoint`. The reply to an unknown path is 404.
//! 2. A coordinator that is not the head redirects the caller to the head.
//! 3. Method, headers and body are parsed into a `Request`. The reply to an invalid one is 405 or 400.
//! 4. The head replies after a round of the chain that began later than the call, also if the reply is a
//!    rejection that depends on the state. Without such a round the reply is 503, or 504 if the operation may
//!    have been carried out.
//!
//! The reply texts are part of the API, because operators' programs compare them.

pub(crate) mod reply;
pub(crate) mod request;
#[cfg(test)]
mod tests;

use marblecroft_chain_replication::Token;

/// The HTTP methods that the API distinguishes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Method {
    /// `GET`.
    Get,
    /// `POST`.
    Post,
    /// Any other method.
    Other,
}

/// A call as it was received.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Call {
    /// The HTTP method.
    pub method: Method,
    /// Path and query.
    pub url: String,
    /// The value of the header `X-Base-Version`.
    pub base: Option<String>,
    /// The body.
    pub body: Vec<u8>,
}

/// A call that waits for the chain.
#[derive(Debug)]
pub(crate) enum PendingCall {
    /// A complete configuration, or an update of named items, with its generation.
    Change {
        generation: u64,
    },
    Read,
    /// Reads the state before a retirement is proposed: a machine may be retired only if enough others are
    /// left.
    CheckRetirement {
        node: String,
    },
    Retire,
    ReadRetirement {
        node: String,
    },
}

/// The origin of a call.
#[derive(Debug)]
pub(crate) struct Caller {
    /// Identifies the call in the reply.
    pub(crate) token: Token,
    /// Path and query, for a redirect.
    pub(crate) url: String,
}
