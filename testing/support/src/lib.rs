//! Utilities for the tests of several crates: reserved ports and conformance tables.

pub mod conformance;
mod port;

pub use port::Port;
