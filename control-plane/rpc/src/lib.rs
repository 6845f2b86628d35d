//! Calls between processes of the serving tier.
//!
//! A message is a musli value in a frame with a version and a checksum ([`encode`], [`decode`]); a call is one HTTP POST
//! with a message each way, in an envelope that names the call ([`Caller`], [`serve`]). [`http`] holds the small HTTP server that the operator's API and the
//! readiness checks use as well.
#![forbid(unsafe_code)]

mod call;
mod frame;
pub mod http;

pub use call::{random_id, serve, CallError, CallId, Caller, Direction, Envelope, Service, PATH};
pub use frame::{decode, encode, Bytes, DecodeError, Message, VERSION};
