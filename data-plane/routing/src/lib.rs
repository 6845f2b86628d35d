//! Which requests are admitted, and which model server each one goes to; without I/O.
//!
//! A request passes here in this order:
//!
//! 1. [`prompt`] reads its size and its shared prefix from its headers;
//! 2. [`admission`] rejects it at once where the servers are overloaded and its priority is low, before any server is
//!    troubled with it;
//! 3. [`balance`] places it, and places it again after an attempt that did not run;
//! 4. [`events`] splits the response stream, so that it can be resumed at another server after a complete event.
//!
//! [`tuning`] holds the constants of placement, [`hash`] and [`ewma`] what the others calculate with. All times are on one
//! monotonic clock of the caller's, whose zero is the caller's choice.
#![forbid(unsafe_code)]

pub mod admission;
pub mod balance;
pub mod events;
pub mod ewma;
pub mod hash;
pub mod prompt;
pub mod tuning;

/// Time on the caller's monotonic clock, since its zero.
pub type Now = std::time::Duration;
