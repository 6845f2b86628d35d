//! Tenants and shards of a scenario, and the assignment of pay servers to cells.

use super::validation::within;
use super::{Scenario, ScenarioError};
use serde::{Deserialize, Serialize};

/// Firms whose shares of the fleet's capacity are decided by the controllers. They replace the site's plans
/// and customers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Tenants {
    /// Number of firms.
    pub firms: u32,
    /// The firms' weights, assigned round-robin.
    pub weights: Vec<f64>,
    /// Number of firms that request five times their fair share, and retry at once after a refusal.
    pub greedy: u32,
    /// When demand shifts to other firms and gateways, in milliseconds after the start of the load; by
    /// default it never shifts.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub shift_at_ms: Option<u64>,
}

impl Default for Tenants {
    fn default() -> Tenants {
        Tenants { firms: 40, weights: vec![1.0, 1.0, 2.0, 4.0], greedy: 0, shift_at_ms: None }
    }
}

/// Shards: ranges of firms whose pay runs are each written at one cell.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Shards {
    /// Number of shards at the start.
    pub count: u32,
    /// Migrations that operators request.
    #[serde(rename = "move", skip_serializing_if = "Vec::is_empty")]
    pub moves: Vec<ShardMove>,
}

impl Default for Shards {
    fn default() -> Shards {
        Shards { count: 8, moves: Vec::new() }
    }
}

/// An operator's request to move a shard to a cell.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ShardMove {
    /// Time of the request, in milliseconds after the start of the load.
    pub at_ms: u64,
    /// Number of the shard, as numbered at the start.
    #[serde(rename = "book")]
    pub shard: u32,
    /// Number of the cell.
    pub to_cell: u32,
}

const MAX_FIRMS: u32 = 20_000;
const MAX_WEIGHTS: usize = 16;
const MAX_SHARDS: u32 = 1024;
const MAX_MOVES: usize = 256;

impl Scenario {
    /// Returns the cell of a pay server. Pay servers are assigned round-robin to the cells of their zone;
    /// without configured cells every four consecutive pay servers form one.
    pub fn cell_of(&self, server: u32) -> u32 {
        let (zones, cells) = (self.fleet.zones.len() as u32, self.fleet.cells);
        if cells == 0 {
            return server / 4;
        }
        let zone = server % zones;
        let cells_here = self.cells_in(zone);
        zone + zones * (server / zones % cells_here.max(1))
    }

    /// Returns the number of cells in a zone.
    fn cells_in(&self, zone: u32) -> u32 {
        (0..self.fleet.cells).filter(|cell| cell % self.fleet.zones.len() as u32 == zone).count() as u32
    }

    /// Returns the number of a cell's zone.
    pub fn zone_of_cell(&self, cell: u32) -> usize {
        cell as usize % self.fleet.zones.len()
    }

    pub(super) fn validate_tenancy(&self) -> Result<(), ScenarioError> {
        let fleet = &self.fleet;
        within("fleet.cells", fleet.cells, 0, fleet.pay_servers)?;
        if fleet.cells > 0 && fleet.cells < fleet.zones.len() as u32 {
            return Err(ScenarioError::invalid("fleet.cells", "at least one for each zone"));
        }
        if let Some(tenants) = &self.tenants {
            if fleet.controllers == 0 {
                return Err(ScenarioError::invalid(
                    "tenants",
                    "fair shares are decided by stewards, and the fleet has none",
                ));
            }
            within("tenants.firms", tenants.firms, 1, MAX_FIRMS)?;
            within("tenants.greedy", tenants.greedy, 0, tenants.firms)?;
            if tenants.weights.is_empty() || tenants.weights.len() > MAX_WEIGHTS {
                return Err(ScenarioError::invalid("tenants.weights", format!("1 to {MAX_WEIGHTS} weights")));
            }
            for (i, weight) in tenants.weights.iter().enumerate() {
                within(&format!("tenants.weights[{i}]"), *weight, 0.01, 1e6)?;
            }
            within("tenants.shift_at_ms", tenants.shift_at_ms.unwrap_or(0), 0, self.load.duration_ms)?;
        }
        if let Some(shards) = &self.shards {
            if fleet.controllers == 0 || fleet.cells == 0 {
                return Err(ScenarioError::invalid("books", "books need fleet.stewards and fleet.cells"));
            }
            within("books.count", shards.count, 1, MAX_SHARDS)?;
            if shards.moves.len() > MAX_MOVES {
                return Err(ScenarioError::invalid("books.move", format!("at most {MAX_MOVES}")));
            }
            for (i, requested_move) in shards.moves.iter().enumerate() {
                within(&format!("books.move[{i}].at_ms"), requested_move.at_ms, 0, self.load.duration_ms)?;
                within(&format!("books.move[{i}].book"), requested_move.shard, 0, shards.count - 1)?;
                within(&format!("books.move[{i}].to_cell"), requested_move.to_cell, 0, fleet.cells - 1)?;
            }
        }
        Ok(())
    }
}
