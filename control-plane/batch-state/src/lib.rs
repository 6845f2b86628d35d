//! The stores' replicated state: batch jobs, their items and results, and the queued tokens of each route; and the leases
//! under which gateways run items.
//!
//! Each store applies the same [`Operation`]s in the same order to its replica of [`BatchState`], which is deterministic.
//! [`item`] and [`job`] are the parts that it consists of. [`lease`] and [`capacity`] are volatile: only the head of the
//! chain has them, and a new head starts with none. That is safe because an item that is run twice still has one result, the
//! first that was recorded.
#![forbid(unsafe_code)]

pub mod capacity;
pub mod item;
pub mod job;
pub mod lease;
mod operation;
mod state;

pub use item::{Item, ItemId, ItemOutcome, ItemResult};
pub use job::{Job, NewJob};
pub use operation::{Operation, Output};
pub use state::BatchState;
