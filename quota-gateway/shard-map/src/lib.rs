//! Shards of client firms, each served by one cell of pay servers, and the epochs that keep a gateway with an outdated map from
//! writing to a shard that was moved (`docs/shard-map.md`). No I/O, no clock.
//!
//! - [`map`]: the shard map as it is published; the epoch of a range only rises.
//! - [`ticket`]: the gateway's side: the check at the last moment before a write, with its deadline in the type.
//! - [`fencing`]: the cell's side: it stores the epoch of each range and rejects lower ones.
//! - [`cell`]: the requests of the owner to a cell, and how the cell handles them.
//! - [`migration`]: the steps of a migration, each stored in the map, so that the next owner continues from it.
//! - [`plan`]: which shards are migrated, and to which cell, by load and the state of the cells.
//! - [`owner`]: the owner of the shard map, which plans migrations and takes each through its steps.
#![forbid(unsafe_code)]

pub mod cell;
pub mod fencing;
pub mod map;
pub mod migration;
pub mod owner;
pub mod plan;
pub mod ticket;
