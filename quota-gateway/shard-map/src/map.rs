//! The book map, as it is published.

use marblecroft_control_messages::frame::Kind;
use marblecroft_control_messages::published::Body;
use serde::{Deserialize, Serialize};

/// A client firm, by its number.
pub type Firm = u64;
/// A cell of pay servers, as the list names it.
pub type Cell = u32;
/// Of a range; only rises, whatever becomes of it.
pub type Epoch = u64;

/// Firms are numbers under this.
pub const FIRM_END: Firm = 1 << 33;
pub const MAX_SHARDS: usize = 1024;

/// How far a move has come. Each step is written down before it is acted on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum MigrationStep {
    /// Decided; nothing is different yet.
    Planned,
    /// The epoch is raised: nobody may write, and the old cell turns lower epochs away, or gateways are waited for.
    Fencing,
    /// Nothing under the old epoch can take effect any more: what is there can be copied.
    Drained,
    /// The new cell has all that the old one had. From here on there is no way back.
    Copied,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Migration {
    pub to: Cell,
    pub step: MigrationStep,
}

/// A range of firms.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Shard {
    /// The first firm; the range ends before the next book's first.
    pub first: Firm,
    pub cell: Cell,
    pub epoch: Epoch,
    pub migration: Option<Migration>,
}

impl Shard {
    /// Whether pay runs may be written now.
    pub fn open(&self) -> bool {
        self.migration.is_none_or(|moving| moving.step == MigrationStep::Planned)
    }
}

/// All books, in the order of their firms; they have neither gap nor overlap, as each begins where the one before ends.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ShardMap {
    pub shards: Vec<Shard>,
}

impl ShardMap {
    /// So many books of the same width, dealt out over cells.
    pub fn even(count: usize, cells: &[Cell]) -> ShardMap {
        let first = |i: usize| FIRM_END / count.max(1) as u64 * i as u64;
        let book =
            |i: usize| Shard { first: first(i), cell: cells[i % cells.len()], epoch: 1, migration: None };
        ShardMap { shards: if cells.is_empty() { Vec::new() } else { (0..count).map(book).collect() } }
    }

    /// The book that a firm is in.
    pub fn find(&self, firm: Firm) -> Option<usize> {
        if firm >= FIRM_END {
            return None;
        }
        self.shards.partition_point(|book| book.first <= firm).checked_sub(1)
    }

    /// Where a book ends: its first firm that is not in it.
    pub fn end(&self, at: usize) -> Firm {
        self.shards.get(at + 1).map_or(FIRM_END, |next| next.first)
    }
}

impl Body for ShardMap {
    const KIND: Kind = Kind::ShardMap;

    fn is_valid(&self) -> bool {
        (1..=MAX_SHARDS).contains(&self.shards.len())
            && self.shards[0].first == 0
            && self.shards.windows(2).all(|two| two[0].first < two[1].first)
            && self.shards.iter().all(|book| {
                // Back to the own cell is the last step of a move that was abandoned.
                let way = |moving: Migration| moving.to != book.cell || moving.step == MigrationStep::Copied;
                book.first < FIRM_END && book.epoch > 0 && book.migration.is_none_or(way)
            })
    }
}
