//! Faults: what they are, how they are injected, and plans of them drawn from a seed.
//!
//! A [`Plan`] schedules faults; each chooses its machine only at its instant, and is skipped where it would exceed what the
//! deployment tolerates, so that every violation is a fault of the program.

mod fault;
mod inject;
mod loss;
mod plan;

pub use fault::{Fault, PartitionDirection, PartitionScope, Target};
pub use loss::CATCH_UP_TIME;
pub use plan::Plan;
