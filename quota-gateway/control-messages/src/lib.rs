//! The messages between gateways and controllers, without I/O (`docs/zone-failover.md`, "On the wire").
//!
//! Senders and receivers encode and decode all messages with [`frame`]. The content is a gateway's [`report`]
//! or a [`published`] decision.
//!
//! - [`frame`]: the header of all messages, with version, fleet, length and checksum.
//! - [`published`]: decisions under a fencing token, and a reader that rejects older decisions and detects
//!   when its current one has expired.
//! - [`report`]: the measurements of a gateway, sent once per second.
#![forbid(unsafe_code)]

pub mod frame;
pub mod published;
pub mod report;
