//! The shard map, as it is published.

use marblecroft_control_messages::frame::Kind;
use marblecroft_control_messages::published::Body;
use serde::{Deserialize, Serialize};

/// The number of a client firm.
pub type Firm = u64;
/// The number of a cell of pay servers, as in the server list.
pub type Cell = u32;
/// The epoch of a range of firms; it only rises, also over splits, merges and abandoned migrations.
pub type Epoch = u64;

/// The exclusive upper bound of the numbers of firms.
pub const FIRM_END: Firm = 1 << 33;
/// The largest number of shards in a map.
pub const MAX_SHARDS: usize = 1024;

/// How far a migration has come. Each step is published before it is acted on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum MigrationStep {
    /// Decided, and without effect yet.
    Planned,
    /// The epoch was raised: no gateway may write. The old cell rejects lower epochs, or the older maps are left to expire.
    Fencing,
    /// No write under the old epoch can take effect any more: the records can be copied.
    Drained,
    /// The new cell has all records of the old one. From here on the migration cannot be abandoned.
    Copied,
}

/// A migration of a shard that has not ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Migration {
    /// The new cell.
    pub to: Cell,
    /// How far it has come.
    pub step: MigrationStep,
}

/// A range of firms that is served by one cell.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Shard {
    /// The first firm; the range ends before the first firm of the next shard.
    pub first: Firm,
    /// The cell that serves it; while it is migrated, the old one.
    pub cell: Cell,
    /// The epoch that writes carry.
    pub epoch: Epoch,
    /// The migration that has not ended, if there is one.
    pub migration: Option<Migration>,
}

impl Shard {
    /// Whether gateways may write now.
    pub fn is_open(&self) -> bool {
        self.migration.is_none_or(|migration| migration.step == MigrationStep::Planned)
    }

    /// Whether a reader accepts it.
    fn is_valid(&self) -> bool {
        // A migration to the shard's own cell is the last step of one that was abandoned.
        let is_possible =
            |migration: Migration| migration.to != self.cell || migration.step == MigrationStep::Copied;
        self.first < FIRM_END && self.epoch > 0 && self.migration.is_none_or(is_possible)
    }
}

/// All shards, in the order of their firms. There is neither gap nor overlap, as each begins where the one before ends.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ShardMap {
    /// The shards; the first one begins at firm 0.
    pub shards: Vec<Shard>,
}

impl ShardMap {
    /// Returns a map of `count` shards of equal width, assigned to the cells in turn; without shards if there is no cell.
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

    /// Returns the index of the shard of a firm; `None` if there is no such firm.
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
