//! The gateway's side of the connections to model servers.
//!
//! A request passes here in this order: [`ConnectionPool::send`] (`attempt`) takes an idle connection out of the `pool`, or
//! opens one, and makes one attempt at one server; `verdict` judges the head of the response; `event_stream` reads its
//! events. Whoever reads a body to its end puts the connection back into the pool; everybody else drops it, which closes it
//! and thereby tells the server that the attempt is given up. Which server, and whether there is another attempt, is decided
//! above: in [`crate::live`] and [`crate::batch_runner`].

mod attempt;
mod event_stream;
mod pool;
mod verdict;

pub use attempt::{AttemptError, UpstreamRequest, UpstreamResponse};
pub use event_stream::{EventStream, StreamStep};
pub use pool::{Connection, ConnectionPool};
pub use verdict::{ResponsePolicy, Verdict};
