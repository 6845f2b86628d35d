//! Candidates and followers, which use the client of the coordination service.
//!
//! A candidate follows the entries of its fleet, computes which roles it should own, and runs a state machine
//! for each role. Only the lock of a role determines its owner, and each publication contains the lock's
//! fencing token.

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
