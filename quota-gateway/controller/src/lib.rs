//! A steward: a candidate for the fleet's decisions (`docs/controller.md`).
//!
//! - [`config`]: its one file.
//! - [`reports`]: gateways' reports, over kept connections; bounded in every way.
//! - [`shard_map_role`], [`cells`]: the duty of the books, and its asks of cells.
//! - [`decisions`]: each decision core behind one interface.
//! - [`work`]: what owning a duty is: reports in, decisions out, under the token.
//! - [`metrics`]: figures for whoever watches over it.
#![forbid(unsafe_code)]

pub mod cells;
pub mod config;
pub mod decisions;
pub mod metrics;
pub mod reports;
pub mod shard_map_role;
pub mod work;
