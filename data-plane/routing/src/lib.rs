//! Admission of requests and placement on model servers, without I/O.
//!
//! Each request passes through the modules in this order:
//!
//! 1. [`prompt`] parses the prompt size and the shared prefix from the request headers.
//! 2. [`admission`] rejects low-priority requests while the servers are overloaded, before any
//!    server receives them.
//! 3. [`balance`] chooses a server, and chooses again after an attempt that was not executed.
//! 4. [`events`] splits the response stream into events, so that the stream can be resumed at
//!    another server after a complete event.
//!
//! [`tuning`] holds the placement constants; [`hash`] and [`ewma`] hold the arithmetic that the
//! other modules share. All times are on one monotonic clock, which the caller keeps and whose zero
//! the caller chooses.
#![forbid(unsafe_code)]

pub mod admission;
pub mod balance;
pub mod events;
pub mod ewma;
pub mod hash;
pub mod prompt;
pub mod tuning;

/// Time since the zero of the caller's monotonic clock.
pub type Timestamp = std::time::Duration;
