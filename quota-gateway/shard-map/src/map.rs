//! The published shard map.

use marblecroft_control_messages::frame::Kind;
use marblecroft_control_messages::published::Body;
use serde::{Deserialize, Serialize};

/// The number of a client firm.
pub type Firm = u64;
/// The number of a cell of pay servers, as in the server list.
pub type Cell = u32;
/// The epoch of a range of firms. It only rises, even across splits, merges and abandoned migrations.
pub type Epoch = u64;

/// Exclusive upper bound of firm numbers.
pub const FIRM_END: Firm = 1 << 33;
/// Maximum number of shards in a map.
pub const MAX_SHARDS: usize = 1024;

/// Step of a migration. Each step is published before it takes effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum MigrationStep {
    /// Decided, but without effect yet.
    Planned,
    /// The epoch was raised, and no gateway may write. The old cell rejects lower epochs; if cells do not
    /// fence, the owner waits until older maps have expired.
    Fencing,
    /// No write under the old epoch can take effect any more, so the records can be copied.
    Drained,
    /// The new cell has all records of the old one. The migration can no longer be abandoned.
    Copied,
}

/// An unfinished migration of a shard.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Migration {
    /// The new cell.
    pub to: Cell,
    /// Its current step.
    pub step: MigrationStep,
}

/// A range of firms that is served by one cell.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Shard {
    /// The first firm; the range ends before the first firm of the next shard.
    pub first: Firm,
    /// The cell that serves it; during a migration, the old cell.
    pub cell: Cell,
    /// The epoch that writes must carry.
    pub epoch: Epoch,
    /// The unfinished migration, if any.
    pub migration: Option<Migration>,
}

impl Shard {
    /// Returns whether gateways may write to it now.
    pub fn is_open(&self) -> bool {
        self.migration.is_none_or(|migration| migration.step == MigrationStep::Planned)
    }

    /// Returns whether readers accept it.
    fn is_valid(&self) -> bool {
        // A migration to the shard's own cell is the last step of an abandoned migration.
        let is_possible =
            |migration: Migration| migration.to != self.cell || migration.step == MigrationStep::Copied;
        self.first < FIRM_END && self.epoch > 0 && self.migration.is_none_or(is_possible)
    }
}

/// All shards, in the order of their firms. Each begins where the previous one ends, so there are no gaps or
/// overlaps.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ShardMap {
    /// The shards; the first one begins at firm 0.
    pub shards: Vec<Shard>,
}

impl ShardMap {
    /// Returns a map of `count` shards of equal width, assigned to the cells in turn, or an empty map if
    /// there are no cells.
    pub fn even(count: usize, cells: &[Cell]) -> ShardMap {
        if cells.is_empty() {
            return ShardMap::default();
        }
        let width = FIRM_END / count.max(1) as u64;
        let shard = |index: usize| Shard {
            first: width * index as u64,
            cell: cells[index % cells.len()],
            epoch: 1,
            migration: None,
        };
        ShardMap { shards: (0..count).map(shard).collect() }
    }

    /// Returns the index of a firm's shard, or `None` if the firm number is out of range.
    pub fn find(&self, firm: Firm) -> Option<usize> {
        if firm >= FIRM_END {
            return None;
        }
        self.shards.partition_point(|shard| shard.first <= firm).checked_sub(1)
    }

    /// Returns the first firm after the shard at an index.
    pub fn end(&self, index: usize) -> Firm {
        self.shards.get(index + 1).map_or(FIRM_END, |next| next.first)
    }
}

impl Body for ShardMap {
    const KIND: Kind = Kind::ShardMap;

    fn is_valid(&self) -> bool {
        (1..=MAX_SHARDS).contains(&self.shards.len())
            && self.shards[0].first == 0
            && self.shards.windows(2).all(|pair| pair[0].first < pair[1].first)
            && self.shards.iter().all(Shard::is_valid)
    }
}
