//! Service discovery of the gateways' backends: the list of servers, how it is stored, served and followed.
//!
//! - [`mod@format`]: the list and the requests for it, as both ends of the wire have them.
//! - [`client`]: a reader's view of the list across several services; sans-I/O like the store.
//! - [`store`]: what is registered, its versions and its history; sans-I/O and without a clock.
//! - [`journal`]: the store's changes on disk, so that nothing that was acknowledged is lost.
//! - [`http`]: requests and responses as bytes.
#![forbid(unsafe_code)]

pub mod client;
pub mod format;
pub mod http;
pub mod journal;
pub mod store;
