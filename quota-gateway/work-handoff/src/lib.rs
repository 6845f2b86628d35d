//! Handoff of the requests of a failed gateway to its successors. The records of requests are stored in the
//! coordination service and are written under the fencing tokens of its locks. This crate performs no I/O.
//!
//! - [`record`]: the record of an accepted request with its progress, and the encoding of records.
//! - [`work_log`]: the operations that write records, conditional on the owner's token and the last revision.
//! - [`takeover`]: the steps of a successor that has taken over a record.
#![forbid(unsafe_code)]

pub mod record;
pub mod takeover;
pub mod work_log;
