//! Handoff of requests in flight from a gateway that was lost to its successors: the records, the commands that write them, and
//! what a successor does with each. The records are kept in the coordination service, under the fencing tokens of its locks;
//! here is no I/O.
//!
//! - [`record`]: a request that was accepted, how far it has come, and its encoding.
//! - [`work_log`]: the commands that write records, each under the owner's token and on top of a known revision.
//! - [`takeover`]: what a successor does with a record.
#![forbid(unsafe_code)]

pub mod record;
pub mod takeover;
pub mod work_log;
