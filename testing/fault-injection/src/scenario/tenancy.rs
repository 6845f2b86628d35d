//! What a scenario says of shares and books.

use super::validation::within;
use super::{Scenario, ScenarioError};
use serde::{Deserialize, Serialize};

/// Firms whose shares of the fleet's capacity are decided in common, in place of the site's plans and customers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Tenants {
    /// Customers with demand.
    pub firms: u32,
    /// The firms' weights, in turn.
    pub weights: Vec<f64>,
    /// So many ask five times their part, and again at once when refused.
    pub greedy: u32,
    /// Demand moves to other firms and gateways; never without it.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub shift_at_ms: Option<u64>,
}

impl Default for Tenants {
    fn default() -> Tenants {
        Tenants { firms: 40, weights: vec![1.0, 1.0, 2.0, 4.0], greedy: 0, shift_at_ms: None }
    }
}

/// Ranges of firms whose pay runs are written at one cell each.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Shards {
    /// Ranges at the begin.
    pub count: u32,
    /// Operators' moves.
    #[serde(rename = "move", skip_serializing_if = "Vec::is_empty")]
    pub moves: Vec<ShardMove>,
}

impl Default for Shards {
    fn default() -> Shards {
        Shards { count: 8, moves: Vec::new() }
    }
}

/// An operator's word: from then on a book, by its number at the begin, is to be at a cell.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ShardMove {
    /// After the load's begin, in milliseconds.
    pub at_ms: u64,
    /// The book.
    #[serde(rename = "book")]
    pub shard: u32,
    /// The cell.
    pub to_cell: u32,
}

const MAX_FIRMS: u32 = 20_000;
const MAX_WEIGHTS: usize = 16;
const MAX_SHARDS: u32 = 1024;
const MAX_MOVES: usize = 256;

impl Scenario {
    /// The cell of a pay server, by its number: dealt out in turn, each cell within one zone. By fours where cells mean nothing.
    pub fn cell_of(&self, server: u32) -> u32 {
        let (zones, cells) = (self.fleet.zones.len() as u32, self.fleet.cells);
        if cells == 0 {
            return server / 4;
        }
        let zone = server % zones;
        let here = self.cells_in(zone);
        zone + zones * (server / zones % here.max(1))
    }

    /// How many cells a zone has.
    fn cells_in(&self, zone: u32) -> u32 {
        (0..self.fleet.cells).filter(|cell| cell % self.fleet.zones.len() as u32 == zone).count() as u32
    }

    /// The number of the zone that a cell is in.
    pub fn zone_of_cell(&self, cell: u32) -> usize {
        cell as usize % self.fleet.zones.len()
    }

    pub(super) fn validate_tenancy(&self) -> Result<(), ScenarioError> {
        let fleet = &self.fleet;
        within("fleet.cells", fleet.cells, 0, fleet.pay_servers)?;
        if fleet.cells > 0 && fleet.cells < fleet.zones.len() as u32 {
            return Err(ScenarioError::invalid("fleet.cells", "one for each zone at least"));
        }
        if let Some(tenants) = &self.tenants {
            if fleet.controllers == 0 {
                return Err(ScenarioError::invalid(
                    "tenants",
                    "shares are decided by stewards, and there are none",
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
                return Err(ScenarioError::invalid("books", "they need stewards, and fleet.cells"));
            }
            within("books.count", shards.count, 1, MAX_SHARDS)?;
            if shards.moves.len() > MAX_MOVES {
                return Err(ScenarioError::invalid("books.move", format!("{MAX_MOVES} at the most")));
            }
            for (i, moved) in shards.moves.iter().enumerate() {
                within(&format!("books.move[{i}].at_ms"), moved.at_ms, 0, self.load.duration_ms)?;
                within(&format!("books.move[{i}].book"), moved.shard, 0, shards.count - 1)?;
                within(&format!("books.move[{i}].to_cell"), moved.to_cell, 0, fleet.cells - 1)?;
            }
        }
        Ok(())
    }
}
