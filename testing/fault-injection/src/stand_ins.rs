//! The logic of the stand-ins, without I/O: each takes events with their times and returns what follows.
//! [`crate::harness`] serves them on sockets.

pub mod cell;
pub mod clients;
pub mod counter;
pub mod discovery;
pub mod meter;
pub mod pay_server;
