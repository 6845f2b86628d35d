//! Work in hand survives the loss of its gateway: the ledger's records, what may follow on what, and what a successor does with
//! each, without I/O. The ledger is kept in the coordination service, under the fencing tokens of its locks.
//!
//! - [`record`]: a request that was taken, and how far it has come; and its bytes.
//! - [`work_log`]: the commands that write it, each under the owner's token, and each only on what was there before.
//! - [`succeed`]: the table of what a successor may do.
#![forbid(unsafe_code)]

pub mod record;
pub mod succeed;
pub mod work_log;
