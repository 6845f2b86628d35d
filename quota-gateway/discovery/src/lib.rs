//! Service discovery for the gateways' backends: stores, serves and follows the list of servers.
//!
//! - [`mod@format`]: the format of the list and of the requests for it, shared by the service and its
//!   readers.
//! - [`client`]: a reader's view of the list, merged from several services; sans-I/O like the store.
//! - [`store`]: the registered servers, the versions and the history; sans-I/O and without a clock.
//! - [`journal`]: the store's changes on disk, so that no acknowledged change is lost.
//! - [`http`]: parsing and encoding of requests and responses.
#![forbid(unsafe_code)]

pub mod client;
pub mod format;
pub mod http;
pub mod journal;
pub mod store;
