//! The stores' replicated state: batch jobs, their items and results, and the queued tokens of each route.
//! Also the leases under which gateways run items, which are not replicated.
//!
//! Each store applies the same [`Operation`]s in the same order to its replica of [`BatchState`], which is
//! deterministic and consists of the types in [`item`] and [`job`]. The data of [`lease`] and [`capacity`] is
//! volatile: only the head of the chain has it, and a new head starts without it. That is safe because an
//! item that is run twice still has only one result, the first that was recorded.
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
