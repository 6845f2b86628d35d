//! Books: ranges of client firms whose pay runs are written at one cell of pay servers, and the epochs that keep a gateway with an
//! outdated map from writing to what has moved (`docs/shard-map.md`). No I/O, no clock.
//!
//! - [`map`]: the book map as it is published; a range's epoch only rises.
//! - [`ticket`]: a gateway's side: the check at the last moment before a write, with its deadline in the type.
//! - [`fencing`]: a cell's side: it remembers each range's epoch and turns lower ones away.
//! - [`cell`]: what a steward asks of a cell, and the cell's side of it.
//! - [`moves`]: the steps of a move, each a record in the map, so that whoever owns the duty next goes on from it.
//! - [`plan`]: what moves where, by load and lost cells.
//! - [`owner`]: all of it together.
#![forbid(unsafe_code)]

pub mod cell;
pub mod fencing;
pub mod map;
pub mod moves;
pub mod owner;
pub mod plan;
pub mod ticket;
