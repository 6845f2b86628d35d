//! Candidates and followers on the client of the coordination service.
//!
//! A candidate follows the entries of its fleet, works out which roles it should own, and runs a state machine for each: the
//! lock of a role alone decides who owns it, and each publication carries the lock's fencing token.

mod candidate;
mod follow;
mod lease;
mod role_runner;
mod settings;
mod timing;

pub use candidate::run_candidate;
pub use follow::follow;
pub use lease::{Lease, PublishOutcome};
pub use settings::{RoleMetrics, Settings};
