//! A cluster of coordinators and stores on virtual machines, and the order of its events.
//!
//! [`Cluster::run_until`] takes the earliest event from the `event_queue` and dispatches it. The `network`
//! module delivers a request to a machine's inbox. The `execution` module passes the inputs of the inbox to
//! the process one at a time and performs the outputs, which schedule further events. The `lifecycle` module
//! starts and ends processes. All random numbers come from one generator, and events of the same instant run
//! in the order in which they were scheduled, so that a seed replays exactly.

mod dispatch;
mod event_queue;
mod execution;
mod lifecycle;
mod links;
mod machine;
mod message;
mod network;
mod process;
mod queries;
mod state;
mod view_check;

pub use links::LinkFault;
pub use machine::{Machine, Role};
pub use message::{Origin, Request, Response};
pub(crate) use state::SYNC_TIME;
pub use state::{Client, Cluster, ClusterSpec, ScheduledFault};
