//! The stand-ins' rules, without I/O: events and time in, what happens out. [`crate::shell`] puts them on sockets.

pub mod cell;
pub mod clients;
pub mod counter;
pub mod list;
pub mod meter;
pub mod pay_server;
