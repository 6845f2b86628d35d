//! The steps of a migration, the cell operation of each, and the condition for the next step. Both follow
//! from the map alone, so that a new owner continues where its predecessor stopped.
//!
//! | published step | cell operation | condition for the next step |
//! | --- | --- | --- |
//! | planned | none | fewer migrations in progress than the limit |
//! | fencing, epoch + 1 | the old cell closes the range at the new epoch | it is closed, and no earlier write is in flight there; or, if cells do not fence, every gateway has applied this map or its map has expired, and the longest attempt has ended |
//! | drained | the range is copied from the old cell to the new one | the new cell has all records |
//! | copied | the new cell opens the range at the new epoch | it is open; no condition if cells do not fence |
//! | no migration, at the new cell | none | |

use crate::map::{Cell, Epoch, Firm, Migration, MigrationStep, Shard, ShardMap, MAX_SHARDS};
use quick_error::quick_error;
use serde::{Deserialize, Serialize};

/// An operation of a cell on a range (first firm, first firm after it). It is idempotent, and requested until
/// it is acknowledged.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum CellOperation {
    /// Reject all writes, and acknowledge once no earlier one is in flight.
    Close {
        /// The cell that executes it.
        cell: Cell,
        /// The range of firms.
        range: (Firm, Firm),
        /// The epoch to close it at.
        epoch: Epoch,
    },
    /// Copy all records of the range to another cell.
    Copy {
        /// The cell that executes it.
        cell: Cell,
        /// The other cell.
        to: Cell,
        /// The range of firms.
        range: (Firm, Firm),
        /// The epoch of the migration.
        epoch: Epoch,
    },
    /// Admit writes under the epoch.
    Open {
        /// The cell that executes it.
        cell: Cell,
        /// The range of firms.
        range: (Firm, Firm),
        /// The epoch to open it at.
        epoch: Epoch,
    },
}

impl CellOperation {
    /// Returns the cell that executes it.
    pub fn cell(&self) -> Cell {
        let (CellOperation::Close { cell, .. }
        | CellOperation::Copy { cell, .. }
        | CellOperation::Open { cell, .. }) = self;
        *cell
    }

    /// Returns the first firm of its range, and the first firm after it.
    pub fn range(&self) -> (Firm, Firm) {
        let (CellOperation::Close { range, .. }
        | CellOperation::Copy { range, .. }
        | CellOperation::Open { range, .. }) = self;
        *range
    }

    /// Returns its epoch.
    pub fn epoch(&self) -> Epoch {
        let (CellOperation::Close { epoch, .. }
        | CellOperation::Copy { epoch, .. }
        | CellOperation::Open { epoch, .. }) = self;
        *epoch
    }
}

/// Returns the operation that the current migration step of a shard needs; `fencing` is whether cells fence.
pub fn cell_operation(map: &ShardMap, index: usize, fencing: bool) -> Option<CellOperation> {
    let shard = map.shards[index];
    let range = (shard.first, map.end(index));
    let Migration { to, step } = shard.migration?;
    let (cell, epoch) = (shard.cell, shard.epoch);
    match step {
        MigrationStep::Planned => None,
        MigrationStep::Fencing => fencing.then_some(CellOperation::Close { cell, range, epoch }),
        MigrationStep::Drained => Some(CellOperation::Copy { cell, to, range, epoch }),
        MigrationStep::Copied => fencing.then_some(CellOperation::Open { cell: to, range, epoch }),
    }
}

quick_error! {
    /// Reason why a shard was not changed.
    #[derive(Clone, Copy, Debug, PartialEq, Eq)]
    pub enum MigrationError {
        /// The map has no such shard.
        NoSuchShard {
            display("there is no such shard")
        }
        /// The shard is being migrated already.
        AlreadyMigrating {
            display("the shard is being migrated already")
        }
        /// The shard is at that cell already.
        AlreadyAtCell {
            display("the shard is at that cell already")
        }
        /// The records have been copied, so the migration cannot be abandoned any more.
        AlreadyCopied {
            display("the records of the shard were copied already")
        }
        /// The step, epoch or range of the shard does not allow the change.
        WrongState {
            display("the shard is not in the state that the change needs")
        }
    }
}

/// Returns the migration of a shard if it is in `step`.
fn migration_in(shard: &Shard, step: MigrationStep) -> Result<Migration, MigrationError> {
    shard.migration.filter(|migration| migration.step == step).ok_or(MigrationError::WrongState)
}

impl ShardMap {
    fn shard_mut(&mut self, index: usize) -> Result<&mut Shard, MigrationError> {
        self.shards.get_mut(index).ok_or(MigrationError::NoSuchShard)
    }

    /// Plans a migration to a cell.
    ///
    /// # Errors
    ///
    /// If there is no such shard, it is being migrated, or it is at that cell.
    pub fn plan(&mut self, index: usize, to: Cell) -> Result<(), MigrationError> {
        let shard = self.shard_mut(index)?;
        if shard.migration.is_some() {
            return Err(MigrationError::AlreadyMigrating);
        }
        if shard.cell == to {
            return Err(MigrationError::AlreadyAtCell);
        }
        shard.migration = Some(Migration { to, step: MigrationStep::Planned });
        Ok(())
    }

