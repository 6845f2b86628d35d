//! Kinds of faults, their injection, and plans of faults drawn from a seed.
//!
//! A [`Plan`] schedules faults. Each fault selects its machine only at its instant. A fault that would lose
//! more disks than the deployment tolerates is skipped, so that every violation is a defect of the program
//! under test.

mod fault;
mod inject;
mod loss;
mod plan;

pub use fault::{Fault, PartitionDirection, PartitionScope, Target};
pub use loss::CATCH_UP_TIME;
pub use plan::Plan;
