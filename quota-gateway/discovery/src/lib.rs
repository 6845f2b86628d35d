//! The list of pay servers: how it is written, kept and told.
//!
//! - [`mod@format`]: the list and the calls for it, as both ends of the wire have them.
//! - [`client`]: what a gateway holds of it, whatever it is told by whom; as pure as the store.
//! - [`store`]: what is registered, its versions and its history; decides, but does no I/O and reads no clock.
//! - [`journal`]: the store's changes on a disk, so that nothing that was answered is lost.
//! - [`http`]: calls and answers as bytes.
#![forbid(unsafe_code)]

pub mod client;
pub mod format;
pub mod http;
pub mod journal;
pub mod store;
