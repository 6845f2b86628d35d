//! What gateways and stewards tell each other, without I/O (`docs/zone-failover.md`, "On the wire").
//!
//! - [`frame`]: the head that all messages have, with version, fleet, bounds and checksum.
//! - [`published`]: a decision under a token, and a reader of it that never goes back and knows when it is alone.
//! - [`report`]: what a gateway has seen in a second.
#![forbid(unsafe_code)]

pub mod frame;
pub mod published;
pub mod report;
