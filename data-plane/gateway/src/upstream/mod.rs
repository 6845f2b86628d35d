//! Connections to model servers.
//!
//! [`ConnectionPool::send`] (`attempt`) takes an idle connection from the `pool`, or opens a new
//! one, and makes one attempt at one server. `classify` classifies the head of the response,
//! `event_stream` reads its events, and `counters` counts how attempts end. A caller that has read a body to its end returns the connection
//! to the pool. All others drop the connection, which closes it and cancels the attempt at the
//! server. The callers, [`crate::live`] and [`crate::batch_runner`], choose the server and
//! decide whether to make another attempt.

mod attempt;
mod classify;
mod counters;
mod event_stream;
mod pool;

pub use attempt::{AttemptError, UpstreamRequest, UpstreamResponse};
pub use classify::{ResponseClass, ResponsePolicy, SentRequest};
pub use counters::{AttemptCounters, AttemptEnd};
pub use event_stream::{EventStream, StreamStep};
pub use pool::{Connection, ConnectionPool};
