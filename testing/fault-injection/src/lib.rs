//! Fault injection for a fleet on one machine: runs many processes of the programs, injects faults between
//! them, records a history of the events on every side, and judges it. `docs/fault-injection.md` describes
//! the usage and the limits.
//!
//! - [`scenario`], [`draw`], [`deployment`], [`endpoint`]: the scenario, and what is drawn for it from a
//!   seed.
//! - [`stand`], [`link`]: the rules of the stand-ins and of the links, without I/O.
//! - [`shell`]: the same on sockets, and the processes.
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
pub mod history;
pub mod linear;
pub mod link;
pub mod report;
pub mod scenario;
pub mod shell;
pub mod stand;
pub mod verdict;
