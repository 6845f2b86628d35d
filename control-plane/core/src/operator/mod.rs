//! The operator's API: which calls there are, and what they are answered with.
//!
//! A call passes here in this order: its path names an `Endpoint`, else the reply is 404; a coordinator
//! that is not the head redirects; then method, headers and body are parsed to a `Request`, else the reply
//! is 405 or 400. The head answers only after a round that began later than the call, rejections that depend on the state
//! included. Where there is no such round the reply is 503, or 504 where the operation may have been carried out.
//!
//! The reply texts are part of the API: operators' programs compare them.

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
    /// The value of `X-Base-Version`.
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
    /// The state is read first: a machine may be retired only if enough others are left.
    CheckRetirement {
        node: String,
    },
    Retire,
    ReadRetirement {
        node: String,
    },
}

/// Where a call came from.
#[derive(Debug)]
pub(crate) struct Caller {
    /// Names the call for its reply.
    pub(crate) token: Token,
    /// Path and query, for a redirect.
    pub(crate) url: String,
}
