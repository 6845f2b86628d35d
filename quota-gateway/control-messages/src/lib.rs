//! The messages between gateways and controllers, without I/O (`docs/zone-failover.md`, "On the wire").
//!
//! A message passes [`frame`] first, at both ends; what it carries is a [`report`] of a gateway or a [`published`] decision.
//!
//! - [`frame`]: the header of all messages, with version, fleet, bounds and checksum.
//! - [`published`]: a decision under a fencing token, and a reader that accepts no older one and knows when its own expired.
//! - [`report`]: what a gateway has measured in a second.
#![forbid(unsafe_code)]

pub mod frame;
pub mod published;
pub mod report;
