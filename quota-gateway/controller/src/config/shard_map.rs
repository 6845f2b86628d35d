//! The configuration of the shard map.

use marblecroft_shard_map::map::{Cell, MAX_SHARDS};
use marblecroft_shard_map::owner::MAX_GATEWAYS;
use quick_error::quick_error;
use serde::Deserialize;
use std::net::SocketAddr;
use std::ops::RangeInclusive;

/// The largest number of cells.
const MAX_CELLS: usize = 1024;
/// What the times may be, in milliseconds.
const TIME_RANGE_MS: RangeInclusive<u64> = 100..=600_000;

quick_error! {
    /// Why the configuration of the shard map is not valid. The text names the key.
    #[derive(Debug)]
    pub enum ShardMapConfigError {
        /// A number is out of its range.
        OutOfRange(key: &'static str, min: u64, max: u64) {
            display("{key}: from {min} to {max}")
        }
        /// There are no cells, or too many.
        CellCount {
            display("cells: 1 to {MAX_CELLS}")
        }
        /// Two cells have the same number; the index of the second one.
        DuplicateCell(index: usize, number: Cell) {
            display("cells[{index}].number: {number} comes twice")
        }
        /// The address of the cell at an index is not a loopback address, and others are not allowed.
        NotLoopback(index: usize) {
            display("cells[{index}].at: not on this machine alone, and allow_other_than_loopback is not set")
        }
    }
}

/// A cell of pay servers.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ShardCell {
    /// Its number in the server list.
    pub number: Cell,
    /// Its zone.
    pub zone: String,
    /// The region of its zone.
    #[serde(default)]
    pub region: String,
    /// Where it accepts requests of the owner of the shard map.
    #[serde(rename = "at")]
    pub address: SocketAddr,
}

/// The configuration of the shard map.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ShardMapConfig {
    /// The number of shards of the first map, all of the same width.
    #[serde(rename = "count", default = "default_shard_count")]
    pub shard_count: usize,
    /// The cells.
    pub cells: Vec<ShardCell>,
    /// Whether cells store epochs and reject lower ones; without it a migration waits for gateways instead.
    pub fencing: bool,
    /// The number of gateways: while fewer have reported, an unknown one may use an older map.
    pub gateways: usize,
    /// The longest time that an attempt can be in flight, in milliseconds.
    #[serde(rename = "attempt_ms", default = "default_max_attempt_ms")]
    pub max_attempt_ms: u64,
    /// How long a copy may take before the migration is abandoned, in milliseconds.
    #[serde(rename = "patience_ms", default = "default_step_timeout_ms")]
    pub step_timeout_ms: u64,
}

fn default_shard_count() -> usize {
    8
}

fn default_max_attempt_ms() -> u64 {
    4000
}

fn default_step_timeout_ms() -> u64 {
    5000
}

impl ShardMapConfig {
    pub(super) fn check(&self, allow_other_than_loopback: bool) -> Result<(), ShardMapConfigError> {
        check_range("count", self.shard_count as u64, 1..=MAX_SHARDS as u64)?;
        self.check_cells(allow_other_than_loopback)?;
        check_range("gateways", self.gateways as u64, 1..=MAX_GATEWAYS as u64)?;
        check_range("attempt_ms", self.max_attempt_ms, TIME_RANGE_MS)?;
        check_range("patience_ms", self.step_timeout_ms, TIME_RANGE_MS)
    }

    fn check_cells(&self, allow_other_than_loopback: bool) -> Result<(), ShardMapConfigError> {
        if !(1..=MAX_CELLS).contains(&self.cells.len()) {
            return Err(ShardMapConfigError::CellCount);
        }
        for (index, cell) in self.cells.iter().enumerate() {
            if self.cells[..index].iter().any(|other| other.number == cell.number) {
                return Err(ShardMapConfigError::DuplicateCell(index, cell.number));
            }
            if !allow_other_than_loopback && !cell.address.ip().is_loopback() {
                return Err(ShardMapConfigError::NotLoopback(index));
            }
        }
        Ok(())
    }
}

fn check_range(key: &'static str, value: u64, range: RangeInclusive<u64>) -> Result<(), ShardMapConfigError> {
    if range.contains(&value) {
        Ok(())
    } else {
        Err(ShardMapConfigError::OutOfRange(key, *range.start(), *range.end()))
    }
}
