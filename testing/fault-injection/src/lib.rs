//! Fault injection for a fleet on one machine: runs many processes of the programs, injects faults between
//! them, records a history of the events on every side, and checks it. `docs/fault-injection.md` describes
//! the usage and the limits.
//!
//! - [`scenario`], [`draw`], [`deployment`], [`endpoint`]: the scenario, and what is drawn for it from a
//!   seed.
//! - [`stand_ins`], [`link`]: the logic of the stand-ins and of the links, without I/O.
//! - [`harness`]: runs the stand-ins on sockets, the processes and the faults.
//! - [`history`], [`checker`], [`decisions`], [`linear`], [`figures`], [`verdict`], [`follow`]: the recorded
//!   events and their evaluation.
//! - [`report`], [`compare`]: human-readable reports.
#![deny(unsafe_code)]

pub mod checker;
pub mod compare;
pub mod decisions;
pub mod deployment;
pub mod draw;
pub mod endpoint;
pub mod error;
pub mod figures;
pub mod follow;
pub mod harness;
pub mod history;
pub mod linear;
pub mod link;
pub mod report;
pub mod scenario;
pub mod stand_ins;
pub mod verdict;
