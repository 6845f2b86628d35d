//! Calls between processes of the serving tier.
//!
//! A message is a musli value in a frame with a version and a checksum ([`encode`], [`decode`]). A call is one HTTP POST with
//! a message in each direction, in an [`Envelope`] that identifies the call: a [`Caller`] sends it, [`serve`] handles it.
//! [`http`] is the underlying small HTTP server, which also serves the operator's API and the readiness
//! checks.
#![forbid(unsafe_code)]

mod caller;
mod envelope;
mod frame;
pub mod http;
mod random;
mod server;

pub use caller::{CallError, Caller, PATH};
pub use envelope::{CallId, Direction, Envelope, Service};
pub use frame::{decode, encode, Bytes, DecodeError, Message, VERSION};
pub use random::random_id;
pub use server::serve;