    /// Raises the epoch for a planned migration. From this step on no gateway may write.
    ///
    /// # Errors
    ///
    /// If there is no such shard, or no migration of it is planned.
    pub fn raise_epoch(&mut self, index: usize) -> Result<(), MigrationError> {
        let shard = self.shard_mut(index)?;
        let migration = migration_in(shard, MigrationStep::Planned)?;
        shard.epoch += 1;
        shard.migration = Some(Migration { step: MigrationStep::Fencing, ..migration });
        Ok(())
    }

    /// Records that no write under the old epoch can take effect any more.
    ///
    /// # Errors
    ///
    /// If there is no such shard, or its migration is not in [`MigrationStep::Fencing`] at this epoch.
    pub fn mark_drained(&mut self, index: usize, epoch: Epoch) -> Result<(), MigrationError> {
        self.advance(index, epoch, MigrationStep::Fencing, MigrationStep::Drained)
    }

    /// Records that the new cell has all records.
    ///
    /// # Errors
    ///
    /// If there is no such shard, or its migration is not in [`MigrationStep::Drained`] at this epoch.
    pub fn mark_copied(&mut self, index: usize, epoch: Epoch) -> Result<(), MigrationError> {
        self.advance(index, epoch, MigrationStep::Drained, MigrationStep::Copied)
    }

    /// Ends a migration: the new cell serves the shard.
    ///
    /// # Errors
    ///
    /// If there is no such shard, or its migration is not in [`MigrationStep::Copied`] at this epoch.
    pub fn complete(&mut self, index: usize, epoch: Epoch) -> Result<(), MigrationError> {
        let (shard, migration) = self.migration_at(index, epoch, MigrationStep::Copied)?;
        (shard.cell, shard.migration) = (migration.to, None);
        Ok(())
    }

    fn advance(
        &mut self,
        index: usize,
        epoch: Epoch,
        from: MigrationStep,
        to: MigrationStep,
    ) -> Result<(), MigrationError> {
        let (shard, migration) = self.migration_at(index, epoch, from)?;
        shard.migration = Some(Migration { step: to, ..migration });
        Ok(())
    }

    /// Returns a shard and its migration if they are at this step and epoch. An acknowledgement under another
    /// epoch belongs to another migration.
    fn migration_at(
        &mut self,
        index: usize,
        epoch: Epoch,
        step: MigrationStep,
    ) -> Result<(&mut Shard, Migration), MigrationError> {
        let shard = self.shard_mut(index)?;
        let migration = migration_in(shard, step)?;
        if shard.epoch != epoch {
            return Err(MigrationError::WrongState);
        }
        Ok((shard, migration))
    }

    /// Abandons a migration, so that the old cell serves the shard again. The old cell may have closed the
    /// range at the current epoch. The epoch is therefore raised, and a migration to the same cell, directly
    /// in [`MigrationStep::Copied`], opens it.
    ///
    /// # Errors
    ///
    /// If there is no such shard, it is not being migrated, or its records have been copied.
    pub fn abandon(&mut self, index: usize) -> Result<(), MigrationError> {
        let shard = self.shard_mut(index)?;
        let migration = shard.migration.ok_or(MigrationError::WrongState)?;
        match migration.step {
            MigrationStep::Planned => shard.migration = None,
            MigrationStep::Fencing | MigrationStep::Drained => {
                shard.epoch += 1;
                shard.migration = Some(Migration { to: shard.cell, step: MigrationStep::Copied });
            }
            MigrationStep::Copied => return Err(MigrationError::AlreadyCopied),
        }
        Ok(())
    }

    /// Splits a shard at a firm; both parts keep the cell and the epoch.
    ///
    /// # Errors
    ///
    /// If there is no such shard, it is being migrated, the firm is not inside it, or the map is full.
    pub fn split(&mut self, index: usize, middle: Firm) -> Result<(), MigrationError> {
        let end = self.end(index);
        let shard = *self.shard_mut(index)?;
        if shard.migration.is_some() {
            return Err(MigrationError::AlreadyMigrating);
        }
        if middle <= shard.first || middle >= end || self.shards.len() >= MAX_SHARDS {
            return Err(MigrationError::WrongState);
        }
        self.shards.insert(index + 1, Shard { first: middle, ..shard });
        Ok(())
    }

    /// Merges a shard with the next one.
    ///
    /// # Errors
    ///
    /// If there is no such shard or no next one, one of them is being migrated, or they differ in cell or epoch.
    pub fn merge(&mut self, index: usize) -> Result<(), MigrationError> {
        let (Some(shard), Some(next)) = (self.shards.get(index), self.shards.get(index + 1)) else {
            return Err(MigrationError::NoSuchShard);
        };
        if shard.migration.is_some() || next.migration.is_some() {
            return Err(MigrationError::AlreadyMigrating);
        }
        if (shard.cell, shard.epoch) != (next.cell, next.epoch) {
            return Err(MigrationError::WrongState);
        }
        self.shards.remove(index + 1);
        Ok(())
    }
}
