//! A fleet on one machine: many processes of the program, faults between them, a history of what every side saw, and a
//! verdict. `docs/fault-injection.md` says how it is used and what it leaves out.
//!
//! - [`scenario`], [`draw`], [`deployment`], [`endpoint`]: what is asked for, and what a seed makes of it.
//! - [`stand`], [`link`]: the rules of the stand-ins and of the links, without I/O.
//! - [`shell`]: all of that on sockets, and the processes.
//! - [`history`], [`checker`], [`figures`], [`verdict`], [`follow`]: what happened, on disk, and what it comes to.
//! - [`report`], [`compare`]: the same for people.
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
