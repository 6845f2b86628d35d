//! Shards of client firms, each served by one cell of pay servers, and the epochs that prevent a gateway with
//! an outdated map from writing to a shard that has been migrated (`docs/shard-map.md`). No I/O and no clock.
//!
//! - [`map`]: the published shard map; the epoch of a range only rises.
//! - [`ticket`]: the gateway's side: permission for a write, checked immediately before the write and limited
//!   in time.
//! - [`fencing`]: the cell's side: stores the epoch of each range and rejects writes under any other epoch.
//! - [`cell`]: the requests of the owner to a cell, and how the cell handles them.
//! - [`migration`]: the steps of a migration; each is stored in the map, so that the next owner continues
//!   from it.
//! - [`plan`]: chooses the shards to migrate and their new cells, by load and the state of the cells.
//! - [`owner`]: the owner of the shard map, which plans migrations and advances them step by step.
#![forbid(unsafe_code)]

pub mod cell;
pub mod fencing;
pub mod map;
pub mod migration;
pub mod owner;
pub mod plan;
pub mod ticket;
