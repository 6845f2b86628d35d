//! The configuration of the shard map.

use marblecroft_shard_map::map::{Cell, MAX_SHARDS};
use marblecroft_shard_map::owner::MAX_GATEWAYS;
use quick_error::quick_error;
use serde::Deserialize;
use std::net::SocketAddr;
use std::ops::RangeInclusive;

/// Maximum number of cells.
const MAX_CELLS: usize = 1024;
/// Valid range of the configured times, in milliseconds.
const TIME_RANGE_MS: RangeInclusive<u64> = 100..=600_000;

quick_error! {
    /// Why the configuration of the shard map is invalid. The display text names the key.
    #[derive(Debug)]
    pub enum ShardMapConfigError {
        /// A number is out of range.
        OutOfRange(key: &'static str, min: u64, max: u64) {
            display("{key}: expected a number from {min} to {max}")
        }
        /// The number of cells is 0 or too large.
        CellCount {
            display("cells: expected 1 to {MAX_CELLS} cells")
        }
        /// Two cells have the same number. The index is that of the second one.
        DuplicateCell(index: usize, number: Cell) {
            display("cells[{index}].number: duplicate number {number}")
        }
        /// The address of a cell is not a loopback address, and the configuration does not allow other
        /// addresses.
        NotLoopback(index: usize) {
            display("cells[{index}].at: not a loopback address, and allow_other_than_loopback is not set")
        }
    }
}

/// A cell of pay servers.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ShardCell {
    /// Number of the cell in the server list.
    pub number: Cell,
    /// Zone of the cell.
    pub zone: String,
    /// Region of the zone.
    #[serde(default)]
    pub region: String,
    /// Address at which the cell accepts requests from the owner of the shard map.
    #[serde(rename = "at")]
    pub address: SocketAddr,
}

/// The configuration of the shard map.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ShardMapConfig {
    /// The number of shards of the first map. Their ranges have the same size.
    #[serde(rename = "count", default = "default_shard_count")]
    pub shard_count: usize,
    /// The cells.
    pub cells: Vec<ShardCell>,
    /// Whether cells store epochs and reject lower ones. If they do not, a migration waits for the gateways
    /// instead.
    pub fencing: bool,
    /// The number of gateways. If fewer have reported, an unknown gateway may still use an older map.
    pub gateways: usize,
    /// The maximum time that an attempt can be in flight, in milliseconds.
    #[serde(rename = "attempt_ms", default = "default_max_attempt_ms")]
    pub max_attempt_ms: u64,
    /// The maximum time that a copy may take before the migration is abandoned, in milliseconds.
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
